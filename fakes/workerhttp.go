package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/corianderdrift/corianderdrift/worker"
)

const maxTaskBytes = 64 << 20

// Handler returns the worker's HTTP API, its event log and, under /admin, administration.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/state", w.serveState)
	mux.HandleFunc("PUT /v1/lease", w.serveLease)
	mux.HandleFunc("DELETE /v1/lease", w.serveReleaseLease)
	mux.HandleFunc("PUT /v1/tasks/{id}", w.serveStart)
	mux.HandleFunc("GET /v1/tasks/{id}", w.serveAttach)
	mux.HandleFunc("DELETE /v1/tasks/{id}", w.serveStop)
	mux.HandleFunc("POST /v1/tasks/{id}/throttle", w.serveThrottle)
	mux.HandleFunc("POST /v1/tasks/{id}/checkpoint", w.serveCheckpoint)
	mux.HandleFunc("POST /v1/tasks/{id}/resume", w.serveResume)
	mux.HandleFunc("GET /v1/log", w.serveLog)
	mux.HandleFunc("PUT /admin/leaving", w.serveLeaving)
	return mux
}

func (w *Worker) serveState(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	state := worker.State{
		Name: w.cfg.Name, DataCenter: w.cfg.DataCenter, Rack: w.cfg.Rack, Capacity: w.cfg.Capacity,
		Epoch: w.lease.epoch, Holder: w.lease.holder, Leaving: w.leaving, Tasks: []worker.Task{},
	}
	if n := len(w.ends); n > 0 {
		state.EndSequence = w.ends[n-1].Sequence
	}
	for _, t := range w.tasks {
		if t.state.Terminal() {
			continue
		}
		state.Tasks = append(state.Tasks, worker.Task{
			ID: t.id, State: t.state, Entry: t.spec.Entry, Owner: t.spec.Owner, Size: t.spec.Size,
			AgeMillis: now.Sub(t.startedAt).Milliseconds(), Service: t.spec.Service,
		})
	}
	writeJSON(rw, http.StatusOK, state)
}

func (w *Worker) serveLease(rw http.ResponseWriter, r *http.Request) {
	var req worker.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		refuse(rw, http.StatusBadRequest, worker.FaultBadRequest, err.Error())
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	writeJSON(rw, http.StatusOK, w.grantLease(req, now))
}

func (w *Worker) grantLease(req worker.LeaseRequest, now time.Time) worker.LeaseReply {
	isHeld := w.lease.holder != "" && now.Before(w.lease.expiresAt)
	isRenewal := w.lease.holder == req.Holder && w.lease.epoch == req.Epoch && isHeld
	isNew := !isHeld && req.Epoch > w.lease.epoch
	if !isRenewal && !isNew {
		return worker.LeaseReply{
			Holder: w.lease.holder, Epoch: w.lease.epoch, Leaving: w.leaving,
			RemainingMillis: max(0, w.lease.expiresAt.Sub(now).Milliseconds()),
		}
	}
	if isNew {
		w.log(Event{Kind: EventLease, Holder: req.Holder, Epoch: req.Epoch})
	}
	w.lease = lease{
		holder: req.Holder, epoch: req.Epoch,
		expiresAt: now.Add(time.Duration(req.TTLMillis) * time.Millisecond),
		taskTTL:   time.Duration(req.TaskTTLMillis) * time.Millisecond,
	}
	reply := worker.LeaseReply{
		Granted: true, Holder: req.Holder, Epoch: req.Epoch, RemainingMillis: req.TTLMillis, Leaving: w.leaving,
	}
	for _, t := range w.tasks {
		if t.state.Terminal() {
			continue
		}
		t.expiresAt = now.Add(w.lease.taskTTL)
		if usage, over := t.usage(now); over {
			reply.Usage = append(reply.Usage, usage)
		}
	}
	reply.Ended = w.endsAfter(req.Acked)
	return reply
}

