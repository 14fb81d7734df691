package runner_test

import (
	"fmt"
	"io"
	"net/netip"
	"sync"
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

// A holder that can't renew the group's lease must not start a task again because a worker is silent: the next holder may reach that
// worker and have renewed the lease of the run there, so that the task runs twice.
func TestTaskIsNotRepeatedWhileNextHolderMayRenewItsRun(t *testing.T) {
	for _, test := range []struct {
		name string
		// tableCutAfter is the time from the loss of the path to the worker to that of the table.
		tableCutAfter time.Duration
	}{
		{"the next holder comes long before the lease expires", 2800 * time.Millisecond},
		{"the next holder comes while the lease runs", 3200 * time.Millisecond},
		{"the next holder comes shortly before the lease expires", 3400 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(2)
				old, next := n.findHost("host0"), n.findHost("host1")
				n.startTask(t)
				// The end of the short run lets the next poll be sent as soon as the path is cut.
				n.submit(t, shortJob)
				for n.workers.NumStarts() < 2 {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(shortRun - 10*time.Millisecond)
				old.setPathFault("w0", fakes.OrderDropped)
				time.Sleep(test.tableCutAfter)
				old.setTableFault(fakes.TableNoReply)
				old.isolate()
				next.setPathFault("w1", fakes.OrderDropped)
				n.checkNoTaskRunsTwice(t, next)
			})
		})
	}
}

// A holder that waits for the leases of workers which it can't reach must not take them for expired after it has lost its own: the holder
// after it may have renewed them.
func TestTakeoverWaitIsNotOverWhileNextHolderMayRenewRuns(t *testing.T) {
	for _, test := range []struct {
		name       string
		handedOver bool
	}{
		{"runs handed over", true},
		{"runs not handed over", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(3)
				first, second, third := n.findHost("host0"), n.findHost("host1"), n.findHost("host2")
				n.startTask(t)
				second.setPathFault("w0", fakes.OrderDropped)
				third.setPathFault("w1", fakes.OrderDropped)
				if !test.handedOver {
					first.isolate()
				}
				first.stop()
				time.Sleep(1500 * time.Millisecond)
				qt.Check(t, second.currentRunner(), qt.IsNotNil)
				second.setTableFault(fakes.TableNoReply)
				second.isolate()
				n.checkNoTaskRunsTwice(t, third)
			})
		})
	}
}

// The jobs of these tests; each has one task, and that of shortJob takes shortRun.
const (
	longJob  = "long"
	shortJob = "short"
	shortRun = 300 * time.Millisecond
)

// newNetwork returns a network of hosts, of which the first runs the group, and two workers.
func newNetwork(numHosts int) *network {
	log := logrus.New()
	log.SetOutput(io.Discard)
	workers := fakes.NewWorkerSet(lease)
	workers.Outcome = func(_ string, task graph.TaskID, _ int) (time.Duration, order.EndKind) {
		if task.Job == shortJob {
			return shortRun, order.EndDone
		}
		return time.Minute, order.EndDone
	}
	n := &network{
		store: fakes.NewTable(), workers: workers, registry: fakes.NewRegistry(300 * time.Millisecond), configs: &queues.Store{},
		advisor: &ticketAdvisor{workers}, log: log, startedAt: time.Now(),
	}
	n.store.SetLatency(4 * time.Millisecond)
	advice := guardedAdvice
	n.configs.Install(&queues.Config{Version: 1, Queues: []queues.Queue{{Name: guardedQueue, Service: service, Advice: &advice}}})
	for _, id := range []string{"w0", "w1"} {
		n.registry.Set(workers.Add(order.Worker{ID: id, Service: service, Capacity: bigWorker}))
	}
	for rank := range numHosts {
		n.startHost(rank, "process")
		time.Sleep(time.Second)
	}
	return n
}

