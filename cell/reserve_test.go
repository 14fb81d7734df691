package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/unit"
)

// Pattern: gangs that take a few accelerators come and go. The room that is kept for them must not be rounded away by the
// many plans of a second.
func TestAPeakIsForgottenSlowly(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	size := unit.Size{CPUMilli: 40000, Accelerators: 40}
	var d demand
	d.took(size, 1)
	d.remember(now)
	d.took(size, -1)
	for range 5 * 200 {
		now = now.Add(5 * time.Millisecond)
		d.remember(now)
	}
	room := unit.Size{CPUMilli: 1 << 30, Accelerators: 1 << 20}
	kept := d.reserve(room)
	c.Assert(kept.Accelerators >= 25, qt.IsTrue, qt.Commentf("%v", kept))
	c.Assert(kept.CPUMilli >= 25000, qt.IsTrue, qt.Commentf("%v", kept))
	for range 60 {
		now = now.Add(2 * time.Second)
		d.remember(now)
	}
	c.Assert(d.reserve(room).Accelerators, qt.Equals, int64(0))
}
