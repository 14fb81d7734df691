package cell_test

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

var startTime = time.Unix(1_000_000, 0)

// unlimitedSlots allows every call to the advisor.
type unlimitedSlots struct{}

// HasSlot implements cell.AdvisorSlots.
func (unlimitedSlots) HasSlot(time.Duration) bool { return true }

// Reserve implements cell.AdvisorSlots.
func (unlimitedSlots) Reserve(time.Duration) (string, bool) { return "here", true }

// harness drives a group step by step with a controlled time.
type harness struct {
	c    *qt.C
	cell *cell.Cell
	cfg  *queues.Config
	now  time.Time
	// running holds the runs that each worker reports, and ends the ends that it lists.
	running map[string][]order.Run
	ends    map[string][]order.End
	workers map[string]order.Worker
}

func newHarness(t *testing.T, workers int, cores int64) *harness {
	t.Helper()
	return newHarnessAt(t, workers, cores, "")
}

// newHarnessAt returns a harness whose scheduler is in a data centre.
func newHarnessAt(t *testing.T, workers int, cores int64, dataCenter string) *harness {
	t.Helper()
	h := &harness{
		c: qt.New(t), cell: newCell(dataCenter, 1), now: startTime,
		running: map[string][]order.Run{}, ends: map[string][]order.End{}, workers: map[string]order.Worker{},
		cfg: &queues.Config{Version: 1, Queues: []queues.Queue{{Name: "short"}, {Name: "long"}}},
	}
	ids := make([]string, workers)
	for i := range workers {
		ids[i] = fmt.Sprintf("w%d", i)
		h.setWorker(order.Worker{
			ID: ids[i], Capacity: unit.Size{CPUMilli: 1000 * cores, MemoryMiB: 1 << 20}, StartedAt: startTime.Add(-time.Minute),
		})
	}
	h.cell.Recorded(ids)
	h.pollAll()
	return h
}

// newCell returns an empty group whose scheduler is in a data centre.
func newCell(dataCenter string, token uint64) *cell.Cell {
	return cell.New(cell.Settings{Lease: 6 * time.Second, DataCenter: dataCenter, RunsPerToken: 1000}, token, discardLog())
}

func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// useCell replaces the scheduler by one that knows the workers.
func (h *harness) useCell(c *cell.Cell) {
	h.cell = c
	for _, w := range h.workers {
		c.SetWorker(w, h.now)
	}
	c.Recorded(slices.Collect(maps.Keys(h.workers)))
	h.pollAll()
}

func (h *harness) setWorker(info order.Worker) {
	h.workers[info.ID] = info
	h.cell.SetWorker(info, h.now)
}

// pollAll lets every worker report.
func (h *harness) pollAll() {
	for id, info := range h.workers {
		h.cell.Polled(id, order.Report{
			Clock: time.Minute + h.now.Sub(startTime), StartedAt: info.StartedAt, Running: h.running[id], Ended: h.ends[id],
		}, 0, h.now, h.now)
	}
}

// advance moves the time forward and then polls all workers.
func (h *harness) advance(d time.Duration) {
	h.now = h.now.Add(d)
	h.pollAll()
}

// plan makes a plan and carries out its starts at once.
func (h *harness) plan() cell.Plan {
	plan := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now)
	for _, o := range plan.Starts {
		h.cell.Started(o, cell.StartResult{Sent: h.now, Clock: time.Minute}, h.now)
		h.running[o.Worker.ID] = append(h.running[o.Worker.ID], order.Run{
			Task: o.Order.Task, Run: o.Order.Run, CPUPercent: 100, Gauge: 1000,
		})
	}
	return plan
}

// finish ends a run on its worker.
func (h *harness) finish(id string, task graph.TaskID, kind order.EndKind) {
	remaining := h.running[id][:0]
	for _, r := range h.running[id] {
		if r.Task != task {
			remaining = append(remaining, r)
			continue
		}
		n := uint64(len(h.ends[id]) + 1)
		h.ends[id] = append(h.ends[id], order.End{Number: n, Task: r.Task, Run: r.Run, Kind: kind, Checkpoint: r.Checkpoint})
	}
	h.running[id] = remaining
}

func (h *harness) add(doc *graph.Job) {
	if doc.AcceptedAt.IsZero() {
		doc.AcceptedAt = h.now
	}
	if doc.MaxAttempts == 0 {
		doc.MaxAttempts = 3
	}
	doc.Stretch, doc.Objective = 1.5, 300*time.Millisecond
	h.cell.Add(doc, nil, 1, h.now)
}

