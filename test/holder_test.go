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

// mixed returns a caller's next request: mostly repeatable ones, to random live hosts.
func (cl *cluster) mixed(seed uint64, params string, hosts ...*host) func(caller, i int) record {
	return func(caller, i int) record {
		rng := rand.New(rand.NewPCG(seed, uint64(caller)<<32|uint64(i)))
		work, key := "check", ""
		if rng.IntN(4) == 0 {
			work, key = "grant", fmt.Sprintf("k-%d-%d-%d", seed, caller, i)
		}
		h := hosts[rng.IntN(len(hosts))]
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		return cl.send(ctx, h, work, key, params, uniqueBody(rng, 200))
	}
}

// heldBy returns how many workers a host says that it holds, as seen by another host.
func (cl *cluster) heldBy(viewer, h *host) int {
	var reports []front.HostReport
	if cl.get(viewer.url+"/v1/hosts", &reports) != nil {
		return -1
	}
	for _, r := range reports {
		if r.Name == h.name && r.Alive {
			return r.Workers
		}
	}
	return 0
}

// leaseHolders returns which process holds each worker, by the workers' own logs.
func (cl *cluster) leaseHolders() map[string]string {
	holders := map[string]string{}
	for _, e := range cl.events() {
		if e.Kind == fakes.EventLease {
			holders[e.Worker] = e.Holder
		}
	}
	return holders
}

// holds reports whether the process of a host was the last one to be granted any lease.
func (cl *cluster) holds(h *host) bool {
	for _, holder := range cl.leaseHolders() {
		if len(holder) > len(h.name) && holder[:len(h.name)+1] == h.name+"@" {
			return true
		}
	}
	return false
}

func TestHoldersChangeUnderLoad(t *testing.T) {
	cl := start(t, spec{hosts: 3, workers: 4, slots: 4})
	cl.put(documents)
	frozen, killed, steady := cl.hosts[0], cl.hosts[1], cl.hosts[2]
	var b book
	stop := make(chan struct{})
	wg := cl.load(&b, 24, stop, cl.mixed(11, "run=40ms", frozen, killed, steady))

	// A holder is frozen past its leases with sends pending, and thawed.
	frozen.signal(syscall.SIGSTOP)
	cl.eventually("the others hold the frozen host's workers", func() bool { return !cl.holds(frozen) })
	frozen.signal(syscall.SIGCONT)
	cl.eventually("the thawed host holds workers again", func() bool { return cl.heldBy(steady, frozen) > 0 })

	// A holder dies and comes back as another process.
	killed.kill()
	cl.eventually("the others hold the dead host's workers", func() bool { return !cl.holds(killed) })
	cl.launch(killed.proc)
	cl.waitReady(killed)
	cl.eventually("the new process holds workers", func() bool { return cl.heldBy(steady, killed) > 0 })
	close(stop)
	wg.Wait()

	records := b.all()
	events := cl.checkAll(records)
	t.Log(summary(records))
	leases := 0
	for _, e := range events {
		if e.Kind == fakes.EventLease {
			leases++
		}
	}
	cl.c.Check(leases > len(cl.workers), qt.IsTrue, qt.Commentf("no worker changed its holder"))
}

func TestLostStartsStillCount(t *testing.T) {
	cl := start(t, spec{hosts: 2, workers: 2, slots: 3})
	cl.put(documents)
	var b book
	stop := make(chan struct{})
	wg := cl.load(&b, 12, stop, cl.mixed(12, "run=100ms", cl.hosts...))
	for _, w := range cl.workers {
		// Starts take effect, and no answer comes back, for longer than a silent connection is left alone.
		cl.net.Set("mute", fault.Rule{Names: []string{w.name}, Link: fault.Link{HoldDown: true}})
		before := cl.startsOn(w)
		cl.eventually("starts reach the muted worker or its lease is lost", func() bool {
			return cl.startsOn(w) > before || len(b.all()) > 500
		})
		cl.net.Clear("mute")
		// Connections that were open stay silent for good; new ones work.
		w.proxy.Silence()
		before = cl.startsOn(w)
		cl.eventually("the worker is used again", func() bool { return cl.startsOn(w) > before+5 })
		w.proxy.Reset()
	}
	close(stop)
	wg.Wait()
	records := b.all()
	cl.checkAll(records)
	t.Log(summary(records))
}

func (cl *cluster) startsOn(w *standIn) int {
	var l fakes.Log
	if cl.get(w.url+"/v1/log", &l) != nil {
		return 0
	}
	return int(l.Started)
}

func TestWorkerRestartsWhileTasksRun(t *testing.T) {
	cl := start(t, spec{hosts: 2, workers: 2})
	cl.put(documents)
	var b book
	stop := make(chan struct{})
	wg := cl.load(&b, 8, stop, cl.mixed(13, "run=50ms", cl.hosts...))
	w := cl.workers[0]
	// A worker that is cut off from its holder both ways comes back after its leases lapsed.
	cl.net.Set("cut", fault.Rule{Names: []string{w.name}, Link: fault.Cut})
	cl.eventually("the other worker carries on", func() bool { return cl.startsOn(cl.workers[1]) > 30 })
	cl.eventually("the cut worker's lease is lost", func() bool {
		return cl.heldBy(cl.hosts[0], cl.hosts[0])+cl.heldBy(cl.hosts[1], cl.hosts[1]) == 1
	})
	cl.net.Clear("cut")
	before := cl.startsOn(w)
	cl.eventually("the worker takes work again", func() bool { return cl.startsOn(w) > before+5 })
	close(stop)
	wg.Wait()
	records := b.all()
	cl.checkAll(records)
	t.Log(summary(records))
}

