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

// answerStops answers the stops that are to be sent.
func (h *harness) answerStops() {
	for _, stop := range h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Stops {
		h.cell.Stopped(stop, time.Minute+h.now.Sub(startTime), nil, h.now)
	}
}

// restart lets a worker run as a new incarnation, without any runs, that is listed.
func (h *harness) restart(id string) {
	h.now = h.now.Add(time.Second)
	w := h.workers[id]
	w.StartedAt = h.now
	h.running[id], h.ends[id] = nil, nil
	h.setWorker(w)
}

// sendAck lets w0 finish a job, and returns the poll that acknowledges its end, which has been sent.
func (h *harness) sendAck() order.Poll {
	h.add(shortJob("first", 1))
	for _, o := range h.plan().Starts {
		h.finish("w0", o.Order.Task, order.EndDone)
	}
	h.advance(time.Second)
	h.cell.Committed(h.cell.Collect(10), 2, h.now)
	poll := h.cell.NextPoll("w0", h.now).Order
	h.c.Assert(poll.Acked, qt.Equals, uint64(1))
	h.cell.PollSent("w0", poll, h.now)
	return poll
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
			h.answerStops()
			h.advance(time.Second)
		}},
		{"confirmed", func(h *harness, o cell.StartOrder) {
			h.running[o.Worker.ID] = []order.Run{{Task: o.Order.Task, Run: o.Order.Run, CPUPercent: 100}}
			h.advance(time.Second)
		}},
		{"silent", func(h *harness, o cell.StartOrder) { h.missPolls(o.Worker.ID, 8*time.Second) }},
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

// A silent worker may have restarted, and its new incarnation may carry out a start that was sent without a ticket, and then run it
// for a lease; its task must not be started elsewhere before that.
func TestUnansweredStartBlocksItsTaskWhileItMayRun(t *testing.T) {
	for _, test := range []struct {
		name string
		// settle is what becomes of the run before its worker falls silent.
		settle func(h *harness, o cell.StartOrder)
	}{
		{"not answered", func(*harness, cell.StartOrder) {}},
		{"stopped", func(h *harness, _ cell.StartOrder) { h.answerStops() }},
		{"repetition answered", func(h *harness, o cell.StartOrder) {
			h.cell.Started(o, cell.StartResult{Sent: h.now, Clock: time.Minute, Unanswered: 1}, h.now)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 2, 4)
			h.add(shortJob("j", 1))
			o := h.unanswered()
			test.settle(h, o)
			h.missPolls(o.Worker.ID, 19*time.Second)
			h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 0)
			h.missPolls(o.Worker.ID, time.Second)
			h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 1)
		})
	}
}

// A worker that has restarted may restart again before it carries out a late start; until then the start's task must not be started
// elsewhere.
func TestUnansweredStartBlocksItsTaskAfterRestart(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.add(shortJob("j", 1))
	o := h.unanswered()
	h.answerStops()
	h.restart(o.Worker.ID)
	for range 11 {
		for _, stop := range h.cell.NextPoll(o.Worker.ID, h.now).ToFence {
			h.cell.RunFenced(h.workers[o.Worker.ID], stop)
		}
		h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 0)
		h.advance(time.Second)
	}
	h.advance(2 * time.Second)
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 1)
}

// A run that is to be fenced and has not ended yet must be handed over once: the next scheduler would never see the end of the other.
func TestRunToFenceIsHandedOverOnce(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.cell.AllRunsKnown()
	h.add(shortJob("j", 1))
	o := h.unanswered()
	h.restart(o.Worker.ID)
	h.cell.Committed(h.cell.Collect(10), 2, h.now)
	handover, err := h.cell.Handover(h.now)
	h.c.Assert(err, qt.IsNil)
	h.c.Assert(handover.Runs, qt.HasLen, 1)
	h.c.Assert(handover.Runs[0].Stop, qt.IsTrue)
}

