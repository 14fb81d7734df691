package cell

import "time"

// Timing of draining workers.
const (
	// drainMargin is how long before a worker may leave its last tasks are stopped, so that their ends are still reported.
	drainMargin = 800 * time.Millisecond
	// defaultDrainTime is assumed where a worker does not report how long it stays.
	defaultDrainTime = 2 * time.Second
)

// planDrains moves tasks off draining workers: long-running ones at once, others when they can't end in time.
func (c *Cell) planDrains(plan *Plan, now time.Time) {
	for _, w := range c.sortedWorkers() {
		if !w.info.Draining || len(w.placements) == 0 {
			continue
		}
		evictAt := w.leavesAt.Add(-drainMargin)
		for _, p := range w.placements {
			s := p.task.step
			expectedEnd := p.sentAt.Add(c.runTimes.estimate(s.job.doc.Queue, s.doc))
			switch {
			case s.doc.LongRunning, !now.Before(evictAt):
				c.evict(p, "its worker is draining", now)
			case s.doc.Checkpoint && expectedEnd.After(evictAt.Add(drainMargin)) && !p.checkpointAt.IsZero() && now.Sub(p.checkpointAt) < drainMargin/4:
				// It has just written a checkpoint, and would not end before the worker leaves.
				c.evict(p, "its worker is draining", now)
			}
		}
		plan.replanAt(evictAt)
	}
}

// updateDrain sets when a draining worker may leave.
func (w *worker) updateDrain(now time.Time) {
	if !w.info.Draining {
		w.leavesAt = time.Time{}
		return
	}
	if w.info.Remaining > 0 {
		w.leavesAt = now.Add(w.info.Remaining)
		return
	}
	if w.leavesAt.IsZero() {
		w.leavesAt = now.Add(defaultDrainTime)
	}
}
