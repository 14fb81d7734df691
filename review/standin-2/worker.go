package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	holdMax       = 6 * time.Second
	stopTakes     = 100 * time.Millisecond
	checkpointS   = time.Second
	heartbeat     = 1500 * time.Millisecond
	maxListedEnds = 500
)

// Spec is what a task does on a worker: the clients of this stand-in write it into the job's spec.
type Spec struct {
	// MS is how long the task runs; 0 means until it is stopped.
	MS int `json:"ms"`
	// CPU is what the task uses, in thousandths of a core.
	CPU float64 `json:"cpu"`
	// Saves says that the task writes checkpoints.
	Saves bool `json:"saves"`
}

type runKey struct {
	task string
	run  int
}

type run struct {
	key     runKey
	began   time.Time
	spec    Spec
	saved   string
	saves   int
	percent int
	stop    *time.Timer
	end     *time.Timer
}

type end struct {
	n     uint64
	key   runKey
	how   string
	saved string
}

// Worker is a stand-in of one of the users' workers.
type Worker struct {
	ID, Service, Zone, Rack, Kind string
	CPU, MemMB, GPUs              int64

	mu       sync.Mutex
	addr     string
	born     time.Time
	sequence int
	state    string
	token    uint64
	lease    time.Duration
	running  map[runKey]*run
	highest  map[string]int
	ends     []end
	lastEnd  uint64
	refused  int
	changed  chan struct{}
	store    *Store
	rec      *Record
	watch    *Watch
}

func (w *Worker) clock() time.Duration { return time.Since(w.born) }

func startWorker(w *Worker, store *Store, rec *Record, watch *Watch) {
	w.born, w.state, w.store, w.rec, w.watch = time.Now(), "ready", store, rec, watch
	w.running, w.highest, w.changed = map[runKey]*run{}, map[string]int{}, make(chan struct{})
	l, err := net.Listen("tcp", address+":0")
	if err != nil {
		fatal(err)
	}
	w.addr = l.Addr().String()
	go func() { _ = http.Serve(l, w) }()
	go func() {
		for {
			w.beat()
			time.Sleep(heartbeat)
		}
	}()
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			w.lapse()
		}
	}()
}

func (w *Worker) beat() {
	w.mu.Lock()
	w.sequence++
	raw, _ := json.Marshal(map[string]any{
		"service": w.Service, "address": w.addr, "zone": w.Zone, "version": "v1", "slots": 8, "state": w.state, "cold_left_ms": 0,
		"capacity": map[string]int64{"cpu": w.CPU, "mem_mb": w.MemMB, "gpus": w.GPUs}, "labels": []string{w.Kind, w.Rack},
		"clock_ms": w.clock().Milliseconds(), "sequence": w.sequence, "born": w.born.UnixMilli(), "machine": "m-" + w.ID,
	})
	w.mu.Unlock()
	w.store.Put("servers", w.ID, raw)
}

func (w *Worker) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *Worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock() < w.lease {
		return
	}
	for _, r := range w.running {
		w.finish(r, "lapsed")
	}
}

func (w *Worker) finish(r *run, how string) {
	if w.running[r.key] != r {
		return
	}
	delete(w.running, r.key)
	if r.end != nil {
		r.end.Stop()
	}
	if r.stop != nil {
		r.stop.Stop()
	}
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.key, how, r.saved})
	w.highest[r.key.task] = max(w.highest[r.key.task], r.key.run)
	w.rec.Line("worker %s: run %s/%d ended %s after %d ms", w.ID, r.key.task, r.key.run, how, time.Since(r.began).Milliseconds())
	w.watch.Ended(w.ID, r.key.task, r.key.run, how)
	w.notify()
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Deadline   *int64 `json:"deadline_ms"`
	Token      uint64 `json:"fencing_token"`
	Checkpoint string `json:"checkpoint_state"`
	Ticket     string `json:"ticket"`
	Ack        uint64 `json:"ack_cursor"`
	WaitMS     int    `json:"wait_ms"`
	Percent    int    `json:"percent"`
}

