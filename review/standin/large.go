package main

import (
	"time"
)

// largeJob: all hosts lose power for so long that the runs of a job of many tasks lapse.
func largeJob(r *rig, trouble bool) int {
	const width, taskMS, numSmall, darkFor = 1800, 36000, 5, 9500 * time.Millisecond
	if !r.start(6, 3, route("rosters", service, false)) {
		return exitNoRun
	}
	large := r.submit(1, "/rosters/", func(int) object {
		return object{
			"spec":   spec(workSpec{MS: []int{taskMS}, Saves: true, CPU: 20}),
			"phases": []object{{"count": width, "cpu": 20, "mem_mb": 50, "estimate_ms": taskMS, "checkpoint": true}},
		}
	})
	if len(large) != 1 || !await(10*time.Second, func() bool { return r.count(evStart) >= width }) {
		return exitNoRun
	}
	r.rec.log("%d tasks have started, %d have ended", r.count(evStart), r.count(evEnd))
	if trouble {
		for _, h := range r.hosts {
			r.kill(h)
		}
		time.Sleep(darkFor)
		for _, h := range r.hosts {
			if err := r.startHost(h); err != nil {
				return exitNoRun
			}
		}
	} else {
		time.Sleep(darkFor)
	}
	time.Sleep(4 * time.Second)
	small := r.submit(numSmall, "/rosters/", func(int) object {
		return object{
			"spec":   spec(workSpec{MS: []int{500}, CPU: 1500}),
			"phases": []object{{"count": 2, "cpu": 1500, "mem_mb": 500, "estimate_ms": 500}},
		}
	})
	r.rec.log("end of the traffic; %d small jobs were accepted", len(small))
	time.Sleep(14 * time.Second)
	code := r.checkStranded(small, 2, 3*time.Second)
	r.rec.log("transactions that the store rejected for their size: %d", r.store.tooLarge)
	return code
}
