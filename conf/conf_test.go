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

func TestInvalidSettingErrorNamesSetting(t *testing.T) {
	valid := []string{"--name", "a", "--data-center", "d", "--platform", "127.0.0.1:1"}
	tests := []struct {
		name    string
		args    []string
		env     [2]string
		setting string
	}{
		{"no name", []string{"--data-center", "d", "--platform", "127.0.0.1:1"}, [2]string{}, "name"},
		{"host name instead of IP address", append(valid, "--listen", "localhost:80"), [2]string{}, "listen"},
		{"no platform", []string{"--name", "a", "--data-center", "d"}, [2]string{}, "platform"},
		{"seed", append(valid, "--seeds", "127.0.0.1:1,nonsense"), [2]string{}, "seeds"},
		{"task TTL too short", append(valid, "--task-ttl", "4s"), [2]string{}, "task-ttl"},
		{"plain text on a non-loopback address", append(valid, "--listen", "10.0.0.1:80"), [2]string{}, "listen"},
		{"no token on a non-loopback address", append(valid, "--listen", "10.0.0.1:80", "--allow-plain-text"), [2]string{}, "operator-token"},
		{"certificate without key", append(valid, "--tls-cert", "x"), [2]string{}, "tls-key"},
		{"policy", append(valid, "--policy", "best"), [2]string{}, "policy"},
		{"too little memory", append(valid, "--memory-mb", "10"), [2]string{}, "memory-mb"},
		{"no connections", append(valid, "--max-connections", "0"), [2]string{}, "max-connections"},
		{"small heads", append(valid, "--max-header-bytes", "100"), [2]string{}, "max-header-bytes"},
		{"no bodies", append(valid, "--max-body-bytes", "0"), [2]string{}, "max-body-bytes"},
		{"no time for heads", append(valid, "--header-timeout", "0s"), [2]string{}, "header-timeout"},
		{"no idle time", append(valid, "--idle-timeout", "-1s"), [2]string{}, "idle-timeout"},
		{"unknown variable", valid, [2]string{"CORIANDERDRIFT_COLOUR", "red"}, "CORIANDERDRIFT_COLOUR"},
		{"bad variable", valid, [2]string{"CORIANDERDRIFT_LEASE_TTL", "long"}, "lease-ttl"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			if test.env[0] != "" {
				t.Setenv(test.env[0], test.env[1])
			}
			_, err := load(test.args...)
			var settingErr *conf.Error
			c.Assert(errors.As(err, &settingErr), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(settingErr.Setting, qt.Equals, test.setting)
		})
	}
}

func TestFlagsOverrideEnvironment(t *testing.T) {
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