// submit accepts a job of one task that needs a ticket.
func (n *network) submit(t *testing.T, id string) {
	t.Helper()
	n.submitStep(t, id, graph.Step{Count: 1, Size: cores(1)})
}

// submitStep accepts a job of one step that needs tickets.
func (n *network) submitStep(t *testing.T, id string, step graph.Step) {
	t.Helper()
	doc := &graph.Job{
		ID: id, Queue: guardedQueue, Service: service, Steps: []graph.Step{step}, AcceptedAt: time.Now(), MaxAttempts: 3, Stretch: 2,
	}
	raw, err := doc.Encode()
	qt.Assert(t, err, qt.IsNil)
	n.workers.SetStep(graph.StepID{Job: id}, &step, true)
	key := table.Key{Table: runner.TableJobs(service), Partition: runner.JobPartition(service, id), Name: id}
	_, err = n.store.Apply(table.Tx{Writes: []table.Write{{Key: key, Value: raw}}})
	qt.Assert(t, err, qt.IsNil)
}

// startTask submits longJob and waits until its task runs on w0.
func (n *network) startTask(t *testing.T) {
	t.Helper()
	n.submit(t, longJob)
	for n.workers.NumStarts() == 0 {
		time.Sleep(time.Millisecond)
	}
}

// checkNoTaskRunsTwice waits until all holders but the given one have lost their leases, and checks the rules.
func (n *network) checkNoTaskRunsTwice(t *testing.T, holder *host) {
	t.Helper()
	time.Sleep(20 * time.Second)
	violations := n.workers.Violations()
	qt.Check(t, holder.currentRunner(), qt.IsNotNil)
	for _, h := range n.hosts {
		h.kill()
		h.wg.Wait()
	}
	time.Sleep(10 * time.Second)
	qt.Assert(t, violations, qt.HasLen, 0)
}

// A holder that can't renew the group's lease must not start a task again because its worker has restarted: the next holder may have
// recorded the task's end before that.
func TestDoneTaskIsNotRepeatedAfterRestartSeenByReplacedHolder(t *testing.T) {
	for _, test := range []struct {
		name    string
		address netip.AddrPort
	}{
		{"at the same address", netip.AddrPort{}},
		{"at another address", netip.AddrPortFrom(netip.IPv4Unspecified(), 9)},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(2)
				n.workers.Outcome = fixedDuration(4200 * time.Millisecond)
				old, next := n.findHost("host0"), n.findHost("host1")
				n.startTask(t)
				time.Sleep(500 * time.Millisecond)
				old.setPathFault("w0", fakes.OrderDropped)
				time.Sleep(500 * time.Millisecond)
				old.setTableFault(fakes.TableNoReply)
				old.isolate()
				next.setPathFault("w1", fakes.OrderDropped)
				time.Sleep(3400 * time.Millisecond)
				qt.Check(t, next.currentRunner(), qt.IsNotNil)
				n.workers.TakeDown("w0")
				time.Sleep(200 * time.Millisecond)
				n.registry.Set(n.workers.Restart("w0", func(w *order.Worker) { w.Address = test.address }))
				old.setPathFault("w0", fakes.OrderOK)
				n.checkNoTaskRunsTwice(t, next)
			})
		})
	}
}

// A host that does not see a short tenure, only its release, must wait for the orders of the holder before that: the task would run twice.
func TestTakeoverAfterUnseenTenureWaitsForOrdersOfReplacedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(3)
		first, second, third := n.findHost("host0"), n.findHost("host1"), n.findHost("host2")
		n.startTask(t)
		second.setPathFault("w0", fakes.OrderDropped)
		third.setPathFault("w0", fakes.OrderDropped)
		time.Sleep(time.Second)
		first.setTableFault(fakes.TableNoReply)
		first.isolate()
		time.Sleep(time.Second)
		third.setTableFault(fakes.TableNoReply)
		for second.currentRunner() == nil {
			time.Sleep(time.Millisecond)
		}
		second.stop()
		for second.currentRunner() != nil {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		n.store.DropHistory()
		third.setTableFault(fakes.TableOK)
		n.checkNoTaskRunsTwice(t, third)
	})
}

