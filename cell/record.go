package cell

import (
	"maps"
	"slices"
	"time"
)

// ExpectWorkers sets the workers on which an earlier scheduler may have started tasks, and until when these may run there.
func (c *Cell) ExpectWorkers(ids []string, until func(id string) time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workersExpected = true
	for _, id := range ids {
		c.expectedWorkers[id] = until(id)
		c.recordedWorkers[id], c.namedWorkers[id] = true, true
	}
	c.markRecorded()
}

// markRecorded marks the workers that are in the durable record.
func (c *Cell) markRecorded() {
	added := false
	for id, w := range c.workers {
		added = added || (c.recordedWorkers[id] && !w.recorded)
		w.recorded = c.recordedWorkers[id]
	}
	if added {
		c.retryAll()
	}
}

// UnreportedWorkers returns the workers that an earlier scheduler used, and whose runs are not known; see isUnreported.
func (c *Cell) UnreportedWorkers(now time.Time) []string {
	exclusive := c.isExclusive(c.leaseAge())
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id := range c.expectedWorkers {
		if c.isUnreported(id, exclusive, now) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Unconfirmed returns the unconfirmed workers and for how long from now they may have runs: those that can't be reached, those whose
// leases a late renewal may prolong beyond the usual time, and those that are gone and are still in the durable record.
func (c *Cell) Unconfirmed(now time.Time) map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	unconfirmed := map[string]time.Duration{}
	for id := range c.namedWorkers {
		if _, known := c.workers[id]; !known {
			unconfirmed[id] = 0
		}
	}
	for id, until := range c.expectedWorkers {
		if w, ok := c.workers[id]; !ok || !w.reported {
			unconfirmed[id] = max(0, until.Sub(now))
		}
	}
	for id, w := range c.workers {
		unreported := !w.reported && (w.polled || len(w.placements) > 0)
		if unreported || (w.polled && (c.isSuspect(w) || now.Before(w.lateRenewalUntil))) {
			unconfirmed[id] = max(unconfirmed[id], c.runsUntil(w).Sub(now))
		}
	}
	return unconfirmed
}

// IdleWorkers returns the confirmed workers on which nothing runs, and nothing can be started by an order that was sent to them, and whose ends
// are durable, so that the next scheduler need not hear of them. They are not polled, so they may be gone.
func (c *Cell) IdleWorkers(now time.Time) []string {
	unconfirmed := c.Unconfirmed(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for _, w := range c.sortedWorkers() {
		if _, ok := unconfirmed[w.info.ID]; ok || !w.reported || !w.isIdle() || len(w.pendingEnds) > 0 {
			continue
		}
		if len(w.toFence) == 0 && !w.expectsLateOrders(now) {
			ids = append(ids, w.info.ID)
		}
	}
	return ids
}

// runsUntil returns until when runs may be active on a worker that does not answer.
func (c *Cell) runsUntil(w *worker) time.Time {
	renewed := w.lastRenewal()
	for _, p := range w.placements {
		if late := p.lateUntil(); late.After(renewed) {
			renewed = late
		}
	}
	return renewed.Add(c.settings.Lease + leaseMargin)
}

// WorkersToRecord returns the workers that have to be in the durable record, and whether the record differs.
func (c *Cell) WorkersToRecord() ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.workers))
	changed := false
	for id, w := range c.workers {
		_, expected := c.expectedWorkers[id]
		if w.listed || len(w.placements) > 0 || (expected && c.awaitingReports) {
			ids = append(ids, id)
			changed = changed || !w.recorded
		}
	}
	if c.awaitingReports {
		for id := range c.expectedWorkers {
			if _, known := c.workers[id]; !known {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return ids, changed || len(c.recordedWorkers) > len(ids)
}

// Recording records that a commit of a durable record with these workers is about to be sent. Until it is answered, the record is only
// known to name workers that both it and the one before name.
func (c *Cell) Recording(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	named := make(map[string]bool, len(ids))
	for _, id := range ids {
		named[id], c.namedWorkers[id] = true, true
	}
	maps.DeleteFunc(c.recordedWorkers, func(id string, _ bool) bool { return !named[id] })
	c.markRecorded()
}

// Recorded records that the durable record names exactly these workers.
func (c *Cell) Recorded(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.recordedWorkers)
	clear(c.namedWorkers)
	for _, id := range ids {
		c.recordedWorkers[id], c.namedWorkers[id] = true, true
	}
	c.markRecorded()
}
