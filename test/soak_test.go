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

// setting reads a number from the environment.
func setting(name string, fallback int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return fallback
}

// TestSoak mixes failures for SECONDS from SEED and then checks what must always hold from the logs.
func TestSoak(t *testing.T) {
	seed, seconds := setting("SEED", 1), setting("SECONDS", 120)
	fmt.Printf("soak: seed %d, %d seconds\n", seed, seconds)
	cl := start(t, spec{dataCenters: []string{"east", "west"}, hosts: 3, workers: 3, slots: 4})
	cl.put(documents)
	rng := rand.New(rand.NewPCG(uint64(seed), 0))
	v := &versions{cl: cl, seen: map[string]uint64{}}
	stopWatch := make(chan struct{})
	watching := v.watch(stopWatch)
	var b book
	stop := make(chan struct{})
	params := []string{"run=10ms", "run=60ms", "run=400ms", "run=5ms,fail=true"}
	wg := cl.load(&b, 16, stop, func(caller, i int) record {
		own := rand.New(rand.NewPCG(uint64(seed), uint64(caller)<<32|uint64(i)))
		return cl.mixed(uint64(seed), params[own.IntN(len(params))], cl.hosts...)(caller, i)
	})
	var ids []string
	until := time.Now().Add(time.Duration(seconds) * time.Second)
	for step := 0; time.Now().Before(until); step++ {
		cl.failure(rng, v)
		if step%3 == 0 {
			ids = append(ids, cl.trySubmit(rng)...)
		}
		if step%7 == 6 {
			for _, id := range ids {
				_, _, _, _ = cl.do(http.MethodDelete, cl.hosts[rng.IntN(len(cl.hosts))].url+"/v1/jobs/"+id, nil, nil)
			}
		}
	}
	cl.mode(fakes.Mode{})
	cl.waitReady(cl.hosts...)
	cl.waitHeld()
	close(stop)
	wg.Wait()
	for _, id := range ids {
		cl.waitJob(cl.hosts[0], id)
	}
	close(stopWatch)
	watching.Wait()
	records := b.all()
	t.Log(summary(records))
	cl.checkAll(records)
	cl.c.Check(v.back, qt.HasLen, 0)
	cl.checkHistory(cl.version(cl.hosts[0]))
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

// failure brings one failure about, leaves it for a while, and mends it.
func (cl *cluster) failure(rng *rand.Rand, v *versions) {
	h := cl.hosts[rng.IntN(len(cl.hosts))]
	w := cl.workers[rng.IntN(len(cl.workers))]
	wait := func() { pause(time.Duration(500+rng.IntN(4000)) * time.Millisecond) }
	switch rng.IntN(10) {
	case 0:
		h.kill()
		wait()
		v.mu.Lock()
		delete(v.seen, h.name)
		v.mu.Unlock()
		cl.launch(h.proc)
	case 1:
		h.signal(syscall.SIGSTOP)
		wait()
		h.signal(syscall.SIGCONT)
	case 2:
		cl.cutOff(h.dataCenter)
		wait()
		cl.heal()
	case 3:
		cl.mode(fakes.Mode{Down: true})
		wait()
		cl.mode(fakes.Mode{})
	case 4:
		cl.mode(fakes.Mode{LoseAnswers: 1 + rng.IntN(30)})
	case 5:
		cl.mode(fakes.Mode{SlowMillis: int64(rng.IntN(1500))})
		wait()
		cl.mode(fakes.Mode{})
	case 6:
		w.proxy.Silence()
		cl.proxies[h.name].Silence()
	case 7:
		cl.net.Set("mute", fault.Rule{Names: []string{w.name}, Link: fault.Link{HoldDown: true}})
		wait()
		cl.net.Clear("mute")
	case 8:
		cl.net.Set("slow", fault.Rule{Link: fault.Link{Delay: 5 * time.Millisecond, Jitter: 20 * time.Millisecond}})
		wait()
		cl.net.Clear("slow")
	default:
		key := fmt.Sprintf("owner/team-%d", rng.IntN(3))
		doc := fmt.Appendf(nil, `{"kind":"owner","name":%q,"weight":%d}`, key[6:], 1+rng.IntN(900))
		_, _, _ = cl.edit(h, key, doc, cl.docVersionAt(h, key))
	}
}
