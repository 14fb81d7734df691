package table

import (
	"context"
	"sync"
	"time"
)

// Times after which the table counts as away.
const (
	// silentCall is how long a call that should be answered at once may be out.
	silentCall = 500 * time.Millisecond
	// goodFor is how long a good answer outweighs a later failure of another call.
	goodFor = 150 * time.Millisecond
)

// Health passes calls to a store and knows whether it answers.
type Health struct {
	store Store

	mu   sync.Mutex
	good time.Time
	bad  time.Time
	next int
	out  map[int]time.Time
}

// NewHealth returns a store that watches another.
func NewHealth(s Store) *Health { return &Health{store: s, out: map[int]time.Time{}} }

// Reachable reports whether the table answers this host, as far as its calls show.
func (h *Health) Reachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, sent := range h.out {
		if now.Sub(sent) > silentCall && h.good.Before(sent) {
			return false
		}
	}
	return !h.bad.After(h.good.Add(goodFor))
}

// Away returns for how long the table has not answered this host.
func (h *Health) Away(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.good.IsZero() {
		return 0
	}
	return now.Sub(h.good)
}

func (h *Health) begin(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.next++
	h.out[h.next] = now
	return h.next
}

func (h *Health) end(id int, err error, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.out, id)
	if away(err) {
		h.bad = now
		return
	}
	h.good = now
}

// Commit implements Store.
func (h *Health) Commit(ctx context.Context, tx Tx) (uint64, error) {
	id := h.begin(time.Now())
	v, err := h.store.Commit(ctx, tx)
	h.end(id, err, time.Now())
	return v, err
}

// Read implements Store.
func (h *Health) Read(ctx context.Context, r Range) (Page, error) {
	id := h.begin(time.Now())
	page, err := h.store.Read(ctx, r)
	h.end(id, err, time.Now())
	return page, err
}

// Changes implements Store; a call that waits for changes is not expected back at once.
func (h *Health) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error) {
	id := h.begin(time.Now().Add(wait))
	c, err := h.store.Changes(ctx, table, after, wait)
	h.end(id, err, time.Now())
	return c, err
}
