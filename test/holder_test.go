package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/fault"
	"github.com/corianderdrift/corianderdrift/front"
	"github.com/corianderdrift/corianderdrift/reason"
)

// mixedRequests returns a function that sends one request to a random host;
// on average 3 of 4 requests are repeatable, the others have an idempotency key.
func (cl *cluster) mixedRequests(seed uint64, params string, hosts ...*host) func(caller, i int) record {
	return func(caller, i int) record {
		rng := rand.New(rand.NewPCG(seed, uint64(caller)<<32|uint64(i)))
		work, key := "check", ""
		if rng.IntN(4) == 0 {
			work, key = "grant", fmt.Sprintf("k-%d-%d-%d", seed, caller, i)
		}
		h := hosts[rng.IntN(len(hosts))]
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		return cl.send(ctx, h, work, key, params, uniqueBody(rng, 200))
	}
}

// numHeldBy returns how many workers h holds according to the viewer, or -1 if the viewer does not respond.
func (cl *cluster) numHeldBy(viewer, h *host) int {
	var reports []front.HostReport
	if cl.getJSON(viewer.url+"/v1/hosts", &reports) != nil {
		return -1
	}
	for _, r := range reports {
		if r.Name == h.name && r.Alive {
			return r.Workers
		}
	}
	return 0
}

// leaseHolders returns the last lease holder of each worker according to the workers' logs.
func (cl *cluster) leaseHolders() map[string]string {
	holders := map[string]string{}
	for _, e := range cl.workerEvents() {
		if e.Kind == fakes.EventLease {
			holders[e.Worker] = e.Holder
		}
	}
	return holders
}

// holdsAnyWorker reports whether any worker granted its last lease to h.
func (cl *cluster) holdsAnyWorker(h *host) bool {
	for _, holder := range cl.leaseHolders() {
		if len(holder) > len(h.name) && holder[:len(h.name)+1] == h.name+"@" {
			return true
		}
	}
	return false
}

func TestHoldersChangeUnderLoad(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 3, workers: 4, slots: 4})
	cl.putDocuments(testDocuments)
	suspended, killed, steady := cl.hosts[0], cl.hosts[1], cl.hosts[2]
	var reqs requestLog
	stop := make(chan struct{})
	wg := cl.startLoad(&reqs, 24, stop, cl.mixedRequests(11, "run=40ms", suspended, killed, steady))

	// A holder is suspended with requests pending until its leases have expired, and resumed.
	suspended.signal(syscall.SIGSTOP)
	cl.waitFor("the others hold the suspended host's workers", func() bool { return !cl.holdsAnyWorker(suspended) })
	suspended.signal(syscall.SIGCONT)
	cl.waitFor("the resumed host holds workers again", func() bool { return cl.numHeldBy(steady, suspended) > 0 })

	// A holder is killed and restarted as another process.
	killed.kill()
	cl.waitFor("the others hold the dead host's workers", func() bool { return !cl.holdsAnyWorker(killed) })
	cl.launch(killed.proc)
	cl.waitReady(killed)
	cl.waitFor("the new process holds workers", func() bool { return cl.numHeldBy(steady, killed) > 0 })
	close(stop)
	wg.Wait()

	records := reqs.all()
	events := cl.checkInvariants(records)
	t.Log(summary(records))
	numLeases := 0
	for _, e := range events {
		if e.Kind == fakes.EventLease {
			numLeases++
		}
	}
	cl.c.Check(numLeases > len(cl.workers), qt.IsTrue, qt.Commentf("no worker changed its holder"))
}

func TestStartsWithLostResponsesStillUseCapacity(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 2, slots: 3})
	cl.putDocuments(testDocuments)
	var reqs requestLog
	stop := make(chan struct{})
	wg := cl.startLoad(&reqs, 12, stop, cl.mixedRequests(12, "run=100ms", cl.hosts...))
	for _, w := range cl.workers {
		// Starts take effect without a response for longer than an unresponsive connection is kept.
		cl.network.Set("mute", fault.Rule{ProxyNames: []string{w.name}, Link: fault.Link{HoldToSource: true}})
		startsBefore := cl.startsOn(w)
		cl.waitFor("starts reach the unresponsive worker, or its lease is lost", func() bool {
			return cl.startsOn(w) > startsBefore || len(reqs.all()) > 500
		})
		cl.network.Clear("mute")
		// Connections that are open carry no more data; new ones work.
		w.proxy.Blackhole()
		startsBefore = cl.startsOn(w)
		cl.waitFor("the worker is used again", func() bool { return cl.startsOn(w) > startsBefore+5 })
		w.proxy.Reset()
	}
	close(stop)
	wg.Wait()
	records := reqs.all()
	cl.checkInvariants(records)
	t.Log(summary(records))
}

