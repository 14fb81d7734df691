package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
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
			h.pollAll()
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

// The time of day of a worker may have been set back before it restarts; the reports of its new incarnation must not be passed over as
// old ones.
func TestRestartWithEarlierStartTimeIsSeen(t *testing.T) {
	for _, test := range []struct {
		name string
		// list applies the new incarnation's entry, before its first report or not at all.
		list func(h *harness, restarted order.Worker)
	}{
		{"reported by the worker", func(*harness, order.Worker) {}},
		{"listed first", func(h *harness, restarted order.Worker) { h.cell.SetWorker(restarted, h.now) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 4)
			h.add(shortJob("j", 1))
			h.c.Assert(h.plan().Starts, qt.HasLen, 1)
			h.advance(time.Second)
			restarted := h.workers["w0"]
			restarted.StartedAt = restarted.StartedAt.Add(-time.Hour)
			h.workers["w0"], h.running["w0"] = restarted, nil
			test.list(h, restarted)
			h.advance(time.Second)
			h.advance(time.Second)
			h.setWorker(restarted)
			h.c.Assert(h.plan().Starts, qt.HasLen, 1)
		})
	}
}

// An entry with a wrong start time under a worker's id must not keep the worker's own reports from being processed.
func TestWrongStartTimeInEntryDoesNotHideReports(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.add(shortJob("j", 1))
	o := h.plan().Starts[0]
	h.advance(time.Second)
	wrong := h.workers["w0"]
	wrong.StartedAt = h.now.Add(time.Hour)
	h.cell.SetWorker(wrong, h.now)
	h.advance(time.Second)
	h.finish("w0", o.Order.Task, order.EndDone)
	h.advance(time.Second)
	h.c.Assert(h.cell.Collect(1).Changes[0].Progress.State, qt.Equals, graph.Completed)
	h.c.Assert(h.plan().Starts, qt.HasLen, 0)
}

// A worker that is known to drain, or has left the registry, must not be sent starts that waited or are repeated.
func TestStartIsNotSentToLeavingWorker(t *testing.T) {
	for _, test := range []struct {
		name  string
		leave func(h *harness, w order.Worker)
	}{
		{"draining", func(h *harness, w order.Worker) {
			w.Draining = true
			h.cell.SetWorker(w, h.now)
		}},
		{"unlisted", func(h *harness, w order.Worker) { h.cell.Unlist(w.ID) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 4)
			h.add(shortJob("j", 1))
			o := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts[0]
			h.c.Assert(h.cell.Abandoned(o), qt.IsFalse)
			test.leave(h, h.workers["w0"])
			h.c.Assert(h.cell.Abandoned(o), qt.IsTrue)
		})
	}
}

// An entry that names a later start than the worker's own must not shorten the leases that its orders have renewed.
func TestWrongEntryDoesNotShortenLeases(t *testing.T) {
	h := newHarness(t, 2, 1)
	h.add(shortJob("j", 1))
	o := h.plan().Starts[0]
	id := o.Worker.ID
	for range 20 {
		h.cell.PollSent(id, h.cell.NextPoll(id, h.now).Order, h.now)
		h.advance(time.Second)
	}
	h.cell.PollSent(id, h.cell.NextPoll(id, h.now).Order, h.now)
	h.advance(100 * time.Millisecond)
	wrong := h.workers[id]
	wrong.StartedAt = wrong.StartedAt.Add(30 * time.Second)
	h.cell.SetWorker(wrong, h.now)
	h.missPolls(id, 2*time.Second)
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 0)
}