// A poll that was sent to an earlier incarnation of a worker may renew the lease of the new one's runs after the runner has changed: the
// next runner, which does not reach the worker, must not start their tasks elsewhere before that lease has expired.
func TestLatePollOfLastRunnerRenewsLeaseOfNewIncarnation(t *testing.T) {
	for _, test := range []struct {
		name       string
		handedOver bool
	}{
		{"runs handed over", true},
		{"runs not handed over", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(2)
				n.workers.SetUnreachable("w1", true)
				first, second := n.findHost("host0"), n.findHost("host1")
				second.setPathFault("w0", fakes.OrderDropped)
				time.Sleep(time.Minute)
				n.startTask(t)
				time.Sleep(2 * time.Second)
				delayed := make(chan struct{})
				var once sync.Once
				n.workers.SetFault(func(call fakes.OrderCall) fakes.OrderFault {
					fault := fakes.OrderFault{}
					if call.Worker == "w0" && call.Op == fakes.OpPoll {
						once.Do(func() {
							fault.Transit = 8 * time.Second
							close(delayed)
						})
					}
					return fault
				})
				<-delayed
				numStarts := n.workers.NumStarts()
				n.registry.Set(n.workers.Crash("w0"))
				for n.workers.NumStarts() == numStarts {
					time.Sleep(time.Millisecond)
				}
				time.Sleep(1500 * time.Millisecond)
				n.workers.SetUnreachable("w1", false)
				if !test.handedOver {
					first.isolate()
				}
				first.stop()
				n.checkNoTaskRunsTwice(t, second)
			})
		})
	}
}

// A commit without a renewal must not let a holder send orders for longer than the next one waits, however long it stood still after it had
// checked that the last renewal is recent.
func TestCommitWithoutRenewalAfterPauseDoesNotProlongOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 2100 * time.Millisecond
		n := newNetwork(2)
		n.workers.Outcome = func(_ string, task graph.TaskID, _ int) (time.Duration, order.EndKind) {
			if task.Job == longJob {
				return time.Minute, order.EndDone
			}
			return shortRun, order.EndDone
		}
		old, next := n.findHost("host0"), n.findHost("host1")
		n.startTask(t)
		next.setPathFault("w0", fakes.OrderDropped)
		old.setPathFault("w1", fakes.OrderDropped)
		old.freezeAfterRenewalCheck(pause)
		for i := 0; !old.isFrozen(); i++ {
			n.submit(t, fmt.Sprintf("%s%d", shortJob, i))
			time.Sleep(70 * time.Millisecond)
		}
		old.isolate()
		time.Sleep(pause - time.Millisecond)
		for old.isFrozen() {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(20 * time.Millisecond)
		old.setTableFault(fakes.TableNoReply)
		n.checkNoTaskRunsTwice(t, next)
	})
}

// A holder whose announcement is lost must not be replaced at once by a host that knows an earlier process of it, which would wait for the
// orders of that one only: the task would run twice.
func TestUnannouncedHolderIsNotTakenForItsEarlierProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(2)
		first, other := n.findHost("host0"), n.findHost("host1")
		n.startTask(t)
		other.setPathFault("w0", fakes.OrderDropped)
		other.setTableFault(fakes.TableNoReply)
		first.kill()
		time.Sleep(500 * time.Millisecond)
		n.startHost(0, unannouncedProcess)
		holder := n.findHost("host0")
		for holder.currentRunner() == nil {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		other.setTableFault(fakes.TableOK)
		time.Sleep(400 * time.Millisecond)
		holder.setTableFault(fakes.TableNoReply)
		holder.isolate()
		n.checkNoTaskRunsTwice(t, other)
	})
}
