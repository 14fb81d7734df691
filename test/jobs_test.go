package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/front"
	"github.com/corianderdrift/corianderdrift/jobs"
)

func jobID(c *qt.C, r record) string {
	c.Helper()
	var status front.JobStatus
	c.Assert(json.Unmarshal(r.respBody, &status), qt.IsNil, qt.Commentf("%d %s", r.status, r.respBody))
	return status.ID
}

// waitJob waits until a job is finished and returns its status.
func (cl *cluster) waitJob(h *host, id string) front.JobStatus {
	cl.c.Helper()
	var status front.JobStatus
	cl.waitFor("job "+id+" is finished", func() bool {
		status = front.JobStatus{}
		return cl.getJSON(h.url+"/v1/jobs/"+id, &status) == nil && status.State.Terminal()
	})
	return status
}

// submitJobs submits jobs through all hosts and returns their ids.
func (cl *cluster) submitJobs(n int, work, params string, tasks int) []string {
	var mu sync.Mutex
	var ids []string
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			header := http.Header{"Work-Params": {params}}
			if tasks > 0 {
				header.Set("Work-Tasks", fmt.Sprint(tasks))
			}
			url := cl.hosts[i%len(cl.hosts)].url + "/v1/run/" + work
			status, _, body, err := cl.do(http.MethodPost, url, fmt.Appendf(nil, "%s %d", work, i), header)
			cl.c.Check(err, qt.IsNil)
			cl.c.Check(status, qt.Equals, http.StatusAccepted, qt.Commentf("%s", body))
			var job front.JobStatus
			cl.c.Check(json.Unmarshal(body, &job), qt.IsNil)
			mu.Lock()
			defer mu.Unlock()
			ids = append(ids, job.ID)
		})
	}
	wg.Wait()
	return ids
}

func TestJobsSurviveHostDeaths(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 3, workers: 3})
	cl.putDocuments(testDocuments)
	ids := cl.submitJobs(8, "rolls", "run=300ms", 6)
	ids = append(ids, cl.submitJobs(4, "survey", "run=300ms", 0)...)
	cl.waitFor("tasks run", func() bool { return cl.startsOn(cl.workers[0]) > 0 })
	for _, h := range cl.hosts[:2] {
		h.kill()
		cl.launch(h.proc)
		cl.waitReady(h)
	}
	for _, id := range ids {
		status := cl.waitJob(cl.hosts[2], id)
		cl.c.Check(status.State, qt.Equals, jobs.Done, qt.Commentf("%+v", status))
		for i := range status.Tasks {
			code, _, body, err := cl.do(http.MethodGet, fmt.Sprintf("%s/v1/jobs/%s/tasks/%d/result", cl.hosts[2].url, id, i), nil, nil)
			cl.c.Check(err, qt.IsNil)
			cl.c.Check(code, qt.Equals, http.StatusOK)
			cl.c.Check(strings.HasPrefix(string(body), status.Work+" "), qt.IsTrue, qt.Commentf("%q", body))
		}
	}
	events := cl.waitIdle()
	checkPlacement(cl.c, events)
	finished := map[string]int{}
	for _, e := range events {
		if e.Kind == fakes.EventEnd && e.State == "finished" {
			finished[taskID(e.Task)]++
		}
	}
	cl.c.Check(len(finished), qt.Equals, 8*6+4*4)
}

func TestSubmissionWithKeyIsAcceptedOnce(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 1})
	cl.putDocuments(testDocuments)
	header := http.Header{"Idempotency-Key": {"june"}, "Work-Params": {"run=20ms"}}
	ids := map[string]bool{}
	for i := range 6 {
		status, _, body, err := cl.do(http.MethodPost, cl.hosts[i%2].url+"/v1/run/rolls", []byte("june rolls"), header)
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(status, qt.Equals, http.StatusAccepted, qt.Commentf("%s", body))
		var job front.JobStatus
		cl.c.Assert(json.Unmarshal(body, &job), qt.IsNil)
		ids[job.ID] = true
		if i == 2 {
			cl.waitJob(cl.hosts[0], job.ID)
		}
	}
	cl.c.Check(len(ids), qt.Equals, 1)
	status, _, body, err := cl.do(http.MethodPost, cl.hosts[0].url+"/v1/run/rolls", []byte("other rolls"), header)
	cl.c.Assert(err, qt.IsNil)
	cl.c.Check(status, qt.Equals, http.StatusUnprocessableEntity, qt.Commentf("%s", body))
	starts := 0
	for _, e := range cl.waitIdle() {
		if e.Kind == fakes.EventStart {
			starts++
		}
	}
	cl.c.Check(starts, qt.Equals, 1)
}

