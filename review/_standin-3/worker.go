package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// size is an amount of what a worker has.
type size struct {
	CPU    int64 `json:"cpu"`
	Memory int64 `json:"mem_mb"`
	GPUs   int64 `json:"gpus"`
}

// activeRun is a run on a worker.
type activeRun struct {
	run   int
	saved string
	timer *time.Timer
}

// finishedRun is the end of a run that the worker still lists.
type finishedRun struct {
	n    int
	task string
	run  int
	how  string
}

// worker is a worker of a service.
type worker struct {
	id, service, rack string
	capacity          size
	t                 *trial

	mu       sync.Mutex
	address  string
	born     time.Time
	sequence int
	token    uint64
	deadline time.Duration
	running  map[string]*activeRun
	// highest is the highest run of each task that was stopped or has ended here.
	highest  map[string]int
	finished []finishedRun
	lastN    int
	changed  chan struct{}
	gone     bool
}

const (
	maxHold   = 6 * time.Second
	stopTime  = 30 * time.Millisecond
	beat      = 1500 * time.Millisecond
	maxListed = 500
	// firstWorker is the number of the first worker's machine.
	firstWorker = 100
)

func (t *trial) addWorker(id, service, rack string, capacity size) *worker {
	w := &worker{
		id: id, service: service, rack: rack, capacity: capacity, t: t, born: time.Now(), running: map[string]*activeRun{},
		highest: map[string]int{}, changed: make(chan struct{}),
	}
	l := t.listen(firstWorker+len(t.workers), workerPort)
	w.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.start)
	mux.HandleFunc("POST /v1/run-stop", w.stop)
	mux.HandleFunc("POST /v1/hold", w.hold)
	mux.HandleFunc("POST /v1/pace", w.pace)
	go func() { _ = http.Serve(l, mux) }()
	go w.register()
	go w.expire()
	t.workers = append(t.workers, w)
	return w
}

// clock is the worker's steady clock.
func (w *worker) clock() time.Duration { return time.Since(w.born) + 1000*time.Second }

func (w *worker) register() {
	for {
		w.mu.Lock()
		w.sequence++
		entry := map[string]any{
			"service": w.service, "address": w.address, "zone": "east", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": w.capacity, "labels": []string{"a", w.rack}, "clock_ms": w.clock().Milliseconds(), "sequence": w.sequence,
			"born": w.born.UnixMilli(), "machine": "m-" + w.id,
		}
		w.mu.Unlock()
		w.t.store.put("servers", w.id, entry)
		time.Sleep(beat)
	}
}

// expire ends all runs when the lease is over.
func (w *worker) expire() {
	for {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if w.clock() >= w.deadline {
			for task := range w.running {
				w.end(task, "lapsed")
			}
		}
		w.mu.Unlock()
	}
}

// end ends a run. The lock is held.
func (w *worker) end(task, how string) {
	r := w.running[task]
	if r.timer != nil {
		r.timer.Stop()
	}
	delete(w.running, task)
	w.highest[task] = max(w.highest[task], r.run)
	w.lastN++
	w.finished = append(w.finished, finishedRun{w.lastN, task, r.run, how})
	close(w.changed)
	w.changed = make(chan struct{})
	w.t.ended(w, task, r.run, how)
}

// order holds the fields of all orders.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    uint64 `json:"fencing_token"`
	Ack      int    `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

// receive reads an order, and refuses one for another worker or with a lower token. On success the lock is held.
func (w *worker) receive(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		reply(rw, http.StatusBadRequest, struct{}{})
		return o, false
	}
	if r.Header.Get("Corianderdrift-Expect-Instance") != w.id {
		reply(rw, http.StatusMisdirectedRequest, struct{}{})
		return o, false
	}
	w.mu.Lock()
	if o.Token < w.token {
		w.refuse(rw, "fence")
		w.mu.Unlock()
		return o, false
	}
	w.token = o.Token
	return o, true
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "reason": reason})
}

func (w *worker) accept(rw http.ResponseWriter) {
	reply(rw, http.StatusOK, map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()})
}

func (w *worker) extend(deadline int64) {
	until := min(time.Duration(deadline)*time.Millisecond, w.clock()+maxHold)
	w.deadline = max(w.deadline, until)
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	w.extend(o.Deadline)
	if have, ok := w.running[o.Task]; ok {
		if have.run == o.Run {
			w.accept(rw)
			return
		}
		w.refuse(rw, "old")
		return
	}
	if o.Run <= w.highest[o.Task] {
		w.refuse(rw, "old")
		return
	}
	if w.clock() >= w.deadline {
		w.refuse(rw, "late")
		return
	}
	run := &activeRun{run: o.Run}
	w.running[o.Task] = run
	if length, ok := workOf(o.Spec); ok {
		run.timer = time.AfterFunc(length, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[o.Task] == run {
				w.end(o.Task, "done")
			}
		})
	}
	w.t.started(w, o)
	w.accept(rw)
}

// workOf returns how long a task with a spec works; ok is false if it lasts.
func workOf(spec string) (time.Duration, bool) {
	ms, found := strings.CutPrefix(spec, "work ")
	n, err := strconv.Atoi(strings.Fields(ms + " x")[0])
	return time.Duration(n) * time.Millisecond, found && err == nil
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.receive(rw, r)
	if !ok {
		return
	}
	defer w.mu.Unlock()
	if have, ok := w.running[o.Task]; ok && have.run <= o.Run {
		run := have
		time.AfterFunc(stopTime, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[o.Task] == run {
				w.end(o.Task, "stopped")
			}
		})
	}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	w.accept(rw)
}

func (w *worker) pace(rw http.ResponseWriter, r *http.Request) {
	if _, ok := w.receive(rw, r); ok {
		w.accept(rw)
		w.mu.Unlock()
	}
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.receive(rw, r)
	if !ok {
		return
	}
	if o.Deadline > 0 {
		w.extend(o.Deadline)
	}
	for len(w.finished) > 0 && w.finished[0].n <= o.Ack {
		w.finished = w.finished[1:]
	}
	if len(w.finished) == 0 && o.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond):
		case <-r.Context().Done():
		}
		w.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for task, run := range w.running {
		running = append(running, []any{task, run.run, run.saved, 100, 1000})
	}
	sort.Slice(running, func(a, b int) bool { return fmt.Sprint(running[a][0]) < fmt.Sprint(running[b][0]) })
	for _, f := range w.finished[:min(len(w.finished), maxListed)] {
		finished = append(finished, []any{f.n, f.task, f.run, f.how, ""})
	}
	body := map[string]any{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": finished}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}