func longJob(count int) *graph.Job {
	return &graph.Job{ID: "l", Queue: "long", Priority: 2, Steps: []graph.Step{{
		Count: count, Size: unit.Size{CPUMilli: 1000}, Estimate: 20 * time.Second, Checkpoint: true, MaxUnavailable: -1,
	}}}
}

func shortJob(id string, count int) *graph.Job {
	return &graph.Job{ID: id, Queue: "short", Steps: []graph.Step{{
		Count: count, Size: unit.Size{CPUMilli: 1000}, Estimate: 500 * time.Millisecond, MaxUnavailable: -1,
	}}}
}

// A burst of short tasks arrives while long tasks fill the group.
func TestBurstOfShortJobsPreemptsLongJob(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.add(longJob(8))
	h.c.Assert(h.plan().Starts, qt.HasLen, 8)
	h.advance(2 * time.Second)
	h.add(shortJob("s", 3))
	plan := h.plan()
	h.c.Assert(plan.Starts, qt.HasLen, 0)
	h.c.Assert(plan.Stops, qt.HasLen, 3)
	for _, o := range plan.Stops {
		h.c.Assert(o.Order.Task.Job, qt.Equals, "l")
		h.finish(o.Worker.ID, o.Order.Task, order.EndStopped)
	}
	h.advance(100 * time.Millisecond)
	started := h.plan().Starts
	h.c.Assert(started, qt.HasLen, 3)
	for _, o := range started {
		h.c.Assert(o.Order.Task.Job, qt.Equals, "s")
	}
}

// In a backlog after an outage every job would be late if jobs were served in the order of arrival.
func TestBacklogPrefersJobsThatCanMeetTheirDeadline(t *testing.T) {
	h := newHarness(t, 1, 1)
	old := shortJob("old", 1)
	old.AcceptedAt = h.now.Add(-1200 * time.Millisecond)
	h.add(old)
	h.add(shortJob("new", 1))
	started := h.plan().Starts
	h.c.Assert(started, qt.HasLen, 1)
	h.c.Assert(started[0].Order.Task.Job, qt.Equals, "new")
}

