package cell_test

import (
	"fmt"
	"io"
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

var epoch = time.Unix(1_000_000, 0)

// desks lets every call to the advisor be made.
type desks struct{}

// Free implements cell.Desks.
func (desks) Free(time.Duration) bool { return true }

// Reserve implements cell.Desks.
func (desks) Reserve(time.Duration) (string, bool) { return "here", true }

// world drives a group by hand, at times that it sets.
type world struct {
	c    *qt.C
	cell *cell.Cell
	cfg  *queues.Config
	now  time.Time
	// running holds what each worker reports, and ends what it lists.
	running map[string][]order.Run
	ends    map[string][]order.End
	workers map[string]order.Worker
}

func newWorld(t *testing.T, workers int, cores int64) *world {
	t.Helper()
	return newWorldAt(t, workers, cores, "")
}

// newWorldAt returns a world whose scheduler is in a data centre.
func newWorldAt(t *testing.T, workers int, cores int64, center string) *world {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &world{
		c: qt.New(t), cell: cell.New(cell.Settings{Lease: 6 * time.Second, DataCenter: center, RunsPerToken: 1000}, 1, log), now: epoch,
		running: map[string][]order.Run{}, ends: map[string][]order.End{}, workers: map[string]order.Worker{},
		cfg: &queues.Config{Version: 1, Queues: []queues.Queue{{Name: "short"}, {Name: "long"}}},
	}
	ids := make([]string, workers)
	for i := range workers {
		ids[i] = fmt.Sprintf("w%d", i)
		w.list(order.Worker{
			ID: ids[i], Capacity: unit.Size{CPUMilli: 1000 * cores, MemoryMiB: 1 << 20}, Born: epoch.Add(-time.Minute),
		})
	}
	w.cell.Recorded(ids)
	w.look()
	return w
}

func (w *world) list(info order.Worker) {
	w.workers[info.ID] = info
	w.cell.SetWorker(info, w.now)
}

// look lets every worker report.
func (w *world) look() {
	for id, info := range w.workers {
		w.cell.Looked(id, order.Report{
			Clock: time.Minute + w.now.Sub(epoch), Born: info.Born, Running: w.running[id], Ended: w.ends[id],
		}, 0, w.now, w.now)
	}
}

// pass lets time pass, with a look at its end.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.look()
}

// plan plans and carries the starts out at once.
func (w *world) plan() cell.Plan {
	plan := w.cell.Plan(w.cfg, desks{}, w.now)
	for _, o := range plan.Starts {
		w.cell.Started(o, cell.StartResult{Sent: w.now, Clock: time.Minute}, w.now)
		w.running[o.Worker.ID] = append(w.running[o.Worker.ID], order.Run{
			Task: o.Order.Task, Run: o.Order.Run, Percent: 100, Gauge: 1000,
		})
	}
	return plan
}

// finish lets a run end on its worker.
func (w *world) finish(id string, task graph.TaskID, kind order.EndKind) {
	kept := w.running[id][:0]
	for _, r := range w.running[id] {
		if r.Task != task {
			kept = append(kept, r)
			continue
		}
		n := uint64(len(w.ends[id]) + 1)
		w.ends[id] = append(w.ends[id], order.End{Number: n, Task: r.Task, Run: r.Run, Kind: kind, Saved: r.Saved})
	}
	w.running[id] = kept
}

func (w *world) add(doc *graph.Job) {
	if doc.Accepted.IsZero() {
		doc.Accepted = w.now
	}
	if doc.Attempts == 0 {
		doc.Attempts = 3
	}
	doc.Stretch, doc.Objective = 1.5, 300*time.Millisecond
	w.cell.Add(doc, nil, 1, w.now)
}

func long(count int) *graph.Job {
	return &graph.Job{ID: "l", Queue: "long", Priority: 2, Steps: []graph.Step{{
		Count: count, Size: unit.Size{CPUMilli: 1000}, Estimate: 20 * time.Second, Checkpoint: true, MayMiss: -1,
	}}}
}

