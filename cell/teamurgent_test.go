package cell_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/quota"
	"github.com/corianderdrift/corianderdrift/unit"
)

// newCappedHarness returns a harness with room for 64 tasks of one core, of which the team a may run 20.
func newCappedHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 4, 16)
	h.cfg.Teams = []queues.Team{{Name: "a", Weight: 100, Cap: unit.Size{CPUMilli: 20_000}}}
	h.cell.SetTeams(h.cfg)
	h.cell.SetTeamShares([]cell.TeamShare{{Team: "a", Share: quota.Amount{20_000}}})
	return h
}

// urgentJob returns a latency-sensitive job of short tasks of one core.
func urgentJob(id string, count int) *graph.Job {
	return &graph.Job{ID: id, Queue: "short", Team: "a", Steps: []graph.Step{{
		Count: count, Size: unit.Size{CPUMilli: 1000}, Estimate: 300 * time.Millisecond, MaxUnavailable: -1,
	}}}
}

// finishJob ends all runs of a job.
func (h *harness) finishJob(job string) {
	for id, runs := range h.running {
		for _, r := range append([]order.Run(nil), runs...) {
			if r.Task.Job == job {
				h.finish(id, r.Task, order.EndDone)
			}
		}
	}
}

// Load: a team sends quick jobs again and again, and beside them a batch that is wider than the rest of its cap. Guards against a batch that fills
// the cap, so that the quick jobs wait for as long as its tasks run.
func TestBatchLeavesHeadroomInCapOfItsTeam(t *testing.T) {
	h := newCappedHarness(t)
	h.add(urgentJob("urgent-1", 6))
	h.c.Assert(h.plan().Starts, qt.HasLen, 6)
	h.finishJob("urgent-1")
	h.advance(300 * time.Millisecond)
	h.add(teamJob("a", "batch", 2, 20))
	started := len(h.plan().Starts)
	h.c.Assert(started >= 12 && started <= 15, qt.IsTrue, qt.Commentf("%d tasks of the batch", started))
	h.add(urgentJob("urgent-2", 6))
	h.c.Assert(startedJobs(h.plan()), qt.DeepEquals, []string{"urgent-2", "urgent-2", "urgent-2", "urgent-2", "urgent-2", "urgent-2"})
}

// Load: a batch has filled its team's cap before a quick job comes. Guards against a quick job that waits for the batch's tasks, though there is room on
// the workers.
func TestUrgentWorkPreemptsBatchOfItsTeamWithinCap(t *testing.T) {
	h := newCappedHarness(t)
	h.add(teamJob("a", "batch", 2, 20))
	h.c.Assert(h.plan().Starts, qt.HasLen, 20)
	h.advance(time.Second)
	h.add(urgentJob("urgent", 6))
	plan := h.plan()
	h.c.Assert(plan.Starts, qt.HasLen, 0)
	h.c.Assert(plan.Stops, qt.HasLen, 6)
	for _, stop := range plan.Stops {
		h.finish(stop.Worker.ID, stop.Order.Task, order.EndStopped)
	}
	h.advance(100 * time.Millisecond)
	h.c.Assert(startedJobs(h.plan()), qt.DeepEquals, []string{"urgent", "urgent", "urgent", "urgent", "urgent", "urgent"})
}

// A team that uses less than half of its cap is never held back, whatever its quick jobs have used before.
func TestHeadroomOfTeamDoesNotHoldBackHalfOfItsCap(t *testing.T) {
	h := newCappedHarness(t)
	h.add(urgentJob("urgent-1", 20))
	h.c.Assert(h.plan().Starts, qt.HasLen, 20)
	h.finishJob("urgent-1")
	h.advance(300 * time.Millisecond)
	h.add(teamJob("a", "batch", 2, 20))
	h.c.Assert(len(h.plan().Starts) >= 10, qt.IsTrue)
}

// Load: a team sends quick jobs again and again, and beside them one batch task that needs most of its cap. Guards against a task that never starts, as
// the headroom for the quick jobs and the task together are larger than the cap.
func TestHeadroomOfTeamDoesNotHoldBackLargeTask(t *testing.T) {
	for _, cores := range []int64{14, 16} {
		h := newCappedHarness(t)
		batch := teamJob("a", "batch", 2, 1)
		batch.Steps[0].Size = unit.Size{CPUMilli: cores * 1000}
		h.add(urgentJob("urgent", 8))
		h.c.Assert(h.plan().Starts, qt.HasLen, 8)
		h.finishJob("urgent")
		h.add(batch)
		started := 0
		for range 30 {
			h.advance(100 * time.Millisecond)
			started += len(h.plan().Starts)
		}
		h.c.Check(started, qt.Equals, 1, qt.Commentf("task of %d cores", cores))
	}
}

// Guards against a group whose batches start nothing, since the headroom for its quick jobs is as large as its share of the cap.
func TestHeadroomOfTeamLeavesHalfOfShare(t *testing.T) {
	h := newCappedHarness(t)
	h.cell.SetTeamShares([]cell.TeamShare{{Team: "a", Share: quota.Amount{8000}, Others: quota.Amount{12_000}}})
	h.add(urgentJob("urgent", 8))
	h.c.Assert(h.plan().Starts, qt.HasLen, 8)
	h.finishJob("urgent")
	h.advance(300 * time.Millisecond)
	h.add(teamJob("a", "batch", 2, 20))
	started := len(h.plan().Starts)
	h.c.Check(started >= 4 && started <= 6, qt.IsTrue, qt.Commentf("%d tasks of the batch", started))
}

