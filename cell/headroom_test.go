package cell

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/unit"
)

// Gangs that use a few accelerators come and go. The headroom for them must not be rounded away by the many plans of a
// second.
func TestPeakDecaysSlowly(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1_000_000, 0)
	size := unit.Size{CPUMilli: 40000, Accelerators: 40}
	var demand urgentDemand
	demand.record(size, 1)
	demand.decay(now)
	demand.record(size, -1)
	for range 5 * 200 {
		now = now.Add(5 * time.Millisecond)
		demand.decay(now)
	}
	capacity := unit.Size{CPUMilli: 1 << 30, Accelerators: 1 << 20}
	headroom := demand.headroom(capacity.Scale(maxHeadroomShare))
	c.Assert(headroom.Accelerators >= 25, qt.IsTrue, qt.Commentf("%v", headroom))
	c.Assert(headroom.CPUMilli >= 25000, qt.IsTrue, qt.Commentf("%v", headroom))
	for range 60 {
		now = now.Add(2 * time.Second)
		demand.decay(now)
	}
	c.Assert(demand.headroom(capacity.Scale(maxHeadroomShare)).Accelerators, qt.Equals, int64(0))
}