func short(id string, count int) *graph.Job {
	return &graph.Job{ID: id, Queue: "short", Steps: []graph.Step{{
		Count: count, Size: unit.Size{CPUMilli: 1000}, Estimate: 500 * time.Millisecond, MayMiss: -1,
	}}}
}

// Pattern: a burst of short work over long work that has filled the group.
func TestABurstOfShortWorkGetsRoomFromLongWork(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.add(long(8))
	w.c.Assert(w.plan().Starts, qt.HasLen, 8)
	w.pass(2 * time.Second)
	w.add(short("s", 3))
	plan := w.plan()
	w.c.Assert(plan.Starts, qt.HasLen, 0)
	w.c.Assert(plan.Stops, qt.HasLen, 3)
	for _, o := range plan.Stops {
		w.c.Assert(o.Order.Task.Job, qt.Equals, "l")
		w.finish(o.Worker.ID, o.Order.Task, order.EndStopped)
	}
	w.pass(100 * time.Millisecond)
	started := w.plan().Starts
	w.c.Assert(started, qt.HasLen, 3)
	for _, o := range started {
		w.c.Assert(o.Order.Task.Job, qt.Equals, "s")
	}
}

// Pattern: a backlog after an outage, in which everything would be late if it were served in the order of arrival.
func TestABacklogServesWhatCanStillBeInTime(t *testing.T) {
	w := newWorld(t, 1, 1)
	old := short("old", 1)
	old.Accepted = w.now.Add(-1200 * time.Millisecond)
	w.add(old)
	w.add(short("new", 1))
	started := w.plan().Starts
	w.c.Assert(started, qt.HasLen, 1)
	w.c.Assert(started[0].Order.Task.Job, qt.Equals, "new")
}

