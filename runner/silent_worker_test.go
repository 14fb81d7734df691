package runner_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
)

// maxLastingIdle is how long a task that lasts may stay without a run, counted from the end of the last one.
const maxLastingIdle = 9 * time.Second

// lastingAdvice is that of a queue of lasting tasks.
var lastingAdvice = queues.Advice{Base: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, Validity: 2 * time.Second}

// slowAdvisor answers each request after its expected duration, except that it refuses some, as a host does that is busy with other calls.
type slowAdvisor struct {
	permissiveAdvisor
	refusals atomic.Int32
}

// busyAfter is how long a busy host takes to refuse a request.
const busyAfter = 200 * time.Millisecond

// Advise implements runner.Advisors.
func (a *slowAdvisor) Advise(ctx context.Context, request cell.AdviceRequest) ([]order.Permit, time.Duration, error) {
	if a.refusals.Add(-1) >= 0 {
		time.Sleep(busyAfter)
		return nil, 0, &order.AdvisorBusyError{}
	}
	time.Sleep(request.Cost)
	return a.permissiveAdvisor.Advise(ctx, request)
}

// failingDials lets the connections for some starts time out, as they do to another worker that has lost power and does not count as silent yet.
type failingDials struct {
	*fakes.WorkerSet
	remaining atomic.Int32
}

// Start implements order.Workers.
func (f *failingDials) Start(ctx context.Context, w *order.Worker, o order.Start) (time.Duration, error) {
	if f.remaining.Add(-1) >= 0 {
		<-ctx.Done()
		return 0, &order.NotSentError{Worker: w.ID, Err: ctx.Err()}
	}
	return f.WorkerSet.Start(ctx, w, o)
}

// newLastingCluster returns a cluster whose queue is that of lasting tasks, with its advisor.
func newLastingCluster(t *testing.T, numWorkers int) (*cluster, *slowAdvisor) {
	t.Helper()
	s := newCluster(t, numWorkers, bigWorker)
	advisor := &slowAdvisor{}
	s.advisor = advisor
	s.configs.Install(&queues.Config{Version: 2, Queues: []queues.Queue{{Name: queue, Service: service, Advice: &lastingAdvice}}})
	s.workers.Outcome = func(string, graph.TaskID, int) (time.Duration, order.EndKind) { return time.Hour, order.EndFailed }
	return s, advisor
}

// awaitRun waits until a task runs on some worker, and returns that.
func (s *cluster) awaitRun(timeout time.Duration) string {
	s.c.Helper()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, w := range s.registry.list() {
			if !s.workers.IsDown(w.ID) && s.workers.NumRunning(w.ID) > 0 {
				return w.ID
			}
		}
	}
	s.c.Fatalf("nothing runs after %v", timeout)
	return ""
}

// Guards against lasting tasks that stay without a run for too long after their worker has lost power, since its lease is renewed in vain, its end
// is noticed late, and advice is requested only then.
func TestLastingTaskRunsAgainSoonAfterWorkerFallsSilent(t *testing.T) {
	const pollPhases, phase = 20, 50 * time.Millisecond
	for i := range pollPhases {
		for _, test := range []struct {
			name                 string
			refusals, dialErrors int32
		}{
			{"nothing else fails", 0, 0},
			{"a request for advice is refused", 1, 0},
			{"two requests are refused, and a start can't be sent", 2, 1},
		} {
			t.Run(fmt.Sprintf("%v into a poll, %s", time.Duration(i)*phase, test.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s, advisor := newLastingCluster(t, 11)
					dials := &failingDials{WorkerSet: s.workers}
					s.orders = dials
					_, stop := s.runner()
					defer stop()
					s.submit("00000000000000aa", graph.Step{Count: 1, Size: cores(4), LongRunning: true})
					used := s.awaitRun(5 * time.Second)
					time.Sleep(3*time.Second + time.Duration(i)*phase)
					advisor.refusals.Store(test.refusals)
					dials.remaining.Store(test.dialErrors)
					s.workers.PowerOff(used)
					diedAt := time.Now()
					s.awaitRun(time.Minute)
					s.c.Check(time.Since(diedAt) < maxLastingIdle, qt.IsTrue, qt.Commentf("idle for %v", time.Since(diedAt)))
					s.assertNoFaults()
				})
			})
		}
	}
}

// Guards against take-overs that wait for all orders that a dead holder might have sent, although it had stopped renewing the leases of a silent
// worker long before.
func TestTakeoverKnowsSinceWhenWorkerIsSilent(t *testing.T) {
	for _, test := range []struct {
		name string
		// killedAfter is how long after the worker has fallen silent the holder is killed for good.
		killedAfter time.Duration
		fallSilent  func(workers *fakes.WorkerSet)
	}{
		{"dead worker, holder killed soon", 3 * time.Second, func(workers *fakes.WorkerSet) { workers.PowerOff("w0") }},
		{"dead worker, holder killed late", 5 * time.Second, func(workers *fakes.WorkerSet) { workers.PowerOff("w0") }},
		{"worker that is cut off", 3 * time.Second, func(workers *fakes.WorkerSet) { workers.SetUnreachable("w0", true) }},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(2)
				n.startTask(t)
				first, next := n.findHost("host0"), n.findHost("host1")
				qt.Assert(t, first.currentRunner(), qt.IsNotNil)
				qt.Assert(t, n.workers.NumRunning("w0"), qt.Equals, 1)
				time.Sleep(3 * time.Second)
				test.fallSilent(n.workers)
				silentAt := time.Now()
				time.Sleep(test.killedAfter)
				first.kill()
				for n.workers.NumRunning("w1") == 0 && time.Since(silentAt) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				qt.Check(t, time.Since(silentAt) < maxLastingIdle, qt.IsTrue, qt.Commentf("idle for %v", time.Since(silentAt)))
				n.checkNoTaskRunsTwice(t, next)
			})
		})
	}
}

