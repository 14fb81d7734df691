package learn_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/learn"
	"github.com/corianderdrift/corianderdrift/unit"
)

func TestLearnedTimesReplaceDeclaredOnes(t *testing.T) {
	c := qt.New(t)
	e := learn.NewEstimator()
	declared := time.Hour
	c.Check(e.Estimate("w", declared).Mean, qt.Equals, declared)
	for range 20 {
		e.RecordRun("w", 10*time.Millisecond, false)
	}
	mean := e.Estimate("w", declared).Mean
	c.Check(mean > 9*time.Millisecond && mean < 12*time.Millisecond, qt.IsTrue, qt.Commentf("%s", mean))
	// The estimate follows work that becomes slower within two windows.
	for range 4100 {
		e.RecordRun("w", time.Second, false)
	}
	mean = e.Estimate("w", declared).Mean
	c.Check(mean > 900*time.Millisecond, qt.IsTrue, qt.Commentf("%s", mean))
}

func TestFailureRates(t *testing.T) {
	c := qt.New(t)
	e := learn.NewEstimator()
	for range 30 {
		e.RecordRun("bad", time.Millisecond, true)
		e.RecordRun("good", time.Millisecond, false)
	}
	rate, runs := e.FailureRate("bad")
	c.Check(rate > 0.9, qt.IsTrue)
	c.Check(runs, qt.Equals, int64(30))
	rate, _ = e.FailureRate("good")
	c.Check(rate, qt.Equals, 0.0)
}

func TestMeasuredSizesOnlyGrow(t *testing.T) {
	c := qt.New(t)
	e := learn.NewEstimator()
	declared := unit.Size{CPUMilli: 100, MemoryMiB: 100}
	e.RecordSize("w", unit.Size{MemoryMiB: 1000})
	e.RecordSize("w", unit.Size{MemoryMiB: 500})
	c.Check(e.Size("w", declared).MemoryMiB, qt.Equals, int64(1100))
	c.Check(e.Size("w", unit.Size{MemoryMiB: 5000}).MemoryMiB, qt.Equals, int64(5000))
}
