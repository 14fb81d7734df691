package cell_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// A start whose answer is lost is sent again. The run may have been reported, and have ended, before the worker rejects the
// second start as stale. Only the worker's list of ends may decide the outcome.
func TestRunThatEndedBeforeItsStartWasAnsweredIsNotRepeated(t *testing.T) {
	for _, test := range []struct {
		name string
		seen bool
	}{
		{"reported running before", true},
		{"never reported", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 2, 4)
			h.add(shortJob("j", 1))
			plan := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now)
			h.c.Assert(plan.Starts, qt.HasLen, 1)
			o := plan.Starts[0]
			run := order.Run{Task: o.Order.Task, Run: o.Order.Run, CPUPercent: 100, Gauge: 1000}
			if test.seen {
				h.running[o.Worker.ID] = []order.Run{run}
				h.advance(400 * time.Millisecond)
			}
			rejected := &order.RejectedError{Worker: o.Worker.ID, Reason: order.RejectStale}
			h.cell.Started(o, cell.StartResult{Sent: h.now, Err: rejected}, h.now)
			h.c.Assert(h.plan().Starts, qt.HasLen, 0)
			h.running[o.Worker.ID] = []order.Run{run}
			h.finish(o.Worker.ID, o.Order.Task, order.EndDone)
			h.advance(100 * time.Millisecond)
			h.c.Assert(h.plan().Starts, qt.HasLen, 0)
			h.c.Assert(h.ends[o.Worker.ID], qt.HasLen, 1)
		})
	}
}

// A worker crashes and restarts under its id unnoticed. The new incarnation has carried out starts that were meant for the
// old one, and an acknowledgement would make it drop their ends.
func TestEndsAreNotAcknowledgedAfterAPossibleRestart(t *testing.T) {
	for _, test := range []struct {
		name  string
		start func(h *harness, o cell.StartOrder)
		acked uint64
	}{
		{"answered by the same incarnation", func(h *harness, o cell.StartOrder) {
			h.cell.Started(o, cell.StartResult{Sent: h.now, Clock: 2 * time.Minute}, h.now)
		}, 1},
		{"answered by a clock that went back", func(h *harness, o cell.StartOrder) {
			h.cell.Started(o, cell.StartResult{Sent: h.now, Clock: 300 * time.Millisecond}, h.now)
		}, 0},
		{"not answered yet", func(*harness, cell.StartOrder) {}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 4)
			h.add(shortJob("first", 1))
			for _, o := range h.plan().Starts {
				h.finish("w0", o.Order.Task, order.EndDone)
			}
			h.advance(time.Second)
			h.cell.Committed(h.cell.Collect(10), 2, h.now)
			h.add(shortJob("second", 1))
			for _, o := range h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts {
				test.start(h, o)
			}
			h.c.Assert(h.cell.NextPoll("w0", h.now).Order.Acked, qt.Equals, test.acked)
		})
	}
}

// A run that its worker reports must not be stopped because no answer to its start has arrived.
func TestReportedRunIsKeptWithoutAnswerToItsStart(t *testing.T) {
	for _, test := range []struct {
		name string
		err  func(worker string) error
	}{
		{"no answer", func(worker string) error { return &order.UnansweredError{Worker: worker} }},
		{"repetition refused by a busy worker", func(worker string) error { return &order.BusyError{Worker: worker} }},
		{"repetition with an expired ticket", func(worker string) error {
			return &order.RejectedError{Worker: worker, Reason: order.RejectTicket}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 2, 4)
			h.add(shortJob("j", 1))
			o := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts[0]
			h.running[o.Worker.ID] = []order.Run{{Task: o.Order.Task, Run: o.Order.Run, CPUPercent: 100, Gauge: 1000}}
			h.advance(time.Second)
			h.cell.Started(o, cell.StartResult{Sent: h.now, Err: test.err(o.Worker.ID), Unanswered: 1}, h.now)
			plan := h.plan()
			h.c.Assert(plan.Stops, qt.HasLen, 0)
			h.c.Assert(plan.Starts, qt.HasLen, 0)
			h.finish(o.Worker.ID, o.Order.Task, order.EndDone)
			h.advance(time.Second)
			h.c.Assert(h.cell.Collect(1).Changes[0].Progress.State, qt.Equals, graph.Completed)
		})
	}
}

// A report lists at most 500 ends; a run whose end is not among them must not count as gone without an end.
func TestRunWhoseEndIsNotListedYetIsNotRepeated(t *testing.T) {
	const maxListedEnds = 500
	h := newHarness(t, 1, maxListedEnds+1)
	h.add(shortJob("j", maxListedEnds+1))
	starts := h.plan().Starts
	h.c.Assert(starts, qt.HasLen, maxListedEnds+1)
	for _, o := range starts {
		h.finish("w0", o.Order.Task, order.EndDone)
	}
	listed := h.ends["w0"][:maxListedEnds]
	h.now = h.now.Add(time.Second)
	h.cell.Polled("w0", order.Report{Clock: 2 * time.Minute, StartedAt: h.workers["w0"].StartedAt, Ended: listed, MoreEnds: true}, 0, h.now, h.now)
	h.c.Assert(len(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now.Add(time.Second)).Starts), qt.Equals, 0)
}

// Ends must be acknowledged even if more jobs progress during each commit than one commit holds.
func TestEndsAreAcknowledgedWhileManyJobsProgress(t *testing.T) {
	const numJobs, maxCommitJobs, rounds = 60, 48, 10
	h := newHarness(t, 1, numJobs*rounds)
	for i := range numJobs {
		h.add(shortJob(fmt.Sprintf("j%d", i), rounds+1))
	}
	h.plan()
	acked := uint64(0)
	for range rounds {
		batch := h.cell.Collect(maxCommitJobs)
		ended := map[string]bool{}
		for _, r := range append([]order.Run(nil), h.running["w0"]...) {
			if !ended[r.Task.Job] {
				ended[r.Task.Job] = true
				h.finish("w0", r.Task, order.EndDone)
			}
		}
		h.advance(time.Second)
		h.cell.Committed(batch, 2, h.now)
		acked = max(acked, h.cell.NextPoll("w0", h.now).Order.Acked)
	}
	h.c.Assert(acked > 0, qt.IsTrue)
}

// A worker whose report lists only some of its ends must not count as reported, however long that takes: the tasks of the others would be run
// again. The next scheduler, too, has to wait for it.
func TestWorkerIsUnreportedUntilAllItsEndsAreListed(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.restart("w0")
	h.cell.ExpectWorkers([]string{"w0"}, func(string) time.Time { return h.now })
	report := order.Report{Clock: time.Second, StartedAt: h.workers["w0"].StartedAt}
	for _, test := range []struct {
		name       string
		more       bool
		unreported int
	}{
		{"some ends", true, 1},
		{"some ends again, after longer than a lease", true, 1},
		{"all ends", false, 0},
		{"more ends than are listed, later", true, 0},
	} {
		h.now = h.now.Add(10 * time.Second)
		h.cell.PollSent("w0", order.Poll{LeaseUntil: time.Minute}, h.now)
		report.Clock += 10 * time.Second
		report.MoreEnds = test.more
		h.cell.Polled("w0", report, 0, h.now, h.now)
		later := h.now.Add(5 * time.Second)
		h.c.Check(h.cell.UnreportedWorkers(later), qt.HasLen, test.unreported, qt.Commentf(test.name))
		h.c.Check(h.cell.Unconfirmed(later)["w0"] > time.Second, qt.Equals, test.unreported > 0, qt.Commentf(test.name))
	}
}
