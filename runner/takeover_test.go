package runner_test

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

// A start that a replaced runner sends after it stood still must not run beside the next one's on a worker that has lost its token.
func TestStartOfReplacedRunnerToRestartedWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		log := logrus.New()
		log.SetOutput(io.Discard)
		workers := fakes.NewWorkerSet(lease)
		workers.Outcome = fixedDuration(4 * time.Second)
		n := &network{
			store: fakes.NewTable(), workers: workers, registry: fakes.NewRegistry(300 * time.Millisecond), configs: &queues.Store{},
			advisor: &permissiveAdvisor{}, log: log, startedAt: time.Now(),
		}
		n.configs.Install(&queues.Config{Version: 1, Queues: []queues.Queue{{Name: queue, Service: service}}})
		w0 := workers.Add(order.Worker{ID: "w0", Service: service, Capacity: bigWorker})
		n.registry.Set(w0)
		n.registry.Set(workers.Add(order.Worker{ID: "w1", Service: service, Capacity: bigWorker}))
		n.startHost(0, "process0")
		time.Sleep(time.Second)
		n.startHost(1, "process1")
		time.Sleep(time.Second)
		old, next := n.findHost("host0"), n.findHost("host1")
		old.mu.Lock()
		old.freezeAtStart = 5 * time.Second
		old.mu.Unlock()
		step := graph.Step{Count: 1, Size: cores(1)}
		doc := &graph.Job{ID: jobName(0), Queue: queue, Service: service, Steps: []graph.Step{step}, AcceptedAt: time.Now(), MaxAttempts: 3, Stretch: 2}
		raw, err := doc.Encode()
		c.Assert(err, qt.IsNil)
		workers.SetStep(graph.StepID{Job: doc.ID}, &step, false)
		key := table.Key{Table: runner.TableJobs(service), Partition: runner.JobPartition(service, doc.ID), Name: doc.ID}
		_, err = n.store.Apply(table.Tx{Writes: []table.Write{{Key: key, Value: raw}}})
		c.Assert(err, qt.IsNil)
		for !old.isFrozen() {
			time.Sleep(10 * time.Millisecond)
		}
		// The next runner polls the draining worker, but places the task on the other one.
		w0.Draining, w0.Remaining = true, time.Minute
		n.registry.Set(w0)
		for next.currentRunner() == nil || workers.NumStarts() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		c.Assert(old.isFrozen(), qt.IsTrue)
		workers.Crash("w0")
		for old.currentRunner() != nil {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(time.Second)
		violations := workers.Violations()
		for _, h := range []*host{old, next} {
			h.kill()
			h.wg.Wait()
		}
		time.Sleep(10 * time.Second)
		c.Assert(violations, qt.HasLen, 0)
	})
}

// A worker whose report lists only some of its ends has not told yet which tasks are done: the others would be run again after a takeover.
func TestTakeoverWaitsForEndsBeyondReportLimit(t *testing.T) {
	for _, test := range []struct {
		name    string
		maxEnds int
		// latency is that of the table, in which ends are recorded before they are acknowledged.
		latency time.Duration
	}{
		{"two reports", 10, 4 * time.Millisecond},
		{"many reports", 3, 4 * time.Millisecond},
		{"exactly one report", 16, 4 * time.Millisecond},
		{"reports take longer than a lease", 1, 500 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const numTasks = 32
				s := newCluster(t, 2, bigWorker)
				s.workers.MaxListedEnds = test.maxEnds
				s.workers.Outcome = fixedDuration(2 * time.Second)
				_, kill := s.runner()
				s.submit("00000000000000aa", graph.Step{Count: numTasks, Size: cores(1)}, graph.Step{Count: 1, Size: cores(1), After: []int{0}})
				time.Sleep(time.Second)
				s.c.Assert(s.workers.NumStarts(), qt.Equals, numTasks)
				kill()
				time.Sleep(1500 * time.Millisecond)
				s.store.SetLatency(test.latency)
				r, stop := s.runner()
				defer stop()
				s.awaitState(r, "00000000000000aa", graph.Completed, time.Minute)
				s.assertNoFaults()
				s.c.Assert(s.workers.NumStarts(), qt.Equals, numTasks+1)
			})
		})
	}
}

// Guards against a group that nobody runs because the answer to the request that acquired its lease was lost: other hosts wait until the
// lease has not been renewed for long, and then for orders that were never sent.
func TestLeaseAcquiredWithoutAnswerIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(2)
		n.startTask(t)
		first, second := n.findHost("host0"), n.findHost("host1")
		second.mu.Lock()
		second.loseNextReply = true
		second.mu.Unlock()
		first.stop()
		stoppedAt := time.Now()
		for second.currentRunner() == nil || !second.currentRunner().Ready() {
			time.Sleep(time.Millisecond)
		}
		qt.Check(t, time.Since(stoppedAt) < time.Second, qt.IsTrue, qt.Commentf("after %v", time.Since(stoppedAt)))
		n.checkNoTaskRunsTwice(t, second)
	})
}
