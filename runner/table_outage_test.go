package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

// submitTasks accepts a job of 600 tasks, of which four fit on a worker.
func (n *network) submitTasks(t *testing.T) {
	t.Helper()
	const id = longJob
	step := graph.Step{Count: 600, Size: cores(4)}
	doc := &graph.Job{
		ID: id, Queue: queue, Service: service, Steps: []graph.Step{step}, AcceptedAt: time.Now(), MaxAttempts: 3, Stretch: 2,
	}
	raw, err := doc.Encode()
	qt.Assert(t, err, qt.IsNil)
	n.workers.SetStep(graph.StepID{Job: id}, &step, false)
	key := table.Key{Table: runner.TableJobs(service), Partition: runner.JobPartition(service, id), Name: id}
	_, err = n.store.Apply(table.Tx{Writes: []table.Write{{Key: key, Value: raw}}})
	qt.Assert(t, err, qt.IsNil)
}

func (h *host) notSent() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.numNotSent
}

// While the table is unavailable, polls and starts share the connections from before. Starts that found none free used to fail and to be
// placed again every 50 ms, thousands of times a second. Load: 600 tasks of 0.3 s, four at a time on each of two workers.
func TestStartsWaitForOldConnectionsWhileLeaseIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, h := newOutage(t)
		time.Sleep(elect.FreshTimeout + 100*time.Millisecond)
		h.keepConns(1)
		before, notSent := n.workers.NumStarts(), h.notSent()
		const stale = 3 * time.Second
		time.Sleep(stale)
		started := n.workers.NumStarts() - before
		notSent = h.notSent() - notSent
		t.Logf("%d starts, %d not sent", started, notSent)
		qt.Check(t, notSent <= 5, qt.IsTrue, qt.Commentf("%d starts were not sent", notSent))
		qt.Check(t, started >= 50, qt.IsTrue, qt.Commentf("only %d tasks were started", started))
		h.setTableFault(fakes.TableOK)
		n.checkNoTaskRunsTwice(t, h)
	})
}

// A worker without any connection from before must get no starts until the lease is renewed, instead of one attempt every 50 ms for each
// task, and must get them at once after that. Load: 600 tasks of 0.3 s on two workers, one of which has lost its connections.
func TestWorkerWithoutOldConnectionGetsNoStartsWhileLeaseIsStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, h := newOutage(t)
		time.Sleep(elect.FreshTimeout + 100*time.Millisecond)
		h.closeConns("w1")
		time.Sleep(shortRun)
		starts := h.startedOn("w1")
		notSent := h.notSent()
		time.Sleep(2 * time.Second)
		qt.Check(t, h.startedOn("w1"), qt.Equals, starts)
		qt.Check(t, h.notSent()-notSent <= 5, qt.IsTrue, qt.Commentf("%d starts were not sent", h.notSent()-notSent))
		h.setTableFault(fakes.TableOK)
		time.Sleep(400 * time.Millisecond)
		qt.Check(t, h.startedOn("w1") > starts, qt.IsTrue)
		n.checkNoTaskRunsTwice(t, h)
	})
}

// newOutage returns a network whose host runs 600 tasks of 0.3 s and has just lost the table.
func newOutage(t *testing.T) (*network, *host) {
	t.Helper()
	return newOutageOf(t, 1)
}

// newOutageOf returns a network of several hosts, of which the first runs 600 tasks of 0.3 s, and which have just lost the table.
func newOutageOf(t *testing.T, numHosts int) (*network, *host) {
	t.Helper()
	n := newNetwork(numHosts)
	n.workers.Outcome = fixedDuration(shortRun)
	h := n.findHost("host0")
	n.submitTasks(t)
	for n.workers.NumStarts() < 20 {
		time.Sleep(time.Millisecond)
	}
	for _, each := range n.hosts {
		each.setTableFault(fakes.TableUnavailable)
	}
	return n, h
}

// keepConns closes all but the first n connections to each worker.
func (h *host) keepConns(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for worker, list := range h.conns {
		h.conns[worker] = list[:min(n, len(list))]
	}
}

// closeConns closes the connections to a worker.
func (h *host) closeConns(worker string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.conns, worker)
}

// startedOn returns how many starts a worker has carried out.
func (h *host) startedOn(worker string) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.numStarted[worker]
}

// After an outage the lease has to be renewed before it expires at 6 s, while every other call is sent too. The next attempt used to come up to
// 150 ms after the table had answered a probe, and that of a commit up to 100 ms after the renewal. Load: 600 tasks of 0.3 s, an outage of 4 s.
func TestLeaseIsRenewedAsSoonAsTableAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, h := newOutage(t)
		for i := range 10 {
			time.Sleep(4*time.Second + time.Duration(i)*17*time.Millisecond)
			r := h.currentRunner()
			commits := n.store.NumCommits()
			dirty, _ := r.Cell().Dirty()
			h.setTableFault(fakes.TableOK)
			r.TableAnswers()
			time.Sleep(10 * time.Millisecond)
			qt.Check(t, r.LeaseAge() <= 10*time.Millisecond, qt.IsTrue, qt.Commentf("the lease is %v old", r.LeaseAge()))
			time.Sleep(10 * time.Millisecond)
			qt.Check(t, !dirty || n.store.NumCommits()-commits >= 2, qt.IsTrue, qt.Commentf("progress is not stored"))
			h.setTableFault(fakes.TableUnavailable)
		}
		h.setTableFault(fakes.TableOK)
		n.checkNoTaskRunsTwice(t, h)
	})
}

// A start that waits for a connection must not be sent once the lease is so old that no orders may be sent: the next holder counts on that, and its task
// would run twice. Load: 600 tasks of 0.3 s; all connections are in use from a lease age of 5.5 to one of 6.05 s.
func TestStartThatWaitsIsNotSentAfterOrdersMustEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, h := newOutage(t)
		r := h.currentRunner()
		for r.LeaseAge() < elect.HoldTimeout-500*time.Millisecond {
			time.Sleep(time.Millisecond)
		}
		for r.LeaseAge() < elect.HoldTimeout+50*time.Millisecond {
			h.setConnsInUse(true)
			time.Sleep(time.Millisecond)
		}
		starts := n.workers.NumStarts()
		h.setConnsInUse(false)
		time.Sleep(time.Second)
		qt.Check(t, n.workers.NumStarts(), qt.Equals, starts)
		h.setTableFault(fakes.TableOK)
		n.checkNoTaskRunsTwice(t, h)
	})
}

// setConnsInUse sets whether all connections of the host are in use.
func (h *host) setConnsInUse(inUse bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, list := range h.conns {
		for _, c := range list {
			c.inUse = inUse
		}
	}
}
