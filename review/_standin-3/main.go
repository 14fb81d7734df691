// Command standin-3 plays the platform, its workers and its clients on loopback addresses, and starts hosts of the project as processes.
package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

const (
	clientHost = "desk.example"
	// service is the service of all workers, queuePath the prefix of the queue whose steps any worker may run.
	service   = "desk"
	queuePath = "/jobs/"
)

// trial is one run of a case.
type trial struct {
	name    string
	program string
	dir     string
	// net is the beginning of all addresses.
	net          string
	store        *store
	storeAddress string
	advice       string
	workers      []*worker
	hosts        []*host
	trouble      bool

	// tenants are those of the next configuration; nil where there are none.
	tenants []any

	mu     sync.Mutex
	began  time.Time
	record *bufio.Writer
	active map[string]map[string]int
	broken []string
	// lastAt is when a run of a job last began or ended, and cpuOf what each task of the jobs takes whose IDs begin so.
	lastAt  map[string]time.Time
	cpuOf   map[string]int64
	quiet   bool
	numRuns int
}

// note writes a line of the record.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.write(format, args...)
}

func (t *trial) write(format string, args ...any) {
	fmt.Fprintf(t.record, "%8.3f %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
	_ = t.record.Flush()
}

// break notes that a rule was broken.
func (t *trial) breaks(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = append(t.broken, fmt.Sprintf(format, args...))
	t.write("BROKEN: "+format, args...)
}

// started notes a start on a worker, and whether another run of the task is at work.
func (t *trial) started(w *worker, o order) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.numRuns++
	if t.active[o.Task] == nil {
		t.active[o.Task] = map[string]int{}
	}
	for id, run := range t.active[o.Task] {
		t.broken = append(t.broken, "TWICE "+o.Task)
		t.write("BROKEN: TWICE: run %d of %s starts on %s while run %d is on %s", o.Run, o.Task, w.id, run, id)
	}
	t.active[o.Task][w.id] = o.Run
	t.lastAt[jobOf(o.Task)] = time.Now()
	if !t.quiet {
		t.write("worker %s starts run %d of %s, token %d", w.id, o.Run, o.Task, o.Token)
	}
}

func (t *trial) ended(w *worker, task string, run int, how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.active[task], w.id)
	t.lastAt[jobOf(task)] = time.Now()
	if !t.quiet {
		t.write("worker %s lists run %d of %s as %s", w.id, run, task, how)
	}
}

// jobOf returns the job of a task.
func jobOf(task string) string { return task[:16] }

// hasRuns reports whether a run of a job is at work, or was in the last while.
func (t *trial) hasRuns(id string, last time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.lastAt[id]) < last {
		return true
	}
	for task, runs := range t.active {
		if jobOf(task) == id && len(runs) > 0 {
			return true
		}
	}
	return false
}

// usedCPU returns what all runs at work take, in thousandths of a core.
func (t *trial) usedCPU() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := int64(0)
	for task, runs := range t.active {
		sum += t.cpuOf[task[:8]] * int64(len(runs))
	}
	return sum
}

// listenAdvice serves the advisor, which allows every worker. No queue of the cases asks it.
func (t *trial) listenAdvice() {
	l := t.listen(251, platformPort)
	t.advice = l.Addr().String()
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var in struct{ Workers []string }
			_ = json.NewDecoder(r.Body).Decode(&in)
			allowed := [][]string{}
			for _, id := range in.Workers {
				allowed = append(allowed, []string{id, "ticket-" + id})
			}
			reply(w, http.StatusOK, map[string]any{"allowed": allowed, "validity_ms": 2000})
		}))
	}()
}

// configure writes a version of the configuration, as the operator does.
func (t *trial) configure(version int) {
	config := map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-jobs", "host": clientHost, "prefix": queuePath, "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 1000, "priority": 1,
			"service": service, "attempts": 4, "stretch": 2.0,
		}},
		"services": []any{map[string]any{
			"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "enforce_capacity": false, "standby": false,
		}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	if t.tenants != nil {
		config["tenants"] = t.tenants
	}
	t.store.put("op", "config", config)
	t.note("operator: version %d is acknowledged", version)
}

// setUp starts a deployment and waits until all hosts are ready.
func (t *trial) setUp(numHosts, numWorkers int) bool {
	t.listenAdvice()
	store := t.listen(250, platformPort)
	t.storeAddress = store.Addr().String()
	t.store.serve(store)
	t.configure(7)
	for i := range numWorkers {
		t.addWorker(fmt.Sprintf("w-%02d", i+1), service, fmt.Sprintf("r-%d", i/5+1), size{16000, 32768, 0})
	}
	for i := range numHosts {
		t.addHost(fmt.Sprintf("front-%d", i+1))
	}
	return t.await(15*time.Second, func() bool {
		for _, h := range t.hosts {
			if !h.isReady() {
				return false
			}
		}
		return true
	})
}

func (t *trial) await(limit time.Duration, ok func() bool) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return true
		}
	}
	return false
}

// submit hands a job in, with the retries of a client: after no answer, 502 or 504 it is sent again, to the next host.
func (t *trial) submit(id, body string, attempts int) int {
	status := 0
	for i := range attempts {
		h := t.hosts[i%len(t.hosts)]
		var text string
		status, text = h.send(http.MethodPost, queuePath+id, body, 3*time.Second)
		t.note("client: POST %s to %s: %d %s", id, h.name, status, text)
		if status != 0 && status != http.StatusBadGateway && status != http.StatusGatewayTimeout {
			return status
		}
	}
	return status
}

// state asks for a job's state, at one host after the other until one answers.
func (t *trial) state(id string) string {
	for _, h := range t.hosts {
		status, text := h.send(http.MethodGet, queuePath+id, "", 2*time.Second)
		if status == http.StatusOK {
			var s struct{ State string }
			_ = json.Unmarshal([]byte(text), &s)
			return s.State
		}
		if status == http.StatusGone {
			return "410"
		}
	}
	return "no answer"
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM FOLDER")
		os.Exit(2)
	}
	f, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-3")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	t := &trial{
		name: os.Args[1], program: os.Args[2], dir: dir, net: chooseNet(), store: newStore(), began: time.Now(), record: bufio.NewWriter(f),
		active: map[string]map[string]int{}, lastAt: map[string]time.Time{}, cpuOf: map[string]int64{"aaaaaaaa": 1000}, trouble: os.Getenv("TROUBLE") != "0",
	}
	play, ok := cases[t.name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	ran := play(t)
	for _, h := range t.hosts {
		h.end()
	}
	time.Sleep(300 * time.Millisecond)
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	_ = f.Close()
	switch {
	case !ran:
		fmt.Println("the case couldn't run")
		os.Exit(2)
	case len(t.broken) > 0:
		fmt.Printf("broken: %s\n", t.broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
}
