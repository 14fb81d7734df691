package cmds

import (
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/pflag"

	"github.com/corianderdrift/corianderdrift/agent"
	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/lines"
	"github.com/corianderdrift/corianderdrift/node"
	"github.com/corianderdrift/corianderdrift/platform"
)

var cmdServe = command{
	name:  "serve",
	short: "Run one entry host",
	long: `Run one entry host: it accepts requests from callers, holds the leases of workers and starts tasks on them.

Every flag can also be given as an environment variable: --lease-ttl is CORIANDERDRIFT_LEASE_TTL.
SIGTERM starts a graceful stop that does not interrupt requests; a second SIGTERM stops the host at once.`,
	example: "  corianderdrift serve --name kochi-1 --data-center kochi --platform 127.0.0.1:9000",
	flags:   serveFlags,
	action:  serve,
}

// Flag that selects the source of a host's settings, and its values.
const (
	settingsFlag         = "settings-from"
	settingsFromFlags    = "flags"
	settingsFromPlatform = "platform"
)

func serveFlags(flags *pflag.FlagSet) {
	flags.String(settingsFlag, settingsFromFlags,
		"source of the settings: flags (and environment variables), or platform (the settings file that it provides)")
	conf.Flags(flags)
}

func serve(inv invocation) error {
	source, err := inv.flags.GetString(settingsFlag)
	if err != nil {
		return err
	}
	switch source {
	case settingsFromPlatform:
		return serveOnPlatform(inv)
	case settingsFromFlags:
		return serveWithFlags(inv)
	default:
		return &conf.Error{Setting: settingsFlag, Value: source, Allowed: settingsFromFlags + " or " + settingsFromPlatform}
	}
}

// serveOnPlatform runs a host on the users' platform, which provides its settings in a file.
func serveOnPlatform(inv invocation) error {
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	log := logrus.New()
	out := lines.NewWriter(os.Stdout)
	defer out.Close()
	log.SetOutput(out)
	log.SetFormatter(&lines.Budget{Formatter: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, Dropped: out.Dropped})
	return agent.New(s, path, log.WithField("host", s.Name)).Run(inv.ctx, inv.force)
}

func serveWithFlags(inv invocation) error {
	cfg, err := conf.Load(inv.flags)
	if err != nil {
		return err
	}
	n, err := node.New(cfg, newLog(cfg))
	if err != nil {
		return err
	}
	return n.Run(inv.ctx, inv.force)
}

func newLog(cfg conf.Host) logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	log.SetLevel(cfg.LogLevel)
	if cfg.LogFormat == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log.WithField("host", cfg.Name)
}
