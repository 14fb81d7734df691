package agent

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/corianderdrift/corianderdrift/platform"
)

// settingsEvery is how often the settings are read again, since they may change without a signal.
const settingsEvery = 5 * time.Second

// watchSettings reads the settings again on SIGHUP and from time to time, and tells what has changed.
func (a *Agent) watchSettings(ctx context.Context) {
	asked := make(chan os.Signal, 1)
	signal.Notify(asked, syscall.SIGHUP)
	defer signal.Stop(asked)
	ticker := time.NewTicker(settingsEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-asked:
			a.log.Info("settings are read again on a signal")
		case <-ticker.C:
		}
		a.reload()
	}
}

// reload takes over those settings that may change while the host runs; the addresses may not.
func (a *Agent) reload() {
	next, err := platform.ReadSettings(a.settingsPath)
	if err != nil {
		a.log.WithError(err).Error("settings can't be read; the old ones stay in force")
		return
	}
	a.mu.Lock()
	old := a.settings
	a.settings.StopLimit = next.StopLimit
	changed := old.StopLimit != next.StopLimit
	a.mu.Unlock()
	if changed {
		a.log.WithField("stop-limit", next.StopLimit).Info("settings changed")
	}
	if next.Front != old.Front || next.Table != old.Table {
		a.log.WithField("table", next.Table).Warn("addresses changed; they are taken over at the next start")
	}
}

func (a *Agent) stopLimit() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.settings.StopLimit
}
