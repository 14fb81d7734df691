package cell_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/budget"
	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/guard"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Jobs were accepted as if their tasks took nothing once they were started, so that a few jobs of many small tasks ended every host that took the group
// over. The sizes that hosts count with are what the tasks take in each state, with the records that are being stored.
func TestTasksTakeNoMoreMemoryThanCounted(t *testing.T) {
	const numTasks, numWorkers = 16_000, 40
	small := func(s graph.Step) graph.Step {
		s.Size = unit.Size{CPUMilli: 1, MemoryMiB: 1}
		return s
	}
	lasting := small(graph.Step{Count: numTasks / 8, LongRunning: true})
	failing := func(h *harness) {
		for range 6 {
			h.endRuns(func(graph.TaskID) bool { return true }, order.EndFailed)
			h.advance(time.Second)
			h.cell.Committed(h.cell.Collect(8), 1, h.now)
			h.planAll()
		}
	}
	for _, test := range []struct {
		name string
		step graph.Step
		// do changes the state of the tasks after they have been placed.
		do func(h *harness)
		// known is the share of the tasks of which something is known.
		known int64
	}{
		{"running", lasting, func(*harness) {}, 1},
		{"finite", small(graph.Step{Count: numTasks / 8}), func(*harness) {}, 1},
		{"gangs", small(graph.Step{Count: numTasks / 8, Gang: true}), func(*harness) {}, 1},
		{"gangs that don't fit", graph.Step{Count: numTasks / 8, Gang: true, Size: unit.Size{CPUMilli: 1000}}, func(*harness) {}, 0},
		{"failing on one worker after the other", lasting, failing, 1},
		{"being stopped", lasting, func(h *harness) {
			for _, id := range h.jobIDs(8) {
				h.cell.Cancel(id, h.now)
			}
			h.plan()
		}, 1},
		{"adopted", lasting, func(h *harness) {
			var docs []*graph.Job
			for _, id := range h.jobIDs(8) {
				docs = append(docs, h.job(id, lasting))
			}
			h.takeOver(docs)
		}, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			before := fakes.HeapBytes()
			h := newHarness(t, numWorkers, 16)
			for _, id := range h.jobIDs(8) {
				h.add(h.job(id, test.step))
			}
			h.planAll()
			test.do(h)
			known, _ := h.cell.Tasks()
			c.Assert(known, qt.Equals, test.known*numTasks)
			batch := h.cell.Collect(8)
			h.running, h.ends = nil, nil
			took := fakes.HeapBytes() - before
			t.Logf("%.0f bytes a task", float64(took)/numTasks)
			counted := test.known*numTasks*guard.TaskBytes + 8*h.job("x", test.step).MemoryBytes()
			c.Check(took <= counted, qt.IsTrue, qt.Commentf("%d bytes, counted as %d", took, counted))
			runtime.KeepAlive(batch)
			runtime.KeepAlive(h)
		})
	}
}

// jobIDs returns the IDs of n jobs.
func (h *harness) jobIDs(n int) []string {
	ids := make([]string, n)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", i)
	}
	return ids
}

func (h *harness) job(id string, step graph.Step) *graph.Job {
	return &graph.Job{ID: id, Queue: "long", Spec: "x", Steps: []graph.Step{step}, AcceptedAt: h.now, MaxAttempts: 3, Stretch: 2}
}

// endRuns ends the runs of some tasks on their workers.
func (h *harness) endRuns(which func(graph.TaskID) bool, kind order.EndKind) {
	for id, runs := range h.running {
		h.running[id] = nil
		for _, r := range runs {
			if !which(r.Task) {
				h.running[id] = append(h.running[id], r)
				continue
			}
			h.ends[id] = append(h.ends[id], order.End{Number: uint64(len(h.ends[id]) + 1), Task: r.Task, Run: r.Run, Kind: kind})
		}
	}
}

// planAll plans until nothing more is placed.
func (h *harness) planAll() {
	for len(h.plan().Starts) > 0 {
		h.advance(100 * time.Millisecond)
	}
}

// takeOver replaces the scheduler by the one that takes the group over, which knows the durable progress of the jobs.
func (h *harness) takeOver(docs []*graph.Job) {
	changes := h.cell.Collect(len(docs)).Changes
	h.cell = newCell("", 2)
	h.cell.AwaitReports()
	for i, doc := range docs {
		h.cell.Add(doc, changes[i].Progress, 1, h.now)
	}
	h.useCell(h.cell)
}

// A job of many tasks used to be placed whole, before all other jobs. It leaves room for others, and they come in turn; a gang starts whole or not.
func TestOrdinaryJobsArePlacedBesideLargeOnes(t *testing.T) {
	h := newHarness(t, 8, 1000)
	settings := cell.Settings{Lease: 6 * time.Second, RunsPerToken: 100_000, TaskLimit: func() budget.Limit { return 6400 }}
	h.useCell(cell.New(settings, 1, discardLog()))
	placed := map[string]int{}
	planAll := func() {
		for range 50 {
			for _, o := range h.plan().Starts {
				placed[o.Order.Task.Job]++
			}
			h.advance(100 * time.Millisecond)
		}
	}
	step := func(count int, gang bool) graph.Step {
		return graph.Step{Count: count, Gang: gang, Size: unit.Size{CPUMilli: 1, MemoryMiB: 1}, Estimate: time.Minute}
	}
	h.add(h.job("large", step(9000, false)))
	h.add(h.job("ordinary", step(20, false)))
	for _, o := range h.plan().Starts {
		placed[o.Order.Task.Job]++
	}
	h.c.Check(placed["ordinary"], qt.Equals, 20, qt.Commentf("placed by the first plan: %v", placed))
	planAll()
	h.add(h.job("later", step(90, false)))
	h.add(h.job("large gang", step(300, true)))
	h.add(h.job("second large", step(500, false)))
	planAll()
	h.c.Check(placed, qt.DeepEquals, map[string]int{"large": 4780, "ordinary": 20, "later": 90, "second large": 100})
	for _, id := range []string{"large", "large gang", "second large"} {
		e, _ := h.cell.Explain(id, nil, h.cfg, h.now)
		h.c.Check(e.Steps[0].Reason, qt.Equals, cell.StepTaskLimit, qt.Commentf("%s", id))
	}
	h.endRuns(func(id graph.TaskID) bool { return id.Job == "large" }, order.EndDone)
	h.advance(100 * time.Millisecond)
	planAll()
	h.c.Check(placed, qt.DeepEquals, map[string]int{"large": 4780 + 3890, "ordinary": 20, "later": 90, "large gang": 300, "second large": 500})
}
