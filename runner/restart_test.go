package runner_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// An idle worker that has restarted as another kind, and is listed as it was before, must not get work by its old entry.
func TestIdleWorkerThatChangedGetsNoWorkByItsOldEntry(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(w *order.Worker)
		step   graph.Step
	}{
		{"less capacity", func(w *order.Worker) { w.Capacity.CPUMilli = 8000 }, graph.Step{Count: 4, Size: cores(4)}},
		{"other label", func(w *order.Worker) { w.Labels = []string{"kind1"} }, graph.Step{Count: 4, Size: cores(4), Label: "kind0"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster(t, 3, bigWorker)
				s.workers.Outcome = fixedDuration(time.Second)
				r, stop := s.runner()
				defer stop()
				time.Sleep(time.Second)
				s.workers.TakeDown("w0")
				time.Sleep(time.Second)
				s.registry.replaceLater(s.workers.Restart("w0", test.change))
				time.Sleep(100 * time.Millisecond)
				s.submit("00000000000000aa", test.step)
				s.awaitState(r, "00000000000000aa", graph.Completed, 20*time.Second)
				s.assertNoFaults()
			})
		})
	}
}

// A poll that was sent to an earlier incarnation of a worker names the lease's end on that one's clock, so the new one renews its lease
// when it carries the poll out late, and its tasks must not be started elsewhere before that lease has expired.
func TestLatePollRenewsLeaseOfNewIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = fixedDuration(20 * time.Second)
		s.workers.SetUnreachable("w1", true)
		var delayNextPoll, cut atomic.Bool
		pollDelayed := make(chan struct{})
		s.workers.SetFault(func(call fakes.OrderCall) fakes.OrderFault {
			switch {
			case call.Worker != "w0":
			case call.Op == fakes.OpPoll && delayNextPoll.CompareAndSwap(true, false):
				close(pollDelayed)
				return fakes.OrderFault{Transit: 9 * time.Second}
			case cut.Load():
				return fakes.OrderFault{Kind: fakes.OrderDropped}
			}
			return fakes.OrderFault{}
		})
		r, stop := s.runner()
		defer stop()
		time.Sleep(time.Minute)
		s.submit("00000000000000aa", graph.Step{Count: 1, Size: cores(4)})
		time.Sleep(2 * time.Second)
		delayNextPoll.Store(true)
		<-pollDelayed
		s.registry.replaceLater(s.workers.Crash("w0"))
		time.Sleep(4 * time.Second)
		cut.Store(true)
		s.workers.SetUnreachable("w1", false)
		time.Sleep(20 * time.Second)
		cut.Store(false)
		s.awaitState(r, "00000000000000aa", graph.Completed, 90*time.Second)
		s.assertNoFaults()
	})
}

// An idle worker that restarts as another kind soon after its last report must not get work by its old entry either.
func TestWorkerThatChangedSinceItsLastReportGetsNoWorkByItsOldEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, bigWorker)
		s.workers.Outcome = fixedDuration(100 * time.Millisecond)
		r, stop := s.runner()
		defer stop()
		s.submit("00000000000000aa", graph.Step{Count: 1, Size: cores(4)})
		s.awaitState(r, "00000000000000aa", graph.Completed, 20*time.Second)
		time.Sleep(100 * time.Millisecond)
		s.workers.TakeDown("w0")
		time.Sleep(700 * time.Millisecond)
		s.registry.replaceLater(s.workers.Restart("w0", func(w *order.Worker) { w.Capacity.CPUMilli = 8000 }))
		time.Sleep(100 * time.Millisecond)
		s.submit("00000000000000bb", graph.Step{Count: 4, Size: cores(4)})
		s.awaitState(r, "00000000000000bb", graph.Completed, 20*time.Second)
		s.assertNoFaults()
	})
}
