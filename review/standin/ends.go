package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// The service of all cases, and the capacity of its workers.
const (
	service   = "crew-desk"
	workerCPU = 16000
	workerMem = 32768
)

// start brings up workers and hosts of one service, and waits until they are ready.
func (r *rig) start(numWorkers, numHosts int, routes ...object) bool {
	r.configure(1, []string{service}, routes...)
	services := make([]string, numWorkers)
	for i := range services {
		services[i] = service
	}
	return r.startOn(services, numHosts)
}

// startOn brings up a worker of each of the given services, and hosts, and waits until they are ready.
func (r *rig) startOn(services []string, numHosts int) bool {
	for i, s := range services {
		if _, err := r.addWorker(s, workerCPU, workerMem, 0, i); err != nil {
			r.rec.log("%v", err)
			return false
		}
	}
	for i := range numHosts {
		if _, err := r.addHost(i + 1); err != nil {
			r.rec.log("%v", err)
			return false
		}
	}
	if !r.awaitReady() || !await(10*time.Second, func() bool { return r.holder(services[0]) != nil }) {
		r.rec.log("the hosts did not become ready")
		return false
	}
	time.Sleep(2 * time.Second)
	return true
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func spec(w workSpec) string {
	raw, _ := json.Marshal(w)
	return string(raw)
}

// submit hands jobs in, as clients that try again after 503 and after no answer, and returns the ids of the accepted ones.
func (r *rig) submit(n int, path string, job func(i int) object) []string {
	var mu sync.Mutex
	var accepted []string
	var wg sync.WaitGroup
	work := make(chan int)
	for range 8 {
		wg.Go(func() {
			for i := range work {
				id := newID()
				for try := range 5 {
					status, _ := r.call(r.hosts[(i+try)%len(r.hosts)], "POST", path+id, job(i), 3*time.Second)
					if status == 200 {
						mu.Lock()
						accepted = append(accepted, id)
						mu.Unlock()
						break
					}
					time.Sleep(time.Second)
				}
			}
		})
	}
	for i := range n {
		work <- i
	}
	close(work)
	wg.Wait()
	return accepted
}

// endsAtTakeover: more than 500 runs end on each worker while no host runs the service, because the one that did was killed.
func endsAtTakeover(r *rig, trouble bool) int {
	const numJobs, width, numWorkers = 44, 36, 2
	if !r.start(numWorkers, 3, route("rosters", service, false)) {
		return exitNoRun
	}
	taskMS := 1600
	accepted := r.submit(numJobs, "/rosters/", func(int) object {
		return object{
			"spec": spec(workSpec{MS: []int{taskMS, 300}, CPU: 20}),
			"phases": []object{
				{"count": width, "cpu": 20, "mem_mb": 30, "estimate_ms": taskMS},
				{"count": 1, "cpu": 20, "mem_mb": 30, "estimate_ms": 300, "after": []int{0}},
			},
		}
	})
	if len(accepted) != numJobs {
		return exitNoRun
	}
	if !await(10*time.Second, func() bool { return r.count(evStart) >= numJobs*width }) {
		r.rec.log("only %d tasks have started", r.count(evStart))
	}
	r.rec.log("%d tasks have started, %d have ended", r.count(evStart), r.count(evEnd))
	if trouble {
		victim := r.holder(service)
		if victim == nil {
			return exitNoRun
		}
		r.kill(victim)
		time.AfterFunc(3500*time.Millisecond, func() { _ = r.startHost(victim) })
	}
	await(40*time.Second, func() bool { return r.allDone(accepted, width+1) })
	time.Sleep(6 * time.Second)
	return r.checkTwice()
}

func (r *rig) count(kind eventKind) int {
	n := 0
	for _, e := range r.rec.snapshot() {
		if e.kind == kind {
			n++
		}
	}
	return n
}

// allDone reports whether each task of the jobs has ended done and all ends have been acknowledged.
func (r *rig) allDone(ids []string, width int) bool {
	done := map[string]bool{}
	for _, e := range r.rec.snapshot() {
		if e.kind == evEnd && e.how == "done" {
			done[e.task] = true
		}
	}
	for _, w := range r.workers {
		if running, unacked := w.counts(); running+unacked > 0 {
			return false
		}
	}
	return len(done) >= len(ids)*width
}

// checkTwice checks the rule TWICE: no start after a run of the task has ended done, if that end was acknowledged then or later, and no two
// runs of a task at the same time.
func (r *rig) checkTwice() int {
	events := r.rec.snapshot()
	// An end is taken note of when it is acknowledged, unless the worker's lease lapsed between the two.
	acked, endedAt, lapsedAt := map[string]bool{}, map[string]time.Duration{}, map[string]time.Duration{}
	for _, e := range events {
		number := fmt.Sprint(e.worker, e.n)
		switch {
		case e.kind == evLapse:
			lapsedAt[e.worker] = e.at
		case e.kind == evEnd:
			endedAt[number] = e.at
		case e.kind == evAck && e.how == "done" && lapsedAt[e.worker] <= endedAt[number]:
			acked[number] = true
		}
	}
	type state struct {
		doneAt  time.Duration
		doneRun int
		done    bool
		active  map[string]bool
	}
	tasks := map[string]*state{}
	after, overlapping := 0, 0
	for _, e := range events {
		if e.task == "" {
			continue
		}
		s := tasks[e.task]
		if s == nil {
			s = &state{active: map[string]bool{}}
			tasks[e.task] = s
		}
		where := fmt.Sprintf("run %d on %s", e.run, e.worker)
		switch e.kind {
		case evStart:
			if s.done {
				if after++; after <= 5 {
					r.rec.log("TWICE: task %s: run %d ended done at %.3f and was acknowledged; run %d started on %s at %.3f",
						e.task, s.doneRun, s.doneAt.Seconds(), e.run, e.worker, e.at.Seconds())
				}
			}
			if len(s.active) > 0 {
				if overlapping++; overlapping <= 5 {
					r.rec.log("TWICE: task %s: %s started at %.3f beside %v", e.task, where, e.at.Seconds(), slices.Collect(maps.Keys(s.active)))
				}
			}
			s.active[where] = true
		case evEnd:
			delete(s.active, where)
			if e.how == "done" && !s.done && acked[fmt.Sprint(e.worker, e.n)] {
				s.done, s.doneAt, s.doneRun = true, e.at, e.run
			}
		}
	}
	r.rec.log("starts after an acknowledged end: %d; starts beside another run: %d; tasks: %d", after, overlapping, len(tasks))
	if after+overlapping > 0 {
		return exitBroken
	}
	return exitHeld
}