// The permitted workers of an urgent step are full, while others have capacity but no advice was requested about them.
func TestAdviceIsRequestedBeforePreemption(t *testing.T) {
	h := newHarness(t, 2, 2)
	h.cfg.Queues[0].Advice = &queues.Advice{Base: 10 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	h.add(longJob(2))
	h.c.Assert(h.plan().Starts, qt.HasLen, 2)
	h.advance(2 * time.Second)
	h.add(shortJob("s", 1))
	plan := h.plan()
	h.c.Assert(plan.Stops, qt.HasLen, 0)
	h.c.Assert(plan.AdviceRequests, qt.HasLen, 1)
	h.c.Assert(plan.AdviceRequests[0].Workers, qt.HasLen, 1)
	permits := []order.Permit{{Worker: plan.AdviceRequests[0].Workers[0], Ticket: "t"}}
	h.cell.Advised(plan.AdviceRequests[0], permits, 2*time.Second, nil, h.now)
	started := h.plan().Starts
	h.c.Assert(started, qt.HasLen, 1)
	h.c.Assert(started[0].Order.Ticket, qt.Equals, "t")
}

// A worker is removed at short notice.
func TestDrainingWorkerEvictsLongRunningTasks(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.add(&graph.Job{ID: "kept", Queue: "long", Priority: 1, Steps: []graph.Step{{
		Count: 2, Size: unit.Size{CPUMilli: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 1,
	}}})
	h.c.Assert(h.plan().Starts, qt.HasLen, 2)
	leaving := h.workers["w0"]
	leaving.Draining, leaving.Remaining = true, 2*time.Second
	h.setWorker(leaving)
	h.add(longJob(4))
	plan := h.plan()
	for _, o := range plan.Starts {
		h.c.Assert(o.Worker.ID, qt.Equals, "w1")
	}
	h.c.Assert(plan.Stops, qt.HasLen, 1)
	h.c.Assert(plan.Stops[0].Worker.ID, qt.Equals, "w0")
	h.c.Assert(plan.Stops[0].Order.Task.Job, qt.Equals, "kept")
}

// Urgent work arrives where only long-running tasks run, which must not be preempted.
func TestLongRunningTasksAreNotPreempted(t *testing.T) {
	h := newHarness(t, 1, 2)
	h.add(&graph.Job{ID: "kept", Queue: "long", Priority: 2, Steps: []graph.Step{{
		Count: 2, Size: unit.Size{CPUMilli: 1000}, LongRunning: true, MaxUnavailable: 0, Checkpoint: true,
	}}})
	h.c.Assert(h.plan().Starts, qt.HasLen, 2)
	h.advance(2 * time.Second)
	h.add(shortJob("s", 1))
	h.c.Assert(h.plan().Stops, qt.HasLen, 0)
}

// Backfill tasks slow down serving tasks until these miss their latency target.
func TestBackfillIsThrottledForServingTasks(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.add(&graph.Job{ID: "serving", Queue: "long", Priority: 1, Steps: []graph.Step{{
		Count: 1, Size: unit.Size{CPUMilli: 2000}, LongRunning: true, LatencyTarget: 100 * time.Millisecond, MaxUnavailable: 1,
	}}})
	h.add(&graph.Job{ID: "filling", Queue: "long", Priority: 2, Steps: []graph.Step{{
		Count: 1, Size: unit.Size{CPUMilli: 4000}, Estimate: time.Minute, Backfill: true, MaxUnavailable: -1,
	}}})
	h.c.Assert(h.plan().Starts, qt.HasLen, 2)
	reportTail := func(tail float64) {
		for i := range h.running["w0"] {
			if h.running["w0"][i].Task.Job == "serving" {
				h.running["w0"][i].Gauge = tail
			}
		}
		h.advance(time.Second)
	}
	reportTail(150)
	slowed := h.plan().Throttles
	h.c.Assert(slowed, qt.HasLen, 1)
	h.c.Assert(slowed[0].Order.Task.Job, qt.Equals, "filling")
	h.c.Assert(slowed[0].Order.CPUPercent < 100, qt.IsTrue)
	reportTail(150)
	slowedMore := h.plan().Throttles
	h.c.Assert(slowedMore, qt.HasLen, 1)
	h.c.Assert(slowedMore[0].Order.CPUPercent < slowed[0].Order.CPUPercent, qt.IsTrue)
	reportTail(20)
	faster := h.plan().Throttles
	h.c.Assert(faster, qt.HasLen, 1)
	h.c.Assert(faster[0].Order.CPUPercent > slowedMore[0].Order.CPUPercent, qt.IsTrue)
}

// Tasks on some workers stall although the worker's health check succeeds.
func TestStalledRunIsMoved(t *testing.T) {
	h := newHarness(t, 2, 1)
	h.add(longJob(1))
	started := h.plan().Starts
	h.c.Assert(started, qt.HasLen, 1)
	workerID := started[0].Worker.ID
	h.running[workerID][0].Gauge = 0
	for range 4 {
		h.advance(time.Second)
	}
	plan := h.plan()
	h.c.Assert(plan.Stops, qt.HasLen, 1)
	h.finish(workerID, started[0].Order.Task, order.EndStopped)
	h.advance(100 * time.Millisecond)
	moved := h.plan().Starts
	h.c.Assert(moved, qt.HasLen, 1)
	h.c.Assert(moved[0].Worker.ID, qt.Not(qt.Equals), workerID)
}

// The members of a gang have uneven shares of the work; the first to be done waits for the others.
func TestGangWaitsForItsSlowestMember(t *testing.T) {
	h := newHarness(t, 3, 1)
	gang := longJob(3)
	gang.Steps[0].Gang = true
	h.add(gang)
	h.c.Assert(h.plan().Starts, qt.HasLen, 3)
	h.running["w0"][0].Gauge, h.running["w1"][0].Gauge = 0, 0
	for range 5 {
		h.advance(time.Second)
	}
	h.c.Assert(h.plan().Stops, qt.HasLen, 0)
}

// A gang waits for a member that is stalled on its worker.
func TestStalledGangIsMovedFromTheWorkerThatStalledFirst(t *testing.T) {
	h := newHarness(t, 3, 1)
	gang := longJob(3)
	gang.Steps[0].Gang = true
	h.add(gang)
	h.c.Assert(h.plan().Starts, qt.HasLen, 3)
	h.running["w1"][0].Gauge = 0
	h.advance(2 * time.Second)
	h.running["w0"][0].Gauge, h.running["w2"][0].Gauge = 0, 0
	for range 2 {
		h.advance(time.Second)
	}
	stops := h.plan().Stops
	h.c.Assert(stops, qt.HasLen, 1)
	h.c.Assert(stops[0].Worker.ID, qt.Equals, "w1")
}

// All tasks fail on one worker.
func TestFailingWorkerIsQuarantined(t *testing.T) {
	h := newHarness(t, 2, 1)
	for i := range 3 {
		h.add(shortJob(fmt.Sprintf("j%d", i), 1))
		for _, o := range h.plan().Starts {
			if o.Worker.ID == "w0" {
				h.finish("w0", o.Order.Task, order.EndFailed)
			} else {
				h.finish("w1", o.Order.Task, order.EndDone)
			}
		}
		h.advance(100 * time.Millisecond)
	}
	for range 6 {
		for _, o := range h.plan().Starts {
			kind := order.EndDone
			if o.Worker.ID == "w0" {
				kind = order.EndFailed
			}
			h.finish(o.Worker.ID, o.Order.Task, kind)
		}
		h.advance(100 * time.Millisecond)
	}
	for i := range 3 {
		state, _ := h.cell.State(fmt.Sprintf("j%d", i), "short", queues.Caller{AnyTeam: true})
		h.c.Assert(state, qt.Not(qt.Equals), graph.Failed)
	}
	failed := 0
	for _, e := range h.ends["w0"] {
		if e.Kind == order.EndFailed {
			failed++
		}
	}
	h.c.Assert(failed <= 3, qt.IsTrue)
}

// Tasks fail on a worker although its health check succeeds; a task must not use up all its attempts there.
func TestFailedTaskIsRetriedElsewhere(t *testing.T) {
	h := newHarness(t, 3, 4)
	h.add(shortJob("j", 1))
	used := map[string]bool{}
	for range 3 {
		started := h.plan().Starts
		h.c.Assert(started, qt.HasLen, 1)
		used[started[0].Worker.ID] = true
		h.finish(started[0].Worker.ID, started[0].Order.Task, order.EndFailed)
		h.advance(100 * time.Millisecond)
		h.advance(100 * time.Millisecond)
	}
	h.c.Assert(used, qt.HasLen, 3)
}

// As above, where the failing worker is the only one that the advisor has allowed so far.
func TestFailedTaskRequestsAdviceAboutOtherWorkers(t *testing.T) {
	h := newHarness(t, 8, 4)
	h.cfg.Queues[0].Advice = &queues.Advice{Base: 10 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	h.add(shortJob("j", 1))
	request := h.plan().AdviceRequests[0]
	h.cell.Advised(request, []order.Permit{{Worker: request.Workers[0], Ticket: "t"}}, 2*time.Second, nil, h.now)
	started := h.plan().Starts
	h.c.Assert(started, qt.HasLen, 1)
	h.finish(started[0].Worker.ID, started[0].Order.Task, order.EndFailed)
	h.advance(100 * time.Millisecond)
	h.advance(100 * time.Millisecond)
	plan := h.plan()
	h.c.Assert(plan.Starts, qt.HasLen, 0)
	h.c.Assert(plan.AdviceRequests, qt.HasLen, 1)
}

// The members of a gang do not all fit at once. None of them may be placed alone, although smaller tasks could take the
// capacity bit by bit.
func TestGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	for _, test := range []struct {
		name  string
		cores int64
		want  int
	}{
		{"all fit", 4, 8},
		{"one too many", 3, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 2, test.cores)
			h.add(&graph.Job{ID: "g", Queue: "long", Steps: []graph.Step{{
				Count: 8, Size: unit.Size{CPUMilli: 1000}, Gang: true, MaxUnavailable: -1,
			}}})
			started := h.plan().Starts
			h.c.Assert(started, qt.HasLen, test.want)
			for _, o := range started {
				h.c.Assert(o.Order.Run, qt.Equals, started[0].Order.Run)
			}
		})
	}
}

