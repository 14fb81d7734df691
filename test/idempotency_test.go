package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/fault"
	"github.com/corianderdrift/corianderdrift/reason"
)

// sendToAll sends the same key and body through all given hosts concurrently.
func (cl *cluster) sendToAll(reqs *requestLog, key, params string, body []byte, hosts ...*host) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() { reqs.add(cl.send(context.Background(), h, "grant", key, params, body)) })
	}
	return &wg
}

func TestSameKeySentToAllHostsAtOnce(t *testing.T) {
	cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.putDocuments(testDocuments)
	rng := rand.New(rand.NewPCG(31, 0))
	var reqs requestLog
	for i := range 20 {
		body := uniqueBody(rng, 100)
		cl.sendToAll(&reqs, fmt.Sprintf("key-%d", i), "run=50ms", body, append(cl.hosts, cl.hosts...)...).Wait()
	}
	records := reqs.all()
	for _, r := range records {
		cl.c.Check(r.succeeded(), qt.IsTrue, qt.Commentf("%d %s %v", r.status, r.respBody, r.err))
	}
	cl.checkInvariants(records)
	reused := cl.send(context.Background(), cl.hosts[0], "grant", "key-0", "run=50ms", []byte("other work under the key"))
	cl.c.Check(reused.problem.Reason, qt.Equals, reason.KeyReused)
}

func TestKeyRetriedAfterHostDeath(t *testing.T) {
	cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.putDocuments(testDocuments)
	rng := rand.New(rand.NewPCG(32, 0))
	var reqs requestLog
	for i := range 4 {
		victim := cl.hosts[i%2]
		body := uniqueBody(rng, 100)
		key := fmt.Sprintf("key-%d", i)
		startsBefore := cl.totalStarts()
		firstSend := cl.sendToAll(&reqs, key, "run=1s", body, victim)
		cl.waitFor("the task has started", func() bool { return cl.totalStarts() > startsBefore })
		victim.kill()
		firstSend.Wait()
		cl.sendToAll(&reqs, key, "run=1s", body, cl.hosts[2], cl.hosts[3], cl.hosts[1-i%2]).Wait()
		cl.launch(victim.proc)
		cl.waitReady(victim)
		cl.sendToAll(&reqs, key, "run=1s", body, victim).Wait()
		cl.waitAllHeld()
	}
	records := reqs.all()
	t.Log(summary(records))
	cl.checkInvariants(records)
}

func (cl *cluster) totalStarts() int {
	total := 0
	for _, w := range cl.workers {
		total += cl.startsOn(w)
	}
	return total
}

func TestKeysDuringStoreFailures(t *testing.T) {
	cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.putDocuments(testDocuments)
	rng := rand.New(rand.NewPCG(33, 0))
	modes := []fakes.Mode{{LoseReplies: 3}, {Down: true}, {DelayMillis: 400}, {LoseReplies: 40}, {DelayMillis: 2500}}
	var reqs requestLog
	for i, mode := range modes {
		key, body := fmt.Sprintf("key-%d", i), uniqueBody(rng, 100)
		cl.setMode(mode)
		cl.sendToAll(&reqs, key, "run=50ms", body, cl.hosts...).Wait()
		cl.setMode(fakes.Mode{})
		// A claim with an unknown outcome is resolved once the store is back, so that the key can be used.
		cl.waitFor("the key gets a final response", func() bool {
			r := cl.send(context.Background(), cl.hosts[i%4], "grant", key, "run=50ms", body)
			reqs.add(r)
			return r.succeeded() || r.problem.Reason == reason.FirstRunUnknown
		})
	}
	records := reqs.all()
	t.Log(summary(records))
	checkKeysStartOnce(cl.c, records, cl.waitIdle())
	checkPlacement(cl.c, cl.waitIdle())
	checkRetriedKeys(cl.c, records, cl.workerEvents())
}

// checkRetriedKeys checks responses against starts where the same body may have been retried after a refusal.
func checkRetriedKeys(c *qt.C, records []record, events []fakes.Event) {
	c.Helper()
	var succeeded []record
	for _, r := range records {
		if r.succeeded() {
			succeeded = append(succeeded, r)
		}
	}
	checkResponses(c, succeeded, events)
	for _, r := range records {
		if r.problem.Outcome != reason.NotRun {
			continue
		}
		for _, e := range events {
			// Only a start before this request was sent shows that "not run" is wrong;
			// a later one may belong to a concurrent or later retry.
			if e.Kind == fakes.EventStart && e.Digest == r.digest && e.UnixNanos < r.startedAt.UnixNano() {
				c.Errorf("key %s was reported as not run after it had run", r.key)
			}
		}
	}
}

func TestKeysDuringPartition(t *testing.T) {
	cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.putDocuments(testDocuments)
	rng := rand.New(rand.NewPCG(34, 0))
	var reqs requestLog
	for i := range 5 {
		key, body := fmt.Sprintf("key-%d", i), uniqueBody(rng, 100)
		if i%2 == 0 {
			cl.partition("west")
		} else {
			// One-way partition: traffic from west arrives, responses to it do not.
			cl.network.Set("one-way", fault.Rule{Sources: cl.sourceAddrs("west"), Link: fault.Link{HoldToSource: true}, ProxyNames: []string{"platform", "east-1", "east-2"}})
		}
		cl.sendToAll(&reqs, key, "run=20ms", body, cl.hosts...).Wait()
		cl.healPartition()
		cl.network.Clear("one-way")
		cl.waitFor("the key gets a final response in both data centres", func() bool {
			for _, h := range []*host{cl.hosts[0], cl.hosts[2]} {
				r := cl.send(context.Background(), h, "grant", key, "run=20ms", body)
				reqs.add(r)
				if !r.succeeded() && r.problem.Reason != reason.FirstRunUnknown {
					return false
				}
			}
			return true
		})
	}
	records := reqs.all()
	t.Log(summary(records))
	checkKeysStartOnce(cl.c, records, cl.waitIdle())
	checkRetriedKeys(cl.c, records, cl.workerEvents())
}
