package agent

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

const (
	// maxAdvisorQueueWait is how long a call may wait at a host for the calls of other groups. It leaves the rest of adviseSlack
	// for the round trips.
	maxAdvisorQueueWait = 200 * time.Millisecond
	// durationWeight is the weight of a new call in the moving mean of the ratio of calls' durations to the expected ones, which is kept within
	// a factor of maxDurationRatio.
	durationWeight   = 0.2
	maxDurationRatio = 4.0
)

// advisorQueue passes the calls of all groups through this host to the advisor, in the order of their arrival. A call that
// waited in the advisor's own queue would be answered there even after its caller has given up, and its caller could not tell
// a busy host from one that is unreachable.
type advisorQueue struct {
	order.Advisor
	host string
	// slots has maxShortInFlight units, one for each short call; a long call takes them all.
	slots *semaphore.Weighted

	mu sync.Mutex
	// expected is the sum of the expected durations of the calls that wait or are in flight, and servedSince when the first of them began.
	expected    time.Duration
	servedSince time.Time
	// durationRatio is the moving mean of the ratio of the durations of long calls to the expected ones.
	durationRatio float64
}

func newAdvisorQueue(advisor order.Advisor, host string) *advisorQueue {
	return &advisorQueue{Advisor: advisor, host: host, slots: semaphore.NewWeighted(maxShortInFlight), durationRatio: 1}
}

// Advise implements order.Advisor. The deadline of ctx, a call's expected duration and adviseSlack, says whether it is short. A call that would
// wait too long fails at once, so that its caller asks another host.
func (q *advisorQueue) Advise(ctx context.Context, step graph.StepID, workers []string) ([]order.Permit, time.Duration, error) {
	n, cost := int64(maxShortInFlight), time.Duration(0)
	if deadline, ok := ctx.Deadline(); ok {
		cost = max(0, time.Until(deadline)-adviseSlack)
		if cost <= maxShortCallDuration {
			n = 1
		}
	}
	expected, err := q.enter(cost)
	if err != nil {
		return nil, 0, err
	}
	served := false
	defer func() { q.leave(expected, served) }()
	wait, cancel := context.WithTimeout(ctx, maxAdvisorQueueWait)
	defer cancel()
	if err := q.slots.Acquire(wait, n); err != nil {
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		return nil, 0, &order.HostBusyError{Host: q.host, For: maxAdvisorQueueWait / 2}
	}
	defer q.slots.Release(n)
	served = true
	startedAt := time.Now()
	permits, validity, err := q.Advisor.Advise(ctx, step, workers)
	if err == nil && n > 1 && cost > 0 {
		q.observe(time.Since(startedAt), cost)
	}
	return permits, validity, err
}

// enter adds a call to those that wait or are in flight, and returns its expected duration; *order.HostBusyError if it would wait too long. The
// caller is told to come back a little before the host is free, so that it is there before the next call of the group that occupies the host.
func (q *advisorQueue) enter(cost time.Duration) (time.Duration, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := time.Now()
	if q.expected == 0 {
		q.servedSince = now
	}
	if wait := q.expected - now.Sub(q.servedSince); wait > maxAdvisorQueueWait {
		return 0, &order.HostBusyError{Host: q.host, For: wait - maxAdvisorQueueWait/2}
	}
	expected := time.Duration(q.durationRatio * float64(cost))
	q.expected += expected
	return expected, nil
}

// leave removes a call that was sent to the advisor and has ended, or was given up before.
func (q *advisorQueue) leave(expected time.Duration, served bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expected -= expected
	if served {
		q.servedSince = time.Now()
	}
}

// observe learns from the duration of a call.
func (q *advisorQueue) observe(took, cost time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	ratio := max(1/maxDurationRatio, min(took.Seconds()/cost.Seconds(), maxDurationRatio))
	q.durationRatio += durationWeight * (ratio - q.durationRatio)
}
