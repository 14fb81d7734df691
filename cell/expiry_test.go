package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
)

// leaseOfSilentWorker is how long after the last renewal the runs on a silent worker have ended for sure.
const leaseOfSilentWorker = 6350 * time.Millisecond

// fallSilent makes a worker leave the poll that is sent now, and the one after it, unanswered.
func (h *harness) fallSilent(id string) (renewedAt time.Time) {
	renewedAt = h.now
	h.cell.PollSent(id, order.Poll{LeaseUntil: time.Minute}, h.now)
	for _, missedAfter := range []time.Duration{1700 * time.Millisecond, 2650 * time.Millisecond} {
		h.now = renewedAt.Add(missedAfter)
		h.cell.PollMissed(id, &order.UnansweredError{Worker: id}, h.now)
	}
	return renewedAt
}

// Guards against tasks that wait for the next poll of a silent worker although its lease has expired.
func TestRunsOnSilentWorkerEndWithItsLease(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.add(shortJob("j", 1))
	o := h.plan().Starts[0]
	renewedAt := h.fallSilent(o.Worker.ID)
	h.now = renewedAt.Add(leaseOfSilentWorker - time.Millisecond)
	plan := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now)
	h.c.Assert(plan.Starts, qt.HasLen, 0)
	h.c.Assert(plan.NextPlanAt, qt.Equals, renewedAt.Add(leaseOfSilentWorker))
	h.now = plan.NextPlanAt
	h.c.Assert(h.cell.Plan(h.cfg, unlimitedSlots{}, h.now).Starts, qt.HasLen, 1)
}

// Guards against lasting tasks that wait for the advisor only when the lease of their silent worker has expired.
func TestAdviceIsRequestedBeforeSilentWorkerLosesItsRuns(t *testing.T) {
	h := newHarness(t, 3, 4)
	advice := queues.Advice{Base: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, Validity: 2 * time.Second}
	h.cfg.Queues[1].Advice = &advice
	doc := longJob(1)
	doc.Steps[0].LongRunning = true
	h.add(doc)
	h.answer(h.plan(), advice)
	starts := h.plan().Starts
	h.c.Assert(starts, qt.HasLen, 1)
	renewedAt := h.fallSilent(starts[0].Worker.ID)
	plan := h.plan()
	h.c.Assert(plan.AdviceRequests, qt.HasLen, 0)
	h.c.Assert(plan.NextPlanAt.Before(renewedAt.Add(leaseOfSilentWorker-time.Second)), qt.IsTrue)
	h.now = plan.NextPlanAt
	plan = h.plan()
	h.c.Assert(plan.AdviceRequests, qt.HasLen, 1)
	h.answer(plan, advice)
	plan = h.plan()
	h.c.Assert(plan.AdviceRequests, qt.HasLen, 0)
	h.c.Assert(plan.Starts, qt.HasLen, 0)
	h.now = renewedAt.Add(leaseOfSilentWorker)
	h.c.Assert(h.plan().Starts, qt.HasLen, 1)
}

// answer lets the advisor allow every worker that a plan asks about, after the time that it takes.
func (h *harness) answer(plan cell.Plan, advice queues.Advice) {
	for _, request := range plan.AdviceRequests {
		h.now = h.now.Add(request.Cost)
		permits := make([]order.Permit, len(request.Workers))
		for i, w := range request.Workers {
			permits[i] = order.Permit{Worker: w, Ticket: "t"}
		}
		h.cell.Advised(request, permits, advice.Validity, nil, h.now)
	}
}
