package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/order"
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
