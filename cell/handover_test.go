package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// The next scheduler must not start a task again before the lease ends that a late renewal, sent to an earlier incarnation of the worker,
// may still prolong.
func TestHandoverCoversLateRenewals(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.cell.PollSent("w0", order.Poll{LeaseUntil: time.Minute}, h.now)
	h.cell.PollSent("w1", order.Poll{LeaseUntil: time.Minute}, h.now)
	sentAt := h.now
	h.restart("w0")
	h.restart("w1")
	h.pollAll()
	doc := shortJob("j", 1)
	h.add(doc)
	o := h.plan().Starts[0]
	h.advance(time.Second)
	h.cell.AllRunsKnown()
	handover, err := h.cell.Handover(h.now)
	h.c.Assert(err, qt.IsNil)

	h.cell = newCell("", 2)
	h.cell.Recorded([]string{"w0", "w1"})
	h.cell.Add(doc, &graph.Progress{State: graph.Running, Queue: doc.Queue}, 1, h.now)
	h.cell.TakeOver(handover, h.now)
	for _, w := range h.workers {
		h.cell.SetWorker(w, h.now)
	}
	for id, w := range h.workers {
		if id != o.Worker.ID {
			h.cell.Polled(id, order.Report{Clock: time.Minute, StartedAt: w.StartedAt}, 0, h.now, h.now)
		}
	}
	h.missPolls(o.Worker.ID, 19*time.Second-h.now.Sub(sentAt))
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 0)
	h.missPolls(o.Worker.ID, time.Second)
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 1)
}

// A worker that an earlier scheduler used and whose present report is not known may run tasks of this one; the next one must be told so, as
// it would start them elsewhere at once.
func TestUnconfirmedCoversRunsOnWorkerListedAnew(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.cell.ExpectWorkers([]string{"w0"}, func(string) time.Time { return h.now.Add(time.Second) })
	h.cell.AllRunsKnown()
	h.advance(2 * time.Second)
	h.add(shortJob("j", 1))
	h.c.Assert(h.plan().Starts, qt.HasLen, 1)
	stale := h.workers["w0"]
	stale.StartedAt = stale.StartedAt.Add(-time.Hour)
	h.cell.SetWorker(stale, h.now)
	h.c.Assert(h.cell.Unconfirmed(h.now)["w0"] > 6*time.Second, qt.IsTrue)
}
