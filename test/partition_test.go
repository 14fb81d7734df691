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

func TestPartitionedDataCentreServesRepeatableRequests(t *testing.T) {
	cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.putDocuments(testDocuments)
	service := cl.submitJobs(1, "roster", "", 3)[0]
	cl.waitFor("the service runs", func() bool {
		var status struct {
			Counts map[jobs.TaskState]int `json:"counts"`
		}
		return cl.getJSON(cl.hosts[0].url+"/v1/jobs/"+service, &status) == nil && status.Counts[jobs.TaskRunning] == 3
	})
	startsBefore := cl.totalStarts()
	// Partition the data centre of the host that gets the requests.
	cl.partition(cl.hosts[2].dataCenter)
	// The partition outlasts the leases of workers and tasks.
	partitionedAt := time.Now()
	var reqs requestLog
	rng := rand.New(rand.NewPCG(51, 0))
	for i := 0; time.Since(partitionedAt) < 10*time.Second; i++ {
		reqs.add(cl.send(context.Background(), cl.hosts[2+i%2], "check", "", "run=20ms", uniqueBody(rng, 100)))
	}
	var numSucceeded int
	for _, r := range reqs.all() {
		cl.c.Check(r.succeeded(), qt.IsTrue, qt.Commentf("repeatable request during the partition: %d %s %v", r.status, r.respBody, r.err))
		numSucceeded++
	}
	refused := cl.send(context.Background(), cl.hosts[2], "grant", "cut", "run=20ms", uniqueBody(rng, 100))
	cl.c.Check(refused.problem.Outcome, qt.Equals, reason.NotRun, qt.Commentf("%s", refused.respBody))
	cl.c.Check(refused.problem.Reason, qt.Equals, reason.StoreUnavailable)
	_, status, body := cl.editDocument(cl.hosts[2], "owner/desk", []byte(`{"kind":"owner","name":"desk","weight":7}`), 1)
	cl.c.Check(status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", body))
	reqs.add(refused)
	cl.healPartition()
	cl.waitAllHeld()
	startsAfter := cl.totalStarts()
	cl.c.Check(startsAfter-startsBefore, qt.Equals, numSucceeded, qt.Commentf("service tasks were restarted"))
	_, _, _, err := cl.do(http.MethodDelete, cl.hosts[0].url+"/v1/jobs/"+service, nil, nil)
	cl.c.Assert(err, qt.IsNil)
	cl.waitJob(cl.hosts[0], service)
	cl.checkInvariants(reqs.all())
}

func TestRequestsWhileStoreIsDown(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 2})
	cl.putDocuments(testDocuments)
	finishedJob := cl.submitJobs(1, "rolls", "run=10ms", 1)[0]
	cl.waitJob(cl.hosts[0], finishedJob)
	runningJob := cl.submitJobs(1, "rolls", "run=4s", 2)[0]
	cl.waitFor("the job's tasks run", func() bool { return cl.totalStarts() >= 3 })
	cl.setMode(fakes.Mode{Down: true})
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
		{"request that is not repeatable", http.MethodPost, "/v1/run/grant", http.Header{"Idempotency-Key": {"down"}}, 503, reason.StoreUnavailable},
		{"new job", http.MethodPost, "/v1/run/rolls", nil, 504, reason.StoreUnavailable},
		{"status of a finished job", http.MethodGet, "/v1/jobs/" + finishedJob, nil, 503, reason.StoreUnavailable},
		{"catalogue read", http.MethodGet, "/v1/catalogue", nil, 200, ""},
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
	cl.setMode(fakes.Mode{})
	cl.c.Check(cl.waitJob(h, runningJob).State, qt.Equals, jobs.Done)
	checkPlacement(cl.c, cl.waitIdle())
}

func TestTasksInPartitionedDataCentreAreNotStartedElsewhere(t *testing.T) {
	cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2, slots: 4})
	cl.putDocuments(testDocuments)
	ids := cl.submitJobs(4, "rolls", "run=20s", 3)
	cl.waitFor("tasks run in both data centres", func() bool {
		return cl.totalStarts() == 12 && cl.startsOn(cl.workers[0])+cl.startsOn(cl.workers[1]) < 12 &&
			cl.startsOn(cl.workers[2])+cl.startsOn(cl.workers[3]) < 12
	})
	cl.partition(cl.hosts[2].dataCenter)
	partitionedAt := time.Now()
	// Long enough for shard leaders to change and for task leases that are not renewed to expire.
	cl.waitFor("the partition has lasted 11 seconds", func() bool { return time.Since(partitionedAt) > 11*time.Second })
	cl.healPartition()
	for _, id := range ids {
		cl.c.Check(cl.waitJob(cl.hosts[0], id).State, qt.Equals, jobs.Done)
	}
	events := cl.waitIdle()
	checkPlacement(cl.c, events)
	cl.c.Check(cl.totalStarts(), qt.Equals, 12, qt.Commentf("a running task was started again"))
}
