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
	b := learn.NewBook()
	declared := time.Hour
	c.Check(b.Estimate("w", declared).Mean, qt.Equals, declared)
	for range 20 {
		b.RecordRun("w", 10*time.Millisecond, false)
	}
	mean := b.Estimate("w", declared).Mean
	c.Check(mean > 9*time.Millisecond && mean < 12*time.Millisecond, qt.IsTrue, qt.Commentf("%s", mean))
	// Work that has become slower is relearned within two windows.
	for range 4100 {
		b.RecordRun("w", time.Second, false)
	}
	mean = b.Estimate("w", declared).Mean
	c.Check(mean > 900*time.Millisecond, qt.IsTrue, qt.Commentf("%s", mean))
}

func TestFailureRates(t *testing.T) {
	c := qt.New(t)
	b := learn.NewBook()
	for range 30 {
		b.RecordRun("bad", time.Millisecond, true)
		b.RecordRun("good", time.Millisecond, false)
	}
	rate, runs := b.FailureRate("bad")
	c.Check(rate > 0.9, qt.IsTrue)
	c.Check(runs, qt.Equals, int64(30))
	rate, _ = b.FailureRate("good")
	c.Check(rate, qt.Equals, 0.0)
}

func TestMeasuredSizesOnlyGrow(t *testing.T) {
	c := qt.New(t)
	b := learn.NewBook()
	declared := unit.Size{CPUMilli: 100, MemoryMiB: 100}
	b.RecordSize("w", unit.Size{MemoryMiB: 1000})
	b.RecordSize("w", unit.Size{MemoryMiB: 500})
	c.Check(b.Size("w", declared).MemoryMiB, qt.Equals, int64(1100))
	c.Check(b.Size("w", unit.Size{MemoryMiB: 5000}).MemoryMiB, qt.Equals, int64(5000))
}
