package cell

import "time"

// planExpiries ends the placements on unresponsive workers whose leases have expired, and schedules the next plan for when the next ones do.
func (c *Cell) planExpiries(plan *Plan, now time.Time, leaseAge time.Duration) {
	for _, w := range c.sortedWorkers() {
		if w.missedPolls < missedPollLimit || len(w.placements) == 0 {
			continue
		}
		c.expireLeases(w, now, leaseAge)
		if at := c.expiresAt(w); len(w.placements) > 0 && at.After(now) {
			plan.replanAt(at)
		}
	}
}

// expiresAt returns when the leases on an unresponsive worker are guaranteed to have expired.
func (c *Cell) expiresAt(w *worker) time.Time {
	return w.lastRenewal().Add(c.settings.Lease + leaseMargin)
}
