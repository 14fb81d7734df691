package cmds

import (
	"os"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/node"
)

var cmdServe = command{
	name:  "serve",
	short: "Run one entry host",
	long: `Run one entry host: it takes callers' requests, holds workers and starts tasks on them.

Every flag can also be given as an environment variable: --lease-ttl is CORIANDERDRIFT_LEASE_TTL.
SIGTERM starts a planned stop that cuts nothing off; a second one stops at once.`,
	example: "  corianderdrift serve --name kochi-1 --data-center kochi --platform 127.0.0.1:9000",
	flags:   conf.Flags,
	action:  serve,
}

func serve(in call) error {
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
