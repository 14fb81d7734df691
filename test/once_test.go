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

// everywhere sends the same key and body through all hosts at once.
func (cl *cluster) everywhere(b *book, key, params string, body []byte, hosts ...*host) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() { b.add(cl.send(context.Background(), h, "grant", key, params, body)) })
	}
	return &wg
}

func TestSameKeySentToAllHostsAtOnce(t *testing.T) {
	cl := start(t, spec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.put(documents)
	rng := rand.New(rand.NewPCG(31, 0))
	var b book
	for i := range 20 {
		body := uniqueBody(rng, 100)
		cl.everywhere(&b, fmt.Sprintf("key-%d", i), "run=50ms", body, append(cl.hosts, cl.hosts...)...).Wait()
	}
	records := b.all()
	for _, r := range records {
		cl.c.Check(r.answered(), qt.IsTrue, qt.Commentf("%d %s %v", r.status, r.answer, r.err))
	}
	cl.checkAll(records)
	again := cl.send(context.Background(), cl.hosts[0], "grant", "key-0", "run=50ms", []byte("other work under the key"))
	cl.c.Check(again.problem.Reason, qt.Equals, reason.KeyReused)
}

func TestKeySentAgainAfterItsHostDied(t *testing.T) {
	cl := start(t, spec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.put(documents)
	rng := rand.New(rand.NewPCG(32, 0))
	var b book
	for i := range 4 {
		dying := cl.hosts[i%2]
		body := uniqueBody(rng, 100)
		key := fmt.Sprintf("key-%d", i)
		before := cl.totalStarts()
		first := cl.everywhere(&b, key, "run=1s", body, dying)
		cl.eventually("the work has started", func() bool { return cl.totalStarts() > before })
		dying.kill()
		first.Wait()
		cl.everywhere(&b, key, "run=1s", body, cl.hosts[2], cl.hosts[3], cl.hosts[1-i%2]).Wait()
		cl.launch(dying.proc)
		cl.waitReady(dying)
		cl.everywhere(&b, key, "run=1s", body, dying).Wait()
		cl.waitHeld()
	}
	records := b.all()
	t.Log(summary(records))
	cl.checkAll(records)
}

func (cl *cluster) totalStarts() int {
	total := 0
	for _, w := range cl.workers {
		total += cl.startsOn(w)
	}
	return total
}

func TestKeysWhileTheStoreFails(t *testing.T) {
	cl := start(t, spec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.put(documents)
	rng := rand.New(rand.NewPCG(33, 0))
	modes := []fakes.Mode{{LoseAnswers: 3}, {Down: true}, {SlowMillis: 400}, {LoseAnswers: 40}, {SlowMillis: 2500}}
	var b book
	for i, mode := range modes {
		key, body := fmt.Sprintf("key-%d", i), uniqueBody(rng, 100)
		cl.mode(mode)
		cl.everywhere(&b, key, "run=50ms", body, cl.hosts...).Wait()
		cl.mode(fakes.Mode{})
		// A claim whose fate was open is settled once the store is back, so that the key can be used.
		cl.eventually("the key answers again", func() bool {
			r := cl.send(context.Background(), cl.hosts[i%4], "grant", key, "run=50ms", body)
			b.add(r)
			return r.answered() || r.problem.Reason == reason.FirstRunUnknown
		})
	}
	records := b.all()
	t.Log(summary(records))
	checkOnce(cl.c, records, cl.settled())
	checkPlaces(cl.c, cl.settled())
	checkLastWord(cl.c, records, cl.events())
}

// checkLastWord checks answers against starts where the same body was sent again after a refusal.
func checkLastWord(c *qt.C, records []record, events []fakes.Event) {
	c.Helper()
	var answered []record
	for _, r := range records {
		if r.answered() {
			answered = append(answered, r)
		}
	}
	checkAnswers(c, answered, events)
	for _, r := range records {
		if r.problem.Outcome != reason.NotRun {
			continue
		}
		for _, e := range events {
			// A start before the refusal was sent belongs to the refused try, or to another one under way.
			if e.Kind == fakes.EventStart && e.Digest == r.digest && e.UnixNanos < r.began.UnixNano() {
				c.Errorf("key %s was said not to run after it had run", r.key)
			}
		}
	}
}

func TestKeysWhileDataCentresAreCutApart(t *testing.T) {
	cl := start(t, spec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.put(documents)
	rng := rand.New(rand.NewPCG(34, 0))
	var b book
	for i := range 5 {
		key, body := fmt.Sprintf("key-%d", i), uniqueBody(rng, 100)
		if i%2 == 0 {
			cl.cutOff("west")
		} else {
			// One way only: what the west sends arrives, what it should get does not.
			cl.net.Set("one-way", fault.Rule{Sources: cl.sources("west"), Link: fault.Link{HoldDown: true}, Names: []string{"platform", "east-1", "east-2"}})
		}
		cl.everywhere(&b, key, "run=20ms", body, cl.hosts...).Wait()
		cl.heal()
		cl.net.Clear("one-way")
		cl.eventually("the key answers in both data centres", func() bool {
			for _, h := range []*host{cl.hosts[0], cl.hosts[2]} {
				r := cl.send(context.Background(), h, "grant", key, "run=20ms", body)
				b.add(r)
				if !r.answered() && r.problem.Reason != reason.FirstRunUnknown {
					return false
				}
			}
			return true
		})
	}
	records := b.all()
	t.Log(summary(records))
	checkOnce(cl.c, records, cl.settled())
	checkLastWord(cl.c, records, cl.events())
}
