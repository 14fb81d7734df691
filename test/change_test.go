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

// leavingGrace is how long a leaving worker may still get new work.
const leavingGrace = 3 * time.Second

func TestLeavingWorkersGetNoNewWork(t *testing.T) {
	tests := []struct {
		name  string
		leave func(cl *cluster, w *fakeWorker)
	}{
		{"marked in the host list", func(cl *cluster, w *fakeWorker) {
			listing := w.listing
			listing.Leaving = true
			cl.registerHost(listing)
		}},
		{"reported by the worker", func(cl *cluster, w *fakeWorker) {
			cl.sendAdmin(http.MethodPut, w.url+"/admin/leaving", nil)
		}},
		{"drained by an operator", func(cl *cluster, w *fakeWorker) {
			// The hosts are partitioned from each other, so each has to read the edit from the store.
			cl.network.Set("apart", fault.Rule{ProxyNames: []string{"east-1", "east-2"}, Link: fault.Partition})
			_, status, body := cl.editDocument(cl.hosts[0], "worker/"+w.name, fmt.Appendf(nil, `{"kind":"worker","name":%q,"drain":true}`, w.name), 0)
			cl.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", body))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cl := startCluster(t, clusterSpec{hosts: 2, workers: 3, slots: 2})
			cl.putDocuments(testDocuments)
			var reqs requestLog
			stop := make(chan struct{})
			// More callers than slots, so that requests are always queued.
			wg := cl.startLoad(&reqs, 16, stop, cl.mixedRequests(41, "run=30ms", cl.hosts...))
			w := cl.workers[0]
			cl.waitFor("the worker has started more than 10 tasks", func() bool { return cl.startsOn(w) > 10 })
			test.leave(cl, w)
			leftAt := time.Now()
			cl.waitFor("twice the grace period has passed", func() bool { return time.Since(leftAt) > 2*leavingGrace })
			close(stop)
			wg.Wait()
			for _, e := range cl.waitIdle() {
				if e.Kind == fakes.EventStart && e.Worker == w.name {
					after := time.Unix(0, e.UnixNanos).Sub(leftAt)
					cl.c.Check(after < leavingGrace, qt.IsTrue, qt.Commentf("a task started %s after the worker left", after))
				}
			}
			cl.checkInvariants(reqs.all())
		})
	}
}

// balancer picks ready hosts, like the platform's load balancer.
type balancer struct {
	cl    *cluster
	next  atomic.Uint64
	mu    sync.Mutex
	ready []*host
	// maxUpdateInterval is the longest time between two updates of ready.
	maxUpdateInterval time.Duration
}

func (l *balancer) watch(stop <-chan struct{}) {
	updatedAt := time.Now()
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
		l.maxUpdateInterval = max(l.maxUpdateInterval, time.Since(updatedAt))
		l.mu.Unlock()
		updatedAt = time.Now()
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

func TestRollingReplacementFailsNoRequests(t *testing.T) {
	cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 2})
	cl.putDocuments(testDocuments)
	ids := cl.submitJobs(3, "rolls", "run=500ms", 4)
	l := &balancer{cl: cl, ready: cl.hosts}
	stopWatch := make(chan struct{})
	go l.watch(stopWatch)
	defer close(stopWatch)
	var reqs requestLog
	var signalledAt atomic.Int64
	stop := make(chan struct{})
	wg := cl.startLoad(&reqs, 12, stop, func(caller, i int) record {
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
		pickedAt := time.Now()
		h := l.pick()
		r := cl.send(context.Background(), h, work, key, params, body)
		if r.err != nil {
			t.Logf("caller %d: request to %s failed %s after the host was picked and %s after the last stop signal", caller, h.name, time.Since(pickedAt), time.Since(time.Unix(0, signalledAt.Load())))
		}
		return r
	})
	for _, h := range cl.hosts {
		signalledAt.Store(time.Now().UnixNano())
		h.signal(syscall.SIGTERM)
		<-h.done
		cl.c.Check(h.cmd.ProcessState.ExitCode(), qt.Equals, 0, qt.Commentf("%s: %s", h.name, tail(h.log.String())))
		cl.launch(h.proc)
		cl.waitReady(h)
		cl.waitAllHeld()
	}
	close(stop)
	wg.Wait()
	records := reqs.all()
	l.mu.Lock()
	t.Logf("%s; the balancer took %s at most to notice a change", summary(records), l.maxUpdateInterval)
	l.mu.Unlock()
	for _, r := range records {
		cl.c.Check(r.succeeded(), qt.IsTrue, qt.Commentf("%s via %s: %d %s %v", r.work, r.host, r.status, r.respBody, r.err))
	}
	for _, id := range ids {
		cl.c.Check(cl.waitJob(cl.hosts[0], id).State, qt.Equals, jobs.Done)
	}
	cl.checkInvariants(records)
}

