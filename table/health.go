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
	// silentTimes is how many times the usual time of an answer a call may be out, where that is longer.
	silentTimes = 2
	// latencyWeight is the weight of a new answer in the usual time, which counts for latencyFor.
	latencyWeight = 0.3
	latencyFor    = 3 * time.Second
	// patienceTimes is how many times the usual time a call is given, and patienceMost bounds that.
	patienceTimes = 2.5
	patienceMost  = 4 * time.Second
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
	// latency is the usual time of an answer, as of answered.
	latency  time.Duration
	answered time.Time
}

// NewHealth returns a store that watches another.
func NewHealth(s Store) *Health { return &Health{store: s, out: map[int]time.Time{}} }

// Reachable reports whether the table answers this host, as far as its calls show.
func (h *Health) Reachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	silent := max(silentCall, silentTimes*h.usual(now))
	for _, sent := range h.out {
		if now.Sub(sent) > silent && h.good.Before(sent) {
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

// Latency returns the usual time of an answer, by those of the last seconds; 0 without any.
func (h *Health) Latency(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.usual(now)
}

func (h *Health) usual(now time.Time) time.Duration {
	if now.Sub(h.answered) > latencyFor {
		return 0
	}
	return h.latency
}

// Patience returns how long a call should be given that usually gets base: a slow table must not be asked again and again.
func (h *Health) Patience(base time.Duration, now time.Time) time.Duration {
	return max(base, min(patienceMost, time.Duration(patienceTimes*float64(h.Latency(now)))))
}

// took notes the time of an answer.
func (h *Health) took(since, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.answered) > latencyFor {
		h.latency = now.Sub(since)
	} else {
		h.latency += time.Duration(latencyWeight * float64(now.Sub(since)-h.latency))
	}
	h.answered = now
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
	since := time.Now()
	id := h.begin(since)
	v, err := h.store.Commit(ctx, tx)
	h.end(id, err, time.Now())
	if !away(err) {
		h.took(since, time.Now())
	}
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
