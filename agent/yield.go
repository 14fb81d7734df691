package agent

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/clock"
)

// Timing of handing groups over to more suitable hosts.
const (
	// yieldCheckInterval is how often a host checks whether another should run one of its groups, and yieldAfter for how long that
	// has to be so.
	yieldCheckInterval = 500 * time.Millisecond
	yieldAfter         = time.Second
	// yieldPause is the time between two such hand-overs of a group by the same host: the other may have failed.
	yieldPause = 15 * time.Second
	// suitableTimeout bounds the check whether another host reaches the table.
	suitableTimeout = 300 * time.Millisecond
	// maxSuitableChecks is how many hosts are checked at a time.
	maxSuitableChecks = 3
)

// yieldToBetterHost calls yield once a clearly stronger host could run a group, or, while this host doesn't reach the table itself, one as
// strong that does. A weak host may acquire a lease because the strong ones failed for a moment, and could never catch up with the load.
func (g *groups) yieldToBetterHost(ctx context.Context, group string, yield context.CancelFunc) {
	var since time.Time
	for clock.Pause(ctx, yieldCheckInterval) {
		g.mu.Lock()
		pausing := time.Since(g.yieldedAt[group]) < yieldPause
		g.mu.Unlock()
		better, ok := host{}, false
		if !pausing {
			better, ok = g.betterHost(ctx)
		}
		switch {
		case !ok:
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) >= yieldAfter:
			g.mu.Lock()
			g.yieldedAt[group] = time.Now()
			g.mu.Unlock()
			g.a.log.WithFields(logrus.Fields{
				"group": group, "for": better.Name, "direct": g.a.direct.Reachable(time.Now()),
			}).Info("handing the group over to a more suitable host")
			yield()
			return
		}
	}
}

// betterHost returns a host that is more suitable for running groups than this one, and reaches the table.
func (g *groups) betterHost(ctx context.Context) (host, bool) {
	minCores := strongerFactor * g.a.settings.CPUShare
	if !g.a.direct.Reachable(time.Now()) {
		minCores = g.a.settings.CPUShare / strongerFactor
	}
	checked := 0
	for _, peer := range g.a.hosts.relays(time.Now()) {
		if peer.tentative || peer.Cores <= minCores {
			continue
		}
		if checked++; checked > maxSuitableChecks {
			break
		}
		call, cancel := context.WithTimeout(ctx, suitableTimeout)
		_, err := (&relayStore{hosts: g.a.hosts, host: peer.host}).Read(call, g.a.relay.Probe)
		cancel()
		if err == nil {
			return peer.host, true
		}
		g.a.log.WithError(err).WithField("peer", peer.Name).Debug("a stronger host does not reach the table")
	}
	return host{}, false
}