// countStops returns how many runs are stopped within 3 s, each of which ends at once.
func countStops(h *harness) int {
	stops := 0
	for range 30 {
		for _, stop := range h.plan().Stops {
			stops++
			h.finish(stop.Worker.ID, stop.Order.Task, order.EndStopped)
		}
		h.advance(100 * time.Millisecond)
	}
	return stops
}

// Guards against runs of a team that are preempted again and again for a quick job which can't be placed anyway, so that they make no progress.
func TestUrgentWorkWithoutWorkerPreemptsNothingOfItsTeam(t *testing.T) {
	h := newCappedHarness(t)
	h.add(teamJob("a", "batch", 2, 20))
	h.c.Assert(h.plan().Starts, qt.HasLen, 20)
	h.advance(time.Second)
	urgent := urgentJob("urgent", 6)
	urgent.Steps[0].Label = "nowhere"
	h.add(urgent)
	h.c.Check(countStops(h), qt.Equals, 0)
}

// Guards against runs of a team that are preempted again and again for a quick job that is late: other work of the team that can be in time comes
// before it and takes the room.
func TestLateUrgentWorkPreemptsNothingThatIsInTime(t *testing.T) {
	h := newCappedHarness(t)
	h.add(teamJob("a", "batch", 2, 40))
	h.c.Assert(h.plan().Starts, qt.HasLen, 20)
	h.advance(time.Second)
	urgent := urgentJob("urgent", 6)
	urgent.AcceptedAt = h.now.Add(-20 * time.Second)
	h.add(urgent)
	h.c.Check(countStops(h), qt.Equals, 0)
}

// Guards against a quick job that waits for as long as the tasks of its team run, since another one, for which there is no worker, is tried each time.
func TestUrgentWorkWithoutWorkerDoesNotKeepOtherFromPreempting(t *testing.T) {
	h := newCappedHarness(t)
	h.add(teamJob("a", "batch", 2, 20))
	h.c.Assert(h.plan().Starts, qt.HasLen, 20)
	h.advance(time.Second)
	for _, label := range []string{"nowhere", "nowhere", "nowhere", ""} {
		urgent := urgentJob(fmt.Sprintf("urgent-%s-%d", label, h.now.UnixMilli()), 6)
		urgent.Steps[0].Label = label
		h.add(urgent)
		h.plan()
		h.advance(20 * time.Millisecond)
	}
	stops := 0
	for range 50 {
		stops += len(h.plan().Stops)
		h.advance(10 * time.Millisecond)
	}
	h.c.Check(stops, qt.Equals, 6)
}

// Guards against a quick job that the cap holds back without another plan, if the runs of its team are too young to be preempted when it comes.
func TestUrgentWorkIsPlannedAgainWhenRunsMayBePreempted(t *testing.T) {
	h := newCappedHarness(t)
	h.add(teamJob("a", "batch", 2, 20))
	h.c.Assert(h.plan().Starts, qt.HasLen, 20)
	h.advance(100 * time.Millisecond)
	h.add(urgentJob("urgent", 6))
	stops := 0
	for range 20 {
		plan := h.plan()
		if stops += len(plan.Stops); stops > 0 {
			break
		}
		h.c.Assert(plan.NextPlanAt.IsZero(), qt.IsFalse)
		h.advance(plan.NextPlanAt.Sub(h.now))
	}
	h.c.Check(stops, qt.Equals, 6)
}

// Guards against a quick job that can be in time and waits, since quick jobs of its team that are late already are tried before it.
func TestUrgentWorkInTimePreemptsBeforeLateWork(t *testing.T) {
	h := newCappedHarness(t)
	h.add(teamJob("a", "batch", 2, 20))
	h.c.Assert(h.plan().Starts, qt.HasLen, 20)
	h.advance(time.Second)
	for i := range 20 {
		late := urgentJob(fmt.Sprintf("late-%d", i), 6)
		late.AcceptedAt = h.now.Add(-20 * time.Second)
		h.add(late)
	}
	h.add(urgentJob("urgent", 6))
	h.c.Check(h.plan().Stops, qt.HasLen, 6)
}

// Guards against a batch that is held back below half of its team's cap, since both the headroom for quick jobs and the room for a gang are subtracted.
func TestWaitingGangAndHeadroomLeaveHalfOfCap(t *testing.T) {
	h := newCappedHarness(t)
	h.cell.SetTeamShares([]cell.TeamShare{{Team: "a", Share: quota.Amount{15_000}, Others: quota.Amount{5000}}})
	h.add(urgentJob("urgent", 8))
	h.c.Assert(h.plan().Starts, qt.HasLen, 8)
	h.finishJob("urgent")
	h.advance(300 * time.Millisecond)
	lasting := teamJob("a", "lasting", 1, 6)
	lasting.Steps[0].LongRunning = true
	h.add(lasting)
	h.c.Assert(h.plan().Starts, qt.HasLen, 6)
	gang := teamJob("a", "gang", 1, 3)
	gang.Steps[0].Gang, gang.Steps[0].Size = true, unit.Size{CPUMilli: 5000}
	h.add(gang)
	h.add(teamJob("a", "batch", 2, 20))
	h.c.Check(startedJobs(h.plan()), qt.DeepEquals, []string{"batch", "batch", "batch"})
}
