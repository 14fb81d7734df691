package runner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// rejectedStops rejects stops while rejecting is set, without carrying them out.
type rejectedStops struct {
	*fakes.WorkerSet
	rejecting     atomic.Bool
	numRejections atomic.Int32
}

// Stop implements order.Workers.
func (r *rejectedStops) Stop(ctx context.Context, w *order.Worker, o order.Stop) (time.Duration, error) {
	if r.rejecting.Load() {
		r.numRejections.Add(1)
		return 0, &order.RejectedError{Worker: w.ID, Reason: order.RejectInvalid}
	}
	return r.WorkerSet.Stop(ctx, w, o)
}

// A stop that its worker rejected counted as carried out, so that a late start was carried out beside the run that had replaced it.
func TestRejectedStopDoesNotFenceLateStart(t *testing.T) {
	for _, test := range []struct {
		name string
		// restart restarts the worker, whose new incarnation rejects the stops instead of the one before.
		restart bool
		transit time.Duration
	}{
		{"worker that was sent the start", false, 5 * time.Second},
		{"worker that has restarted", true, 9 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster(t, 2, bigWorker)
				s.workers.Outcome = fixedDuration(20 * time.Second)
				var late atomic.Pointer[fakes.OrderCall]
				s.workers.SetFault(func(call fakes.OrderCall) fakes.OrderFault {
					if call.Op == fakes.OpStart && (late.CompareAndSwap(nil, &call) || late.Load().Run == call.Run) {
						return fakes.OrderFault{Transit: test.transit}
					}
					return fakes.OrderFault{}
				})
				orders := &rejectedStops{WorkerSet: s.workers}
				s.orders = orders
				orders.rejecting.Store(!test.restart)
				r, stop := s.runner()
				defer stop()
				s.submit("00000000000000aa", graph.Step{Count: 1, Size: cores(4)})
				time.Sleep(100 * time.Millisecond)
				// The task is placed on the other worker once the run is given up.
				draining := s.workers.Worker(late.Load().Worker)
				draining.Draining = true
				s.registry.replaceLater(draining)
				time.Sleep(5 * time.Second)
				if test.restart {
					orders.rejecting.Store(true)
					s.registry.replaceLater(s.workers.Crash(draining.ID))
				}
				time.Sleep(2 * time.Second)
				orders.rejecting.Store(false)
				s.awaitState(r, "00000000000000aa", graph.Completed, time.Minute)
				s.assertNoFaults()
				s.c.Assert(orders.numRejections.Load() > 0, qt.IsTrue)
			})
		})
	}
}
