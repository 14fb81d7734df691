package test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/fault"
	"github.com/corianderdrift/corianderdrift/jobs"
)

// leavingGrace is the time after which a leaving worker must get no new work.
const leavingGrace = 3 * time.Second

func TestLeavingWorkersGetNoNewWork(t *testing.T) {
	ways := []struct {
		name  string
		leave func(cl *cluster, w *standIn)
	}{
		{"by the list", func(cl *cluster, w *standIn) {
			listing := w.listing
			listing.Leaving = true
			cl.listHost(listing)
		}},
		{"by its own word", func(cl *cluster, w *standIn) {
			cl.admin(http.MethodPut, w.url+"/admin/leaving", nil)
		}},
		{"by an operator", func(cl *cluster, w *standIn) {
			// The hosts are cut from each other, so each learns of the edit by itself.
			cl.net.Set("apart", fault.Rule{Names: []string{"east-1", "east-2"}, Link: fault.Cut})
			_, status, body := cl.edit(cl.hosts[0], "worker/"+w.name, fmt.Appendf(nil, `{"kind":"worker","name":%q,"drain":true}`, w.name), 0)
			cl.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		}},
	}
	for _, way := range ways {
		t.Run(way.name, func(t *testing.T) {
			cl := start(t, spec{hosts: 2, workers: 3, slots: 2})
			cl.put(documents)
			var b book
			stop := make(chan struct{})
			// More callers than slots, so that work always waits.
			wg := cl.load(&b, 16, stop, cl.mixed(41, "run=30ms", cl.hosts...))
			w := cl.workers[0]
			cl.eventually("the worker is in use", func() bool { return cl.startsOn(w) > 10 })
			way.leave(cl, w)
			left := time.Now()
			cl.eventually("time passes", func() bool { return time.Since(left) > 2*leavingGrace })
			close(stop)
			wg.Wait()
			for _, e := range cl.settled() {
				if e.Kind == fakes.EventStart && e.Worker == w.name {
					after := time.Unix(0, e.UnixNanos).Sub(left)
					cl.c.Check(after < leavingGrace, qt.IsTrue, qt.Commentf("a task started %s after the worker left", after))
				}
			}
			cl.checkAll(b.all())
		})
	}
}

// balancer sends to hosts that are ready, like the platform's.
type balancer struct {
	cl    *cluster
	next  atomic.Uint64
	mu    sync.Mutex
	ready []*host
	// slowest is the longest time that it took to notice a change.
	slowest time.Duration
}

func (l *balancer) watch(stop <-chan struct{}) {
	last := time.Now()
	for {
		var ready []*host
		for _, h := range l.cl.hosts {
			status, _, _, err := l.cl.do(http.MethodGet, h.url+"/readyz", nil, nil)
			if err == nil && status == http.StatusOK {
				ready = append(ready, h)
			}
		}
		l.mu.Lock()
		l.ready = ready
		l.slowest = max(l.slowest, time.Since(last))
		l.mu.Unlock()
		last = time.Now()
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (l *balancer) pick() *host {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ready) == 0 {
		return l.cl.hosts[0]
	}
	return l.ready[int(l.next.Add(1))%len(l.ready)]
}

func TestRollingReplacementCutsNothing(t *testing.T) {
	cl := start(t, spec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.put(documents)
	ids := cl.submitJobs(3, "rolls", "run=500ms", 4)
	l := &balancer{cl: cl, ready: cl.hosts}
	stopWatch := make(chan struct{})
	go l.watch(stopWatch)
	defer close(stopWatch)
	var b book
	var signalled atomic.Int64
	stop := make(chan struct{})
	wg := cl.load(&b, 12, stop, func(caller, i int) record {
		rng := rand.New(rand.NewPCG(42, uint64(caller)<<32|uint64(i)))
		work, key, params, size := "check", "", "run=30ms", 300
		switch {
		case caller == 0:
			params, size = "run=3s", mebibyte
		case caller == 1:
			params, size = "run=5ms", 4*mebibyte
		case caller%3 == 0:
			work, key = "grant", fmt.Sprintf("k-%d-%d", caller, i)
		}
		body := uniqueBody(rng, size)
		picked := time.Now()
		h := l.pick()
		r := cl.send(context.Background(), h, work, key, params, body)
		if r.err != nil {
			t.Logf("caller %d: %s picked %s before its error, %s after its signal", caller, h.name, time.Since(picked), time.Since(time.Unix(0, signalled.Load())))
		}
		return r
	})
	for _, h := range cl.hosts {
		signalled.Store(time.Now().UnixNano())
		h.signal(syscall.SIGTERM)
		<-h.done
		cl.c.Check(h.cmd.ProcessState.ExitCode(), qt.Equals, 0, qt.Commentf("%s: %s", h.name, tail(h.log.String())))
		cl.launch(h.proc)
		cl.waitReady(h)
		cl.waitHeld()
	}
	close(stop)
	wg.Wait()
	records := b.all()
	l.mu.Lock()
	t.Logf("%s; the balancer took %s at most to notice a change", summary(records), l.slowest)
	l.mu.Unlock()
	for _, r := range records {
		cl.c.Check(r.answered(), qt.IsTrue, qt.Commentf("%s via %s: %d %s %v", r.work, r.host, r.status, r.answer, r.err))
	}
	for _, id := range ids {
		cl.c.Check(cl.waitJob(cl.hosts[0], id).State, qt.Equals, jobs.Done)
	}
	cl.checkAll(records)
}

// versions watches the version in force on every host and notes whether any goes back.
type versions struct {
	cl   *cluster
	mu   sync.Mutex
	seen map[string]uint64
	back []string
}

func (v *versions) watch(stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, h := range v.cl.hosts {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if now := v.cl.version(h); now > 0 {
					v.note(h.name, now)
				}
			}
		})
	}
	return &wg
}

