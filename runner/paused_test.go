package runner_test

import (
	"context"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// leaseRecorder records the lease that a worker is given by the first order of a kind after armed is set.
type leaseRecorder struct {
	order.Workers
	// op is the kind of order.
	op    string
	armed atomic.Bool
	// leaseUntil is the end of the lease on the worker's clock, and sentAt when it was sent.
	leaseUntil time.Duration
	sentAt     time.Time
}

func (w *leaseRecorder) record(op string, leaseUntil time.Duration) {
	if op == w.op && w.armed.CompareAndSwap(true, false) {
		w.leaseUntil, w.sentAt = leaseUntil, time.Now()
	}
}

// Start implements order.Workers.
func (w *leaseRecorder) Start(ctx context.Context, to *order.Worker, o order.Start) (time.Duration, error) {
	w.record(fakes.OpStart, o.LeaseUntil)
	return w.Workers.Start(ctx, to, o)
}

// Poll implements order.Workers.
func (w *leaseRecorder) Poll(ctx context.Context, to *order.Worker, o order.Poll) (order.Report, error) {
	w.record(fakes.OpPoll, o.LeaseUntil)
	return w.Workers.Poll(ctx, to, o)
}

// isCalledBy reports whether a function with the given name is on the stack.
func isCalledBy(name string) bool {
	pcs := make([]uintptr, 16)
	frames := runtime.CallersFrames(pcs[:runtime.Callers(1, pcs)])
	for {
		frame, more := frames.Next()
		if strings.HasSuffix(frame.Function, name) {
			return true
		}
		if !more {
			return false
		}
	}
}

// A holder that stands still after it has checked its own lease must not give a worker a lease that counts from the time after that: the
// next holder does not wait for it.
func TestLeaseOfOrderCountsFromCheckOfOwnLease(t *testing.T) {
	const pause = elect.HoldTimeout + time.Second
	for _, test := range []struct {
		op string
		// caller is the method of the runner that checks its lease before the pause.
		caller string
		// numStarts is how many runs the worker has before.
		numStarts int
	}{
		{fakes.OpStart, ".sendStart", 0},
		{fakes.OpPoll, ".pollLoop", 1},
	} {
		t.Run(test.op, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster(t, 1, bigWorker)
				s.workers.Outcome = fixedDuration(time.Minute)
				orders := &leaseRecorder{Workers: s.workers, op: test.op}
				s.orders = orders
				var armed atomic.Bool
				s.sinceBoot = func() time.Duration {
					now := time.Since(s.startedAt)
					if armed.Load() && isCalledBy(".holds") && isCalledBy(test.caller) && armed.CompareAndSwap(true, false) {
						time.Sleep(pause)
						orders.armed.Store(true)
					}
					return now
				}
				_, stop := s.runner()
				time.Sleep(time.Second)
				armed.Store(test.numStarts == 0)
				s.submit("00000000000000aa", graph.Step{Count: 1, Size: cores(1)})
				time.Sleep(time.Second)
				qt.Assert(t, s.workers.NumStarts(), qt.Equals, test.numStarts)
				armed.Store(test.numStarts > 0)
				time.Sleep(2 * pause)
				stop()
				qt.Assert(t, orders.leaseUntil > 0, qt.IsTrue)
				// The worker's clock started with the cluster.
				remaining := orders.leaseUntil - orders.sentAt.Sub(s.startedAt)
				qt.Assert(t, remaining <= lease-pause, qt.IsTrue, qt.Commentf("%v left of the lease after a pause of %v", remaining, pause))
			})
		})
	}
}
