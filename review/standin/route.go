package main

import (
	"time"
)

// removedRoute: the operator removes a queue whose tasks need advice, while accepted jobs of it still have tasks to run.
func removedRoute(r *rig, trouble bool) int {
	const numJobs, width, numSteps = 4, 3, 3
	kept, removed := route("rosters", service, true), route("checks", service, true)
	if !r.start(4, 3, kept, removed) {
		return exitNoRun
	}
	for _, w := range r.workers {
		w.checkTicket = r.advisor.valid
	}
	const taskMS = 1500
	phases := []object{}
	for step := range numSteps {
		phase := object{"count": width, "cpu": 1500, "mem_mb": 1000, "estimate_ms": taskMS}
		if step > 0 {
			phase["after"] = []int{step - 1}
		}
		phases = append(phases, phase)
	}
	job := func(int) object {
		return object{"spec": spec(workSpec{MS: []int{taskMS}, CPU: 1500}), "phases": phases}
	}
	onKept, onRemoved := r.submit(numJobs, "/rosters/", job), r.submit(numJobs, "/checks/", job)
	if len(onKept) != numJobs || len(onRemoved) != numJobs {
		return exitNoRun
	}
	time.Sleep(700 * time.Millisecond)
	version := []object{kept, removed}
	if trouble {
		version = version[:1]
	}
	r.configure(2, []string{service}, version...)
	r.rec.log("end of the traffic")
	// finish_s after the end of the traffic, the 3 s of the rule begin; stability_ms has passed by then.
	time.Sleep(14 * time.Second)
	return r.checkStranded(append(onKept, onRemoved...), width*numSteps, 3*time.Second)
}

// checkStranded checks the rule LOST over the given time: no job has nothing running, and tasks that have not ended done, while under half
// of the service's capacity is in use.
func (r *rig) checkStranded(ids []string, tasksPerJob int, span time.Duration) int {
	active := map[string]bool{}
	for deadline := time.Now().Add(span); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		inUse := 0
		for _, w := range r.workers {
			for _, k := range w.active() {
				active[k.id] = true
				inUse += k.cpu
			}
		}
		if 2*inUse >= len(r.workers)*workerCPU {
			r.rec.log("half of the capacity is in use")
			return exitHeld
		}
	}
	done := map[string]map[string]bool{}
	for _, e := range r.rec.snapshot() {
		if e.kind == evEnd && e.how == "done" {
			id := e.task[:16]
			if done[id] == nil {
				done[id] = map[string]bool{}
			}
			done[id][e.task] = true
		}
	}
	lost := 0
	for _, id := range ids {
		if n := len(done[id]); n < tasksPerJob && !active[id] {
			lost++
			r.rec.log("LOST: job %s: %d of %d tasks have ended done; for %v nothing of it has run, with over half of the capacity free",
				id, n, tasksPerJob, span)
		}
	}
	r.rec.log("%d of %d jobs are not carried out; starts rejected for want of a ticket: %d", lost, len(ids), r.count(evRejected))
	if lost > 0 {
		return exitBroken
	}
	return exitHeld
}
