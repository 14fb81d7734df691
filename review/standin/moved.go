package main

import (
	"sync"
	"time"
)

// movedRoute: a version of the configuration sends a prefix to another service while jobs that were accepted there are at work; the requests
// that handed some of them in arrive once more.
func movedRoute(r *rig, trouble bool) int {
	const other, numJobs, taskMS = "fleet-eyes", 12, 9000
	before := []object{route("checks", service, false), route("scans", other, false)}
	r.configure(1, []string{service, other}, before...)
	if !r.startOn([]string{service, service, service, other, other, other}, 3) {
		return exitNoRun
	}
	body := object{
		"spec":   spec(workSpec{MS: []int{taskMS}, CPU: 1000}),
		"phases": []object{{"count": 2, "cpu": 1000, "mem_mb": 500, "estimate_ms": taskMS}},
	}
	accepted := r.submit(numJobs, "/checks/", func(int) object { return body })
	if len(accepted) != numJobs {
		return exitNoRun
	}
	time.Sleep(500 * time.Millisecond)
	after := before
	if trouble {
		// The route is removed, and another one is added that has its host and its prefix.
		moved := route("checks-2", other, false)
		moved["prefix"] = "/checks/"
		after = []object{moved, before[1]}
	}
	r.configure(2, []string{service, other}, after...)
	// config_apply_ms, and a second more.
	time.Sleep(3 * time.Second)
	lost := 0
	for i, id := range accepted {
		if status, _ := r.call(r.hosts[i%len(r.hosts)], "GET", "/checks/"+id, nil, 3*time.Second); status == 410 {
			lost++
		}
	}
	r.rec.log("LOST: 410 for %d of %d accepted jobs that nobody has cancelled", lost, len(accepted))
	var wg sync.WaitGroup
	for i, id := range accepted[:numJobs/2] {
		wg.Go(func() { r.call(r.hosts[(i+1)%len(r.hosts)], "POST", "/checks/"+id, body, 3*time.Second) })
	}
	wg.Wait()
	time.Sleep(2*taskMS*time.Millisecond + 3*time.Second)
	return r.checkTwice()
}
