package cell_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// maxIdle is how long room that a waiting step needs may stay unused: a third of the time after which the platform counts a job as lost.
const maxIdle = time.Second

// planInterval is the interval between the plans and polls of these tests.
const planInterval = 40 * time.Millisecond

// newLabelledHarness returns a harness of two workers, of which the second one has a label and two cores.
func newLabelledHarness(t *testing.T) *harness {
	t.Helper()
	h := newHarness(t, 1, 4)
	h.setWorker(order.Worker{
		ID: "w1", Capacity: unit.Size{CPUMilli: 2000, MemoryMiB: 1 << 20}, StartedAt: startTime.Add(-time.Minute), Labels: []string{"b"},
	})
	h.cell.Recorded([]string{"w0", "w1"})
	h.pollAll()
	return h
}

// labelledJob returns a job of steps of one task each that need a worker with a label.
func labelledJob(id string, steps int) *graph.Job {
	job := &graph.Job{ID: id, Queue: "long", Priority: 1}
	for range steps {
		job.Steps = append(job.Steps, graph.Step{
			Count: 1, Size: unit.Size{CPUMilli: 1000}, Estimate: time.Second, Label: "b", MaxUnavailable: -1,
		})
	}
	return job
}

// step plans, and ends the runs that are a second old.
func (h *harness) step(startedAt map[graph.TaskID]time.Time) {
	for _, o := range h.plan().Starts {
		startedAt[o.Order.Task] = h.now
	}
	for id, runs := range h.running {
		for _, r := range append([]order.Run(nil), runs...) {
			if h.now.Sub(startedAt[r.Task]) >= time.Second {
				h.finish(id, r.Task, order.EndDone)
			}
		}
	}
	h.advance(planInterval)
}

// Guards against jobs that stand for long after a slow store, though their records are stored: beside a job with many times, or in a backlog.
func TestStepIsTriedOnceItsRecordIsStored(t *testing.T) {
	for _, test := range []struct {
		name string
		add  func(h *harness)
	}{
		{"beside a job with many times", func(h *harness) { h.add(timedJob("t", 30000, startTime.Add(time.Hour), time.Minute)) }},
		{"beside a backlog", func(h *harness) {
			for n := range 10 {
				h.add(labelledJob(fmt.Sprintf("b%d", n), graph.MaxSteps))
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newLabelledHarness(t)
			test.add(h)
			job := shortJob("s", 1)
			job.AcceptedAt, job.MaxAttempts, job.Stretch, job.Objective = startTime, 3, 1.5, 300*time.Millisecond
			h.cell.Add(job, nil, 0, h.now)
			for range 4500 * time.Millisecond / planInterval {
				h.plan()
				h.advance(planInterval)
			}
			h.plan()
			h.commitAll()
			started := false
			for _, o := range h.plan().Starts {
				started = started || o.Order.Task.Job == "s"
			}
			h.c.Assert(started, qt.IsTrue)
		})
	}
}

// Guards against late jobs that stand though a worker may get work by now.
func TestLateStepIsTriedOnceWorkerMayGetWork(t *testing.T) {
	for _, test := range []struct {
		name  string
		added func(h *harness)
		ready func(h *harness)
	}{
		{"worker is recorded", (*harness).pollAll, func(h *harness) { h.cell.Recorded([]string{"w0"}) }},
		{"worker reports for the first time", func(h *harness) { h.cell.Recorded([]string{"w0"}) }, (*harness).pollAll},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 0, 0)
			h.setWorker(order.Worker{
				ID: "w0", Capacity: unit.Size{CPUMilli: 1000, MemoryMiB: 1 << 20}, StartedAt: startTime.Add(-time.Minute),
			})
			test.added(h)
			job := shortJob("s", 1)
			job.AcceptedAt = startTime.Add(-time.Hour)
			h.add(job)
			h.c.Assert(h.plan().Starts, qt.HasLen, 0)
			test.ready(h)
			h.c.Assert(h.plan().Starts, qt.HasLen, 1)
		})
	}
}

// Guards against a backlog that leaves its own room unused, and against short jobs that wait for room on other workers behind it.
func TestBacklogUsesRoomAsItBecomesFree(t *testing.T) {
	const length = 8 * time.Second
	h := newLabelledHarness(t)
	for n := range 40 {
		h.add(labelledJob(fmt.Sprintf("b%02d", n), 250))
	}
	h.advance(10 * time.Second)
	startedAt := map[graph.TaskID]time.Time{}
	full := h.now
	for n := 0; h.now.Sub(startTime) < 10*time.Second+length; n++ {
		if n%50 == 0 {
			// It is late as soon as it is known.
			job := shortJob(fmt.Sprintf("s%d", n), 1)
			job.AcceptedAt = h.now.Add(-5 * time.Second)
			h.add(job)
		}
		h.step(startedAt)
		if len(h.running["w1"]) == 2 {
			full = h.now
		}
		h.c.Assert(h.now.Sub(full) < maxIdle, qt.IsTrue, qt.Commentf("at %v", h.now.Sub(startTime)))
		h.c.Assert(h.cell.Pending("short", queues.Caller{AnyTeam: true}) <= 1, qt.IsTrue)
	}
}

// Guards against steps that wait for ever behind a hundred others of their queue that the advisor allows on no free worker.
func TestLateStepsOfAdvisedQueueAreTriedInTurn(t *testing.T) {
	const jobs = 500
	h := newHarness(t, 2, 4)
	h.cfg = &queues.Config{Version: 1, Queues: []queues.Queue{{Name: "short", Advice: &queues.Advice{Base: 10 * time.Millisecond}}}}
	for n := range jobs {
		h.add(shortJob(fmt.Sprintf("s%03d", n), 1))
	}
	h.now = h.now.Add(time.Minute)
	h.pollAll()
	last := fmt.Sprintf("s%03d", jobs-1)
	allowed := false
	for h.now.Sub(startTime) < time.Minute+maxIdle {
		plan := h.plan()
		for _, o := range plan.Starts {
			h.c.Assert(o.Order.Task.Job, qt.Equals, last)
			allowed = true
		}
		for _, a := range plan.AdviceRequests {
			var permits []order.Permit
			if a.Step.Job == last {
				permits = append(permits, order.Permit{Worker: a.Workers[0], Ticket: "t"})
			}
			h.cell.Advised(a, permits, 2*time.Second, nil, h.now)
		}
		h.advance(planInterval)
	}
	h.c.Assert(allowed, qt.IsTrue)
}

// Guards against steps of many different sizes that wait for ever behind a hundred others that find no room.
func TestLateStepsOfManyNeedsAreTriedInTurn(t *testing.T) {
	const jobs = 500
	h := newHarness(t, 1, 4)
	h.add(longJob(3))
	h.c.Assert(h.plan().Starts, qt.HasLen, 3)
	h.advance(time.Second)
	for n := range jobs {
		job := shortJob(fmt.Sprintf("s%03d", n), 1)
		job.Queue, job.Priority = "long", 2
		job.Steps[0].Size.CPUMilli = 1000 + int64(jobs-n-1)
		job.AcceptedAt = startTime.Add(-time.Hour)
		h.add(job)
	}
	var started []string
	for end := h.now.Add(maxIdle); h.now.Before(end); h.advance(planInterval) {
		for _, o := range h.plan().Starts {
			started = append(started, o.Order.Task.Job)
		}
	}
	h.c.Assert(started, qt.DeepEquals, []string{fmt.Sprintf("s%03d", jobs-1)})
}