// Pattern: urgent work whose permitted workers are full, while others have room that nobody has asked about.
func TestOtherWorkersAreAskedAboutBeforeWorkIsStopped(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.cfg.Queues[0].Advice = &queues.Advice{Base: 10 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	w.add(long(2))
	w.c.Assert(w.plan().Starts, qt.HasLen, 2)
	w.pass(2 * time.Second)
	w.add(short("s", 1))
	plan := w.plan()
	w.c.Assert(plan.Stops, qt.HasLen, 0)
	w.c.Assert(plan.Asks, qt.HasLen, 1)
	w.c.Assert(plan.Asks[0].Workers, qt.HasLen, 1)
	permits := []order.Permit{{Worker: plan.Asks[0].Workers[0], Ticket: "t"}}
	w.cell.Advised(plan.Asks[0], permits, 2*time.Second, nil, w.now)
	started := w.plan().Starts
	w.c.Assert(started, qt.HasLen, 1)
	w.c.Assert(started[0].Order.Ticket, qt.Equals, "t")
}

// Pattern: a worker is taken away at short notice.
func TestALeavingWorkerIsEmptied(t *testing.T) {
	w := newWorld(t, 2, 4)
	w.add(&graph.Job{ID: "kept", Queue: "long", Priority: 1, Steps: []graph.Step{{
		Count: 2, Size: unit.Size{CPUMilli: 1000}, Lasting: true, MayMiss: 1, MaxPerWorker: 1,
	}}})
	w.c.Assert(w.plan().Starts, qt.HasLen, 2)
	leaving := w.workers["w0"]
	leaving.Draining, leaving.Remaining = true, 2*time.Second
	w.list(leaving)
	w.add(long(4))
	plan := w.plan()
	for _, o := range plan.Starts {
		w.c.Assert(o.Worker.ID, qt.Equals, "w1")
	}
	w.c.Assert(plan.Stops, qt.HasLen, 1)
	w.c.Assert(plan.Stops[0].Worker.ID, qt.Equals, "w0")
	w.c.Assert(plan.Stops[0].Order.Task.Job, qt.Equals, "kept")
}

// Pattern: urgent work arrives where only lasting tasks run; they are not taken away for it.
func TestLastingTasksKeepWhatMayBeMissed(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.add(&graph.Job{ID: "kept", Queue: "long", Priority: 2, Steps: []graph.Step{{
		Count: 2, Size: unit.Size{CPUMilli: 1000}, Lasting: true, MayMiss: 0, Checkpoint: true,
	}}})
	w.c.Assert(w.plan().Starts, qt.HasLen, 2)
	w.pass(2 * time.Second)
	w.add(short("s", 1))
	w.c.Assert(w.plan().Stops, qt.HasLen, 0)
}

// Pattern: tasks that fill the room disturb tasks that serve, until those miss their target.
func TestFillingTasksAreSlowedForServingOnes(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.add(&graph.Job{ID: "serving", Queue: "long", Priority: 1, Steps: []graph.Step{{
		Count: 1, Size: unit.Size{CPUMilli: 2000}, Lasting: true, Target: 100 * time.Millisecond, MayMiss: 1,
	}}})
	w.add(&graph.Job{ID: "filling", Queue: "long", Priority: 2, Steps: []graph.Step{{
		Count: 1, Size: unit.Size{CPUMilli: 4000}, Estimate: time.Minute, Fills: true, MayMiss: -1,
	}}})
	w.c.Assert(w.plan().Starts, qt.HasLen, 2)
	gauge := func(tail float64) {
		for i := range w.running["w0"] {
			if w.running["w0"][i].Task.Job == "serving" {
				w.running["w0"][i].Gauge = tail
			}
		}
		w.pass(time.Second)
	}
	gauge(150)
	slowed := w.plan().Paces
	w.c.Assert(slowed, qt.HasLen, 1)
	w.c.Assert(slowed[0].Order.Task.Job, qt.Equals, "filling")
	w.c.Assert(slowed[0].Order.Percent < 100, qt.IsTrue)
	gauge(150)
	again := w.plan().Paces
	w.c.Assert(again, qt.HasLen, 1)
	w.c.Assert(again[0].Order.Percent < slowed[0].Order.Percent, qt.IsTrue)
	gauge(20)
	faster := w.plan().Paces
	w.c.Assert(faster, qt.HasLen, 1)
	w.c.Assert(faster[0].Order.Percent > again[0].Order.Percent, qt.IsTrue)
}

// Pattern: tasks on some workers stand still although their health check is good.
func TestRunsThatStandStillAreMoved(t *testing.T) {
	w := newWorld(t, 2, 1)
	w.add(long(1))
	started := w.plan().Starts
	w.c.Assert(started, qt.HasLen, 1)
	on := started[0].Worker.ID
	w.running[on][0].Gauge = 0
	for range 4 {
		w.pass(time.Second)
	}
	plan := w.plan()
	w.c.Assert(plan.Stops, qt.HasLen, 1)
	w.finish(on, started[0].Order.Task, order.EndStopped)
	w.pass(100 * time.Millisecond)
	moved := w.plan().Starts
	w.c.Assert(moved, qt.HasLen, 1)
	w.c.Assert(moved[0].Worker.ID, qt.Not(qt.Equals), on)
}

// Pattern: the members of a gang have uneven shares of the work; who is done first waits for the others.
func TestAGangWaitsForItsSlowestMember(t *testing.T) {
	w := newWorld(t, 3, 1)
	gang := long(3)
	gang.Steps[0].Gang = true
	w.add(gang)
	w.c.Assert(w.plan().Starts, qt.HasLen, 3)
	w.running["w0"][0].Gauge, w.running["w1"][0].Gauge = 0, 0
	for range 5 {
		w.pass(time.Second)
	}
	w.c.Assert(w.plan().Stops, qt.HasLen, 0)
}

// Pattern: a gang waits for a member that stands still on its worker.
func TestAGangThatStandsStillIsMovedFromTheWorkerThatStoodStillFirst(t *testing.T) {
	w := newWorld(t, 3, 1)
	gang := long(3)
	gang.Steps[0].Gang = true
	w.add(gang)
	w.c.Assert(w.plan().Starts, qt.HasLen, 3)
	w.running["w1"][0].Gauge = 0
	w.pass(2 * time.Second)
	w.running["w0"][0].Gauge, w.running["w2"][0].Gauge = 0, 0
	for range 2 {
		w.pass(time.Second)
	}
	stops := w.plan().Stops
	w.c.Assert(stops, qt.HasLen, 1)
	w.c.Assert(stops[0].Worker.ID, qt.Equals, "w1")
}

// Pattern: a worker fails all that it starts.
func TestAWorkerThatFailsAllIsBenched(t *testing.T) {
	w := newWorld(t, 2, 1)
	for i := range 3 {
		w.add(short(fmt.Sprintf("j%d", i), 1))
		for _, o := range w.plan().Starts {
			if o.Worker.ID == "w0" {
				w.finish("w0", o.Order.Task, order.EndFailed)
			} else {
				w.finish("w1", o.Order.Task, order.EndDone)
			}
		}
		w.pass(100 * time.Millisecond)
	}
	for range 6 {
		for _, o := range w.plan().Starts {
			kind := order.EndDone
			if o.Worker.ID == "w0" {
				kind = order.EndFailed
			}
			w.finish(o.Worker.ID, o.Order.Task, kind)
		}
		w.pass(100 * time.Millisecond)
	}
	for i := range 3 {
		state, _ := w.cell.State(fmt.Sprintf("j%d", i), "short")
		w.c.Assert(state, qt.Not(qt.Equals), graph.Failed)
	}
	failed := 0
	for _, e := range w.ends["w0"] {
		if e.Kind == order.EndFailed {
			failed++
		}
	}
	w.c.Assert(failed <= 3, qt.IsTrue)
}

// Pattern: a worker fails its tasks while its health check is good; a task is not spent on it alone.
func TestATaskThatFailedIsTriedElsewhere(t *testing.T) {
	w := newWorld(t, 3, 4)
	w.add(short("j", 1))
	used := map[string]bool{}
	for range 3 {
		started := w.plan().Starts
		w.c.Assert(started, qt.HasLen, 1)
		used[started[0].Worker.ID] = true
		w.finish(started[0].Worker.ID, started[0].Order.Task, order.EndFailed)
		w.pass(100 * time.Millisecond)
		w.pass(100 * time.Millisecond)
	}
	w.c.Assert(used, qt.HasLen, 3)
}

// Pattern: as above, where the only worker that the advisor has allowed yet is the failing one.
func TestATaskThatFailedAsksAboutOtherWorkers(t *testing.T) {
	w := newWorld(t, 8, 4)
	w.cfg.Queues[0].Advice = &queues.Advice{Base: 10 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	w.add(short("j", 1))
	ask := w.plan().Asks[0]
	w.cell.Advised(ask, []order.Permit{{Worker: ask.Workers[0], Ticket: "t"}}, 2*time.Second, nil, w.now)
	started := w.plan().Starts
	w.c.Assert(started, qt.HasLen, 1)
	w.finish(started[0].Worker.ID, started[0].Order.Task, order.EndFailed)
	w.pass(100 * time.Millisecond)
	w.pass(100 * time.Millisecond)
	plan := w.plan()
	w.c.Assert(plan.Starts, qt.HasLen, 0)
	w.c.Assert(plan.Asks, qt.HasLen, 1)
}

// Pattern: a gang whose members do not fit all at once, beside small work that would take the room bit by bit.
func TestAGangIsPlacedWholeOrNotAtAll(t *testing.T) {
	for _, test := range []struct {
		name  string
		cores int64
		want  int
	}{
		{"all fit", 4, 8},
		{"one too many", 3, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 2, test.cores)
			w.add(&graph.Job{ID: "g", Queue: "long", Steps: []graph.Step{{
				Count: 8, Size: unit.Size{CPUMilli: 1000}, Gang: true, MayMiss: -1,
			}}})
			started := w.plan().Starts
			w.c.Assert(started, qt.HasLen, test.want)
			for _, o := range started {
				w.c.Assert(o.Order.Run, qt.Equals, started[0].Order.Run)
			}
		})
	}
}

