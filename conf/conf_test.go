package conf_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/conf"
)

func load(args ...string) (conf.Host, error) {
	flags := pflag.NewFlagSet("serve", pflag.ContinueOnError)
	conf.Flags(flags)
	if err := flags.Parse(args); err != nil {
		return conf.Host{}, err
	}
	return conf.Load(flags)
}

func TestBadSettingsAreNamed(t *testing.T) {
	good := []string{"--name", "a", "--data-center", "d", "--platform", "127.0.0.1:1"}
	tests := []struct {
		name    string
		args    []string
		env     [2]string
		setting string
	}{
		{"no name", []string{"--data-center", "d", "--platform", "127.0.0.1:1"}, [2]string{}, "name"},
		{"host name for an address", append(good, "--listen", "localhost:80"), [2]string{}, "listen"},
		{"no platform", []string{"--name", "a", "--data-center", "d"}, [2]string{}, "platform"},
		{"seed", append(good, "--seeds", "127.0.0.1:1,nonsense"), [2]string{}, "seeds"},
		{"short task leases", append(good, "--task-ttl", "4s"), [2]string{}, "task-ttl"},
		{"plain text off loopback", append(good, "--listen", "10.0.0.1:80"), [2]string{}, "listen"},
		{"no token off loopback", append(good, "--listen", "10.0.0.1:80", "--allow-plain-text"), [2]string{}, "operator-token"},
		{"half of TLS", append(good, "--tls-cert", "x"), [2]string{}, "tls-key"},
		{"policy", append(good, "--policy", "best"), [2]string{}, "policy"},
		{"unknown variable", good, [2]string{"CORIANDERDRIFT_COLOUR", "red"}, "CORIANDERDRIFT_COLOUR"},
		{"bad variable", good, [2]string{"CORIANDERDRIFT_LEASE_TTL", "long"}, "lease-ttl"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			if test.env[0] != "" {
				t.Setenv(test.env[0], test.env[1])
			}
			_, err := load(test.args...)
			var setting *conf.Error
			c.Assert(errors.As(err, &setting), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(setting.Setting, qt.Equals, test.setting)
		})
	}
}

func TestFlagsGoBeforeTheEnvironment(t *testing.T) {
	c := qt.New(t)
	t.Setenv("CORIANDERDRIFT_NAME", "from-environment")
	t.Setenv("CORIANDERDRIFT_SEEDS", "127.0.0.1:5,127.0.0.1:6")
	t.Setenv("CORIANDERDRIFT_REGION", "south")
	cfg, err := load("--name", "from-flag", "--data-center", "d", "--platform", "127.0.0.1:1")
	c.Assert(err, qt.IsNil)
	c.Check(cfg.Name, qt.Equals, "from-flag")
	c.Check(cfg.Region, qt.Equals, "south")
	c.Check(cfg.Seeds, qt.HasLen, 2)
	c.Check(cfg.Advertise, qt.Equals, cfg.PeerListen)
}