func (cl *cluster) startsOn(w *fakeWorker) int {
	var l fakes.Log
	if cl.getJSON(w.url+"/v1/log", &l) != nil {
		return 0
	}
	return int(l.Started)
}

func TestWorkerIsUsedAgainAfterItsLeaseExpired(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 2})
	cl.putDocuments(testDocuments)
	var reqs requestLog
	stop := make(chan struct{})
	wg := cl.startLoad(&reqs, 8, stop, cl.mixedRequests(13, "run=50ms", cl.hosts...))
	w := cl.workers[0]
	// The worker is partitioned from its holder in both directions until its leases have expired.
	cl.network.Set("cut", fault.Rule{ProxyNames: []string{w.name}, Link: fault.Partition})
	cl.waitFor("the other worker has started more than 30 tasks", func() bool { return cl.startsOn(cl.workers[1]) > 30 })
	cl.waitFor("the partitioned worker's lease is lost", func() bool {
		return cl.numHeldBy(cl.hosts[0], cl.hosts[0])+cl.numHeldBy(cl.hosts[1], cl.hosts[1]) == 1
	})
	cl.network.Clear("cut")
	startsBefore := cl.startsOn(w)
	cl.waitFor("the worker starts tasks again", func() bool { return cl.startsOn(w) > startsBefore+5 })
	close(stop)
	wg.Wait()
	records := reqs.all()
	cl.checkInvariants(records)
	t.Log(summary(records))
}

func TestDeclaredSizesAreWrong(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 1, workers: 1, memoryMiB: 8000})
	cl.putDocuments(testDocuments + `
---
kind: work
name: imagery
owner: fleet
class: batch
repeatable: true
checkpointable: true
size: {cpu-milli: 1000, memory-mib: 1000}
run-time: 8s
---
kind: work
name: fixed
owner: fleet
class: request
repeatable: true
size: {cpu-milli: 1000, memory-mib: 1000}
run-time: 8s
timeout: 50s
attempts: 1
`)
	var reqs requestLog
	done := make(chan struct{})
	go func() {
		defer close(done)
		r := cl.send(context.Background(), cl.hosts[0], "fixed", "", "run=8s,memory-mib=7000", []byte("grows beyond what it declared"))
		reqs.add(r)
	}()
	r := cl.send(context.Background(), cl.hosts[0], "imagery", "", "run=8s,memory-mib=5000", []byte("grows as well"))
	cl.c.Assert(r.status, qt.Equals, 202, qt.Commentf("%s", r.respBody))
	<-done
	events := cl.waitIdle()
	numReclaimed := 0
	for _, e := range events {
		if e.Kind == fakes.EventCheckpoint || (e.Kind == fakes.EventEnd && e.Detail == "stopped on request") {
			numReclaimed++
		}
	}
	cl.c.Check(numReclaimed > 0, qt.IsTrue, qt.Commentf("nothing was checkpointed or stopped"))
	checkPlacement(cl.c, events)
}

func TestWorkerThatFailsEverythingIsEjected(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 1, workers: 3})
	cl.putDocuments(testDocuments)
	failing := cl.workers[0]
	stop := make(chan struct{})
	var reqs requestLog
	wg := cl.startLoad(&reqs, 6, stop, func(caller, i int) record {
		rng := rand.New(rand.NewPCG(14, uint64(caller)<<32|uint64(i)))
		return cl.send(context.Background(), cl.hosts[0], "check", "", "run=5ms,fail-on="+failing.name, uniqueBody(rng, 100))
	})
	cl.waitFor("the worker is ejected", func() bool { return cl.counter("worker_events_total", "ejected") > 0 })
	cl.waitFor("more than 300 requests have ended", func() bool { return len(reqs.all()) > 300 })
	close(stop)
	wg.Wait()
	records := reqs.all()
	cl.checkInvariants(records)
	numSucceeded := 0
	for _, r := range records {
		if r.succeeded() {
			numSucceeded++
		}
	}
	t.Log(summary(records))
	cl.c.Check(numSucceeded*100 >= len(records)*90, qt.IsTrue, qt.Commentf("%d of %d requests succeeded", numSucceeded, len(records)))
}

