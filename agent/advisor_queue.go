package agent

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/semaphore"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// maxAdvisorQueueWait is how long a call may wait at a host for the calls of other groups. It leaves the rest of adviseSlack
// for the round trips.
const maxAdvisorQueueWait = 200 * time.Millisecond

// queueTimeoutError says that a call was not sent to the advisor, since a host's other calls took too long.
type queueTimeoutError struct {
	Host string
}

// Error names the host.
func (e *queueTimeoutError) Error() string {
	return fmt.Sprintf("host %s is busy with other calls to the advisor", e.Host)
}

// advisorQueue passes the calls of all groups through this host to the advisor, in the order of their arrival. A call that
// waited in the advisor's own queue would be answered there even after its caller has given up, and its caller could not tell
// a busy host from one that is unreachable.
type advisorQueue struct {
	order.Advisor
	host string
	// slots has maxShortInFlight units, one for each short call; a long call takes them all.
	slots *semaphore.Weighted
}

func newAdvisorQueue(advisor order.Advisor, host string) *advisorQueue {
	return &advisorQueue{Advisor: advisor, host: host, slots: semaphore.NewWeighted(maxShortInFlight)}
}

// Advise implements order.Advisor. The deadline of ctx, a call's expected duration and adviseSlack, says whether it is short.
func (q *advisorQueue) Advise(ctx context.Context, step graph.StepID, workers []string) ([]order.Permit, time.Duration, error) {
	n := int64(maxShortInFlight)
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= maxShortCallDuration+adviseSlack {
		n = 1
	}
	wait, cancel := context.WithTimeout(ctx, maxAdvisorQueueWait)
	defer cancel()
	if err := q.slots.Acquire(wait, n); err != nil {
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
		return nil, 0, &queueTimeoutError{q.host}
	}
	defer q.slots.Release(n)
	return q.Advisor.Advise(ctx, step, workers)
}
