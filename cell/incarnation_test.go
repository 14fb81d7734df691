package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/unit"
)

// A new incarnation of a worker may have less capacity and other labels than the registry lists for the old one, so it must get
// no work until the registry lists it.
func TestRestartedWorkerGetsNoWorkUntilListed(t *testing.T) {
	for _, test := range []struct {
		name string
		// list applies the stale entry of the registry after the worker has reported its restart.
		list func(h *harness, stale order.Worker)
	}{
		{"reported by the worker", func(*harness, order.Worker) {}},
		{"stale entry after the report", func(h *harness, stale order.Worker) { h.cell.SetWorker(stale, h.now) }},
		{"stale list after the report", func(h *harness, stale order.Worker) { h.cell.SetWorkers([]order.Worker{stale}, h.now) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 4)
			stale := h.workers["w0"]
			restarted := stale
			restarted.StartedAt = h.now
			restarted.Capacity = unit.Size{CPUMilli: 2000, MemoryMiB: 1 << 20}
			h.workers["w0"] = restarted
			h.advance(time.Second)
			test.list(h, stale)
			h.add(shortJob("j", 4))
			h.c.Assert(h.plan().Starts, qt.HasLen, 0)
			h.cell.SetWorker(restarted, h.now)
			h.c.Assert(h.plan().Starts, qt.HasLen, 2)
		})
	}
}

// A start that is still to be sent when its worker restarts must not reach the new incarnation, which may have less capacity.
func TestStartIsNotSentToLaterIncarnation(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.add(shortJob("j", 2))
	starts := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts
	h.c.Assert(starts, qt.HasLen, 2)
	confirmed, waiting := starts[0], starts[1]
	h.cell.Started(confirmed, cell.StartResult{Sent: h.now, Clock: time.Minute}, h.now)
	h.c.Assert(h.cell.Abandoned(waiting), qt.IsFalse)
	restarted := h.workers["w0"]
	restarted.StartedAt = h.now
	h.setWorker(restarted)
	h.c.Assert(h.cell.Abandoned(waiting), qt.IsTrue)
}
