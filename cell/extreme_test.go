package cell_test

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Guards against a valid job whose numbers exceed the largest integer once they are added or multiplied: its group must go on, and so must ordinary jobs.
func TestExtremeNumbersOfJobHarmNoOtherJob(t *testing.T) {
	const most, least = math.MaxInt64, math.MinInt64
	for _, test := range []struct {
		name string
		set  func(j *graph.Job, s *graph.Step)
	}{
		{"cores", func(_ *graph.Job, s *graph.Step) { s.Size.CPUMilli = most }},
		{"half of the cores", func(_ *graph.Job, s *graph.Step) { s.Size.CPUMilli = most/2 + 1 }},
		{"cores of a gang", func(_ *graph.Job, s *graph.Step) { s.Size.CPUMilli, s.Gang = most/2+1, true }},
		{"memory", func(_ *graph.Job, s *graph.Step) { s.Size.MemoryMiB = most }},
		{"accelerators", func(_ *graph.Job, s *graph.Step) { s.Size.Accelerators = most/2 + 1 }},
		{"nothing needed", func(_ *graph.Job, s *graph.Step) { s.Size.CPUMilli = 0 }},
		{"estimate", func(_ *graph.Job, s *graph.Step) { s.Estimate = most }},
		{"negative estimate", func(_ *graph.Job, s *graph.Step) { s.Estimate = least }},
		{"target", func(_ *graph.Job, s *graph.Step) { s.LongRunning, s.LatencyTarget = true, most }},
		{"negative target", func(_ *graph.Job, s *graph.Step) { s.LongRunning, s.LatencyTarget = true, least }},
		{"tasks per worker", func(_ *graph.Job, s *graph.Step) { s.MaxPerWorker = most }},
		{"negative tasks per worker", func(_ *graph.Job, s *graph.Step) { s.MaxPerWorker = least }},
		{"unavailable", func(_ *graph.Job, s *graph.Step) { s.LongRunning, s.MaxUnavailable = true, most }},
		{"negative unavailable", func(_ *graph.Job, s *graph.Step) { s.LongRunning, s.MaxUnavailable = true, least }},
		{"repetitions", func(j *graph.Job, _ *graph.Step) { j.Repetitions = most }},
		{"repetitions of lasting tasks", func(j *graph.Job, s *graph.Step) { j.Repetitions, s.LongRunning = most, true }},
		{"interval", func(j *graph.Job, _ *graph.Step) { j.Repetitions, j.Interval = most, most }},
		{"first due", func(j *graph.Job, _ *graph.Step) { j.Repetitions, j.FirstAt = 3, time.UnixMilli(most) }},
		{"first due long ago", func(j *graph.Job, _ *graph.Step) { j.Repetitions, j.FirstAt = 3, time.UnixMilli(least) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			h := newHarness(t, 4, 4000)
			odd := h.job("00000000000000aa", graph.Step{Count: 3, Size: unit.Size{CPUMilli: 1000}})
			odd.Steps = append(odd.Steps, graph.Step{Count: 2, Size: unit.Size{CPUMilli: 1000}, After: []int{0}})
			test.set(odd, &odd.Steps[0])
			test.set(odd, &odd.Steps[1])
			if odd.Validate() != nil {
				return
			}
			// Twice, so that sums over jobs exceed the largest integer too.
			other := *odd
			other.ID = "00000000000000ab"
			h.add(odd)
			h.add(&other)
			for range 5 {
				h.plan()
				h.advance(time.Second)
			}
			const ordinary = "00000000000000ac"
			h.add(h.job(ordinary, graph.Step{Count: 2, Size: unit.Size{CPUMilli: 1000}}))
			for range 5 {
				h.plan()
				h.advance(time.Second)
			}
			c.Check(h.numRunningOf(ordinary), qt.Equals, 2)
			c.Check(odd.MemoryBytes() > 0, qt.IsTrue)
			c.Check(odd.LongRunningTasks() >= 0, qt.IsTrue)
		})
	}
}

// numRunningOf returns how many tasks of a job run.
func (h *harness) numRunningOf(job string) int {
	n := 0
	for _, runs := range h.running {
		for _, r := range runs {
			if r.Task.Job == job {
				n++
			}
		}
	}
	return n
}
