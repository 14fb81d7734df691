package cell

import "time"

// Times of workers that leave.
const (
	// drainReserve is how long before a worker may leave its last tasks are stopped, so that their ends are still told.
	drainReserve = 800 * time.Millisecond
	// drainUnknown is assumed where a worker does not tell how long it stays.
	drainUnknown = 2 * time.Second
)

// planDrains moves tasks from workers that leave: lasting ones at once, others when they can't end in time.
func (c *Cell) planDrains(plan *Plan, now time.Time) {
	for _, w := range c.workers {
		if !w.info.Draining || len(w.placed) == 0 {
			continue
		}
		last := w.leaves.Add(-drainReserve)
		for _, p := range w.placed {
			s := p.task.step
			expected := p.sent.Add(c.learned.expected(s.job.doc.Queue, s.doc))
			switch {
			case s.doc.Lasting, !now.Before(last):
				c.evict(p, "its worker leaves", now)
			case s.doc.Checkpoint && expected.After(last.Add(drainReserve)) && !p.savedAt.IsZero() && now.Sub(p.savedAt) < drainReserve/4:
				// It has just saved, and would not end here.
				c.evict(p, "its worker leaves", now)
			}
		}
		plan.again(last)
	}
}

// noteDrain sets when a draining worker may leave.
func (w *worker) noteDrain(now time.Time) {
	if !w.info.Draining {
		w.leaves = time.Time{}
		return
	}
	if w.info.Remaining > 0 {
		w.leaves = now.Add(w.info.Remaining)
		return
	}
	if w.leaves.IsZero() {
		w.leaves = now.Add(drainUnknown)
	}
}