// Pattern: a gang that needs whole workers, while less urgent work has a part of each.
func TestAGangGetsRoomFromLessUrgentWork(t *testing.T) {
	for _, test := range []struct {
		name   string
		advice *queues.Advice
	}{
		{"any worker", nil},
		{"where the advisor allows it", &queues.Advice{Base: 700 * time.Millisecond}},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 3, 4)
			w.add(long(6))
			w.c.Assert(w.plan().Starts, qt.HasLen, 6)
			w.pass(2 * time.Second)
			w.cfg.Queues[0].Advice = test.advice
			gang := short("g", 2)
			gang.Steps[0].Gang, gang.Steps[0].Size.CPUMilli = true, 4000
			w.add(gang)
			plan := w.plan()
			for len(plan.Asks) > 0 {
				// First about the worker that is free, and then about those that could be freed.
				var permits []order.Permit
				for _, id := range plan.Asks[0].Workers {
					permits = append(permits, order.Permit{Worker: id, Ticket: "t"})
				}
				w.cell.Advised(plan.Asks[0], permits, 1500*time.Millisecond, nil, w.now)
				plan = w.plan()
			}
			w.c.Assert(len(plan.Stops) >= 2, qt.IsTrue)
			held := map[string]bool{}
			for _, o := range plan.Stops {
				held[o.Worker.ID] = true
				w.finish(o.Worker.ID, o.Order.Task, order.EndStopped)
			}
			w.pass(300 * time.Millisecond)
			gangStarts := 0
			for _, o := range w.plan().Starts {
				if o.Order.Task.Job == "g" {
					gangStarts++
					continue
				}
				// What was stopped does not come back to a worker before the gang.
				w.c.Assert(held[o.Worker.ID], qt.IsFalse)
			}
			w.c.Assert(gangStarts, qt.Equals, 2)
		})
	}
}