// versionWatcher polls the catalogue version of every host and records each decrease.
type versionWatcher struct {
	cl          *cluster
	mu          sync.Mutex
	latest      map[string]uint64
	regressions []string
}

func (v *versionWatcher) watch(stop <-chan struct{}) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, h := range v.cl.hosts {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if version := v.cl.catalogueVersion(h); version > 0 {
					v.observe(h.name, version)
				}
			}
		})
	}
	return &wg
}

func (v *versionWatcher) observe(name string, version uint64) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if version < v.latest[name] {
		v.regressions = append(v.regressions, fmt.Sprintf("%s went from %d to %d", name, v.latest[name], version))
	}
	v.latest[name] = version
}

// raceEdits runs operators at several hosts that edit the same documents until each has had editsEach edits accepted.
func (cl *cluster) raceEdits(operators, editsEach int) *sync.WaitGroup {
	var wg sync.WaitGroup
	for operator := range operators {
		wg.Go(func() {
			h := cl.hosts[operator%len(cl.hosts)]
			deadline := time.Now().Add(waitTimeout)
			for accepted := 0; accepted < editsEach && time.Now().Before(deadline); {
				key := fmt.Sprintf("owner/team-%d", accepted%2)
				doc, _ := json.Marshal(map[string]any{"kind": "owner", "name": key[6:], "weight": operator*10 + accepted + 1})
				if _, status, _ := cl.editDocument(h, key, doc, cl.documentVersionAt(h, key)); status == http.StatusOK {
					accepted++
				}
			}
		})
	}
	return &wg
}

func (cl *cluster) documentVersionAt(h *host, key string) uint64 {
	var doc struct {
		Version uint64 `json:"version"`
	}
	_ = cl.getJSON(h.url+"/v1/catalogue/"+key, &doc)
	return doc.Version
}

func TestAcceptedEditsTakeEffectAndNeverRevert(t *testing.T) {
	cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, hosts: 2, workers: 1})
	baseVersion := cl.putDocuments(testDocuments)
	v := &versionWatcher{cl: cl, latest: map[string]uint64{}}
	stop := make(chan struct{})
	watching := v.watch(stop)

	// Operators make concurrent edits while the store loses responses.
	cl.setMode(fakes.Mode{LoseReplies: 5})
	cl.raceEdits(6, 3).Wait()
	cl.setMode(fakes.Mode{})
	cl.waitCatalogueVersion(baseVersion+18, cl.hosts...)

	// A partitioned data centre keeps its version, and catches up once the partition is healed.
	cl.partition("west")
	cl.raceEdits(2, 3).Wait()
	cl.waitCatalogueVersion(baseVersion+24, cl.hosts[:2]...)
	cl.c.Check(cl.catalogueVersion(cl.hosts[2]) >= baseVersion+18, qt.IsTrue)
	cl.healPartition()
	cl.waitCatalogueVersion(baseVersion+24, cl.hosts...)

	// A host that starts while the store is down gets the version from its peers.
	cl.setMode(fakes.Mode{Down: true})
	restarted := cl.hosts[1]
	restarted.kill()
	v.mu.Lock()
	delete(v.latest, restarted.name)
	v.mu.Unlock()
	cl.launch(restarted.proc)
	cl.waitReady(restarted)
	cl.c.Check(cl.catalogueVersion(restarted), qt.Equals, baseVersion+24)
	cl.setMode(fakes.Mode{})

	close(stop)
	watching.Wait()
	cl.c.Check(v.regressions, qt.HasLen, 0)
	cl.checkHistory(baseVersion + 24)
}

// checkHistory checks that every version has exactly one change, and that each change is based on the document's previous one.
func (cl *cluster) checkHistory(head uint64) {
	var changes []struct {
		Version uint64          `json:"version"`
		Key     string          `json:"key"`
		Before  json.RawMessage `json:"before"`
		After   json.RawMessage `json:"after"`
	}
	cl.c.Assert(cl.getJSON(cl.hosts[0].url+"/v1/history?from=0", &changes), qt.IsNil)
	cl.c.Check(len(changes), qt.Equals, int(head))
	docs := map[string]string{}
	for i, change := range changes {
		cl.c.Check(change.Version, qt.Equals, uint64(i+1))
		cl.c.Check(string(change.Before), qt.Equals, docs[change.Key], qt.Commentf("version %d overwrote another edit", change.Version))
		docs[change.Key] = string(change.After)
	}
}