// Guards against accepting a job as the repetition of another whose parameters and number of tasks, written one after the other, are the same.
func TestSubmissionOfOtherTasksUnderSameKeyIsRefused(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 1})
	cl.putDocuments(testDocuments)
	tests := []struct {
		params, tasks string
		status        int
	}{
		{"memory-mib=1", "12", http.StatusAccepted},
		{"memory-mib=11", "2", http.StatusUnprocessableEntity},
		{"memory-mib=1", "12", http.StatusAccepted},
	}
	for i, test := range tests {
		header := http.Header{"Idempotency-Key": {"june"}, "Work-Params": {test.params}, "Work-Tasks": {test.tasks}}
		status, _, body, err := cl.do(http.MethodPost, cl.hosts[i%2].url+"/v1/run/rolls", nil, header)
		cl.c.Assert(err, qt.IsNil)
		cl.c.Check(status, qt.Equals, test.status, qt.Commentf("%+v: %s", test, body))
	}
}

func TestCancelledJobsStop(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 2, slots: 4})
	cl.putDocuments(testDocuments)
	ids := cl.submitJobs(20, "rolls", "run=20s", 5)
	cl.waitFor("the workers are full", func() bool { return cl.startsOn(cl.workers[0])+cl.startsOn(cl.workers[1]) >= 6 })
	for i, id := range ids {
		status, _, body, err := cl.do(http.MethodDelete, cl.hosts[i%2].url+"/v1/jobs/"+id, nil, nil)
		cl.c.Assert(err, qt.IsNil)
		cl.c.Assert(status, qt.Equals, http.StatusAccepted, qt.Commentf("%s", body))
	}
	for _, id := range ids {
		cl.c.Check(cl.waitJob(cl.hosts[0], id).State, qt.Equals, jobs.Cancelled)
	}
	checkPlacement(cl.c, cl.waitIdle())
}

func TestServicesKeepRunningWhenHolderDies(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 3})
	cl.putDocuments(testDocuments)
	id := cl.submitJobs(1, "roster", "", 3)[0]
	allRunning := func() bool {
		var status front.JobStatus
		return cl.getJSON(cl.hosts[1].url+"/v1/jobs/"+id, &status) == nil && status.Counts[jobs.TaskRunning] == 3
	}
	cl.waitFor("all tasks of the service run", allRunning)
	startsBefore := cl.startsOn(cl.workers[0]) + cl.startsOn(cl.workers[1]) + cl.startsOn(cl.workers[2])
	cl.hosts[0].kill()
	cl.waitFor("the other host holds all workers", func() bool { return cl.numHeldBy(cl.hosts[1], cl.hosts[1]) == 3 })
	cl.waitFor("all tasks of the service still run", allRunning)
	startsAfter := cl.startsOn(cl.workers[0]) + cl.startsOn(cl.workers[1]) + cl.startsOn(cl.workers[2])
	cl.c.Check(startsAfter, qt.Equals, startsBefore, qt.Commentf("tasks were restarted instead of adopted"))
	status, _, _, err := cl.do(http.MethodDelete, cl.hosts[1].url+"/v1/jobs/"+id, nil, nil)
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(status, qt.Equals, http.StatusAccepted)
	cl.waitJob(cl.hosts[1], id)
	checkPlacement(cl.c, cl.waitIdle())
}

func TestTasksOfDeadWorkerRunElsewhere(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 2})
	cl.putDocuments(testDocuments)
	id := cl.submitJobs(1, "rolls", "run=2s", 6)[0]
	var dead *fakeWorker
	cl.waitFor("tasks run on a worker", func() bool {
		for _, w := range cl.workers {
			if cl.startsOn(w) > 0 {
				dead = w
				return true
			}
		}
		return false
	})
	dead.kill()
	status := cl.waitJob(cl.hosts[0], id)
	cl.c.Check(status.State, qt.Equals, jobs.Done)
	for _, task := range status.Tasks {
		cl.c.Check(task.Attempt <= 3, qt.IsTrue)
	}
}
