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

// mostAtOnce returns the largest number of an owner's tasks that ran at once, by the workers' logs.
func mostAtOnce(events []fakes.Event, owner string) int {
	type edge struct {
		at   int64
		step int
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
	now, most := 0, 0
	for _, e := range edges {
		now += e.step
		most = max(most, now)
	}
	return most
}

func TestQuotasHoldAcrossDataCentres(t *testing.T) {
	cl := start(t, spec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.put(`
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
	var b book
	stop := make(chan struct{})
	wg := cl.load(&b, 24, stop, func(caller, i int) record {
		rng := rand.New(rand.NewPCG(61, uint64(caller)<<32|uint64(i)))
		h := cl.hosts[rng.IntN(len(cl.hosts))]
		return cl.send(context.Background(), h, "part", "", "run=100ms", uniqueBody(rng, 50))
	})
	answeredBy := func(dataCenter string) int {
		n := 0
		for _, r := range b.all() {
			if r.answered() && r.host[:4] == dataCenter {
				n++
			}
		}
		return n
	}
	grows := func(what string, hosts ...string) {
		for _, dataCenter := range hosts {
			before := answeredBy(dataCenter)
			cl.eventually(what+": "+dataCenter+" goes on", func() bool { return answeredBy(dataCenter) > before+15 })
		}
	}
	grows("together", "east", "west")
	cl.cutOff("west")
	grows("cut apart", "east")
	cl.heal()
	cl.hosts[0].kill()
	cl.launch(cl.hosts[0].proc)
	cl.waitReady(cl.hosts[0])
	grows("after a host's death", "east", "west")
	close(stop)
	wg.Wait()
	events := cl.checkAll(b.all())
	most := mostAtOnce(events, "team")
	cl.c.Check(most <= 4, qt.IsTrue, qt.Commentf("%d tasks of 1000 thousandths ran at once, the quota is 4000", most))
	t.Log(summary(b.all()), fmt.Sprintf("; %d at once", most))
}
