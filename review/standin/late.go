package main

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"
)

// cancelMS and stopGraceMS are bounds of the settings.
const (
	cancelMS    = 3000 * time.Millisecond
	stopGraceMS = 200 * time.Millisecond
	stability   = 3000 * time.Millisecond
	// lossShare and lossTime are the dose of platform_lost in the site file.
	lossShare = 0.35
	lossTime  = 4500 * time.Millisecond
	// One client in givesUpEach doesn't retry: the dose of give_up in the site file is a share of 0.25 for 5.5 s.
	givesUpEach   = 4
	clientRetries = 4
)

// lateAcceptance: the store leaves writes unanswered and performs them seconds later; clients that give up then cancel what got no acceptance.
func lateAcceptance(r *rig, trouble bool) int {
	if !r.start(6, 3, route("rosters", service, false)) {
		return exitNoRun
	}
	var mu sync.Mutex
	var until time.Time
	r.store.fault = func(tx) (storeFault, time.Duration) {
		mu.Lock()
		defer mu.Unlock()
		if time.Now().After(until) || rand.Float64() >= lossShare {
			return faultNone, 0
		}
		return faultLate, time.Second + time.Duration(rand.Int64N(int64(5*time.Second)))
	}
	if trouble {
		mu.Lock()
		until = time.Now().Add(lossTime)
		mu.Unlock()
		r.rec.log("the store leaves a share of %v of the writes unanswered for %v, and performs them 1 to 6 s later", lossShare, lossTime)
	}
	const taskMS = 14000
	cancelled := map[string]time.Duration{}
	var wg sync.WaitGroup
	for began, i := time.Now(), 0; time.Since(began) < lossTime; i++ {
		wg.Go(func() {
			id := newID()
			path := "/rosters/" + id
			status := 0
			for try := range 1 + clientRetries {
				status, _ = r.call(r.hosts[(i+try)%len(r.hosts)], "POST", path, object{
					"spec": spec(workSpec{MS: []int{taskMS, 500}, CPU: 100}),
					"phases": []object{
						{"count": 1, "cpu": 100, "mem_mb": 100, "estimate_ms": taskMS},
						{"count": 1, "cpu": 100, "mem_mb": 100, "estimate_ms": 500, "after": []int{0}},
					},
				}, 3*time.Second)
				if status == 200 || i%givesUpEach == 0 {
					break
				}
				time.Sleep(time.Second)
			}
			if status == 200 || status == 429 || status == 503 {
				return
			}
			// A client that gives up doesn't know whether the job was accepted, and doesn't want it any more.
			for try := range 8 {
				status, _ = r.call(r.hosts[(i+try)%len(r.hosts)], "DELETE", path, nil, 3*time.Second)
				if status == 200 || status == 410 {
					mu.Lock()
					cancelled[id] = time.Since(r.rec.began)
					mu.Unlock()
					return
				}
				time.Sleep(300 * time.Millisecond)
			}
		})
		time.Sleep(5 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(22 * time.Second)
	broken := 0
	r.rec.log("%d jobs without an answer were cancelled, and the cancelling was answered with 200 or 410", len(cancelled))
	calmFrom := until.Sub(r.rec.began) + stability
	for id, at := range cancelled {
		// Until then the rule excuses the disruption; afterwards nothing of the job may start, and nothing may run on.
		goneBy := max(at, calmFrom) + cancelMS + stopGraceMS
		for _, e := range r.rec.snapshot() {
			if strings.HasPrefix(e.task, id) && e.at > goneBy && (e.kind == evStart || (e.kind == evEnd && e.how == "done")) {
				broken++
				r.rec.log("UNASKED: job %s: cancelling answered at %.3f, to be gone by %.3f; task %s: %s at %.3f", id, at.Seconds(),
					goneBy.Seconds(), e.task, kindNames[e.kind], e.at.Seconds())
			}
		}
	}
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
