package cell

import (
	"math"
	"time"

	"github.com/corianderdrift/corianderdrift/unit"
)

// Parameters of the headroom for latency-sensitive work.
const (
	// headroomShare is the share of the recent peak of latency-sensitive work that is kept free as headroom; the rest is freed by
	// preemption.
	headroomShare = 0.5
	// maxHeadroomShare is the maximum headroom, as a share of the group's capacity.
	maxHeadroomShare = 0.2
	// overloadHeadroom is the part of the headroom that is kept in an overload from jobs that can be in time: every job that finds no room then is late,
	// while latency-sensitive work can still preempt.
	overloadHeadroom = 0.5
	// peakDecayTime is the time constant of the decay of a peak of latency-sensitive work; swings of demand come every 15 s or so.
	peakDecayTime = 15 * time.Second
	// decayInterval is the minimum interval between steps of the decay: in smaller steps the few accelerators of a peak would
	// be rounded away.
	decayInterval = time.Second
)

// urgentDemand tracks the current and the peak allocation of latency-sensitive work.
type urgentDemand struct {
	used      unit.Size
	peak      unit.Size
	decayedAt time.Time
}

// record adds an allocation of latency-sensitive work, or subtracts it if sign is negative.
func (d *urgentDemand) record(size unit.Size, sign int64) {
	if sign > 0 {
		d.used = d.used.Add(size)
		d.peak = d.peak.Max(d.used)
		return
	}
	d.used = d.used.Sub(size)
}

// decay lowers the peak with time, but not below the current allocation.
func (d *urgentDemand) decay(now time.Time) {
	if d.decayedAt.IsZero() {
		d.decayedAt = now
	}
	if elapsed := now.Sub(d.decayedAt); elapsed >= decayInterval {
		d.peak, d.decayedAt = d.peak.Scale(math.Exp(-elapsed.Seconds()/peakDecayTime.Seconds())), now
	}
	d.peak = d.peak.Max(d.used)
}

// headroom returns what other work has to leave free, at most a limit: what latency-sensitive work may need beyond its current allocation.
func (d *urgentDemand) headroom(limit unit.Size) unit.Size {
	return d.peak.Sub(d.used).Max(d.peak.Scale(headroomShare)).Min(limit)
}

// needsHeadroom reports whether a task of a step, or all of a gang, would use headroom for latency-sensitive work. Such work may use it, and gangs may. Work of
// a team that is beyond its part leaves maxHeadroomShare free beside other teams with demand, whatever it is: most of it can't be preempted when they
// need the room.
func (c *Cell) needsHeadroom(s *step) bool {
	if s.doc.LongRunning || s == c.aged {
		return false
	}
	size, headroom := allocationOf(s.doc), c.candidateIndex.headroom
	switch {
	case c.standingOf(s, unit.Size{}) > withinPart:
		if len(c.fairness.parts.parts) > 1 {
			headroom = headroom.Max(c.candidateIndex.capacity.Scale(maxHeadroomShare))
		}
		if s.doc.Gang {
			size = size.Scale(float64(s.doc.Count))
		}
	case s.job.sensitive || s.doc.Gang:
		return false
	case c.overloaded && !s.occ.deferred:
		headroom = headroom.Scale(overloadHeadroom)
	}
	return !size.Add(headroom.Mask(size)).Fits(c.candidateIndex.free.Mask(size))
}
