package test

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/fault"
)

const mebibyte = 1 << 20

func TestResponsesOfAllSizesAreComplete(t *testing.T) {
	cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.putDocuments(testDocuments)
	// Jitter delays and reorders the responses of peers and workers.
	cl.network.Set("jitter", fault.Rule{Link: fault.Link{Delay: time.Millisecond, Jitter: 3 * time.Millisecond}})
	var reqs requestLog
	var wg sync.WaitGroup
	for caller := range 6 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(21, uint64(caller)))
			for _, size := range []int{0, 1, 64 << 10, 8 * mebibyte, 17, 300 << 10} {
				body := make([]byte, size)
				for i := 0; i+8 <= size; i += 8 {
					body[i] = byte(rng.Uint32())
				}
				r := cl.send(context.Background(), cl.hosts[rng.IntN(len(cl.hosts))], "check", "", "run=20ms", body)
				cl.c.Check(r.succeeded(), qt.IsTrue, qt.Commentf("%d bytes: %d %s %v", size, r.status, r.problem.Detail, r.err))
				reqs.add(r)
			}
		})
	}
	wg.Wait()
	checkResponses(cl.c, reqs.all(), cl.waitIdle())
}

func TestFixedSizeResponsesBelongToTheirRequest(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 2})
	cl.putDocuments(testDocuments)
	rng := rand.New(rand.NewPCG(22, 0))
	var wg sync.WaitGroup
	for range 10 {
		body := uniqueBody(rng, 100)
		wg.Go(func() {
			r := cl.send(context.Background(), cl.hosts[0], "check", "", "run=10ms,answer-bytes=8388608", body)
			if cl.c.Check(r.succeeded(), qt.IsTrue, qt.Commentf("%v", r.err)) {
				cl.c.Check(len(r.respBody), qt.Equals, 8*mebibyte)
				cl.c.Check(bytes.HasPrefix(r.respBody, []byte(r.digest+"\n")), qt.IsTrue)
				cl.c.Check(bytes.Count(r.respBody, []byte(r.digest)), qt.Equals, len(r.respBody)/(len(r.digest)+1))
			}
		})
	}
	wg.Wait()
}

func TestConnectionsStallDuringResponse(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 1})
	cl.putDocuments(testDocuments + `
---
kind: work
name: patient
owner: desk
class: request
repeatable: true
size: {cpu-milli: 500, memory-mib: 128}
run-time: 3s
timeout: 55s
`)
	w := cl.workers[0]
	var reqs requestLog
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(23, uint64(i)))
			reqs.add(cl.send(context.Background(), cl.hosts[i%2], "patient", "", "run=3s", uniqueBody(rng, 4*mebibyte)))
		})
	}
	cl.waitFor("the tasks run", func() bool { return cl.startsOn(w) >= 4 })
	// The link delay keeps responses in transit when their connections stop carrying data for good.
	cl.network.Set("slow", fault.Rule{ProxyNames: []string{w.name}, Link: fault.Link{Delay: 20 * time.Millisecond}})
	cl.waitFor("a task has ended and its response is in transit", func() bool {
		for _, e := range cl.workerEvents() {
			if e.Kind == fakes.EventEnd {
				return true
			}
		}
		return false
	})
	w.proxy.Blackhole()
	for _, h := range cl.hosts {
		cl.proxies[h.name].Blackhole()
	}
	cl.network.Clear("slow")
	wg.Wait()
	records := reqs.all()
	t.Log(summary(records))
	for _, r := range records {
		cl.c.Check(r.succeeded(), qt.IsTrue, qt.Commentf("%d %s %v", r.status, r.problem.Detail, r.err))
	}
	cl.checkInvariants(records)
}

func TestBodiesOverMaxSizeAreRejected(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 1, workers: 1})
	cl.putDocuments(testDocuments)
	h := cl.hosts[0]
	body := make([]byte, 8*mebibyte+1)
	tests := []struct {
		name string
		body io.Reader
		size int64
	}{
		{"declared length", bytes.NewReader(body), int64(len(body))},
		{"chunked", io.MultiReader(bytes.NewReader(body)), -1},
	}
	for _, test := range tests {
		cl.c.Run(test.name, func(c *qt.C) {
			req, err := http.NewRequest(http.MethodPost, h.url+"/v1/run/check", test.body)
			c.Assert(err, qt.IsNil)
			req.ContentLength = test.size
			resp, err := cl.client.Do(req)
			c.Assert(err, qt.IsNil)
			defer resp.Body.Close()
			c.Check(resp.StatusCode, qt.Equals, http.StatusRequestEntityTooLarge)
		})
	}
}
