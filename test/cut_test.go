package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/reason"
)

func TestACutOffDataCentreServesWhatItCan(t *testing.T) {
	cl := start(t, spec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.put(documents)
	service := cl.submitJobs(1, "roster", "", 3)[0]
	cl.eventually("the service runs", func() bool {
		var status struct {
			Counts map[jobs.TaskState]int `json:"counts"`
		}
		return cl.get(cl.hosts[0].url+"/v1/jobs/"+service, &status) == nil && status.Counts[jobs.TaskRunning] == 3
	})
	before := cl.totalStarts()
	// The data centre that is cut off is that of the host that is asked.
	cl.cutOff(cl.hosts[2].dataCenter)
	// Longer than leases of workers and tasks last.
	cut := time.Now()
	var b book
	rng := rand.New(rand.NewPCG(51, 0))
	for i := 0; time.Since(cut) < 10*time.Second; i++ {
		b.add(cl.send(context.Background(), cl.hosts[2+i%2], "check", "", "run=20ms", uniqueBody(rng, 100)))
	}
	var answered int
	for _, r := range b.all() {
		cl.c.Check(r.answered(), qt.IsTrue, qt.Commentf("quick request while cut off: %d %s %v", r.status, r.answer, r.err))
		answered++
	}
	refused := cl.send(context.Background(), cl.hosts[2], "grant", "cut", "run=20ms", uniqueBody(rng, 100))
	cl.c.Check(refused.problem.Outcome, qt.Equals, reason.NotRun, qt.Commentf("%s", refused.answer))
	cl.c.Check(refused.problem.Reason, qt.Equals, reason.StoreUnavailable)
	_, status, body := cl.edit(cl.hosts[2], "owner/desk", []byte(`{"kind":"owner","name":"desk","weight":7}`), 1)
	cl.c.Check(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", body))
	b.add(refused)
	cl.heal()
	cl.waitHeld()
	after := cl.totalStarts()
	cl.c.Check(after-before, qt.Equals, answered, qt.Commentf("service tasks were started anew"))
	_, _, _, err := cl.do(http.MethodDelete, cl.hosts[0].url+"/v1/jobs/"+service, nil, nil)
	cl.c.Assert(err, qt.IsNil)
	cl.waitJob(cl.hosts[0], service)
	cl.checkAll(b.all())
}

func TestWhatWorksWhileTheStoreIsDown(t *testing.T) {
	cl := start(t, spec{hosts: 2, workers: 2})
	cl.put(documents)
	done := cl.submitJobs(1, "rolls", "run=10ms", 1)[0]
	cl.waitJob(cl.hosts[0], done)
	long := cl.submitJobs(1, "rolls", "run=4s", 2)[0]
	cl.eventually("the job's tasks run", func() bool { return cl.totalStarts() >= 3 })
	cl.mode(fakes.Mode{Down: true})
	h := cl.hosts[0]
	rng := rand.New(rand.NewPCG(52, 0))
	tests := []struct {
		name   string
		method string
		path   string
		header http.Header
		status int
		reason reason.Reason
	}{
		{"quick repeatable request", http.MethodPost, "/v1/run/check", nil, 200, ""},
		{"request that may not repeat", http.MethodPost, "/v1/run/grant", http.Header{"Idempotency-Key": {"down"}}, 503, reason.StoreUnavailable},
		{"new job", http.MethodPost, "/v1/run/rolls", nil, 504, reason.StoreUnavailable},
		{"status of an ended job", http.MethodGet, "/v1/jobs/" + done, nil, 503, reason.StoreUnavailable},
		{"reading the catalogue", http.MethodGet, "/v1/catalogue", nil, 200, ""},
		{"edit", http.MethodDelete, "/v1/catalogue/owner/fleet", nil, 503, reason.StoreUnavailable},
		{"workers", http.MethodGet, "/v1/workers", nil, 200, ""},
		{"readiness", http.MethodGet, "/readyz", nil, 200, ""},
	}
	for _, test := range tests {
		cl.c.Run(test.name, func(c *qt.C) {
			status, _, body, err := cl.do(test.method, h.url+test.path, uniqueBody(rng, 50), test.header)
			c.Assert(err, qt.IsNil)
			c.Check(status, qt.Equals, test.status, qt.Commentf("%s", body))
			if test.reason != "" {
				c.Check(string(body), qt.Contains, fmt.Sprintf("%q", test.reason))
			}
		})
	}
	cl.mode(fakes.Mode{})
	cl.c.Check(cl.waitJob(h, long).State, qt.Equals, jobs.Done)
	checkPlaces(cl.c, cl.settled())
}

func TestTasksInACutOffDataCentreAreNotStartedElsewhere(t *testing.T) {
	cl := start(t, spec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2, slots: 4})
	cl.put(documents)
	ids := cl.submitJobs(4, "rolls", "run=20s", 3)
	cl.eventually("tasks run in both data centres", func() bool {
		return cl.totalStarts() == 12 && cl.startsOn(cl.workers[0])+cl.startsOn(cl.workers[1]) < 12 &&
			cl.startsOn(cl.workers[2])+cl.startsOn(cl.workers[3]) < 12
	})
	cl.cutOff(cl.hosts[2].dataCenter)
	cut := time.Now()
	// Long enough for homes to move, and for leases of tasks that nobody renews to lapse.
	cl.eventually("the cut lasts", func() bool { return time.Since(cut) > 11*time.Second })
	cl.heal()
	for _, id := range ids {
		cl.c.Check(cl.waitJob(cl.hosts[0], id).State, qt.Equals, jobs.Done)
	}
	events := cl.settled()
	checkPlaces(cl.c, events)
	cl.c.Check(cl.totalStarts(), qt.Equals, 12, qt.Commentf("a task was started again while it ran"))
}
