package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/order"
)

// A worker in the stored record of unrenewed workers must get no order that renews its leases until another record is stored: the next
// scheduler would start its tasks elsewhere while they run.
func TestUnrenewedWorkerGetsNoRenewals(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.add(shortJob("j", 2))
	starts := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts
	h.c.Assert(starts, qt.HasLen, 2)
	h.cell.Started(starts[0], cell.StartResult{Sent: h.now, Clock: time.Minute}, h.now)
	h.cell.PollSent("w0", order.Poll{LeaseUntil: time.Minute}, h.now)
	sentAt := h.now
	h.now = h.now.Add(1700 * time.Millisecond)
	h.cell.PollMissed("w0", &order.UnansweredError{Worker: "w0"}, h.now)

	remaining, changed := h.cell.WithholdRenewals(h.now)
	h.c.Assert(changed, qt.IsTrue)
	h.c.Assert(remaining, qt.HasLen, 1)
	h.c.Assert(remaining["w0"] >= sentAt.Add(leaseOfSilentWorker).Sub(h.now), qt.IsTrue)
	_, ok := h.cell.StartLease(starts[1], h.now)
	h.c.Assert(ok, qt.IsFalse)

	// It answers again: no commit has told the next scheduler yet.
	report := order.Report{
		Clock: time.Minute + h.now.Sub(startTime), StartedAt: h.workers["w0"].StartedAt,
		Running: []order.Run{{Task: starts[0].Order.Task, Run: starts[0].Order.Run, CPUPercent: 100}},
	}
	h.cell.Polled("w0", report, 0, h.now, h.now)
	h.c.Assert(h.cell.NextPoll("w0", h.now).Order.LeaseUntil, qt.Equals, time.Duration(0))
	h.add(shortJob("k", 1))
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 0)
	remaining, changed = h.cell.WithholdRenewals(h.now)
	h.c.Assert(remaining, qt.HasLen, 0)
	h.c.Assert(changed, qt.IsTrue)
	h.c.Assert(h.cell.NextPoll("w0", h.now).Order.LeaseUntil, qt.Equals, time.Duration(0))

	h.cell.SetUnrenewed(nil)
	h.c.Assert(h.cell.NextPoll("w0", h.now).Order.LeaseUntil > 0, qt.IsTrue)
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 1)
}

// Guards against take-overs that wait for workers of which the last scheduler knew that they are gone, or that they refuse connections, and that were
// still in the durable record.
func TestGoneWorkersAreToldToTheNextScheduler(t *testing.T) {
	for _, test := range []struct {
		name string
		// leave makes w0 leave; its last lease may last for the given time then.
		leave func(h *harness) (lease time.Duration)
	}{
		{"left the registry", func(h *harness) time.Duration {
			h.cell.Unlist("w0")
			h.c.Assert(h.cell.NextPoll("w0", h.now).Gone, qt.IsTrue)
			return 0
		}},
		{"refuses connections", func(h *harness) time.Duration {
			h.cell.PollSent("w0", order.Poll{LeaseUntil: time.Minute}, h.now)
			h.cell.PollMissed("w0", &order.UnansweredError{Worker: "w0"}, h.now)
			h.cell.PollMissed("w0", &order.NotSentError{Worker: "w0"}, h.now)
			return leaseOfSilentWorker
		}},
		{"has not been reached by this scheduler", func(h *harness) time.Duration {
			h.restart("w0")
			h.cell.ExpectWorkers([]string{"w0", "w1"}, func(string) time.Time { return h.now.Add(2 * time.Second) })
			for range 2 {
				h.cell.PollMissed("w0", &order.NotSentError{Worker: "w0"}, h.now)
			}
			return 2 * time.Second
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 2, 4)
			lease := test.leave(h)
			remaining, _ := h.cell.WithholdRenewals(h.now)
			h.c.Check(remaining, qt.DeepEquals, map[string]time.Duration{"w0": lease})
			told, ok := h.cell.Unconfirmed(h.now)["w0"]
			h.c.Check(ok, qt.IsTrue)
			h.c.Check(told, qt.Equals, lease)
		})
	}
}

// A worker whose ends are not durable must not be told as idle: the next scheduler would start its finished tasks again before it hears of them.
func TestWorkerWithEndsThatAreNotDurableIsNotIdle(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.add(shortJob("j", 1))
	o := h.plan().Starts[0]
	h.c.Assert(h.cell.IdleWorkers(h.now), qt.HasLen, 0)
	h.finish("w0", o.Order.Task, order.EndDone)
	h.advance(time.Second)
	h.c.Assert(h.cell.IdleWorkers(h.now), qt.HasLen, 0)
	h.cell.Committed(h.cell.Collect(10), 2, h.now)
	h.c.Assert(h.cell.IdleWorkers(h.now), qt.DeepEquals, []string{"w0"})
}

// What an earlier scheduler knew of a silent worker must stay in the record until the worker has been heard of.
func TestUnheardWorkerStaysInRecord(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.restart("w0")
	h.cell.SetUnrenewed([]string{"w0"})
	h.cell.ExpectWorkers([]string{"w0"}, func(string) time.Time { return h.now.Add(2 * time.Second) })
	remaining, changed := h.cell.WithholdRenewals(h.now)
	h.c.Assert(remaining, qt.DeepEquals, map[string]time.Duration{"w0": 2 * time.Second})
	h.c.Assert(changed, qt.IsFalse)
	h.pollAll()
	remaining, changed = h.cell.WithholdRenewals(h.now)
	h.c.Assert(remaining, qt.HasLen, 0)
	h.c.Assert(changed, qt.IsTrue)
}