// An acknowledgement without an answer may be carried out by a new incarnation of its worker, which would drop ends of its own; until
// then it must get no work.
func TestLateAcknowledgementDropsNoEnds(t *testing.T) {
	for _, test := range []struct {
		name     string
		answered bool
		starts   int
	}{
		{"answered", true, 1},
		{"not answered", false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 4)
			poll := h.sendAck()
			if !test.answered {
				h.cell.PollMissed("w0", &order.UnansweredError{Worker: "w0"}, h.now)
			} else {
				report := order.Report{Clock: 2 * time.Minute, StartedAt: h.workers["w0"].StartedAt}
				h.cell.Polled("w0", report, poll.Acked, h.now, h.now)
			}
			h.restart("w0")
			h.pollAll()
			h.add(shortJob("second", 1))
			h.c.Assert(h.plan().Starts, qt.HasLen, test.starts)
			h.advance(13 * time.Second)
			h.plan()
			h.c.Assert(h.running["w0"], qt.HasLen, 1)
		})
	}
}

// A renewal without an answer may be carried out by a new incarnation of its worker, whose leases it renews whatever the old clock said;
// the tasks of a worker that falls silent after its restart must not be started elsewhere before those end.
func TestLateRenewalProlongsLeasesOfNewIncarnation(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.cell.PollSent("w0", order.Poll{LeaseUntil: time.Minute}, h.now)
	h.cell.PollSent("w1", order.Poll{LeaseUntil: time.Minute}, h.now)
	sentAt := h.now
	h.restart("w0")
	h.restart("w1")
	h.pollAll()
	h.add(shortJob("j", 1))
	o := h.plan().Starts[0]
	h.advance(time.Second)
	h.missPolls(o.Worker.ID, 19*time.Second-h.now.Sub(sentAt))
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 0)
	h.missPolls(o.Worker.ID, time.Second)
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 1)
}

// A start that is in flight when its worker's restart is noticed may renew the new incarnation's leases late, like one before.
func TestStartInFlightAtRestartProlongsLeases(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.add(shortJob("first", 1))
	o := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts[0]
	id, sentAt := o.Worker.ID, h.now
	h.cell.StartLease(o, h.now)
	h.restart(id)
	err := &order.UnansweredError{Worker: id}
	h.cell.Started(o, cell.StartResult{Sent: sentAt, Err: err, Unanswered: 1}, h.now)
	for _, stop := range h.cell.NextPoll(id, h.now).ToFence {
		h.cell.RunFenced(h.workers[id], stop)
	}
	h.answerStops()
	h.advance(time.Second)
	for other := range h.workers {
		if other != id {
			h.cell.Unlist(other)
		}
	}
	h.add(shortJob("second", 1))
	h.c.Assert(h.plan().Starts, qt.HasLen, 1)
	h.c.Assert(h.running[id], qt.HasLen, 1)
	h.advance(time.Second)
	for _, w := range h.workers {
		h.cell.SetWorker(w, h.now)
	}
	h.missPolls(id, 14*time.Second-h.now.Sub(sentAt))
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 0)
}

// A worker that leaves the registry and returns under its id may still get a late acknowledgement sent before it left.
func TestLateAcknowledgementAfterWorkerLeftRegistry(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.sendAck()
	h.now = h.now.Add(700 * time.Millisecond)
	h.cell.PollMissed("w0", &order.UnansweredError{Worker: "w0"}, h.now)
	h.missPolls("w0", 4*time.Second)
	h.cell.Unlist("w0")
	h.cell.NextPoll("w0", h.now)
	h.restart("w0")
	h.pollAll()
	h.add(shortJob("second", 1))
	h.c.Assert(h.plan().Starts, qt.HasLen, 0)
}

// A scheduler that keeps a task back for an unanswered start must tell the next one that its worker is unconfirmed until then.
func TestUnconfirmedCoversUnansweredStarts(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.add(shortJob("j", 1))
	o := h.unanswered()
	h.missPolls(o.Worker.ID, 12*time.Second)
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 0)
	h.c.Assert(h.cell.Unconfirmed(h.now)[o.Worker.ID] > time.Second, qt.IsTrue)
}

// A busy worker that refuses a poll has done nothing, so its next incarnation can't be reached by that poll late.
func TestRefusedPollIsNotExpectedLate(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.sendAck()
	h.cell.PollMissed("w0", &order.BusyError{Worker: "w0"}, h.now)
	h.restart("w0")
	h.pollAll()
	h.add(shortJob("second", 1))
	h.c.Assert(h.plan().Starts, qt.HasLen, 1)
}
