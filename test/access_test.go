package test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/corianderdrift/corianderdrift/front"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/reason"
)

func sha256Hex(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

func TestOwnersAccessOnlyTheirOwnWork(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 1})
	cl.putDocuments(fmt.Sprintf(`
kind: owner
name: skippers
token-sha256: %s
---
kind: owner
name: owners
token-sha256: %s
---
kind: work
name: plan
owner: skippers
class: batch
repeatable: true
size: {cpu-milli: 500, memory-mib: 64}
run-time: 1s
`, sha256Hex("one"), sha256Hex("two")))
	authHeader := func(token string) http.Header {
		header := http.Header{"Work-Params": {"run=100ms"}}
		if token != "" {
			header.Set("Authorization", "Bearer "+token)
		}
		return header
	}
	status, _, body, err := cl.do(http.MethodPost, cl.hosts[0].url+"/v1/run/plan", nil, authHeader("one"))
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(status, qt.Equals, http.StatusAccepted, qt.Commentf("%s", body))
	var job front.JobStatus
	cl.c.Assert(json.Unmarshal(body, &job), qt.IsNil)
	jobPath := "/v1/jobs/" + job.ID

	tests := []struct{ method, path string }{
		{http.MethodPost, "/v1/run/plan"},
		{http.MethodGet, jobPath},
		{http.MethodDelete, jobPath},
		{http.MethodGet, jobPath + "/tasks/0/result"},
	}
	for _, test := range tests {
		for _, token := range []string{"", "two", "onetwo"} {
			for _, h := range cl.hosts {
				status, _, body, err := cl.do(test.method, h.url+test.path, nil, authHeader(token))
				cl.c.Assert(err, qt.IsNil)
				comment := qt.Commentf("%s %s with token %q: %d %s", test.method, test.path, token, status, body)
				cl.c.Check(status, qt.Equals, http.StatusForbidden, comment)
				var problem front.Problem
				cl.c.Check(json.Unmarshal(body, &problem), qt.IsNil)
				cl.c.Check(problem.Reason, qt.Equals, reason.NotAllowed, comment)
			}
		}
	}

	// The job finishes unaffected, and its owner can read it through any host.
	cl.waitFor("the owner reads the state of the finished job", func() bool {
		status, _, body, err := cl.do(http.MethodGet, cl.hosts[1].url+jobPath, nil, authHeader("one"))
		return err == nil && status == http.StatusOK && json.Unmarshal(body, &job) == nil && job.State == jobs.Done
	})
	status, _, _, err = cl.do(http.MethodGet, cl.hosts[1].url+jobPath+"/tasks/0/result", nil, authHeader("one"))
	cl.c.Check(err, qt.IsNil)
	cl.c.Check(status, qt.Equals, http.StatusOK)
}

// Guards against cancelling an unknown ID on behalf of an owner whose token the caller doesn't have, and against storing a job under an ID
// that its owner has cancelled.
func TestUnknownJobsAreCancelledByTheirOwnersOnly(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 1})
	cl.putDocuments(fmt.Sprintf(`
kind: owner
name: skippers
token-sha256: %s
---
kind: owner
name: owners
token-sha256: %s
---
kind: work
name: plan
owner: skippers
class: batch
repeatable: true
size: {cpu-milli: 500, memory-mib: 64}
run-time: 1s
`, sha256Hex("one"), sha256Hex("two")))
	call := func(host int, method, path, token, key string) (int, front.Problem) {
		header := http.Header{"Work-Params": {"run=100ms"}, "Idempotency-Key": {key}}
		if token != "" {
			header.Set("Authorization", "Bearer "+token)
		}
		status, _, body, err := cl.do(method, cl.hosts[host].url+path, nil, header)
		cl.c.Assert(err, qt.IsNil)
		var problem front.Problem
		cl.c.Assert(json.Unmarshal(body, &problem), qt.IsNil)
		return status, problem
	}
	tests := []struct {
		name         string
		tokens       []string
		deleteStatus int
		postStatus   int
	}{
		{"nobody", []string{"", "onetwo"}, http.StatusForbidden, http.StatusAccepted},
		{"another-owner", []string{"two"}, http.StatusNotFound, http.StatusAccepted},
		{"its-owner", []string{"two", "one", "two"}, http.StatusNotFound, http.StatusServiceUnavailable},
	}
	for _, test := range tests {
		id := uuid.NewSHA1(uuid.NameSpaceOID, []byte("skippers/plan/"+test.name)).String()
		for i, token := range test.tokens {
			status, problem := call(i%2, http.MethodDelete, "/v1/jobs/"+id, token, "")
			cl.c.Check(status, qt.Equals, test.deleteStatus, qt.Commentf("%s: %+v", test.name, problem))
			cl.c.Check(problem.Outcome, qt.Equals, reason.NotRun)
		}
		status, problem := call(0, http.MethodPost, "/v1/run/plan", "one", test.name)
		cl.c.Check(status, qt.Equals, test.postStatus, qt.Commentf("%s: %+v", test.name, problem))
		if status == http.StatusServiceUnavailable {
			cl.c.Check(problem.Reason, qt.Equals, reason.Cancelled)
			cl.c.Check(problem.Outcome, qt.Equals, reason.NotRun)
		}
	}
}