func (v *versions) note(name string, now uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now < v.seen[name] {
		v.back = append(v.back, fmt.Sprintf("%s went from %d to %d", name, v.seen[name], now))
	}
	v.seen[name] = now
}

// raceEdits has operators at several hosts edit the same documents until each has had n accepted.
func (cl *cluster) raceEdits(operators, n int) *sync.WaitGroup {
	var wg sync.WaitGroup
	for operator := range operators {
		wg.Go(func() {
			h := cl.hosts[operator%len(cl.hosts)]
			until := time.Now().Add(waitLimit)
			for accepted := 0; accepted < n && time.Now().Before(until); {
				key := fmt.Sprintf("owner/team-%d", accepted%2)
				doc, _ := json.Marshal(map[string]any{"kind": "owner", "name": key[6:], "weight": operator*10 + accepted + 1})
				if _, status, _ := cl.edit(h, key, doc, cl.docVersionAt(h, key)); status == http.StatusOK {
					accepted++
				}
			}
		})
	}
	return &wg
}

func (cl *cluster) docVersionAt(h *host, key string) uint64 {
	var doc struct {
		Version uint64 `json:"version"`
	}
	_ = cl.get(h.url+"/v1/catalogue/"+key, &doc)
	return doc.Version
}

func TestAcceptedEditsAreInForceAndNeverRevert(t *testing.T) {
	cl := start(t, spec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 1})
	first := cl.put(documents)
	v := &versions{cl: cl, seen: map[string]uint64{}}
	stop := make(chan struct{})
	watching := v.watch(stop)

	// Operators race each other while the store loses answers.
	cl.mode(fakes.Mode{LoseAnswers: 5})
	cl.raceEdits(6, 3).Wait()
	cl.mode(fakes.Mode{})
	cl.waitVersion(first+18, cl.hosts...)

	// A data centre that is cut off keeps what it has, and catches up when it is back.
	cl.cutOff("west")
	cl.raceEdits(2, 3).Wait()
	cl.waitVersion(first+24, cl.hosts[:2]...)
	cl.c.Check(cl.version(cl.hosts[2]) >= first+18, qt.IsTrue)
	cl.heal()
	cl.waitVersion(first+24, cl.hosts...)

	// A host that starts while the store is down gets the version from its peers.
	cl.mode(fakes.Mode{Down: true})
	restarted := cl.hosts[1]
	restarted.kill()
	v.mu.Lock()
	delete(v.seen, restarted.name)
	v.mu.Unlock()
	cl.launch(restarted.proc)
	cl.waitReady(restarted)
	cl.c.Check(cl.version(restarted), qt.Equals, first+24)
	cl.mode(fakes.Mode{})

	close(stop)
	watching.Wait()
	cl.c.Check(v.back, qt.HasLen, 0)
	cl.checkHistory(first + 24)
}

// checkHistory checks that every version has exactly one change and that each follows from the one before.
func (cl *cluster) checkHistory(head uint64) {
	var changes []struct {
		Version uint64          `json:"version"`
		Key     string          `json:"key"`
		Before  json.RawMessage `json:"before"`
		After   json.RawMessage `json:"after"`
	}
	cl.c.Assert(cl.get(cl.hosts[0].url+"/v1/history?from=0", &changes), qt.IsNil)
	cl.c.Check(len(changes), qt.Equals, int(head))
	docs := map[string]string{}
	for i, change := range changes {
		cl.c.Check(change.Version, qt.Equals, uint64(i+1))
		cl.c.Check(string(change.Before), qt.Equals, docs[change.Key], qt.Commentf("version %d overwrote another edit", change.Version))
		docs[change.Key] = string(change.After)
	}
}