func TestInvalidAndConflictingEditsAreRejected(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 1})
	cl.putDocuments(testDocuments)
	version := cl.documentVersion("owner/desk")
	doc := func(weight int) []byte { return fmt.Appendf(nil, `{"kind":"owner","name":"desk","weight":%d}`, weight) }
	_, status, _ := cl.editDocument(cl.hosts[0], "owner/desk", doc(2), version)
	cl.c.Assert(status, qt.Equals, http.StatusOK)
	_, status, body := cl.editDocument(cl.hosts[1], "owner/desk", doc(3), version)
	cl.c.Check(status, qt.Equals, http.StatusConflict)
	cl.c.Check(string(body), qt.Contains, "was changed by test")
	_, status, body = cl.editDocument(cl.hosts[1], "work/lost", []byte(`{"kind":"work","name":"lost","owner":"nobody","class":"request","size":{"cpu-milli":1,"memory-mib":1}}`), 0)
	cl.c.Check(status, qt.Equals, http.StatusBadRequest)
	cl.c.Check(string(body), qt.Contains, "there is no owner")
}

func TestUnknownFieldsOfNewerVersionsSurviveEdits(t *testing.T) {
	cl := startCluster(t, clusterSpec{hosts: 1, workers: 1})
	baseVersion := cl.putDocuments(testDocuments)
	// A newer version of the program has written a document with a field that is unknown here.
	newer := `{"kind":"owner","name":"desk","weight":1,"colour":"blue"}`
	change := map[string]any{"version": baseVersion + 1, "edit-id": "newer", "key": "owner/desk", "after": json.RawMessage(newer)}
	var rows struct {
		Rows []struct {
			Version uint64 `json:"version"`
		} `json:"rows"`
	}
	body, _ := json.Marshal(map[string]any{"keys": []string{"catalogue/head"}})
	_, _, respBody, err := cl.do(http.MethodPost, cl.platformURL+"/v1/read", body, nil)
	cl.c.Assert(err, qt.IsNil)
	cl.c.Assert(json.Unmarshal(respBody, &rows), qt.IsNil)
	cl.sendAdmin(http.MethodPost, cl.platformURL+"/v1/tx", map[string]any{
		"checks": []any{map[string]any{"key": "catalogue/head", "version": rows.Rows[0].Version}},
		"writes": []any{
			map[string]any{"key": "catalogue/head", "value": map[string]any{"version": baseVersion + 1, "edit-id": "newer"}},
			map[string]any{"key": "catalogue/doc/owner/desk", "value": map[string]any{"version": baseVersion + 1, "doc": json.RawMessage(newer)}},
			map[string]any{"key": fmt.Sprintf("catalogue/history/%012d", baseVersion+1), "value": change},
		},
	})
	cl.waitCatalogueVersion(baseVersion+1, cl.hosts...)
	_, status, respBody := cl.editDocument(cl.hosts[0], "owner/desk", []byte(`{"kind":"owner","name":"desk","weight":7}`), baseVersion+1)
	cl.c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", respBody))
	var doc struct {
		Doc map[string]any `json:"doc"`
	}
	cl.waitCatalogueVersion(baseVersion+2, cl.hosts...)
	cl.c.Assert(cl.getJSON(cl.hosts[0].url+"/v1/catalogue/owner/desk", &doc), qt.IsNil)
	cl.c.Check(doc.Doc["colour"], qt.Equals, "blue")
	cl.c.Check(doc.Doc["weight"], qt.Equals, float64(7))
}

func TestStoppingHostServesLateRequests(t *testing.T) {
	// The host exits once no request has come for the stop delay, which is far longer than any gap between requests here.
	cl := startCluster(t, clusterSpec{hosts: 2, workers: 2, hostFlags: []string{"--stop-delay", "3s"}})
	cl.putDocuments(testDocuments)
	stopping := cl.hosts[0]
	var reqs requestLog
	stop := make(chan struct{})
	// These callers ignore the host's readiness.
	wg := cl.startLoad(&reqs, 4, stop, cl.mixedRequests(43, "run=10ms", stopping))
	stopping.signal(syscall.SIGTERM)
	cl.waitFor("the other host holds all workers", func() bool { return !cl.holdsAnyWorker(stopping) })
	handedOverAt := time.Now()
	numLate := func() int {
		count := 0
		for _, r := range reqs.all() {
			if r.startedAt.After(handedOverAt) {
				count++
			}
		}
		return count
	}
	cl.waitFor("more than 100 requests were sent after the handover", func() bool { return numLate() > 100 })
	close(stop)
	wg.Wait()
	<-stopping.done
	cl.c.Check(stopping.cmd.ProcessState.ExitCode(), qt.Equals, 0)
	for _, r := range reqs.all() {
		cl.c.Check(r.succeeded(), qt.IsTrue, qt.Commentf("%s via %s: %d %s %v", r.work, r.host, r.status, r.respBody, r.err))
	}
	cl.checkInvariants(reqs.all())
}
