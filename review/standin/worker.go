package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Bounds of the deployment that the workers keep, in the words of the settings.
const (
	holdMax        = 6 * time.Second
	stopGrace      = 150 * time.Millisecond
	checkpointStep = 500 * time.Millisecond
	maxListedEnds  = 500
)

// runKey names a run.
type runKey struct {
	Task string
	Run  int
}

// run is a run that is active on a worker.
type run struct {
	runKey
	startedAt time.Time
	work      workSpec
	resumed   time.Duration
	timer     *time.Timer
	stopping  bool
}

type end struct {
	n     uint64
	key   runKey
	how   string
	saved string
}

// workSpec is the content of a job's spec, which the clients of these cases make and only the workers read.
type workSpec struct {
	// MS is how long a task of each step takes.
	MS []int `json:"ms"`
	// Saves says that tasks checkpoint their progress.
	Saves bool `json:"saves"`
	// CPU is what a task uses, in thousandths of a core.
	CPU int `json:"cpu"`
}

// worker is a worker of the platform: PROTOCOL.md, "Running tasks".
type worker struct {
	id      string
	service string
	rec     *recorder
	born    time.Time
	// checkTicket, if set, tells whether a start with this ticket may run.
	checkTicket func(task, worker, ticket string) bool

	mu       sync.Mutex
	token    uint64
	deadline time.Duration
	expiry   *time.Timer
	running  map[runKey]*run
	// highest is, for each task, the highest run that was stopped or has ended here.
	highest map[string]int
	ends    []end
	lastEnd uint64
	changed chan struct{}
	// life numbers the lives of the worker under its id; a crashed one is silent until darkUntil.
	life      int
	darkUntil time.Time
	// delay is how long an answer takes on its way.
	delay time.Duration
	// register writes the worker's entry to the store.
	register func()
	// conns holds the connections of the present life.
	conns map[net.Conn]bool
}

// name names a life of the worker.
func (w *worker) name() string { return fmt.Sprintf("%s/%d", w.id, w.life) }

// crash ends a life of the worker. The next one begins after a time in which the worker is silent; it knows nothing of this one.
func (w *worker) crash(dark time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rec.log("worker %s crashes with %d runs, and starts again under its id after %v", w.name(), len(w.running), dark)
	for _, r := range w.running {
		r.timer.Stop()
		w.rec.add(event{kind: evEnd, task: r.Task, run: r.Run, worker: w.name(), how: "crashed"})
	}
	if w.expiry != nil {
		w.expiry.Stop()
	}
	w.token, w.deadline, w.lastEnd = 0, 0, 0
	w.running, w.highest, w.ends = map[runKey]*run{}, map[string]int{}, nil
	w.life++
	w.darkUntil = time.Now().Add(dark)
	w.born = w.darkUntil
	old := w.conns
	w.conns = map[net.Conn]bool{}
	time.AfterFunc(dark, func() {
		// The next life doesn't know the connections of this one.
		for c := range old {
			_ = c.Close()
		}
		w.register()
	})
}

// track notes the connections of the present life.
func (w *worker) track(c net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(w.conns, c)
	}
}

// silent holds a request to a crashed worker until its caller gives up.
func (w *worker) silent(r *http.Request) bool {
	life, dark := w.lifeNow()
	if !dark {
		time.Sleep(w.delay)
	}
	if later, darkNow := w.lifeNow(); dark || darkNow || later != life {
		<-r.Context().Done()
		return true
	}
	return false
}

// lifeNow returns the number of the worker's present life, and whether it is silent.
func (w *worker) lifeNow() (life int, dark bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.life, time.Now().Before(w.darkUntil)
}

func newWorker(id, service string, rec *recorder) *worker {
	return &worker{
		id: id, service: service, rec: rec, born: time.Now(), running: map[runKey]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
		conns: map[net.Conn]bool{},
	}
}

func (w *worker) clock() time.Duration { return time.Since(w.born) }

func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run-start", w.serve(w.start))
	mux.HandleFunc("POST /v1/run-stop", w.serve(w.stop))
	mux.HandleFunc("POST /v1/hold", w.serveHold)
	mux.HandleFunc("POST /v1/pace", w.serve(func(o workerOrder) (int, string) { return http.StatusOK, "" }))
	return mux
}

type workerOrder struct {
	Task       string  `json:"task"`
	Run        int     `json:"run"`
	Spec       string  `json:"spec"`
	Deadline   int64   `json:"deadline_ms"`
	Token      uint64  `json:"fencing_token"`
	Checkpoint string  `json:"checkpoint_state"`
	Ticket     string  `json:"ticket"`
	Ack        uint64  `json:"ack_cursor"`
	Wait       float64 `json:"wait_ms"`
}

func (w *worker) decode(rw http.ResponseWriter, r *http.Request) (workerOrder, bool) {
	var o workerOrder
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, object{})
		return o, false
	}
	if to := r.Header.Get("Corianderdrift-Expect-Instance"); to != "" && to != w.id {
		reply(rw, http.StatusMisdirectedRequest, object{})
		return o, false
	}
	return o, true
}

func (w *worker) serve(f func(workerOrder) (int, string)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		o, ok := w.decode(rw, r)
		if !ok {
			return
		}
		if w.silent(r) {
			return
		}
		w.mu.Lock()
		status, reason := http.StatusConflict, "fence"
		if w.accept(o.Token) {
			status, reason = f(o)
		}
		body := object{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli()}
		w.mu.Unlock()
		if reason != "" {
			body["reason"] = reason
		}
		reply(rw, status, body)
	}
}