func (w *Worker) answer(rw http.ResponseWriter, status int, body map[string]any) {
	if body == nil {
		body = map[string]any{}
	}
	body["clock_ms"] = w.clock().Milliseconds()
	raw, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

func (w *Worker) extend(o *order) {
	if o.Deadline == nil {
		return
	}
	until := min(time.Duration(*o.Deadline)*time.Millisecond, w.clock()+holdMax)
	w.lease = max(w.lease, until)
}

// ServeHTTP serves the orders.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		rw.Header().Set("Corianderdrift-Instance-Id", w.ID)
		rw.WriteHeader(http.StatusOK)
		return
	}
	if want := r.Header.Get("Corianderdrift-Expect-Instance"); want != "" && want != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.answer(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if o.Token < w.token {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
		return
	}
	w.token = o.Token
	switch r.URL.Path {
	case "/v1/run-start":
		w.start(rw, &o)
	case "/v1/run-stop":
		w.stop(rw, &o)
	case "/v1/hold":
		w.hold(rw, r, &o)
	case "/v1/pace":
		if have := w.running[runKey{o.Task, o.Run}]; have != nil {
			have.percent = o.Percent
		}
		w.answer(rw, http.StatusOK, nil)
	default:
		w.answer(rw, http.StatusNotFound, nil)
	}
}

func (w *Worker) start(rw http.ResponseWriter, o *order) {
	if reason := w.watch.TicketProblem(w.ID, o.Task, o.Ticket); reason != "" {
		if w.refused++; w.refused <= 5 || w.refused%1000 == 0 {
			w.rec.Line("worker %s: start %s/%d refused: %s (%d so far)", w.ID, o.Task, o.Run, reason, w.refused)
		}
		w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	w.extend(o)
	key := runKey{o.Task, o.Run}
	if _, there := w.running[key]; there {
		w.answer(rw, http.StatusOK, nil)
		return
	}
	if o.Run <= w.highest[o.Task] {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "old"})
		return
	}
	if w.lease <= w.clock() {
		w.answer(rw, http.StatusConflict, map[string]any{"reason": "late"})
		return
	}
	x := &run{key: key, began: time.Now(), percent: 100, saved: o.Checkpoint}
	if err := json.Unmarshal([]byte(o.Spec), &x.spec); err != nil {
		w.answer(rw, http.StatusBadRequest, nil)
		return
	}
	w.running[key] = x
	w.rec.Line("worker %s: run %s/%d began (token %d)", w.ID, o.Task, o.Run, o.Token)
	w.watch.Started(w.ID, o.Task, o.Run)
	if x.spec.MS > 0 {
		x.end = time.AfterFunc(time.Duration(x.spec.MS)*time.Millisecond, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.finish(x, "done")
		})
	}
	w.answer(rw, http.StatusOK, nil)
}

func (w *Worker) stop(rw http.ResponseWriter, o *order) {
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if x := w.running[runKey{o.Task, o.Run}]; x != nil && x.stop == nil {
		w.rec.Line("worker %s: stop of run %s/%d", w.ID, o.Task, o.Run)
		x.stop = time.AfterFunc(stopTakes, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.finish(x, "stopped")
		})
	}
	w.answer(rw, http.StatusOK, nil)
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, o *order) {
	w.extend(o)
	for len(w.ends) > 0 && w.ends[0].n <= o.Ack {
		w.ends = w.ends[1:]
	}
	deadline := time.NewTimer(time.Duration(min(o.WaitMS, 2000)) * time.Millisecond)
	defer deadline.Stop()
	for waiting := o.WaitMS > 0; waiting && len(w.ends) == 0; {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, x := range w.running {
		if n := int(time.Since(x.began) / checkpointS); x.spec.Saves && n > x.saves {
			x.saves = n
			x.saved = fmt.Sprintf("%05d%s", n, strings.Repeat("b", 11))
		}
		running = append(running, []any{x.key.task, x.key.run, x.saved, x.percent, x.spec.CPU})
	}
	for _, e := range w.ends {
		if len(finished) == maxListedEnds {
			break
		}
		finished = append(finished, []any{e.n, e.key.task, e.key.run, e.how, e.saved})
	}
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "finished": finished, "born": w.born.UnixMilli()})
}
