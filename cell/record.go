package cell

import (
	"slices"
	"time"
)

// Expect names the workers on which an earlier scheduler may have started tasks, and until when these may run there.
func (c *Cell) Expect(ids []string, until func(id string) time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.expected[id] = until(id)
		c.recorded[id] = true
	}
}

// Unknown returns the workers that an earlier scheduler used, that have not been looked at under this scheduler's token, and
// that may still run something of it; nothing was started on workers that are not on record.
func (c *Cell) Unknown(now time.Time) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var ids []string
	for id, until := range c.expected {
		w, ok := c.workers[id]
		if (!ok || !w.known) && now.Before(until) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Unsure returns for how long runs may still be on workers that can't be reached, counted from now.
func (c *Cell) Unsure(now time.Time) map[string]time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	unsure := map[string]time.Duration{}
	for id, until := range c.expected {
		if w, ok := c.workers[id]; !ok || !w.known {
			unsure[id] = max(0, until.Sub(now))
		}
	}
	for id, w := range c.workers {
		if w.known && c.silent(w) {
			unsure[id] = max(0, w.lastOrder().Add(c.settings.Lease+leaseSlack).Sub(now))
		}
	}
	return unsure
}

// Unrecorded returns the workers that have to be on record, and whether the record differs.
func (c *Cell) Unrecorded() ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.workers))
	changed := false
	for id, w := range c.workers {
		if w.listed || len(w.placed) > 0 {
			ids = append(ids, id)
			changed = changed || !c.recorded[id]
		}
	}
	if time.Now().Before(c.unknownUntil) {
		for id := range c.expected {
			if !slices.Contains(ids, id) {
				ids = append(ids, id)
			}
		}
	}
	slices.Sort(ids)
	return ids, changed || len(c.recorded) > len(ids)
}

// Recorded says that the record names just these workers.
func (c *Cell) Recorded(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.recorded)
	for _, id := range ids {
		c.recorded[id] = true
	}
}