// A gang needs whole workers, while less urgent tasks use a part of each.
func TestGangPreemptsLessUrgentWork(t *testing.T) {
	for _, test := range []struct {
		name   string
		advice *queues.Advice
	}{
		{"any worker", nil},
		{"where the advisor allows it", &queues.Advice{Base: 700 * time.Millisecond}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 3, 4)
			h.add(longJob(6))
			h.c.Assert(h.plan().Starts, qt.HasLen, 6)
			h.advance(2 * time.Second)
			h.cfg.Queues[0].Advice = test.advice
			gang := shortJob("g", 2)
			gang.Steps[0].Gang, gang.Steps[0].Size.CPUMilli = true, 4000
			h.add(gang)
			plan := h.plan()
			for len(plan.AdviceRequests) > 0 {
				// First about the free worker, and then about those where runs can be preempted.
				var permits []order.Permit
				for _, id := range plan.AdviceRequests[0].Workers {
					permits = append(permits, order.Permit{Worker: id, Ticket: "t"})
				}
				h.cell.Advised(plan.AdviceRequests[0], permits, 1500*time.Millisecond, nil, h.now)
				plan = h.plan()
			}
			h.c.Assert(len(plan.Stops) >= 2, qt.IsTrue)
			preempted := map[string]bool{}
			for _, o := range plan.Stops {
				preempted[o.Worker.ID] = true
				h.finish(o.Worker.ID, o.Order.Task, order.EndStopped)
			}
			h.advance(300 * time.Millisecond)
			gangStarts := 0
			for _, o := range h.plan().Starts {
				if o.Order.Task.Job == "g" {
					gangStarts++
					continue
				}
				// The stopped tasks do not return to a held worker before the gang.
				h.c.Assert(preempted[o.Worker.ID], qt.IsFalse)
			}
			h.c.Assert(gangStarts, qt.Equals, 2)
		})
	}
}

