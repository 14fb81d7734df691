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
	long: `Run one entry host: it takes callers' requests, holds workers and starts tasks on them.

Every flag can also be given as an environment variable: --lease-ttl is CORIANDERDRIFT_LEASE_TTL.
SIGTERM starts a planned stop that cuts nothing off; a second one stops at once.`,
	example: "  corianderdrift serve --name kochi-1 --data-center kochi --platform 127.0.0.1:9000",
	flags:   serveFlags,
	action:  serve,
}

// The sources of a host's settings.
const (
	settingsFlag     = "settings-from"
	settingsOwn      = "flags"
	settingsPlatform = "platform"
)

func serveFlags(flags *pflag.FlagSet) {
	flags.String(settingsFlag, settingsOwn,
		"where settings come from: flags (and environment variables), or platform (the file that it provides)")
	conf.Flags(flags)
}

func serve(in call) error {
	from, err := in.flags.GetString(settingsFlag)
	if err != nil {
		return err
	}
	switch from {
	case settingsPlatform:
		return servePlatform(in)
	case settingsOwn:
		return serveOwn(in)
	default:
		return &conf.Error{Setting: settingsFlag, Value: from, Allowed: settingsOwn + " or " + settingsPlatform}
	}
}

// servePlatform runs a host on the users' platform, which tells its settings in a file.
func servePlatform(in call) error {
	path := os.Getenv(platform.SettingsVariable)
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	log := logrus.New()
	out := lines.NewWriter(os.Stdout)
	defer out.Close()
	log.SetOutput(out)
	log.SetFormatter(&lines.Budget{Formatter: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, Lost: out.Dropped})
	return agent.New(s, path, log.WithField("host", s.Name)).Run(in.ctx, in.hard)
}

func serveOwn(in call) error {
	cfg, err := conf.Load(in.flags)
	if err != nil {
		return err
	}
	n, err := node.New(cfg, newLog(cfg))
	if err != nil {
		return err
	}
	return n.Run(in.ctx, in.hard)
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
