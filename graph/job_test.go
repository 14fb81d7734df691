package graph_test

import (
	"errors"
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

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