func TestWorkThatFailsEverywhereIsStopped(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 1, workers: 4})
	cl.putDocuments(testDocuments)
	r := cl.send(context.Background(), cl.hosts[0], "rolls", "", "run=5ms,fail=true", []byte("can never succeed"))
	cl.c.Assert(r.status, qt.Equals, 202)
	status := cl.waitJob(cl.hosts[0], jobID(cl.c, r))
	cl.c.Check(string(status.State), qt.Equals, "failed")
	starts := 0
	workers := map[string]bool{}
	for _, e := range cl.waitIdle() {
		if e.Kind == fakes.EventStart {
			starts++
			workers[e.Worker] = true
		}
	}
	cl.c.Check(starts, qt.Equals, 3)
	cl.c.Check(len(workers), qt.Equals, 3)
	cl.c.Check(cl.counter("worker_events_total", "ejected"), qt.Equals, 0)
}

func TestLongWorkLeavesHeadroomForShortWork(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 1, workers: 1, slots: 4})
	cl.putDocuments(testDocuments + `
---
kind: work
name: rebuild
owner: fleet
class: request
repeatable: true
size: {cpu-milli: 500, memory-mib: 128}
run-time: 5s
timeout: 50s
`)
	var reqs requestLog
	wg := cl.startLoad(&reqs, 6, closedChan(), nil)
	for i := range 6 {
		wg.Go(func() {
			reqs.add(cl.send(context.Background(), cl.hosts[0], "rebuild", "", "run=5s", fmt.Appendf(nil, "long %d", i)))
		})
	}
	cl.waitFor("long work uses all slots that it may use", func() bool { return cl.startsOn(cl.workers[0]) == 3 })
	r := cl.send(context.Background(), cl.hosts[0], "check", "", "run=5ms", []byte("short work"))
	cl.c.Check(r.succeeded(), qt.IsTrue, qt.Commentf("%s", r.respBody))
	cl.c.Check(cl.startsOn(cl.workers[0]), qt.Equals, 4, qt.Commentf("short work waited for long work"))
	wg.Wait()
	cl.checkInvariants(append(reqs.all(), r))
}

func closedChan() <-chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}

func TestNotRunIsAccurateUnderOverload(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 2, slots: 2})
	cl.putDocuments(testDocuments)
	var reqs requestLog
	cl.putDocuments(`
kind: work
name: tight
owner: desk
class: request
repeatable: true
size: {cpu-milli: 500, memory-mib: 128}
run-time: 100ms
timeout: 400ms
`)
	stop := make(chan struct{})
	wg := cl.startLoad(&reqs, 40, stop, func(caller, i int) record {
		rng := rand.New(rand.NewPCG(15, uint64(caller)<<32|uint64(i)))
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		// Some callers disconnect before the response.
		if rng.IntN(10) == 0 {
			ctx, cancel = context.WithTimeout(ctx, time.Duration(rng.IntN(100))*time.Millisecond)
			defer cancel()
		}
		return cl.send(ctx, cl.hosts[i%2], "tight", "", "run=100ms", uniqueBody(rng, 64))
	})
	cl.waitFor("more than 100 requests succeeded and more than 100 were refused", func() bool {
		numSucceeded, numRefused := 0, 0
		for _, r := range reqs.all() {
			if r.succeeded() {
				numSucceeded++
			}
			if r.problem.Reason == reason.DeadlineUnreachable {
				numRefused++
			}
		}
		return numSucceeded > 100 && numRefused > 100
	})
	close(stop)
	wg.Wait()
	cl.checkInvariants(reqs.all())
	t.Log(summary(reqs.all()))
}