// Urgent work needs a permit, while long tasks fill every worker.
func TestAdviceIsRequestedAboutFullWorkersForUrgentWork(t *testing.T) {
	h := newHarness(t, 2, 2)
	h.add(longJob(4))
	h.c.Assert(h.plan().Starts, qt.HasLen, 4)
	h.advance(2 * time.Second)
	h.cfg.Queues[0].Advice = &queues.Advice{Base: 10 * time.Millisecond}
	h.add(shortJob("s", 1))
	requests := h.plan().AdviceRequests
	h.c.Assert(requests, qt.HasLen, 1)
	h.cell.Advised(requests[0], []order.Permit{{Worker: requests[0].Workers[0], Ticket: "t"}}, 2*time.Second, nil, h.now)
	stops := h.plan().Stops
	h.c.Assert(stops, qt.HasLen, 1)
	h.c.Assert(stops[0].Worker.ID, qt.Equals, requests[0].Workers[0])
}

// Calls to the advisor take long, and few workers have capacity. A request includes full workers too, for which the step then
// waits.
func TestAdviceRequestIncludesFullWorkers(t *testing.T) {
	h := newHarness(t, 6, 2)
	h.add(longJob(10))
	h.c.Assert(h.plan().Starts, qt.HasLen, 10)
	h.cfg.Queues[0].Advice = &queues.Advice{Base: 600 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	job := shortJob("s", 1)
	job.Priority = 2
	h.add(job)
	request := h.plan().AdviceRequests[0]
	h.c.Assert(request.Workers, qt.HasLen, 6)
	free := request.Workers[0]
	full := request.Workers[1]
	h.cell.Advised(request, []order.Permit{{Worker: full, Ticket: "t"}}, 1500*time.Millisecond, nil, h.now)
	h.c.Assert(h.plan().Starts, qt.HasLen, 0)
	// The ticket is renewed before it expires.
	h.advance(time.Second)
	renewal := h.plan().AdviceRequests
	h.c.Assert(renewal, qt.HasLen, 1)
	h.c.Assert(renewal[0].Workers, qt.DeepEquals, []string{full})
	h.cell.Advised(renewal[0], []order.Permit{{Worker: full, Ticket: "u"}}, 1500*time.Millisecond, nil, h.now)
	h.finish(full, h.running[full][0].Task, order.EndDone)
	h.advance(50 * time.Millisecond)
	started := h.plan().Starts
	h.c.Assert(started, qt.HasLen, 1)
	h.c.Assert(started[0].Worker.ID, qt.Equals, full)
	h.c.Assert(started[0].Order.Ticket, qt.Equals, "u")
	h.c.Assert(free, qt.Not(qt.Equals), full)
}

// Workers differ in speed. Short jobs, which end with their last task, go to fast workers; long jobs leave these to them.
func TestUrgentWorkGoesToFastWorkers(t *testing.T) {
	h := newHarness(t, 4, 4)
	slow := map[string]bool{"w0": true, "w2": true}
	for round := range 6 {
		h.add(shortJob(fmt.Sprintf("learn%d", round), 16))
		started := h.plan().Starts
		h.c.Assert(started, qt.HasLen, 16)
		for _, finishSlow := range []bool{false, true} {
			h.now = h.now.Add(400 * time.Millisecond)
			for _, o := range started {
				if slow[o.Worker.ID] == finishSlow {
					h.finish(o.Worker.ID, o.Order.Task, order.EndDone)
				}
			}
			h.pollAll()
		}
		h.now = h.now.Add(10 * time.Second)
	}
	h.add(longJob(4))
	for _, o := range h.plan().Starts {
		h.c.Assert(slow[o.Worker.ID], qt.IsTrue)
	}
	h.add(shortJob("s", 8))
	started := h.plan().Starts
	h.c.Assert(started, qt.HasLen, 8)
	for _, o := range started {
		h.c.Assert(slow[o.Worker.ID], qt.IsFalse)
	}
}

// Bursts of short tasks follow each other quickly, beside long tasks that would fill the group in between.
func TestLongJobLeavesHeadroomForTheNextBurst(t *testing.T) {
	h := newHarness(t, 5, 8)
	h.add(shortJob("burst", 16))
	started := h.plan().Starts
	h.c.Assert(started, qt.HasLen, 16)
	for _, o := range started {
		h.finish(o.Worker.ID, o.Order.Task, order.EndDone)
	}
	h.advance(time.Second)
	h.add(longJob(40))
	// At most a fifth of the group stays free.
	h.c.Assert(h.plan().Starts, qt.HasLen, 32)
	h.add(shortJob("next", 8))
	h.c.Assert(h.plan().Starts, qt.HasLen, 8)
	// Headroom that is no longer needed returns to the long job.
	for range 40 {
		for id, runs := range h.running {
			for _, r := range runs {
				if r.Task.Job == "next" {
					h.finish(id, r.Task, order.EndDone)
				}
			}
		}
		h.advance(5 * time.Second)
		h.plan()
	}
	n := 0
	for _, runs := range h.running {
		n += len(runs)
	}
	h.c.Assert(n, qt.Equals, 40)
}

// limitedSlots allows a limited number of calls to the advisor at a time.
type limitedSlots struct {
	free int
}

// HasSlot implements cell.AdvisorSlots.
func (s *limitedSlots) HasSlot(time.Duration) bool { return s.free > 0 }

// Reserve implements cell.AdvisorSlots.
func (s *limitedSlots) Reserve(time.Duration) (string, bool) {
	if s.free == 0 {
		return "", false
	}
	s.free--
	return "here", true
}

// Urgent steps wait for capacity that is not freed, and few hosts can call the advisor. Renewing their tickets must not keep
// less urgent work that could start from getting advice.
func TestTicketRenewalsLeaveHostsToStepsThatCanStart(t *testing.T) {
	h := newHarness(t, 4, 2)
	fixedJob := longJob(2)
	fixedJob.ID, fixedJob.Steps[0].Checkpoint = "fixed", false
	h.add(fixedJob)
	full := h.plan().Starts[0].Worker.ID
	advice := &queues.Advice{Base: 600 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	h.cfg.Queues[0].Advice, h.cfg.Queues[1].Advice = advice, advice
	for i := range 3 {
		// Long-running work is never overdue, so it always requests advice.
		urgent := shortJob(fmt.Sprintf("urgent%d", i), 1)
		urgent.Steps[0].LongRunning = true
		h.add(urgent)
	}
	const callTime, step = 700 * time.Millisecond, 50 * time.Millisecond
	numRequests := map[string]int{}
	inFlight := map[time.Duration][]cell.AdviceRequest{}
	slots := &limitedSlots{free: 1}
	for at := time.Duration(0); at < 15*time.Second; at += step {
		if at == 5*time.Second {
			h.add(longJob(2))
		}
		for _, request := range inFlight[at] {
			slots.free++
			// Urgent steps are allowed on the full worker only, the others everywhere.
			var permits []order.Permit
			for _, id := range request.Workers {
				if id == full || request.Step.Job == "l" {
					permits = append(permits, order.Permit{Worker: id, Ticket: "t"})
				}
			}
			h.cell.Advised(request, permits, 1500*time.Millisecond, nil, h.now)
		}
		plan := h.cell.Plan(h.cfg, slots, h.now)
		for _, request := range plan.AdviceRequests {
			numRequests[request.Step.Job]++
			inFlight[at+callTime] = append(inFlight[at+callTime], request)
		}
		if len(plan.Starts) > 0 {
			h.c.Assert(plan.Starts[0].Order.Task.Job, qt.Equals, "l")
			h.c.Assert(numRequests["urgent0"] > 1, qt.IsTrue)
			return
		}
		h.advance(step)
	}
	h.c.Fatalf("the long job was never started; requests: %v", numRequests)
}

// As above, with many hosts that are shared with other groups: only one request at a time renews tickets.
func TestTicketsAreRenewedOneCallAtATime(t *testing.T) {
	h := newHarness(t, 2, 2)
	fixedJob := longJob(4)
	fixedJob.Steps[0].Checkpoint = false
	h.cfg.Queues[0].Advice = &queues.Advice{Base: 600 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	for i := range 4 {
		urgent := shortJob(fmt.Sprintf("urgent%d", i), 1)
		urgent.Steps[0].LongRunning = true
		h.add(urgent)
	}
	first := h.plan().AdviceRequests
	h.c.Assert(first, qt.HasLen, 4)
	h.add(fixedJob)
	h.c.Assert(h.plan().Starts, qt.HasLen, 4)
	for _, request := range first {
		h.cell.Advised(request, []order.Permit{{Worker: "w0", Ticket: "t"}}, 1500*time.Millisecond, nil, h.now)
	}
	h.advance(time.Second)
	renewal := h.plan().AdviceRequests
	h.c.Assert(renewal, qt.HasLen, 1)
	h.advance(100 * time.Millisecond)
	h.c.Assert(h.plan().AdviceRequests, qt.HasLen, 0)
	h.cell.Advised(renewal[0], nil, 0, nil, h.now)
	h.advance(100 * time.Millisecond)
	h.c.Assert(h.plan().AdviceRequests, qt.HasLen, 1)
}

// spreadOver assigns the workers to data centres in turn.
func (h *harness) spreadOver(dataCenters ...string) {
	for i := range len(h.workers) {
		info := h.workers[fmt.Sprintf("w%d", i)]
		info.DataCenter = dataCenters[i%len(dataCenters)]
		h.setWorker(info)
	}
	h.pollAll()
}

// A data centre is partitioned and leaves recent orders unanswered. New work is placed elsewhere at once, and there again
// after any response.
func TestUnreachableDataCenterGetsNoNewWork(t *testing.T) {
	h := newHarness(t, 6, 4)
	h.spreadOver("a", "b")
	sent := h.now.Add(time.Millisecond)
	h.now = h.now.Add(300 * time.Millisecond)
	startsByDataCenter := func() map[string]int {
		n := map[string]int{}
		for _, o := range h.plan().Starts {
			n[o.Worker.DataCenter]++
		}
		return n
	}
	h.cell.Suspect("w1", sent, h.now)
	h.add(shortJob("one", 20))
	h.c.Assert(startsByDataCenter(), qt.DeepEquals, map[string]int{"a": 12, "b": 8})
	h.cell.Suspect("w3", sent, h.now)
	h.add(shortJob("two", 4))
	h.c.Assert(startsByDataCenter(), qt.DeepEquals, map[string]int{})
	info := h.workers["w5"]
	h.cell.Polled("w5", order.Report{Clock: 2 * time.Minute, StartedAt: info.StartedAt, Running: h.running["w5"]}, 0, h.now, h.now)
	h.c.Assert(startsByDataCenter(), qt.DeepEquals, map[string]int{})
	h.advance(time.Second)
	h.c.Assert(startsByDataCenter(), qt.DeepEquals, map[string]int{"b": 4})
}

// Guards against data centres that count as unreachable again and again because some of their workers have died, so that no task is placed there.
func TestDeadWorkersDoNotMakeDataCenterUnreachable(t *testing.T) {
	h := newHarness(t, 4, 4)
	for _, id := range []string{"w0", "w1"} {
		h.missPolls(id, time.Second)
	}
	h.advanceExcept("w0", "w1")
	sent := h.now.Add(time.Millisecond)
	h.now = h.now.Add(300 * time.Millisecond)
	h.cell.Suspect("w0", sent, h.now)
	h.cell.Suspect("w1", sent, h.now)
	h.add(shortJob("j", 1))
	h.c.Assert(h.plan().Starts, qt.HasLen, 1)
}

// advanceExcept polls all workers but the given ones after a second.
func (h *harness) advanceExcept(silent ...string) {
	h.now = h.now.Add(time.Second)
	for id, info := range h.workers {
		if !slices.Contains(silent, id) {
			h.cell.Polled(id, order.Report{Clock: time.Minute + h.now.Sub(startTime), StartedAt: info.StartedAt, Running: h.running[id]}, 0, h.now, h.now)
		}
	}
}

// The scheduler is partitioned from a worker, or a worker is slow. A step that allows it gets speculative copies elsewhere.
func TestLaggingTasksGetSpeculativeCopies(t *testing.T) {
	for _, test := range []struct {
		name   string
		copies bool
		lag    func(h *harness, workerID string)
		want   int
	}{
		{"unresponsive worker", true, func(h *harness, workerID string) { h.cell.Suspect(workerID, h.now.Add(time.Millisecond), h.now) }, 1},
		{"unresponsive worker, no copies allowed", false, func(h *harness, workerID string) {
			h.cell.Suspect(workerID, h.now.Add(time.Millisecond), h.now)
		}, 0},
		{"much slower than the others", true, func(h *harness, _ string) { h.advance(time.Second) }, 1},
		{"as slow as the others", true, func(*harness, string) {}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 5, 1)
			doc := shortJob("j", 4)
			doc.Steps[0].Speculative = test.copies
			h.add(doc)
			started := h.plan().Starts
			h.c.Assert(started, qt.HasLen, 4)
			h.now = h.now.Add(500 * time.Millisecond)
			for _, o := range started[1:] {
				h.finish(o.Worker.ID, o.Order.Task, order.EndDone)
			}
			h.pollAll()
			test.lag(h, started[0].Worker.ID)
			copies := h.plan().Starts
			h.c.Assert(copies, qt.HasLen, test.want)
			if test.want == 0 {
				return
			}
			h.c.Assert(copies[0].Order.Task, qt.Equals, started[0].Order.Task)
			h.c.Assert(copies[0].Worker.ID, qt.Not(qt.Equals), started[0].Worker.ID)
			h.c.Assert(copies[0].Order.Run > started[0].Order.Run, qt.IsTrue)
			h.c.Assert(h.plan().Starts, qt.HasLen, 0)
			h.finish(copies[0].Worker.ID, copies[0].Order.Task, order.EndDone)
			h.advance(10 * time.Millisecond)
			stops := h.plan().Stops
			h.c.Assert(stops, qt.HasLen, 1)
			h.c.Assert(stops[0].Order.Run, qt.Equals, started[0].Order.Run)
		})
	}
}

// Partitions occur between data centres. Urgent jobs stay together in the scheduler's data centre, and other jobs leave that
// capacity to them.
func TestUrgentJobsStayInTheLocalDataCenter(t *testing.T) {
	h := newHarnessAt(t, 4, 4, "a")
	h.spreadOver("a", "b")
	h.add(longJob(6))
	for _, o := range h.plan().Starts {
		h.c.Assert(o.Worker.DataCenter, qt.Equals, "b")
	}
	h.add(shortJob("s", 8))
	for _, o := range h.plan().Starts {
		h.c.Assert(o.Worker.DataCenter, qt.Equals, "a")
	}
	h.add(shortJob("more", 2))
	h.c.Assert(h.plan().Starts, qt.HasLen, 2)
}

// Occurrences of a job start when they are due, not before.
func TestOccurrencesWaitUntilTheyAreDue(t *testing.T) {
	h := newHarness(t, 1, 4)
	doc := shortJob("timed", 1)
	doc.Repetitions, doc.FirstAt, doc.Interval = 2, h.now.Add(time.Second), 3*time.Second
	h.add(doc)
	plan := h.plan()
	h.c.Assert(plan.Starts, qt.HasLen, 0)
	h.c.Assert(plan.NextPlanAt.Equal(doc.FirstAt), qt.IsTrue)
	h.advance(time.Second)
	h.c.Assert(h.plan().Starts, qt.HasLen, 1)
	h.advance(2 * time.Second)
	h.c.Assert(h.plan().Starts, qt.HasLen, 0)
	h.advance(time.Second)
	h.c.Assert(h.plan().Starts, qt.HasLen, 1)
}
