package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sort"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
)

// maxConcurrent returns the maximum number of an owner's tasks that ran concurrently according to the workers' logs.
func maxConcurrent(events []fakes.Event, owner string) int {
	type edge struct {
		at    int64
		delta int
	}
	var edges []edge
	for _, e := range events {
		switch {
		case e.Owner == owner && e.Kind == fakes.EventStart:
			edges = append(edges, edge{e.UnixNanos, 1})
		case e.Owner == owner && e.Kind == fakes.EventEnd:
			edges = append(edges, edge{e.UnixNanos, -1})
		}
	}
	sort.Slice(edges, func(i, j int) bool { return edges[i].at < edges[j].at })
	running, maxRunning := 0, 0
	for _, e := range edges {
		running += e.delta
		maxRunning = max(maxRunning, running)
	}
	return maxRunning
}

func TestQuotasHoldAcrossDataCentres(t *testing.T) {
	cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.putDocuments(`
kind: owner
name: team
quota: {cpu-milli: 4000}
---
kind: work
name: part
owner: team
class: request
repeatable: true
size: {cpu-milli: 1000, memory-mib: 64}
run-time: 100ms
timeout: 30s
`)
	var reqs requestLog
	stop := make(chan struct{})
	wg := cl.startLoad(&reqs, 24, stop, func(caller, i int) record {
		rng := rand.New(rand.NewPCG(61, uint64(caller)<<32|uint64(i)))
		h := cl.hosts[rng.IntN(len(cl.hosts))]
		return cl.send(context.Background(), h, "part", "", "run=100ms", uniqueBody(rng, 50))
	})
	numSucceededIn := func(dataCenter string) int {
		n := 0
		for _, r := range reqs.all() {
			if r.succeeded() && r.host[:4] == dataCenter {
				n++
			}
		}
		return n
	}
	waitProgress := func(phase string, dataCenters ...string) {
		for _, dataCenter := range dataCenters {
			before := numSucceededIn(dataCenter)
			cl.waitFor(phase+": "+dataCenter+" answers requests", func() bool { return numSucceededIn(dataCenter) > before+15 })
		}
	}
	waitProgress("together", "east", "west")
	cl.partition("west")
	waitProgress("during the partition", "east")
	cl.healPartition()
	cl.hosts[0].kill()
	cl.launch(cl.hosts[0].proc)
	cl.waitReady(cl.hosts[0])
	waitProgress("after a host restart", "east", "west")
	close(stop)
	wg.Wait()
	events := cl.checkInvariants(reqs.all())
	peak := maxConcurrent(events, "team")
	cl.c.Check(peak <= 4, qt.IsTrue, qt.Commentf("%d tasks of 1000 millicores each ran concurrently; the quota is 4000", peak))
	t.Log(summary(reqs.all()), fmt.Sprintf("; %d concurrent", peak))
}