func (t *task) usage(now time.Time) (worker.Usage, bool) {
	usage := worker.Usage{Task: t.id, CPUMilli: t.cpuMilli(), MemoryMiB: t.memoryMiB(now.Add(-usageLag))}
	exceeds := usage.CPUMilli > t.spec.Size.CPUMilli || usage.MemoryMiB > t.spec.Size.MemoryMiB
	return usage, exceeds && t.state == worker.Running && now.Sub(t.startedAt) > usageLag
}

func (w *Worker) endsAfter(acked uint64) []worker.End {
	first := len(w.ends)
	for first > 0 && w.ends[first-1].Sequence > acked {
		first--
	}
	last := min(len(w.ends), first+maxEndsPerReply)
	return append([]worker.End(nil), w.ends[first:last]...)
}

func (w *Worker) serveReleaseLease(rw http.ResponseWriter, r *http.Request) {
	var req worker.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		refuse(rw, http.StatusBadRequest, worker.FaultBadRequest, err.Error())
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lease.holder == req.Holder && w.lease.epoch == req.Epoch {
		w.lease.expiresAt = time.Time{}
		w.lease.holder = ""
	}
	writeJSON(rw, http.StatusOK, struct{}{})
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	t, err := readTask(r)
	if err != nil {
		refuse(rw, http.StatusBadRequest, worker.FaultBadRequest, err.Error())
		return
	}
	w.mu.Lock()
	target, exists := w.tasks[t.id]
	if !exists {
		if problem := w.start(t, time.Now()); problem != nil {
			w.logTask(EventRefused, t, string(problem.Fault))
			w.mu.Unlock()
			refuse(rw, http.StatusConflict, problem.Fault, problem.Detail)
			return
		}
		target = t
	}
	w.mu.Unlock()
	if r.URL.Query().Get("wait") == "true" {
		select {
		case <-target.done:
		case <-r.Context().Done():
			return
		}
	}
	w.reply(rw, target)
}

func readTask(r *http.Request) (*task, error) {
	t := &task{id: r.PathValue("id"), contentType: r.Header.Get("Content-Type"), done: make(chan struct{})}
	if err := json.Unmarshal([]byte(r.Header.Get(worker.HeaderSpec)), &t.spec); err != nil {
		return nil, fmt.Errorf("%s: %w", worker.HeaderSpec, err)
	}
	params, err := ParseParams(t.spec.Params)
	if err != nil {
		return nil, err
	}
	t.params = params
	t.body, err = io.ReadAll(io.LimitReader(r.Body, maxTaskBytes))
	if err != nil {
		return nil, err
	}
	if r.ContentLength >= 0 && int64(len(t.body)) != r.ContentLength {
		return nil, fmt.Errorf("body has %d bytes of %d", len(t.body), r.ContentLength)
	}
	t.digest = Digest(t.body)
	return t, nil
}

func (w *Worker) reply(rw http.ResponseWriter, t *task) {
	w.mu.Lock()
	state, body, contentType := t.state, t.body, t.contentType
	w.mu.Unlock()
	rw.Header().Set(worker.HeaderState, string(state))
	if !state.Terminal() {
		rw.WriteHeader(http.StatusAccepted)
		return
	}
	if contentType != "" {
		rw.Header().Set("Content-Type", contentType)
	}
	rw.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = rw.Write(body)
}

func (w *Worker) serveAttach(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	t, ok := w.tasks[r.PathValue("id")]
	w.mu.Unlock()
	if !ok {
		refuse(rw, http.StatusNotFound, worker.FaultAbsent, "no such task")
		return
	}
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait-ms"), 10, 64)
	if wait > 0 {
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-t.done:
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
	}
	w.reply(rw, t)
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	w.mu.Lock()
	t, ok := w.tasks[id]
	if !ok {
		t = &task{id: id, state: worker.NeverStarted, endedAt: time.Now(), done: make(chan struct{})}
		close(t.done)
		w.tasks[id] = t
	} else {
		w.end(t, worker.Stopped, "stopped on request")
	}
	w.mu.Unlock()
	w.reply(rw, t)
}