// accept keeps the highest token and reports whether an order with this one is carried out.
func (w *worker) accept(token uint64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

// prolong moves the deadline of all that runs; it never shortens.
func (w *worker) prolong(ms int64) {
	until := min(time.Duration(ms)*time.Millisecond, w.clock()+holdMax)
	if until <= w.deadline {
		return
	}
	w.deadline = until
	if w.expiry != nil {
		w.expiry.Stop()
	}
	w.expiry = time.AfterFunc(until-w.clock(), w.lapse)
}

func (w *worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock() < w.deadline {
		return
	}
	w.rec.add(event{kind: evLapse, worker: w.name(), n: uint64(len(w.running))})
	for _, r := range w.running {
		w.finish(r, "lapsed")
	}
}

func (w *worker) start(o workerOrder) (int, string) {
	k := runKey{o.Task, o.Run}
	if _, ok := w.running[k]; ok {
		w.prolong(o.Deadline)
		return http.StatusOK, ""
	}
	if o.Run <= w.highest[o.Task] {
		w.prolong(o.Deadline)
		return http.StatusConflict, "old"
	}
	if time.Duration(o.Deadline)*time.Millisecond <= w.clock() {
		return http.StatusConflict, "late"
	}
	if w.checkTicket != nil && !w.checkTicket(o.Task, w.id, o.Ticket) {
		w.rec.add(event{kind: evRejected, task: o.Task, run: o.Run, worker: w.name(), how: "ticket"})
		return http.StatusConflict, "ticket"
	}
	w.prolong(o.Deadline)
	r := &run{runKey: k, startedAt: time.Now()}
	if json.Unmarshal([]byte(o.Spec), &r.work) != nil || len(r.work.MS) == 0 {
		return http.StatusBadRequest, ""
	}
	var step int
	_, _ = fmt.Sscanf(strings.Split(o.Task, ".")[2], "%d", &step)
	var saved int64
	_, _ = fmt.Sscanf(o.Checkpoint, "%016x", &saved)
	r.resumed = time.Duration(saved) * time.Millisecond
	takes := time.Duration(r.work.MS[min(step, len(r.work.MS)-1)])*time.Millisecond - r.resumed
	w.running[k] = r
	w.rec.add(event{kind: evStart, task: o.Task, run: o.Run, worker: w.name(), n: o.Token})
	r.timer = time.AfterFunc(max(0, takes), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[k] == r && !r.stopping {
			w.finish(r, "done")
		}
	})
	return http.StatusOK, ""
}

func (w *worker) stop(o workerOrder) (int, string) {
	k := runKey{o.Task, o.Run}
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	if r, ok := w.running[k]; ok && !r.stopping {
		r.stopping = true
		time.AfterFunc(stopGrace, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.running[k] == r {
				w.finish(r, "stopped")
			}
		})
	}
	return http.StatusOK, ""
}

// saved returns the checkpoint of a run.
func (r *run) saved() string {
	if !r.work.Saves {
		return ""
	}
	worked := r.resumed + time.Since(r.startedAt)
	if worked < checkpointStep {
		return ""
	}
	return fmt.Sprintf("%016x", worked.Truncate(checkpointStep).Milliseconds())
}

func (w *worker) finish(r *run, how string) {
	r.timer.Stop()
	delete(w.running, r.runKey)
	w.highest[r.Task] = max(w.highest[r.Task], r.Run)
	saved := ""
	if how != "done" {
		saved = r.saved()
	}
	w.lastEnd++
	w.ends = append(w.ends, end{w.lastEnd, r.runKey, how, saved})
	w.rec.add(event{kind: evEnd, task: r.Task, run: r.Run, worker: w.name(), n: w.lastEnd, how: how})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := w.decode(rw, r)
	if !ok {
		return
	}
	if w.silent(r) {
		return
	}
	w.mu.Lock()
	if !w.accept(o.Token) {
		body := object{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "reason": "fence"}
		w.mu.Unlock()
		reply(rw, http.StatusConflict, body)
		return
	}
	if o.Deadline > 0 {
		w.prolong(o.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0].n <= o.Ack {
		e := w.ends[0]
		w.ends = w.ends[1:]
		w.rec.add(event{kind: evAck, task: e.key.Task, run: e.key.Run, worker: w.name(), n: e.n, how: e.how})
	}
	if o.Wait > 0 && len(w.ends) == 0 {
		ctx, cancel := context.WithTimeout(r.Context(), time.Duration(min(o.Wait, 2000))*time.Millisecond)
		changed, life := w.changed, w.life
		w.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		cancel()
		w.mu.Lock()
		if w.life != life {
			w.mu.Unlock()
			<-r.Context().Done()
			return
		}
	}
	running, ended := [][]any{}, [][]any{}
	for k, r := range w.running {
		running = append(running, []any{k.Task, k.Run, r.saved(), 100, r.work.CPU})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ended = append(ended, []any{e.n, e.key.Task, e.key.Run, e.how, e.saved})
	}
	body := object{"clock_ms": w.clock().Milliseconds(), "born": w.born.UnixMilli(), "running": running, "finished": ended}
	w.mu.Unlock()
	reply(rw, http.StatusOK, body)
}

// counts returns the numbers of active runs and of ends that are not acknowledged.
func (w *worker) counts() (running, unacked int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.running), len(w.ends)
}

// activeRun is an active run's job, and the CPU that its task uses.
type activeRun struct {
	id  string
	cpu int
}

func (w *worker) active() []activeRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []activeRun
	for k, r := range w.running {
		list = append(list, activeRun{k.Task[:16], r.work.CPU})
	}
	return list
}
