package runner_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

var errReplyLost = errors.New("reply lost")

// lostFirstStarts carries out the first start of each run, loses the reply, and answers its repetition with an error.
type lostFirstStarts struct {
	*fakes.WorkerSet
	rejection func(worker string) error

	mu            sync.Mutex
	attempts      map[graph.TaskID]int
	numRejections int
}

func (l *lostFirstStarts) countAttempt(task graph.TaskID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts[task]++
	if l.attempts[task] == 2 {
		l.numRejections++
	}
	return l.attempts[task]
}

// Start implements order.Workers.
func (l *lostFirstStarts) Start(ctx context.Context, w *order.Worker, o order.Start) (time.Duration, error) {
	attempt := l.countAttempt(o.Task)
	if attempt == 2 {
		return 0, l.rejection(w.ID)
	}
	clock, err := l.WorkerSet.Start(ctx, w, o)
	if attempt == 1 && err == nil {
		return 0, &order.UnansweredError{Worker: w.ID, Err: errReplyLost}
	}
	return clock, err
}

// A start whose reply is lost and whose repetition is rejected must not free the capacity of the run that it has started.
func TestRejectedRepetitionOfUnansweredStartKeepsRun(t *testing.T) {
	rejected := func(reason order.RejectReason) func(string) error {
		return func(worker string) error { return &order.RejectedError{Worker: worker, Reason: reason} }
	}
	for _, test := range []struct {
		name      string
		rejection func(worker string) error
	}{
		{"busy worker", func(worker string) error { return &order.BusyError{Worker: worker, Status: 503} }},
		{"expired ticket", rejected(order.RejectTicket)},
		{"expired lease", rejected(order.RejectLate)},
		{"no capacity", rejected(order.RejectCapacity)},
		{"run number in use", rejected(order.RejectStale)},
		{"no answer", func(worker string) error { return &order.UnansweredError{Worker: worker, Err: errReplyLost} }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster(t, 2, bigWorker)
				s.workers.Outcome = fixedDuration(3 * time.Second)
				orders := &lostFirstStarts{WorkerSet: s.workers, rejection: test.rejection, attempts: map[graph.TaskID]int{}}
				s.orders = orders
				r, stop := s.runner()
				defer stop()
				s.submit("00000000000000aa", graph.Step{Count: 4, Size: cores(4)})
				s.submit("00000000000000bb", graph.Step{Count: 8, Size: cores(4)})
				s.awaitState(r, "00000000000000aa", graph.Completed, time.Minute)
				s.awaitState(r, "00000000000000bb", graph.Completed, time.Minute)
				s.assertNoFaults()
				s.c.Assert(orders.numRejections, qt.Equals, 12)
			})
		})
	}
}
