package cell

import "time"

// SetUnrenewed sets the workers in the durable record of unrenewed workers, by an earlier scheduler or a commit that has taken effect: no order
// is sent that renews the leases there until another record is stored.
func (c *Cell) SetUnrenewed(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.unrenewedWorkers)
	for _, id := range ids {
		c.unrenewedWorkers[id] = true
	}
	for _, w := range c.workers {
		w.wakeUp()
	}
}

// WithholdRenewals returns the workers to be recorded as unrenewed, since they don't answer, and for how long from now runs may be active there;
// changed says whether the durable record names others. From then on, no order is sent that renews the leases of any of them.
func (c *Cell) WithholdRenewals(now time.Time) (remaining map[string]time.Duration, changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining = c.silentWorkers(now)
	changed = len(remaining) != len(c.unrenewedWorkers)
	for id := range remaining {
		changed = changed || !c.unrenewedWorkers[id]
	}
	if changed {
		for id := range remaining {
			c.unrenewedWorkers[id] = true
		}
	}
	return remaining, changed
}

// silentWorkers returns the workers that don't answer, have not answered since they were recorded as silent, or are gone, and for how long runs may
// be active there.
func (c *Cell) silentWorkers(now time.Time) map[string]time.Duration {
	until := map[string]time.Time{}
	for id, w := range c.workers {
		if len(w.toFence)+len(w.unansweredStarts) > 0 {
			// A start that is carried out late would begin a new lease there.
			continue
		}
		unheard := !w.polled && c.unrenewedWorkers[id]
		if w.silent || unheard || w.missedPolls >= missedPollLimit || w.isRetired() {
			until[id] = c.runsUntil(w)
		}
	}
	for id := range c.namedWorkers {
		if _, known := c.workers[id]; !known {
			until[id] = time.Time{}
		}
	}
	for id := range until {
		w, known := c.workers[id]
		if expected := c.expectedWorkers[id]; (!known || !w.reported) && expected.After(until[id]) {
			until[id] = expected
		}
	}
	remaining := make(map[string]time.Duration, len(until))
	for id, t := range until {
		remaining[id] = max(0, t.Sub(now))
	}
	return remaining
}

// isIdle reports whether nothing is known to run on a worker.
func (w *worker) isIdle() bool { return len(w.placements)+len(w.unknownRuns) == 0 }

// hasLeft reports whether a worker is not listed any more and runs nothing; it is not polled then.
func (w *worker) hasLeft() bool { return !w.listed && w.isIdle() }

// isRetired reports whether a worker runs nothing and gets no work any more.
func (w *worker) isRetired() bool { return w.hasLeft() || (w.info.Draining && w.isIdle()) }
