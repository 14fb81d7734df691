package agent

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/corianderdrift/corianderdrift/platform"
)

// settingsInterval is how often the settings are read again, since they may change without a signal.
const settingsInterval = 5 * time.Second

// watchSettings reloads the settings on SIGHUP and at regular intervals, until ctx is done.
func (a *Agent) watchSettings(ctx context.Context) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			a.log.Info("reloading the settings on SIGHUP")
		case <-ticker.C:
		}
		a.reload()
	}
}

func (a *Agent) reload() {
	next, err := platform.ReadSettings(a.settingsPath)
	if err != nil {
		a.log.WithError(err).Error("failed to read the settings; keeping the old ones")
		return
	}
	a.applySettings(next)
}

// applySettings applies a change of the shutdown timeout, the only setting that may change at run time; changed addresses are
// logged.
func (a *Agent) applySettings(next platform.Settings) {
	a.mu.Lock()
	changed := a.shutdownTimeout != next.ShutdownTimeout
	a.shutdownTimeout = next.ShutdownTimeout
	a.mu.Unlock()
	if changed {
		a.log.WithField("stop-limit", next.ShutdownTimeout).Info("settings changed")
	}
	if next.Front != a.settings.Front || next.Table != a.settings.Table {
		a.log.WithField("table", next.Table).Warn("addresses in the settings changed; they take effect at the next start")
	}
}

func (a *Agent) stopLimit() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.shutdownTimeout
}
