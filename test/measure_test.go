//go:build measure

package test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/store"
	"github.com/corianderdrift/corianderdrift/unit"
	"github.com/corianderdrift/corianderdrift/worker"
)

// testbed runs real entry host processes against fake workers and a fake platform in the test process,
// so that only the cost of the hosts is measured.
type testbed struct {
	c        *qt.C
	platform *fakes.Platform
	workers  []*fakes.Worker
	hosts    []*exec.Cmd
	urls     []string
	close    []func()
}

func freeAddr(c *qt.C) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

func newTestbed(c *qt.C, bin string, hosts, workers int, slots int64) *testbed {
	b := &testbed{c: c, platform: fakes.NewPlatform(fakes.WritesPerSecond, fakes.ReadsPerSecond)}
	server := httptest.NewServer(b.platform.Handler())
	b.close = append(b.close, server.Close)
	for i := range workers {
		w := fakes.NewWorker(fakes.WorkerConfig{
			Name: fmt.Sprintf("w%d", i), DataCenter: "d", Rack: fmt.Sprint("r", i/4),
			Capacity: unit.Size{CPUMilli: 64000, MemoryMiB: 256 << 10, Slots: slots, Connections: 512},
		})
		w.Quiet()
		s := httptest.NewServer(w.Handler())
		b.close = append(b.close, s.Close, w.Close)
		b.workers = append(b.workers, w)
		b.platform.SetHost(store.Host{
			Name: fmt.Sprintf("w%d", i), Kind: store.KindWorker, DataCenter: "d",
			Address: netip.MustParseAddrPort(s.Listener.Addr().String()),
		})
	}
	for i := range hosts {
		listen, peer := freeAddr(c), freeAddr(c)
		name := fmt.Sprintf("h%d", i)
		b.platform.SetHost(store.Host{Name: name, Kind: store.KindEntry, Address: peer, DataCenter: "d"})
		cmd := exec.Command(bin, "serve", "--name", name, "--data-center", "d", "--listen", listen.String(),
			"--peer-listen", peer.String(), "--platform", server.Listener.Addr().String(), "--log-level", "error")
		cmd.Stderr = os.Stderr
		c.Assert(cmd.Start(), qt.IsNil)
		b.hosts = append(b.hosts, cmd)
		b.urls = append(b.urls, "http://"+listen.String())
	}
	deadline := time.Now().Add(waitTimeout)
	for b.numHeld() < workers && time.Now().Before(deadline) {
		sleep(50 * time.Millisecond)
	}
	c.Assert(b.numHeld(), qt.Equals, workers)
	return b
}

func (b *testbed) numHeld() int {
	n := 0
	for _, w := range b.workers {
		if w.HasLease() {
			n++
		}
	}
	return n
}

func (b *testbed) stop() {
	for _, cmd := range b.hosts {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	}
	for i := len(b.close) - 1; i >= 0; i-- {
		b.close[i]()
	}
}

func (b *testbed) putDocuments(documents string) {
	docs, err := entry.ParseFile([]byte(documents))
	b.c.Assert(err, qt.IsNil)
	for _, doc := range docs {
		req, _ := http.NewRequest(http.MethodPut, b.urls[0]+"/v1/catalogue/"+doc.Key, bytes.NewReader(doc.Raw))
		resp, err := http.DefaultClient.Do(req)
		b.c.Assert(err, qt.IsNil)
		b.c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
		_ = resp.Body.Close()
	}
	sleep(1500 * time.Millisecond)
}

// hostCost is the resource use of one host: totals in a snapshot, rates per second in a mean (except memory).
type hostCost struct {
	cpu         float64
	memoryMiB   float64
	workerBytes float64
	peerBytes   float64
}

func (b *testbed) snapshot() []hostCost {
	var list []hostCost
	for i, cmd := range b.hosts {
		list = append(list, hostCost{
			cpu: cpuSeconds(b.c, cmd.Process.Pid), memoryMiB: residentMiB(b.c, cmd.Process.Pid),
			workerBytes: b.gauge(i, "worker_bytes"), peerBytes: b.gauge(i, "peer_bytes"),
		})
	}
	return list
}

