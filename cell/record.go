package cell

import (
	"slices"
	"time"
)

// Expect names the workers on which an earlier scheduler may have started tasks.
func (c *Cell) Expect(ids []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		c.expected[id] = true
		c.recorded[id] = true
	}
}

// AllKnown reports whether every listed or expected worker has been looked at under this scheduler's token.
func (c *Cell) AllKnown() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.expected {
		w, ok := c.workers[id]
		if !ok || !w.known {
			return false
		}
	}
	for _, w := range c.workers {
		if !w.known {
			return false
		}
	}
	return true
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
