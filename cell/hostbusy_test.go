package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// A request for advice whose host turned out to be busy with other groups' calls used to be tried again after a delay, and a step for which no
// host was free waited for an event that never came if other groups occupied the hosts. Load: one task that needs a ticket.
func TestRequestIsSentThroughAnotherHostAtOnce(t *testing.T) {
	c := qt.New(t)
	g := newStaleGroup()
	cfg := &queues.Config{Version: 1, Queues: []queues.Queue{{
		Name: "short", Advice: &queues.Advice{Base: 14 * time.Millisecond, PerWorker: time.Millisecond, Validity: 2 * time.Second},
	}}}
	g.cell.Add(&graph.Job{
		ID: "j", Queue: "short", Steps: []graph.Step{{Count: 1, Size: unit.Size{CPUMilli: 1000}}}, AcceptedAt: g.now, MaxAttempts: 3, Stretch: 2,
	}, nil, 0, g.now)
	slots := &limitedSlots{free: 2}
	for range 2 {
		plan := g.cell.Plan(cfg, slots, g.now)
		c.Assert(plan.AdviceRequests, qt.HasLen, 1)
		g.cell.Advised(plan.AdviceRequests[0], nil, 0, &order.HostBusyError{Host: "host", For: time.Second}, g.now)
	}
	plan := g.cell.Plan(cfg, slots, g.now)
	c.Assert(plan.AdviceRequests, qt.HasLen, 0)
	c.Assert(plan.NextPlanAt.After(g.now) && plan.NextPlanAt.Sub(g.now) <= 100*time.Millisecond, qt.IsTrue, qt.Commentf("%v", plan.NextPlanAt.Sub(g.now)))
}