func (b *testbed) gauge(host int, name string) float64 {
	resp, err := http.Get(b.urls[host] + "/metrics")
	b.c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var text bytes.Buffer
	_, _ = text.ReadFrom(resp.Body)
	for line := range strings.Lines(text.String()) {
		if strings.HasPrefix(line, "corianderdrift_"+name+" ") {
			v, _ := strconv.ParseFloat(strings.TrimSpace(line[strings.LastIndexByte(line, ' '):]), 64)
			return v
		}
	}
	return 0
}

func cpuSeconds(c *qt.C, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	c.Assert(err, qt.IsNil)
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')'):]))
	user, _ := strconv.ParseFloat(fields[12], 64)
	system, _ := strconv.ParseFloat(fields[13], 64)
	const ticksPerSecond = 100
	return (user + system) / ticksPerSecond
}

func residentMiB(c *qt.C, pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	c.Assert(err, qt.IsNil)
	pages, _ := strconv.ParseFloat(strings.Fields(string(data))[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}

// meanCost returns the mean cost per host and second over a window, and the mean memory at its end.
func (b *testbed) meanCost(window time.Duration) hostCost {
	before := b.snapshot()
	sleep(window)
	after := b.snapshot()
	var sum hostCost
	n := float64(len(after))
	for i := range after {
		sum.cpu += (after[i].cpu - before[i].cpu) / window.Seconds() / n
		sum.memoryMiB += after[i].memoryMiB / n
		sum.workerBytes += (after[i].workerBytes - before[i].workerBytes) / window.Seconds() / n
		sum.peerBytes += (after[i].peerBytes - before[i].peerBytes) / window.Seconds() / n
	}
	return sum
}

func buildWithoutRace(c *qt.C) string {
	bin := filepath.Join(c.TempDir(), "corianderdrift")
	out, err := exec.Command("go", "build", "-o", bin, "..").CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	return bin
}

const measureWindow = 12 * time.Second

func TestControlCost(t *testing.T) {
	c := qt.New(t)
	bin := buildWithoutRace(c)
	logCost := func(label string, used hostCost) {
		t.Logf("%-34s cpu %.4f of a core, %.1f MiB, workers %.0f B/s, peers %.0f B/s", label, used.cpu, used.memoryMiB, used.workerBytes, used.peerBytes)
	}
	for _, workers := range []int{8, 32, 96} {
		b := newTestbed(c, bin, 2, workers, 64)
		logCost(fmt.Sprintf("2 hosts, %d workers", workers), b.meanCost(measureWindow))
		b.stop()
	}
	for _, hosts := range []int{4, 8} {
		b := newTestbed(c, bin, hosts, 32, 64)
		logCost(fmt.Sprintf("%d hosts, 32 workers", hosts), b.meanCost(measureWindow))
		b.stop()
	}
	for _, tasks := range []int{200, 400, 800} {
		b := newTestbed(c, bin, 2, 32, 64)
		b.putDocuments(measureDocuments)
		for remaining := tasks; remaining > 0; remaining -= 100 {
			b.submitJob("stay", 100)
		}
		b.waitRunning(tasks)
		logCost(fmt.Sprintf("2 hosts, 32 workers, %d services", tasks), b.meanCost(measureWindow))
		countsBefore := b.counts()
		sleep(measureWindow)
		countsAfter := b.counts()
		t.Logf("%-34s %.1f commits/s, %.1f reads/s", "", float64(countsAfter.Commits-countsBefore.Commits)/measureWindow.Seconds(),
			float64(countsAfter.Queries-countsBefore.Queries)/measureWindow.Seconds())
		b.stop()
	}
	for _, owners := range []int{20, 200, 800} {
		b := newTestbed(c, bin, 2, 8, 64)
		var ownerDocuments strings.Builder
		for i := range owners {
			fmt.Fprintf(&ownerDocuments, "kind: owner\nname: team-%d\n---\n", i)
		}
		b.putDocuments(ownerDocuments.String())
		logCost(fmt.Sprintf("2 hosts, 8 workers, %d owners", owners), b.meanCost(measureWindow))
		b.stop()
	}
}

const measureDocuments = `
kind: owner
name: desk
---
kind: work
name: stay
owner: desk
class: service
repeatable: true
size: {cpu-milli: 500, memory-mib: 128}
---
kind: work
name: quick
owner: desk
class: request
repeatable: true
size: {cpu-milli: 100, memory-mib: 16}
run-time: 1ms
`

func (b *testbed) submitJob(work string, numTasks int) {
	req, _ := http.NewRequest(http.MethodPost, b.urls[0]+"/v1/run/"+work, nil)
	req.Header.Set("Work-Tasks", fmt.Sprint(numTasks))
	resp, err := http.DefaultClient.Do(req)
	b.c.Assert(err, qt.IsNil)
	b.c.Assert(resp.StatusCode, qt.Equals, http.StatusAccepted)
	_ = resp.Body.Close()
}

func (b *testbed) waitRunning(numTasks int) {
	deadline := time.Now().Add(2 * waitTimeout)
	for time.Now().Before(deadline) {
		running := 0
		for _, w := range b.workers {
			running += w.Log().Running
		}
		if running >= numTasks {
			return
		}
		sleep(100 * time.Millisecond)
	}
	b.c.Fatal("the service tasks did not start")
}

func (b *testbed) counts() fakes.Counts {
	recorder := httptest.NewRecorder()
	b.platform.Handler().ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/admin/counts", nil))
	var counts fakes.Counts
	b.c.Assert(json.Unmarshal(recorder.Body.Bytes(), &counts), qt.IsNil)
	return counts
}

func TestThroughput(t *testing.T) {
	c := qt.New(t)
	b := newTestbed(c, buildWithoutRace(c), 1, 4, 256)
	defer b.stop()
	b.putDocuments(measureDocuments)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	callThroughHost := func() error {
		req, _ := http.NewRequest(http.MethodPost, b.urls[0]+"/v1/run/quick", strings.NewReader("0123456789"))
		req.Header.Set("Work-Params", "run=0s")
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		var body bytes.Buffer
		if _, err := body.ReadFrom(resp.Body); err != nil || body.String() != "0123456789" {
			return fmt.Errorf("status %d: %s %w", resp.StatusCode, body.String(), err)
		}
		return nil
	}
	callDirectly := newDirectCall(c)
	for _, callers := range []int{1, 64, 256} {
		rate, p50, p99 := measureCalls(c, callers, 5*time.Second, callThroughHost)
		directRate, directP50, directP99 := measureCalls(c, callers, 5*time.Second, callDirectly)
		t.Logf("%3d callers: through a host %.0f/s p50 %s p99 %s; direct %.0f/s p50 %s p99 %s; added p50 %s",
			callers, rate, p50, p99, directRate, directP50, directP99, p50-directP50)
	}
}

// newDirectCall returns a function that calls a fake worker without a host in between.
func newDirectCall(c *qt.C) func() error {
	w := fakes.NewWorker(fakes.WorkerConfig{Name: "d", Capacity: unit.Size{CPUMilli: 1 << 30, MemoryMiB: 1 << 30, Slots: 1 << 20, Connections: 1 << 20}})
	w.Quiet()
	s := httptest.NewServer(w.Handler())
	c.Cleanup(func() { s.Close(); w.Close() })
	client := worker.NewClient("d", netip.MustParseAddrPort(s.Listener.Addr().String()), netip.Addr{})
	_, err := client.Lease(context.Background(), worker.LeaseRequest{Holder: "t", Epoch: 1, TTLMillis: 1e6, TaskTTLMillis: 1e6})
	c.Assert(err, qt.IsNil)
	spec := worker.Spec{Holder: "t", Epoch: 1, Params: "run=0s", Size: unit.Size{CPUMilli: 100, Slots: 1}}
	return func() error {
		_, err := client.Run(context.Background(), fmt.Sprint(rand.Uint64()), spec, "", []byte("0123456789"))
		return err
	}
}

func measureCalls(c *qt.C, callers int, duration time.Duration, call func() error) (rate float64, p50, p99 time.Duration) {
	var mu sync.Mutex
	var latencies []time.Duration
	var wg sync.WaitGroup
	deadline := time.Now().Add(duration)
	for range callers {
		wg.Go(func() {
			var callerLatencies []time.Duration
			for time.Now().Before(deadline) {
				startedAt := time.Now()
				if err := call(); err != nil {
					c.Error(err)
					return
				}
				callerLatencies = append(callerLatencies, time.Since(startedAt))
			}
			mu.Lock()
			defer mu.Unlock()
			latencies = append(latencies, callerLatencies...)
		})
	}
	wg.Wait()
	sort.Slice(latencies, func(i, j int) bool { return latencies[i] < latencies[j] })
	if len(latencies) == 0 {
		return 0, 0, 0
	}
	return float64(len(latencies)) / duration.Seconds(), latencies[len(latencies)/2], latencies[len(latencies)*99/100]
}
