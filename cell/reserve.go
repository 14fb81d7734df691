package cell

import (
	"math"
	"time"

	"github.com/corianderdrift/corianderdrift/unit"
)

// Figures of the room that is kept for urgent work.
const (
	// reserveShare is the share of the recent peak of urgent work for which room is kept; the rest is made by preemption.
	reserveShare = 0.5
	// reserveMost bounds the reserve, as a share of the group's room.
	reserveMost = 0.2
	// peakMemory is the time constant with which a peak of urgent work is forgotten; swings of demand come every 15 s or so.
	peakMemory = 15 * time.Second
	// fadeEvery spaces the steps of forgetting: in small ones the few accelerators of a peak would be rounded away.
	fadeEvery = time.Second
)

// demand remembers the peak of the room that urgent work has taken.
type demand struct {
	used unit.Size
	peak unit.Size
	at   time.Time
}

// took notes that urgent work takes room, or gives it back.
func (d *demand) took(size unit.Size, sign int64) {
	if sign > 0 {
		d.used = d.used.Add(size)
		d.peak = d.peak.Max(d.used)
		return
	}
	d.used = d.used.Sub(size)
}

// remember lets the peak fade, but not below what is used now.
func (d *demand) remember(now time.Time) {
	if d.at.IsZero() {
		d.at = now
	}
	if passed := now.Sub(d.at); passed >= fadeEvery {
		d.peak, d.at = d.peak.Scale(math.Exp(-passed.Seconds()/peakMemory.Seconds())), now
	}
	d.peak = d.peak.Max(d.used)
}

// reserve returns how much room has to stay free of work that is not urgent: what urgent work may take beside what it has.
func (d *demand) reserve(room unit.Size) unit.Size {
	return d.peak.Sub(d.used).Max(d.peak.Scale(reserveShare)).Min(room.Scale(reserveMost))
}

// kept reports whether a task of a step would take room that is kept for urgent work.
func (c *Cell) kept(s *step) bool {
	if s.urgent() || s.doc.Lasting {
		return false
	}
	size := roomOf(s.doc)
	return !size.Add(c.rooms.reserve.Only(size)).Fits(c.rooms.free.Only(size))
}