// Guards against take-overs that wait for a worker that was idle at the release and has died unnoticed: idle workers are not polled.
func TestTakeoverDoesNotWaitForIdleWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 2, bigWorker)
		s.workers.Outcome = fixedDuration(time.Hour)
		r, stop := s.runner()
		s.submit("00000000000000aa", graph.Step{Count: 1, Size: cores(4), LongRunning: true})
		used := s.awaitRun(5 * time.Second)
		time.Sleep(3 * time.Second)
		for _, w := range s.registry.list() {
			if w.ID != used {
				s.workers.PowerOff(w.ID)
				s.registry.remove(w.ID)
			}
		}
		time.Sleep(time.Second)
		stop()
		s.handOverUnconfirmed(r)
		s.registry.replaceLater(s.workers.Crash(used))
		_, stop = s.runner()
		defer stop()
		s.awaitRun(registryLag + time.Second)
		s.assertNoFaults()
	})
}

// Guards against lasting tasks that wait, after their holder has died, for a silent worker on which they did not run. Those that ran there must wait.
func TestLastingTaskWaitsOnlyForItsOwnWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 4, bigWorker)
		s.workers.Outcome = fixedDuration(time.Hour)
		_, kill := s.runner()
		s.submit("00000000000000aa", graph.Step{Count: 2, Size: cores(4), LongRunning: true, MaxPerWorker: 1})
		time.Sleep(3 * time.Second)
		var used []string
		for _, w := range s.registry.list() {
			if s.workers.NumRunning(w.ID) > 0 {
				used = append(used, w.ID)
			}
		}
		s.c.Assert(used, qt.HasLen, 2)
		kill()
		killedAt := time.Now()
		s.workers.SetUnreachable(used[0], true)
		s.registry.replaceLater(s.workers.Crash(used[1]))
		_, kill = s.runner()
		defer kill()
		time.Sleep(registryLag + time.Second)
		s.c.Assert(s.workers.NumStarts(), qt.Equals, 3)
		for s.workers.NumStarts() == 3 && time.Since(killedAt) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		s.c.Assert(time.Since(killedAt) >= lease, qt.IsTrue)
		s.c.Assert(time.Since(killedAt) < lease+time.Second, qt.IsTrue)
		s.assertNoFaults()
	})
}

// Guards against take-overs that know nothing of the runs since a host in between has stopped before it had read the group's jobs.
func TestHostThatStopsBeforeItsFirstOrderPassesOnWhatItWasTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3)
		n.startTask(t)
		first, second, third := n.findHost("host0"), n.findHost("host1"), n.findHost("host2")
		n.workers.SetUnreachable("w0", true)
		time.Sleep(2 * time.Second)
		n.store.SetLatency(300 * time.Millisecond)
		first.stop()
		for second.currentRunner() == nil {
			time.Sleep(time.Millisecond)
		}
		second.stop()
		n.store.SetLatency(4 * time.Millisecond)
		for third.currentRunner() == nil || !third.currentRunner().Ready() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		// A task that is known to run on w0 must not keep those of restored jobs back: nothing else may run there.
		qt.Check(t, third.currentRunner().Cell().UnreportedWorkers(time.Now()), qt.HasLen, 0)
		n.checkNoTaskRunsTwice(t, third)
	})
}

// Guards against lasting tasks that wait for all orders that a dead holder might have sent, if it has died soon after their worker.
func TestLastingTaskRunsAgainSoonAfterWorkerAndHolderDie(t *testing.T) {
	for _, killedAfter := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond} {
		t.Run(fmt.Sprintf("holder dies %v later", killedAfter), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(2)
				n.startTask(t)
				time.Sleep(3 * time.Second)
				n.workers.PowerOff("w0")
				diedAt := time.Now()
				time.Sleep(killedAfter)
				n.findHost("host0").kill()
				for n.workers.NumRunning("w1") == 0 && time.Since(diedAt) < time.Minute {
					time.Sleep(10 * time.Millisecond)
				}
				qt.Check(t, time.Since(diedAt) < maxLastingIdle, qt.IsTrue, qt.Commentf("idle for %v", time.Since(diedAt)))
				n.checkNoTaskRunsTwice(t, n.findHost("host1"))
			})
		})
	}
}

// Guards against lasting tasks that wait for a late renewal of a lease, sent before their worker restarted, after it has died.
func TestLastingTaskRunsAgainSoonAfterRestartedWorkerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 3, bigWorker)
		s.workers.Outcome = fixedDuration(time.Hour)
		spare := s.registry.list()[2]
		s.registry.remove(spare.ID)
		_, stop := s.runner()
		defer stop()
		s.submit("00000000000000aa", graph.Step{Count: 2, Size: cores(4), LongRunning: true, MaxPerWorker: 1})
		time.Sleep(3 * time.Second)
		s.registry.replaceLater(s.workers.Crash("w0"))
		for s.workers.NumRunning("w0") == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		s.registry.changes <- func(changed func(order.Worker), _ func(string)) { changed(spare) }
		time.Sleep(5 * time.Second)
		s.workers.PowerOff("w0")
		diedAt := time.Now()
		for s.workers.NumRunning(spare.ID) == 0 && time.Since(diedAt) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		s.c.Check(time.Since(diedAt) < maxLastingIdle, qt.IsTrue, qt.Commentf("idle for %v", time.Since(diedAt)))
		s.assertNoFaults()
	})
}
