package cell_test

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// A start that waited before it was sent renews its worker's lease when it is sent; until that lease ends, its task must not be
// started elsewhere.
func TestLeaseCountsFromTheSendingOfDelayedStart(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.add(shortJob("j", 1))
	o := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts[0]
	h.now = h.now.Add(5 * time.Second)
	h.cell.StartLease(o, h.now)
	sentAt := h.now
	unanswered := &order.UnansweredError{Worker: o.Worker.ID}
	for h.now.Sub(sentAt) < 6*time.Second {
		h.cell.PollMissed(o.Worker.ID, unanswered, h.now)
		h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 0)
		h.now = h.now.Add(250 * time.Millisecond)
	}
	h.now = sentAt.Add(20 * time.Second)
	h.cell.PollMissed(o.Worker.ID, unanswered, h.now)
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 1)
}

// A start that is still to be sent when its run is counted as lost must not be sent, since its task may be placed elsewhere.
func TestStartOfLostRunIsNotSent(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.add(shortJob("j", 1))
	o := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts[0]
	h.c.Assert(h.cell.Abandoned(o), qt.IsFalse)
	h.cell.Replaced(o.Worker, h.now)
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 1)
	h.c.Assert(h.cell.Abandoned(o), qt.IsTrue)
}

// A worker that died with a run of an unknown job must be forgotten, and must not keep this scheduler from handing over its runs.
func TestDeadWorkerWithUnknownRunIsForgotten(t *testing.T) {
	for _, test := range []struct {
		name string
		die  func(h *harness)
	}{
		{"silent", func(h *harness) { h.missPolls("w0", 10*time.Minute) }},
		{"another worker has its address", func(h *harness) {
			h.cell.Replaced(h.workers["w0"], h.now)
			h.now = h.now.Add(10 * time.Minute)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 4)
			h.cell.AllRunsKnown()
			h.running["w0"] = []order.Run{{Task: graph.TaskID{StepID: graph.StepID{Job: "unknown"}}, Run: 1}}
			h.pollAll()
			h.cell.Unlist("w0")
			test.die(h)
			h.c.Check(h.cell.NextPoll("w0", h.now).Gone, qt.IsTrue)
			_, err := h.cell.Handover(h.now)
			h.c.Check(err, qt.IsNil)
		})
	}
}

// A worker that has moved answers at its new address while the answer of another one at the old address is still on its way; that answer
// must not end the runs of its new incarnation, which would run twice.
func TestAnswerFromFormerAddressEndsNoRuns(t *testing.T) {
	h := newHarness(t, 2, 4)
	former := h.workers["w0"]
	moved := former
	moved.Address, moved.StartedAt = netip.MustParseAddrPort("10.0.0.2:80"), h.now
	h.setWorker(moved)
	h.advance(time.Second)
	h.add(shortJob("j", 1))
	starts := h.plan().Starts
	h.c.Assert(starts, qt.HasLen, 1)
	h.c.Assert(starts[0].Worker.ID, qt.Equals, "w0")
	h.cell.Replaced(former, h.now)
	h.c.Assert(h.plan().Starts, qt.HasLen, 0)
	h.cell.Replaced(moved, h.now)
	h.c.Assert(h.plan().Starts, qt.HasLen, 1)
}

// A start whose lease counts from an earlier time than that of a poll which was sent meanwhile must not make the worker's lease count from
// then: its tasks would be started elsewhere too early.
func TestStartDoesNotShortenLeaseOfLaterPoll(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.add(shortJob("running", 1))
	h.c.Assert(h.plan().Starts, qt.HasLen, 1)
	h.add(shortJob("second", 1))
	o := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts[0]
	decidedAt := h.now
	h.now = h.now.Add(4 * time.Second)
	polledAt := h.now
	h.cell.PollSent(o.Worker.ID, order.Poll{LeaseUntil: time.Minute}, h.now)
	h.cell.StartLease(o, decidedAt)
	for h.now.Sub(polledAt) < 6*time.Second {
		h.cell.PollMissed(o.Worker.ID, &order.UnansweredError{Worker: o.Worker.ID}, h.now)
		h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 0)
		h.now = h.now.Add(250 * time.Millisecond)
	}
}
