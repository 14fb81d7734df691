package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
)

// A job whose only start has not begun a run must still be shown as queued and counted as pending.
func TestJobIsPendingUntilTaskStarts(t *testing.T) {
	for _, test := range []struct {
		name    string
		settle  func(h *harness, o cell.StartOrder)
		pending int
		state   graph.State
	}{
		{"not answered yet", func(*harness, cell.StartOrder) {}, 1, graph.Queued},
		{"answered", func(h *harness, o cell.StartOrder) {
			h.cell.Started(o, cell.StartResult{Sent: h.now, Clock: time.Minute}, h.now)
		}, 0, graph.Running},
		{"refused by a busy worker", func(h *harness, o cell.StartOrder) {
			h.cell.Started(o, cell.StartResult{Sent: h.now, Err: &order.BusyError{Worker: o.Worker.ID}}, h.now)
		}, 1, graph.Queued},
		{"reported as active", func(h *harness, o cell.StartOrder) {
			h.running[o.Worker.ID] = []order.Run{{Task: o.Order.Task, Run: o.Order.Run, CPUPercent: 100}}
			h.pollAll()
		}, 0, graph.Running},
		{"reported as ended", func(h *harness, o cell.StartOrder) {
			h.running[o.Worker.ID] = []order.Run{{Task: o.Order.Task, Run: o.Order.Run, CPUPercent: 100}}
			h.finish(o.Worker.ID, o.Order.Task, order.EndFailed)
			h.pollAll()
		}, 0, graph.Running},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 4)
			h.add(shortJob("j", 1))
			o := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts[0]
			test.settle(h, o)
			h.c.Assert(h.cell.Pending("short", queues.Caller{AnyTeam: true}), qt.Equals, test.pending)
			state, known := h.cell.State("j", "short", queues.Caller{AnyTeam: true})
			h.c.Assert(known, qt.IsTrue)
			h.c.Assert(state, qt.Equals, test.state)
		})
	}
}
