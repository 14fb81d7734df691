package table

import (
	"context"
	"errors"
	"sync"
	"time"
)

// Limits after which the table counts as unreachable, and timeouts of calls.
const (
	// minUnresponsiveTime is how long a call that should be answered at once may be in flight.
	minUnresponsiveTime = 500 * time.Millisecond
	// unresponsiveFactor is how many times the current latency a call may be in flight, where that is longer.
	unresponsiveFactor = 2
	// latencyWeight is the weight of a new answer in the moving average of the latency, which is valid for latencyTTL.
	latencyWeight = 0.3
	latencyTTL    = 3 * time.Second
	// timeoutFactor is the timeout of a call as a multiple of the current latency; maxTimeout bounds the result.
	timeoutFactor = 2.5
	maxTimeout    = 4 * time.Second
	// failureGrace is how long after a successful call the failure of another call is ignored.
	failureGrace = 150 * time.Millisecond
)

// Health is a Store that passes calls to another and tracks whether it answers.
type Health struct {
	store Store

	mu          sync.Mutex
	lastSuccess time.Time
	lastFailure time.Time
	lastID      int
	inFlight    map[int]time.Time
	// latency is the moving average of the time to an answer, last updated at latencyAt.
	latency   time.Duration
	latencyAt time.Time
}

// NewHealth returns a Health that passes calls to s.
func NewHealth(s Store) *Health { return &Health{store: s, inFlight: map[int]time.Time{}} }

// Reachable reports whether the table answers this host, judged by the calls of this host.
func (h *Health) Reachable(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	limit := h.maxInFlight(now)
	for _, sentAt := range h.inFlight {
		if now.Sub(sentAt) > limit && h.lastSuccess.Before(sentAt) {
			return false
		}
	}
	return !h.lastFailure.After(h.lastSuccess.Add(failureGrace))
}

// UnreachableFor returns the time since the table last answered this host; 0 before the first answer.
func (h *Health) UnreachableFor(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lastSuccess.IsZero() {
		return 0
	}
	return now.Sub(h.lastSuccess)
}

// Latency returns the average time to an answer over the last seconds; 0 without any answer.
func (h *Health) Latency(now time.Time) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.currentLatency(now)
}

func (h *Health) currentLatency(now time.Time) time.Duration {
	if now.Sub(h.latencyAt) > latencyTTL {
		return 0
	}
	return h.latency
}

// Timeout returns the timeout of a call whose usual timeout is base. It grows with the latency, because calls to a slow table
// that time out and are retried add to its load.
func (h *Health) Timeout(base time.Duration, now time.Time) time.Duration {
	return max(base, min(maxTimeout, time.Duration(timeoutFactor*float64(h.Latency(now)))))
}

// recordLatency records an answer, received at now, to a call sent at sentAt.
func (h *Health) recordLatency(sentAt, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.latencyAt) > latencyTTL {
		h.latency = now.Sub(sentAt)
	} else {
		h.latency += time.Duration(latencyWeight * float64(now.Sub(sentAt)-h.latency))
	}
	h.latencyAt = now
}

func (h *Health) begin(now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastID++
	h.inFlight[h.lastID] = now
	return h.lastID
}

// end records the outcome of a call. One that its caller has given up says nothing, unless it was in flight for too long.
func (h *Health) end(ctx context.Context, id int, err error, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sentAt := h.inFlight[id]
	delete(h.inFlight, id)
	var noMemory *AnswerLimitError
	switch {
	case !isUnreachable(err), errors.As(err, &noMemory):
		h.lastSuccess = now
	case ctx.Err() == nil, now.Sub(sentAt) > h.maxInFlight(now):
		h.lastFailure = now
	}
}

// maxInFlight returns how long a call that should be answered at once may be in flight; h.mu must be held.
func (h *Health) maxInFlight(now time.Time) time.Duration {
	return max(minUnresponsiveTime, unresponsiveFactor*h.currentLatency(now))
}

// Answered records that the table has answered a call that was not made through h.
func (h *Health) Answered(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastSuccess = now
}

// Commit implements Store.
func (h *Health) Commit(ctx context.Context, tx Tx) (uint64, error) {
	sentAt := time.Now()
	id := h.begin(sentAt)
	v, err := h.store.Commit(ctx, tx)
	h.end(ctx, id, err, time.Now())
	if !isUnreachable(err) {
		h.recordLatency(sentAt, time.Now())
	}
	return v, err
}

// Read implements Store.
func (h *Health) Read(ctx context.Context, r Range) (Page, error) {
	id := h.begin(time.Now())
	page, err := h.store.Read(ctx, r)
	h.end(ctx, id, err, time.Now())
	return page, err
}

// Changes implements Store; the time that a call may wait for changes does not count as time in flight.
func (h *Health) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error) {
	id := h.begin(time.Now().Add(wait))
	c, err := h.store.Changes(ctx, table, after, wait)
	h.end(ctx, id, err, time.Now())
	return c, err
}
