package test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

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