func TestDeclaredSizesAreWrong(t *testing.T) {
	cl := start(t, spec{hosts: 1, workers: 1, memory: 8000})
	cl.put(documents + `
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
	var b book
	done := make(chan struct{})
	go func() {
		defer close(done)
		r := cl.send(context.Background(), cl.hosts[0], "fixed", "", "run=8s,memory-mib=7000", []byte("grows beyond what it declared"))
		b.add(r)
	}()
	r := cl.send(context.Background(), cl.hosts[0], "imagery", "", "run=8s,memory-mib=5000", []byte("grows as well"))
	cl.c.Assert(r.status, qt.Equals, 202, qt.Commentf("%s", r.answer))
	<-done
	events := cl.settled()
	relieved := 0
	for _, e := range events {
		if e.Kind == fakes.EventCheckpoint || (e.Kind == fakes.EventEnd && e.Detail == "stopped on request") {
			relieved++
		}
	}
	cl.c.Check(relieved > 0, qt.IsTrue, qt.Commentf("nothing was checkpointed or stopped"))
	checkPlaces(cl.c, events)
}

func TestWorkerThatFailsEverythingIsEjected(t *testing.T) {
	cl := start(t, spec{hosts: 1, workers: 3})
	cl.put(documents)
	bad := cl.workers[0]
	stop := make(chan struct{})
	var b book
	wg := cl.load(&b, 6, stop, func(caller, i int) record {
		rng := rand.New(rand.NewPCG(14, uint64(caller)<<32|uint64(i)))
		return cl.send(context.Background(), cl.hosts[0], "check", "", "run=5ms,fail-on="+bad.name, uniqueBody(rng, 100))
	})
	cl.eventually("the worker is ejected", func() bool { return cl.counter("worker_events_total", "ejected") > 0 })
	cl.eventually("the others go on", func() bool { return len(b.all()) > 300 })
	close(stop)
	wg.Wait()
	records := b.all()
	cl.checkAll(records)
	good := 0
	for _, r := range records {
		if r.answered() {
			good++
		}
	}
	t.Log(summary(records))
	cl.c.Check(good*100 >= len(records)*90, qt.IsTrue, qt.Commentf("%d of %d answered", good, len(records)))
}

func TestWorkThatFailsEverywhereIsStopped(t *testing.T) {
	cl := start(t, spec{hosts: 1, workers: 4})
	cl.put(documents)
	r := cl.send(context.Background(), cl.hosts[0], "rolls", "", "run=5ms,fail=true", []byte("can never succeed"))
	cl.c.Assert(r.status, qt.Equals, 202)
	status := cl.waitJob(cl.hosts[0], jobID(cl.c, r))
	cl.c.Check(string(status.State), qt.Equals, "failed")
	starts := 0
	workers := map[string]bool{}
	for _, e := range cl.settled() {
		if e.Kind == fakes.EventStart {
			starts++
			workers[e.Worker] = true
		}
	}
	cl.c.Check(starts, qt.Equals, 3)
	cl.c.Check(len(workers), qt.Equals, 3)
	cl.c.Check(cl.counter("worker_events_total", "ejected"), qt.Equals, 0)
}

func TestLongWorkLeavesRoomForShort(t *testing.T) {
	cl := start(t, spec{hosts: 1, workers: 1, slots: 4})
	cl.put(documents + `
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
	var b book
	wg := cl.load(&b, 6, closed(), nil)
	for i := range 6 {
		wg.Go(func() {
			b.add(cl.send(context.Background(), cl.hosts[0], "rebuild", "", "run=5s", fmt.Appendf(nil, "long %d", i)))
		})
	}
	cl.eventually("long work has all that it may have", func() bool { return cl.startsOn(cl.workers[0]) == 3 })
	r := cl.send(context.Background(), cl.hosts[0], "check", "", "run=5ms", []byte("short work"))
	cl.c.Check(r.answered(), qt.IsTrue, qt.Commentf("%s", r.answer))
	cl.c.Check(cl.startsOn(cl.workers[0]), qt.Equals, 4, qt.Commentf("short work waited for long work"))
	wg.Wait()
	cl.checkAll(append(b.all(), r))
}

func closed() <-chan struct{} {
	ch := make(chan struct{})
	close(ch)
	return ch
}

func TestNotRunIsTrueUnderOverload(t *testing.T) {
	cl := start(t, spec{hosts: 2, workers: 2, slots: 2})
	cl.put(documents)
	var b book
	cl.put(`
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
	wg := cl.load(&b, 40, stop, func(caller, i int) record {
		rng := rand.New(rand.NewPCG(15, uint64(caller)<<32|uint64(i)))
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		// Some callers leave before the answer.
		if rng.IntN(10) == 0 {
			ctx, cancel = context.WithTimeout(ctx, time.Duration(rng.IntN(100))*time.Millisecond)
			defer cancel()
		}
		return cl.send(ctx, cl.hosts[i%2], "tight", "", "run=100ms", uniqueBody(rng, 64))
	})
	cl.eventually("many were answered and many refused", func() bool {
		answered, refused := 0, 0
		for _, r := range b.all() {
			if r.answered() {
				answered++
			}
			if r.problem.Reason == reason.DeadlineUnreachable {
				refused++
			}
		}
		return answered > 100 && refused > 100
	})
	close(stop)
	wg.Wait()
	cl.checkAll(b.all())
	t.Log(summary(b.all()))
}
