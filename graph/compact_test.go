package graph_test

import (
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Guards against a need that is lost on the way to the host that is asked, which would then tell of another step.
func TestCompactStepKeepsNeeds(t *testing.T) {
	for _, s := range []graph.Step{
		{Count: 1, MaxUnavailable: -1},
		{
			Count: 4, Size: unit.Size{CPUMilli: 31000, MemoryMiB: 64, Accelerators: 8}, Estimate: 4500 * time.Millisecond, After: []int{0, 2}, Gang: true,
			Colocate: true, Speculative: true, LongRunning: true, Backfill: true, Label: "a,b=c &%", DataRack: "r 1", MaxPerWorker: 2, Image: "käse,",
			LatencyTarget: 20 * time.Millisecond, MaxUnavailable: -1,
		},
	} {
		c := qt.New(t)
		parsed, err := graph.ParseStep(s.Compact())
		c.Assert(err, qt.IsNil)
		c.Check(parsed, qt.DeepEquals, s)
	}
}

// Guards against a malformed field that is taken for 0 or left out.
func TestMalformedCompactStepIsInvalid(t *testing.T) {
	for _, text := range []string{"", "count", "count=", "count=x", "count=-1", "count=1,size=2", "count=1,big", "count=1,label=%zz", "count=99999999999"} {
		_, err := graph.ParseStep(text)
		var invalid *graph.InvalidError
		qt.New(t).Check(errors.As(err, &invalid), qt.IsTrue, qt.Commentf("%q: %v", text, err))
	}
}
