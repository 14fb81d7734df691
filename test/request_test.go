package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/reason"
)

func TestThousandRequestsThroughAllHosts(t *testing.T) {
	cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, workers: 3})
	cl.putDocuments(testDocuments)
	var reqs requestLog
	var wg sync.WaitGroup
	for caller := range 20 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(1, uint64(caller)))
			for i := range 50 {
				work, key := "check", ""
				if i%5 == 0 {
					work, key = "grant", fmt.Sprintf("k-%d-%d", caller, i)
				}
				size := []int{16, 1000, 64 << 10}[rng.IntN(3)]
				h := cl.hosts[rng.IntN(len(cl.hosts))]
				reqs.add(cl.send(context.Background(), h, work, key, "run=5ms", uniqueBody(rng, size)))
			}
		})
	}
	wg.Wait()
	records := reqs.all()
	for _, r := range records {
		cl.c.Check(r.succeeded(), qt.IsTrue, qt.Commentf("%d %s %v", r.status, r.respBody, r.err))
	}
	events := cl.checkInvariants(records)
	cl.c.Check(len(records), qt.Equals, 1000)
	cl.c.Check(len(events) > 2000, qt.IsTrue)
}

func TestRefusalsStateTheirReason(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 1, workers: 1})
	cl.putDocuments(testDocuments + `
---
kind: work
name: huge
owner: desk
class: request
repeatable: true
size: {cpu-milli: 500000, memory-mib: 128}
---
kind: work
name: small-body
owner: desk
class: request
repeatable: true
max-body-bytes: 100
size: {cpu-milli: 500, memory-mib: 128}
---
kind: work
name: huge-batch
owner: desk
class: batch
size: {cpu-milli: 500, memory-mib: 128, accelerators: 99}
`)
	largeBody := strings.Repeat("x", 101)
	tests := []struct {
		name    string
		work    string
		header  http.Header
		body    string
		status  int
		outcome reason.Outcome
		reason  reason.Reason
	}{
		{"unknown entry", "nothing", nil, "", 404, reason.NotRun, reason.NoSuchEntry},
		{"no key", "grant", nil, "", 400, reason.NotRun, reason.NeedsKey},
		{"bad key", "grant", http.Header{"Idempotency-Key": {"a/b"}}, "", 400, reason.NotRun, reason.BadRequest},
		{"bad timeout", "check", http.Header{"Request-Timeout": {"soon"}}, "", 400, reason.NotRun, reason.BadRequest},
		{"timeout too short", "check", http.Header{"Request-Timeout": {"1ms"}}, "", 503, reason.NotRun, reason.DeadlineUnreachable},
		{"bad params", "check", http.Header{"Work-Params": {"colour=red"}}, "", 400, reason.NotRun, reason.BadRequest},
		{"request too large for any worker", "huge", nil, "", 422, reason.NotRun, reason.TooLarge},
		{"body too large", "small-body", nil, largeBody, 413, reason.NotRun, reason.BodyTooLarge},
		{"job too large for any worker", "huge-batch", nil, "", 422, reason.NotRun, reason.TooLarge},
		{"bad tasks", "rolls", http.Header{"Work-Tasks": {"0"}}, "", 400, reason.NotRun, reason.BadRequest},
		{"work fails", "check", http.Header{"Work-Params": {"fail=true"}}, "", 502, reason.Failed, reason.TaskFailed},
	}
	for _, test := range tests {
		cl.c.Run(test.name, func(c *qt.C) {
			before := cl.counter("refusals_total", string(test.outcome), string(test.reason))
			status, header, body, err := cl.do(http.MethodPost, cl.hosts[0].url+"/v1/run/"+test.work, []byte(test.body), test.header)
			c.Assert(err, qt.IsNil)
			c.Check(status, qt.Equals, test.status, qt.Commentf("%s", body))
			c.Check(header.Get("Content-Type"), qt.Equals, "application/problem+json")
			c.Check(string(body), qt.Contains, fmt.Sprintf(`"outcome":%q,"reason":%q`, test.outcome, test.reason))
			c.Check(cl.counter("refusals_total", string(test.outcome), string(test.reason)), qt.Equals, before+1)
		})
	}
}

// counter returns the value of the first counter of the first host with the given label values, or 0.
func (cl *cluster) counter(name string, labels ...string) int {
	_, _, body, err := cl.do(http.MethodGet, cl.hosts[0].url+"/metrics", nil, nil)
	cl.c.Assert(err, qt.IsNil)
	for line := range strings.Lines(string(body)) {
		if !strings.HasPrefix(line, "corianderdrift_"+name+"{") {
			continue
		}
		matches := true
		for _, label := range labels {
			matches = matches && strings.Contains(line, fmt.Sprintf("%q", label))
		}
		var value int
		if matches {
			_, err := fmt.Sscanf(line[strings.LastIndexByte(line, ' '):], "%d", &value)
			cl.c.Assert(err, qt.IsNil)
			return value
		}
	}
	return 0
}