func (w *Worker) serveThrottle(rw http.ResponseWriter, r *http.Request) {
	limit, err := strconv.ParseInt(r.URL.Query().Get("cpu-milli"), 10, 64)
	if err != nil {
		refuse(rw, http.StatusBadRequest, worker.FaultBadRequest, err.Error())
		return
	}
	w.withTask(rw, r, func(t *task) *worker.Problem {
		t.cpuLimit = limit
		return nil
	})
}

func (w *Worker) serveCheckpoint(rw http.ResponseWriter, r *http.Request) {
	w.withTask(rw, r, func(t *task) *worker.Problem {
		if t.state != worker.Running {
			return &worker.Problem{Fault: worker.FaultBadRequest, Detail: "the task is " + string(t.state)}
		}
		if t.timer != nil {
			t.timer.Stop()
		}
		t.remainingRunTime = max(0, t.remainingRunTime-time.Since(t.startedAt))
		t.state = worker.Checkpointed
		w.used = w.used.Sub(t.spec.Size)
		w.logTask(EventCheckpoint, t, "")
		return nil
	})
}

func (w *Worker) serveResume(rw http.ResponseWriter, r *http.Request) {
	var req worker.LeaseRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		refuse(rw, http.StatusBadRequest, worker.FaultBadRequest, err.Error())
		return
	}
	w.withTask(rw, r, func(t *task) *worker.Problem {
		if t.state != worker.Checkpointed {
			return &worker.Problem{Fault: worker.FaultBadRequest, Detail: "the task is " + string(t.state)}
		}
		if req.Epoch != w.lease.epoch || req.Holder != w.lease.holder || time.Now().After(w.lease.expiresAt) {
			return &worker.Problem{Fault: worker.FaultStaleEpoch, Detail: "the lease is not in force"}
		}
		if dimension := w.used.Add(t.spec.Size).Shortfall(w.cfg.Capacity); dimension != "" {
			w.logTask(EventOverCapacity, t, "resume refused: "+dimension)
			return &worker.Problem{Fault: worker.FaultNoRoom, Detail: dimension}
		}
		t.state, t.startedAt = worker.Running, time.Now()
		w.used = w.used.Add(t.spec.Size)
		w.logTask(EventResume, t, "")
		w.scheduleEnd(t)
		return nil
	})
}

func (w *Worker) withTask(rw http.ResponseWriter, r *http.Request, change func(t *task) *worker.Problem) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[r.PathValue("id")]
	if !ok {
		refuse(rw, http.StatusNotFound, worker.FaultAbsent, "no such task")
		return
	}
	if problem := change(t); problem != nil {
		refuse(rw, http.StatusConflict, problem.Fault, problem.Detail)
		return
	}
	writeJSON(rw, http.StatusOK, struct{}{})
}

// Log is the event log of a fake worker with its counters.
type Log struct {
	Worker         string  `json:"worker"`
	MaxConnections int     `json:"max-connections"`
	Started        uint64  `json:"started"`
	Running        int     `json:"running"`
	Events         []Event `json:"events"`
}

func (w *Worker) serveLog(rw http.ResponseWriter, _ *http.Request) {
	writeJSON(rw, http.StatusOK, w.Log())
}

// Log returns the event log and the current counters.
func (w *Worker) Log() Log {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := Log{Worker: w.cfg.Name, MaxConnections: w.maxConns, Started: w.numStarted, Events: append([]Event{}, w.events...)}
	for _, t := range w.tasks {
		if !t.state.Terminal() {
			l.Running++
		}
	}
	return l
}

func (w *Worker) serveLeaving(rw http.ResponseWriter, r *http.Request) {
	w.SetLeaving(r.URL.Query().Get("value") != "false")
	writeJSON(rw, http.StatusOK, struct{}{})
}

func refuse(rw http.ResponseWriter, status int, fault worker.Fault, detail string) {
	writeJSON(rw, status, worker.Problem{Fault: fault, Detail: detail})
}