// Pattern: urgent work that needs permission, while every worker is full of long work.
func TestFullWorkersAreAskedAboutForUrgentWork(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.add(long(4))
	w.c.Assert(w.plan().Starts, qt.HasLen, 4)
	w.pass(2 * time.Second)
	w.cfg.Queues[0].Advice = &queues.Advice{Base: 10 * time.Millisecond}
	w.add(short("s", 1))
	asks := w.plan().Asks
	w.c.Assert(asks, qt.HasLen, 1)
	w.cell.Advised(asks[0], []order.Permit{{Worker: asks[0].Workers[0], Ticket: "t"}}, 2*time.Second, nil, w.now)
	stops := w.plan().Stops
	w.c.Assert(stops, qt.HasLen, 1)
	w.c.Assert(stops[0].Worker.ID, qt.Equals, asks[0].Workers[0])
}

// Pattern: long calls to the advisor, and few workers with room. A call learns of others too, for which the step then waits.
func TestACallLearnsOfWorkersWithoutRoom(t *testing.T) {
	w := newWorld(t, 6, 2)
	w.add(long(10))
	w.c.Assert(w.plan().Starts, qt.HasLen, 10)
	w.cfg.Queues[0].Advice = &queues.Advice{Base: 600 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	job := short("s", 1)
	job.Priority = 2
	w.add(job)
	ask := w.plan().Asks[0]
	w.c.Assert(ask.Workers, qt.HasLen, 6)
	free := ask.Workers[0]
	full := ask.Workers[1]
	w.cell.Advised(ask, []order.Permit{{Worker: full, Ticket: "t"}}, 1500*time.Millisecond, nil, w.now)
	w.c.Assert(w.plan().Starts, qt.HasLen, 0)
	// The ticket is renewed before it ends.
	w.pass(time.Second)
	renewal := w.plan().Asks
	w.c.Assert(renewal, qt.HasLen, 1)
	w.c.Assert(renewal[0].Workers, qt.DeepEquals, []string{full})
	w.cell.Advised(renewal[0], []order.Permit{{Worker: full, Ticket: "u"}}, 1500*time.Millisecond, nil, w.now)
	w.finish(full, w.running[full][0].Task, order.EndDone)
	w.pass(50 * time.Millisecond)
	started := w.plan().Starts
	w.c.Assert(started, qt.HasLen, 1)
	w.c.Assert(started[0].Worker.ID, qt.Equals, full)
	w.c.Assert(started[0].Order.Ticket, qt.Equals, "u")
	w.c.Assert(free, qt.Not(qt.Equals), full)
}

// Pattern: workers of several speeds. Short work, whose last task decides, goes to fast ones; long work leaves them to it.
func TestUrgentWorkGoesToFastWorkers(t *testing.T) {
	w := newWorld(t, 4, 4)
	slow := map[string]bool{"w0": true, "w2": true}
	for round := range 6 {
		w.add(short(fmt.Sprintf("learn%d", round), 16))
		started := w.plan().Starts
		w.c.Assert(started, qt.HasLen, 16)
		for _, late := range []bool{false, true} {
			w.now = w.now.Add(400 * time.Millisecond)
			for _, o := range started {
				if slow[o.Worker.ID] == late {
					w.finish(o.Worker.ID, o.Order.Task, order.EndDone)
				}
			}
			w.look()
		}
		w.now = w.now.Add(10 * time.Second)
	}
	w.add(long(4))
	for _, o := range w.plan().Starts {
		w.c.Assert(slow[o.Worker.ID], qt.IsTrue)
	}
	w.add(short("s", 8))
	started := w.plan().Starts
	w.c.Assert(started, qt.HasLen, 8)
	for _, o := range started {
		w.c.Assert(slow[o.Worker.ID], qt.IsFalse)
	}
}

// Pattern: bursts of short work in quick succession beside long work that would fill the group in between.
func TestLongWorkLeavesRoomForTheNextBurst(t *testing.T) {
	w := newWorld(t, 5, 8)
	w.add(short("burst", 16))
	started := w.plan().Starts
	w.c.Assert(started, qt.HasLen, 16)
	for _, o := range started {
		w.finish(o.Worker.ID, o.Order.Task, order.EndDone)
	}
	w.pass(time.Second)
	w.add(long(40))
	// A fifth of the group stays free, at the most.
	w.c.Assert(w.plan().Starts, qt.HasLen, 32)
	w.add(short("next", 8))
	w.c.Assert(w.plan().Starts, qt.HasLen, 8)
	// What was not asked for again comes back to the long work.
	for range 40 {
		for id, runs := range w.running {
			for _, r := range runs {
				if r.Task.Job == "next" {
					w.finish(id, r.Task, order.EndDone)
				}
			}
		}
		w.pass(5 * time.Second)
		w.plan()
	}
	n := 0
	for _, runs := range w.running {
		n += len(runs)
	}
	w.c.Assert(n, qt.Equals, 40)
}

// fewDesks lets only so many calls to the advisor be made at a time.
type fewDesks struct {
	free int
}

// Free implements cell.Desks.
func (d *fewDesks) Free(time.Duration) bool { return d.free > 0 }

// Reserve implements cell.Desks.
func (d *fewDesks) Reserve(time.Duration) (string, bool) {
	if d.free == 0 {
		return "", false
	}
	d.free--
	return "here", true
}

// Pattern: urgent steps wait for room that does not come, and few hosts can call the advisor. Their tickets are not renewed at
// the cost of less urgent work that could start.
func TestRenewalsOfTicketsLeaveHostsToWorkThatCanStart(t *testing.T) {
	w := newWorld(t, 4, 2)
	fixed := long(2)
	fixed.ID, fixed.Steps[0].Checkpoint = "fixed", false
	w.add(fixed)
	full := w.plan().Starts[0].Worker.ID
	advice := &queues.Advice{Base: 600 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	w.cfg.Queues[0].Advice, w.cfg.Queues[1].Advice = advice, advice
	for i := range 3 {
		// Lasting work is never too late to be worth a call.
		urgent := short(fmt.Sprintf("urgent%d", i), 1)
		urgent.Steps[0].Lasting = true
		w.add(urgent)
	}
	const callTime, step = 700 * time.Millisecond, 50 * time.Millisecond
	asked := map[string]int{}
	out := map[time.Duration][]cell.Ask{}
	d := &fewDesks{free: 1}
	for at := time.Duration(0); at < 15*time.Second; at += step {
		if at == 5*time.Second {
			w.add(long(2))
		}
		for _, a := range out[at] {
			d.free++
			// Urgent steps are allowed on the full worker only, the others everywhere.
			var permits []order.Permit
			for _, id := range a.Workers {
				if id == full || a.Step.Job == "l" {
					permits = append(permits, order.Permit{Worker: id, Ticket: "t"})
				}
			}
			w.cell.Advised(a, permits, 1500*time.Millisecond, nil, w.now)
		}
		plan := w.cell.Plan(w.cfg, d, w.now)
		for _, a := range plan.Asks {
			asked[a.Step.Job]++
			out[at+callTime] = append(out[at+callTime], a)
		}
		if len(plan.Starts) > 0 {
			w.c.Assert(plan.Starts[0].Order.Task.Job, qt.Equals, "l")
			w.c.Assert(asked["urgent0"] > 1, qt.IsTrue)
			return
		}
		w.pass(step)
	}
	w.c.Fatalf("the long job was never started; calls: %v", asked)
}

// Pattern: the same, where hosts are many but shared with other groups; only one call at a time renews tickets.
func TestOneCallAtATimeRenewsTickets(t *testing.T) {
	w := newWorld(t, 2, 2)
	fixed := long(4)
	fixed.Steps[0].Checkpoint = false
	w.cfg.Queues[0].Advice = &queues.Advice{Base: 600 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	for i := range 4 {
		urgent := short(fmt.Sprintf("urgent%d", i), 1)
		urgent.Steps[0].Lasting = true
		w.add(urgent)
	}
	first := w.plan().Asks
	w.c.Assert(first, qt.HasLen, 4)
	w.add(fixed)
	w.c.Assert(w.plan().Starts, qt.HasLen, 4)
	for _, a := range first {
		w.cell.Advised(a, []order.Permit{{Worker: "w0", Ticket: "t"}}, 1500*time.Millisecond, nil, w.now)
	}
	w.pass(time.Second)
	renewal := w.plan().Asks
	w.c.Assert(renewal, qt.HasLen, 1)
	w.pass(100 * time.Millisecond)
	w.c.Assert(w.plan().Asks, qt.HasLen, 0)
	w.cell.Advised(renewal[0], nil, 0, nil, w.now)
	w.pass(100 * time.Millisecond)
	w.c.Assert(w.plan().Asks, qt.HasLen, 1)
}

// inCenters spreads the workers over data centres by turns.
func (w *world) inCenters(names ...string) {
	for i := range len(w.workers) {
		info := w.workers[fmt.Sprintf("w%d", i)]
		info.DataCenter = names[i%len(names)]
		w.list(info)
	}
	w.look()
}

// Pattern: a data centre is cut off. What has just been sent there has no answer; new work goes elsewhere at once, and comes
// back when anything is heard from there.
func TestADataCenterThatIsSilentGetsNoNewWork(t *testing.T) {
	w := newWorld(t, 6, 4)
	w.inCenters("a", "b")
	sent := w.now.Add(time.Millisecond)
	w.now = w.now.Add(300 * time.Millisecond)
	used := func() map[string]int {
		n := map[string]int{}
		for _, o := range w.plan().Starts {
			n[o.Worker.DataCenter]++
		}
		return n
	}
	w.cell.Doubt("w1", sent, w.now)
	w.add(short("one", 20))
	w.c.Assert(used(), qt.DeepEquals, map[string]int{"a": 12, "b": 8})
	w.cell.Doubt("w3", sent, w.now)
	w.add(short("two", 4))
	w.c.Assert(used(), qt.DeepEquals, map[string]int{})
	info := w.workers["w5"]
	w.cell.Looked("w5", order.Report{Clock: 2 * time.Minute, Born: info.Born, Running: w.running["w5"]}, 0, w.now, w.now)
	w.c.Assert(used(), qt.DeepEquals, map[string]int{})
	w.pass(time.Second)
	w.c.Assert(used(), qt.DeepEquals, map[string]int{"b": 4})
}

// Pattern: a cut falls between tasks and scheduler, or a worker is slow; a step that allows it gets copies elsewhere.
func TestCopiesAreMadeOfTasksThatLag(t *testing.T) {
	for _, test := range []struct {
		name   string
		copies bool
		lag    func(w *world, on string)
		want   int
	}{
		{"silent worker", true, func(w *world, on string) { w.cell.Doubt(on, w.now.Add(time.Millisecond), w.now) }, 1},
		{"silent worker, no copies allowed", false, func(w *world, on string) {
			w.cell.Doubt(on, w.now.Add(time.Millisecond), w.now)
		}, 0},
		{"much slower than the others", true, func(w *world, _ string) { w.pass(time.Second) }, 1},
		{"as slow as the others", true, func(*world, string) {}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 5, 1)
			doc := short("j", 4)
			doc.Steps[0].Copies = test.copies
			w.add(doc)
			started := w.plan().Starts
			w.c.Assert(started, qt.HasLen, 4)
			w.now = w.now.Add(500 * time.Millisecond)
			for _, o := range started[1:] {
				w.finish(o.Worker.ID, o.Order.Task, order.EndDone)
			}
			w.look()
			test.lag(w, started[0].Worker.ID)
			copies := w.plan().Starts
			w.c.Assert(copies, qt.HasLen, test.want)
			if test.want == 0 {
				return
			}
			w.c.Assert(copies[0].Order.Task, qt.Equals, started[0].Order.Task)
			w.c.Assert(copies[0].Worker.ID, qt.Not(qt.Equals), started[0].Worker.ID)
			w.c.Assert(copies[0].Order.Run > started[0].Order.Run, qt.IsTrue)
			w.c.Assert(w.plan().Starts, qt.HasLen, 0)
			w.finish(copies[0].Worker.ID, copies[0].Order.Task, order.EndDone)
			w.pass(10 * time.Millisecond)
			stops := w.plan().Stops
			w.c.Assert(stops, qt.HasLen, 1)
			w.c.Assert(stops[0].Order.Run, qt.Equals, started[0].Order.Run)
		})
	}
}

// Pattern: cuts between data centres. Urgent jobs stay together where the scheduler is, and leave that room to one another.
func TestUrgentJobsStayInTheSchedulersDataCenter(t *testing.T) {
	w := newWorldAt(t, 4, 4, "a")
	w.inCenters("a", "b")
	w.add(long(6))
	for _, o := range w.plan().Starts {
		w.c.Assert(o.Worker.DataCenter, qt.Equals, "b")
	}
	w.add(short("s", 8))
	for _, o := range w.plan().Starts {
		w.c.Assert(o.Worker.DataCenter, qt.Equals, "a")
	}
	w.add(short("more", 2))
	w.c.Assert(w.plan().Starts, qt.HasLen, 2)
}

// Occurrences of a job start when they are due, not before.
func TestOccurrencesWaitForTheirTime(t *testing.T) {
	w := newWorld(t, 1, 4)
	doc := short("timed", 1)
	doc.Times, doc.First, doc.Every = 2, w.now.Add(time.Second), 3*time.Second
	w.add(doc)
	plan := w.plan()
	w.c.Assert(plan.Starts, qt.HasLen, 0)
	w.c.Assert(plan.Again.Equal(doc.First), qt.IsTrue)
	w.pass(time.Second)
	w.c.Assert(w.plan().Starts, qt.HasLen, 1)
	w.pass(2 * time.Second)
	w.c.Assert(w.plan().Starts, qt.HasLen, 0)
	w.pass(time.Second)
	w.c.Assert(w.plan().Starts, qt.HasLen, 1)
}
