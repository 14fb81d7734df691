package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/order"
)

// unanswered lets the only start of a job get no answer, and returns it.
func (h *harness) unanswered() cell.StartOrder {
	h.c.Helper()
	starts := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts
	h.c.Assert(starts, qt.HasLen, 1)
	err := &order.UnansweredError{Worker: starts[0].Worker.ID}
	h.cell.Started(starts[0], cell.StartResult{Sent: h.now, Err: err, Unanswered: 3}, h.now)
	return starts[0]
}

// restart lets a worker run as a new incarnation, without any runs, that is listed.
func (h *harness) restart(id string) {
	h.now = h.now.Add(time.Second)
	w := h.workers[id]
	w.StartedAt = h.now
	h.running[id], h.ends[id] = nil, nil
	h.setWorker(w)
}

// missPolls lets a worker be silent for d.
func (h *harness) missPolls(id string, d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(250 * time.Millisecond) {
		h.cell.NextPoll(id, h.now)
		h.cell.PollMissed(id, &order.UnansweredError{Worker: id}, h.now)
	}
}

// The start of a run that was given up may be carried out by a new incarnation of its worker, which must be told to refuse it until
// it has answered.
func TestNewIncarnationIsFencedAgainstLateStarts(t *testing.T) {
	for _, test := range []struct {
		name string
		// settle is what becomes of the run before its worker restarts.
		settle func(h *harness, o cell.StartOrder)
	}{
		{"not answered", func(*harness, cell.StartOrder) {}},
		{"stopped", func(h *harness, _ cell.StartOrder) {
			for _, stop := range h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Stops {
				h.cell.Stopped(stop, time.Minute+h.now.Sub(startTime), nil, h.now)
			}
			h.advance(time.Second)
		}},
		{"confirmed", func(h *harness, o cell.StartOrder) {
			h.running[o.Worker.ID] = []order.Run{{Task: o.Order.Task, Run: o.Order.Run, CPUPercent: 100}}
			h.advance(time.Second)
		}},
		{"lost", func(h *harness, o cell.StartOrder) { h.missPolls(o.Worker.ID, 8*time.Second) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 4)
			h.add(shortJob("j", 1))
			o := h.unanswered()
			test.settle(h, o)
			for range 2 {
				h.restart("w0")
				want := []order.Stop{{Task: o.Order.Task, Run: o.Order.Run, Token: 1}}
				h.c.Assert(h.cell.NextPoll("w0", h.now).ToFence, qt.DeepEquals, want)
				h.pollAll()
				h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 0)
				next := h.cell.NextPoll("w0", h.now)
				h.c.Assert(next.ToFence, qt.DeepEquals, want)
				h.cell.RunFenced(next.Worker, next.ToFence[0])
				h.c.Assert(h.cell.NextPoll("w0", h.now).ToFence, qt.HasLen, 0)
			}
		})
	}
}

// A silent worker may have restarted, and its new incarnation may carry out a start that was sent without a ticket after its lease
// has ended.
func TestUnansweredStartBlocksItsTaskWhileItMayArrive(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.add(shortJob("j", 1))
	o := h.unanswered()
	h.missPolls(o.Worker.ID, 12*time.Second)
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 0)
	h.missPolls(o.Worker.ID, 2*time.Second)
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 1)
}

// A run that is to be fenced and has not ended yet must be handed over once: the next scheduler would never see the end of the other.
func TestRunToFenceIsHandedOverOnce(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.cell.HoldRestored(time.Time{})
	h.add(shortJob("j", 1))
	o := h.unanswered()
	h.restart(o.Worker.ID)
	h.cell.Committed(h.cell.Collect(10), 2, h.now)
	handover, err := h.cell.Handover(h.now)
	h.c.Assert(err, qt.IsNil)
	h.c.Assert(handover.Runs, qt.HasLen, 1)
	h.c.Assert(handover.Runs[0].Stop, qt.IsTrue)
}
