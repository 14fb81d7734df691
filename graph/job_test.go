package graph_test

import (
	"errors"
	"math"
	"runtime"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
)

// Guards against a job whose number of tasks exceeds the largest integer and is taken for a small one: every host that ran its group ended.
func TestNumberOfTasksIsLimited(t *testing.T) {
	for _, test := range []struct {
		name   string
		counts []int
		valid  bool
	}{
		{"none", nil, false},
		{"one", []int{1}, true},
		{"zero", []int{1, 0}, false},
		{"negative", []int{2, -1}, false},
		{"most negative", []int{1, math.MinInt}, false},
		{"the limit", []int{graph.MaxTasks - 1, 1}, true},
		{"beyond the limit", []int{graph.MaxTasks, 1}, false},
		{"the largest count", []int{math.MaxInt}, false},
		{"a negative sum", []int{1, math.MaxInt}, false},
		{"a sum of zero", []int{math.MaxInt, math.MaxInt, 2}, false},
		{"a small sum", []int{2, math.MaxInt, math.MaxInt, 3}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			job := &graph.Job{}
			for _, n := range test.counts {
				job.Steps = append(job.Steps, graph.Step{Count: n})
			}
			err := job.Validate()
			c.Assert(err == nil, qt.Equals, test.valid)
			raw, encodeErr := job.Encode()
			c.Assert(encodeErr, qt.IsNil)
			// A stored job is read by every host that takes its group over.
			_, decodeErr := graph.DecodeJob(raw)
			c.Assert(decodeErr == nil, qt.Equals, test.valid)
			var invalid *graph.InvalidError
			c.Assert(test.valid || errors.As(err, &invalid), qt.IsTrue)
		})
	}
}

// Guards against parts of a job that count nothing towards what a host may hold: a label, rack or image of 60,000 bytes used to.
func TestMemoryOfJobIsCounted(t *testing.T) {
	const numJobs = 50
	text := strings.Repeat("x", 60_000)
	one := func(set func(j *graph.Job, s *graph.Step)) *graph.Job {
		j := &graph.Job{Steps: []graph.Step{{Count: 1}}}
		set(j, &j.Steps[0])
		return j
	}
	many := &graph.Job{Steps: []graph.Step{{Count: 1}}}
	for range graph.MaxSteps - 1 {
		many.Steps = append(many.Steps, graph.Step{Count: 1, Label: "label", After: make([]int, 100)})
	}
	for _, test := range []struct {
		name string
		job  *graph.Job
	}{
		{"spec", one(func(j *graph.Job, _ *graph.Step) { j.Spec = text })},
		{"team", one(func(j *graph.Job, _ *graph.Step) { j.Team = text })},
		{"queue", one(func(j *graph.Job, _ *graph.Step) { j.Queue = text })},
		{"service", one(func(j *graph.Job, _ *graph.Step) { j.Service = text })},
		{"label", one(func(_ *graph.Job, s *graph.Step) { s.Label = text })},
		{"rack", one(func(_ *graph.Job, s *graph.Step) { s.DataRack = text })},
		{"image", one(func(_ *graph.Job, s *graph.Step) { s.Image = text })},
		{"steps with dependencies", many},
		{"one step with dependencies", &graph.Job{Steps: []graph.Step{{Count: 1}, {Count: 1, After: make([]int, 30_000)}}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			raw, err := test.job.Encode()
			c.Assert(err, qt.IsNil)
			before := fakes.HeapBytes()
			var jobs []*graph.Job
			for range numJobs {
				job, err := graph.DecodeJob(raw)
				c.Assert(err, qt.IsNil)
				jobs = append(jobs, job)
			}
			took := fakes.HeapBytes() - before
			c.Check(took <= numJobs*test.job.MemoryBytes(), qt.IsTrue, qt.Commentf("%d bytes a job, counted as %d", took/numJobs, test.job.MemoryBytes()))
			runtime.KeepAlive(jobs)
		})
	}
}
