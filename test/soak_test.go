//go:build soak

package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/fault"
)

// envInt returns the integer value of an environment variable, or fallback if it has none.
func envInt(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// TestSoak injects random failures, seeded by SEED, for SECONDS and then checks the invariants against the logs.
func TestSoak(t *testing.T) {
	seed, seconds := envInt("SEED", 1), envInt("SECONDS", 120)
	fmt.Printf("soak: seed %d, %d seconds\n", seed, seconds)
	cl := startCluster(t, clusterSpec{dataCenters: []string{"east", "west"}, hosts: 3, workers: 3, slots: 4})
	cl.putDocuments(testDocuments)
	rng := rand.New(rand.NewPCG(uint64(seed), 0))
	v := &versionWatcher{cl: cl, latest: map[string]uint64{}}
	stopWatch := make(chan struct{})
	watching := v.watch(stopWatch)
	var reqs requestLog
	stop := make(chan struct{})
	params := []string{"run=10ms", "run=60ms", "run=400ms", "run=5ms,fail=true"}
	wg := cl.startLoad(&reqs, 16, stop, func(caller, i int) record {
		callerRNG := rand.New(rand.NewPCG(uint64(seed), uint64(caller)<<32|uint64(i)))
		return cl.mixedRequests(uint64(seed), params[callerRNG.IntN(len(params))], cl.hosts...)(caller, i)
	})
	var ids []string
	deadline := time.Now().Add(time.Duration(seconds) * time.Second)
	for step := 0; time.Now().Before(deadline); step++ {
		cl.injectFailure(rng, v)
		if step%3 == 0 {
			ids = append(ids, cl.trySubmit(rng)...)
		}
		if step%7 == 6 {
			for _, id := range ids {
				_, _, _, _ = cl.do(http.MethodDelete, cl.hosts[rng.IntN(len(cl.hosts))].url+"/v1/jobs/"+id, nil, nil)
			}
		}
	}
	cl.setMode(fakes.Mode{})
	cl.waitReady(cl.hosts...)
	cl.waitAllHeld()
	close(stop)
	wg.Wait()
	for _, id := range ids {
		cl.waitJob(cl.hosts[0], id)
	}
	close(stopWatch)
	watching.Wait()
	records := reqs.all()
	t.Log(summary(records))
	cl.checkInvariants(records)
	cl.c.Check(v.regressions, qt.HasLen, 0)
	cl.checkHistory(cl.catalogueVersion(cl.hosts[0]))
	verdict := "holds"
	if t.Failed() {
		verdict = "BROKEN"
	}
	fmt.Printf("soak: seed %d: %s over %d requests and %d jobs\n", seed, verdict, len(records), len(ids))
}

func (cl *cluster) trySubmit(rng *rand.Rand) []string {
	h := cl.hosts[rng.IntN(len(cl.hosts))]
	work := []string{"rolls", "survey"}[rng.IntN(2)]
	r := cl.send(context.Background(), h, work, "", fmt.Sprintf("run=%dms", 100+rng.IntN(900)), uniqueBody(rng, 30))
	if r.status != http.StatusAccepted {
		return nil
	}
	return []string{jobID(cl.c, r)}
}

// injectFailure injects one random failure and, where it lasts, ends it after a while.
func (cl *cluster) injectFailure(rng *rand.Rand, v *versionWatcher) {
	h := cl.hosts[rng.IntN(len(cl.hosts))]
	w := cl.workers[rng.IntN(len(cl.workers))]
	wait := func() { sleep(time.Duration(500+rng.IntN(4000)) * time.Millisecond) }
	switch rng.IntN(10) {
	case 0:
		h.kill()
		wait()
		v.mu.Lock()
		delete(v.latest, h.name)
		v.mu.Unlock()
		cl.launch(h.proc)
	case 1:
		h.signal(syscall.SIGSTOP)
		wait()
		h.signal(syscall.SIGCONT)
	case 2:
		cl.partition(h.dataCenter)
		wait()
		cl.healPartition()
	case 3:
		cl.setMode(fakes.Mode{Down: true})
		wait()
		cl.setMode(fakes.Mode{})
	case 4:
		cl.setMode(fakes.Mode{LoseReplies: 1 + rng.IntN(30)})
	case 5:
		cl.setMode(fakes.Mode{DelayMillis: int64(rng.IntN(1500))})
		wait()
		cl.setMode(fakes.Mode{})
	case 6:
		w.proxy.Blackhole()
		cl.proxies[h.name].Blackhole()
	case 7:
		cl.network.Set("mute", fault.Rule{ProxyNames: []string{w.name}, Link: fault.Link{HoldToSource: true}})
		wait()
		cl.network.Clear("mute")
	case 8:
		cl.network.Set("slow", fault.Rule{Link: fault.Link{Delay: 5 * time.Millisecond, Jitter: 20 * time.Millisecond}})
		wait()
		cl.network.Clear("slow")
	default:
		key := fmt.Sprintf("owner/team-%d", rng.IntN(3))
		doc := fmt.Appendf(nil, `{"kind":"owner","name":%q,"weight":%d}`, key[6:], 1+rng.IntN(900))
		_, _, _ = cl.editDocument(h, key, doc, cl.documentVersionAt(h, key))
	}
}