func TestRacingOperatorsAreTold(t *testing.T) {
	cl := start(t, spec{hosts: 2, workers: 1})
	cl.put(documents)
	version := cl.docVersion("owner/desk")
	doc := func(weight int) []byte { return fmt.Appendf(nil, `{"kind":"owner","name":"desk","weight":%d}`, weight) }
	_, status, _ := cl.edit(cl.hosts[0], "owner/desk", doc(2), version)
	cl.c.Assert(status, qt.Equals, http.StatusOK)
	_, status, body := cl.edit(cl.hosts[1], "owner/desk", doc(3), version)
	cl.c.Check(status, qt.Equals, http.StatusConflict)
	cl.c.Check(string(body), qt.Contains, "was changed by test")
	_, status, body = cl.edit(cl.hosts[1], "work/lost", []byte(`{"kind":"work","name":"lost","owner":"nobody","class":"request","size":{"cpu-milli":1,"memory-mib":1}}`), 0)
	cl.c.Check(status, qt.Equals, http.StatusBadRequest)
	cl.c.Check(string(body), qt.Contains, "there is no owner")
}

func TestFieldsOfNewerProgramsSurviveEditsByOlderOnes(t *testing.T) {
	cl := start(t, spec{hosts: 1, workers: 1})
	first := cl.put(documents)
	// A newer program has written a document with a field that this one does not know.
	newer := `{"kind":"owner","name":"desk","weight":1,"colour":"blue"}`
	change := map[string]any{"version": first + 1, "edit-id": "newer", "key": "owner/desk", "after": json.RawMessage(newer)}
	var rows struct {
		Rows []struct {
			Version uint64 `json:"version"`
		} `json:"rows"`
	}
	body, _ := json.Marshal(map[string]any{"keys": []string{"catalogue/head"}})
	_, _, answer, err := cl.do(http.MethodPost, cl.platURL+"/v1/read", body, nil)
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(json.Unmarshal(answer, &rows), qt.IsNil)
	cl.admin(http.MethodPost, cl.platURL+"/v1/tx", map[string]any{
		"checks": []any{map[string]any{"key": "catalogue/head", "version": rows.Rows[0].Version}},
		"writes": []any{
			map[string]any{"key": "catalogue/head", "value": map[string]any{"version": first + 1, "edit-id": "newer"}},
			map[string]any{"key": "catalogue/doc/owner/desk", "value": map[string]any{"version": first + 1, "doc": json.RawMessage(newer)}},
			map[string]any{"key": fmt.Sprintf("catalogue/history/%012d", first+1), "value": change},
		},
	})
	cl.waitVersion(first+1, cl.hosts...)
	_, status, answer := cl.edit(cl.hosts[0], "owner/desk", []byte(`{"kind":"owner","name":"desk","weight":7}`), first+1)
	cl.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", answer))
	var doc struct {
		Doc map[string]any `json:"doc"`
	}
	cl.waitVersion(first+2, cl.hosts...)
	cl.c.Assert(cl.get(cl.hosts[0].url+"/v1/catalogue/owner/desk", &doc), qt.IsNil)
	cl.c.Check(doc.Doc["colour"], qt.Equals, "blue")
	cl.c.Check(doc.Doc["weight"], qt.Equals, float64(7))
}

func TestAStoppingHostServesWhatComesLate(t *testing.T) {
	// The delay is also how long no work must have come before the host ends; it is far longer than any pause here.
	cl := start(t, spec{hosts: 2, workers: 2, hostFlags: []string{"--stop-delay", "3s"}})
	cl.put(documents)
	stopping := cl.hosts[0]
	var b book
	stop := make(chan struct{})
	// These callers don't look at the readiness.
	wg := cl.load(&b, 4, stop, cl.mixed(43, "run=10ms", stopping))
	stopping.signal(syscall.SIGTERM)
	cl.eventually("the other host holds all workers", func() bool { return !cl.holds(stopping) })
	handedOver := time.Now()
	late := func() int {
		count := 0
		for _, r := range b.all() {
			if r.began.After(handedOver) {
				count++
			}
		}
		return count
	}
	cl.eventually("work came late", func() bool { return late() > 100 })
	close(stop)
	wg.Wait()
	<-stopping.done
	cl.c.Check(stopping.cmd.ProcessState.ExitCode(), qt.Equals, 0)
	for _, r := range b.all() {
		cl.c.Check(r.answered(), qt.IsTrue, qt.Commentf("%s via %s: %d %s %v", r.work, r.host, r.status, r.answer, r.err))
	}
	cl.checkAll(b.all())
}
