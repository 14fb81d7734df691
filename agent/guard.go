package agent

import (
	"github.com/corianderdrift/corianderdrift/guard"
	"github.com/corianderdrift/corianderdrift/queues"
)

// Names of the addresses in metrics.
const (
	frontPlace   = "front"
	readyPlace   = "ready"
	metricsPlace = "metrics"
	peersPlace   = "peers"
)

// sizes returns the bounds of this process that follow from its settings.
func (a *Agent) sizes() guard.Sizes {
	return guard.SizesOf(a.settings.MemoryBytes, a.settings.Descriptors)
}

func (a *Agent) newGuard() {
	sizes := a.sizes()
	a.guard = guard.New(sizes, guard.Limits{}, a.metrics.countEnd, a.log)
	a.guard.AddPlace(frontPlace, a.settings.Front.String(), sizes.Connections, false)
	a.guard.AddPlace(readyPlace, a.settings.Ready.String(), sizes.SideConnections, true)
	a.guard.AddPlace(metricsPlace, a.metricsAddress().String(), sizes.SideConnections, true)
	a.metrics.registerGuard(a.guard)
}

// applyLimits puts the limits of a configuration in force.
func (a *Agent) applyLimits(l queues.Limits) {
	a.guard.SetLimits(guard.Limits{
		HeadBytes: l.HeaderBytes, BodyBytes: l.BodyBytes, HeadTimeout: l.HeaderTimeout, IdleTimeout: l.IdleTimeout,
	})
}
