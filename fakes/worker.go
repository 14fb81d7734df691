package fakes

import (
	"fmt"
	"hash"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderdrift/corianderdrift/unit"
	"github.com/corianderdrift/corianderdrift/worker"
)

const (
	endedTaskRetention = 2 * time.Minute
	// usageLag is the delay after which a task's actual use of resources is reported.
	usageLag = 500 * time.Millisecond
	// usageRampTime is the time in which a task's memory use grows from the declared to the actual size.
	usageRampTime   = 2 * time.Second
	sweepInterval   = 50 * time.Millisecond
	maxEndsPerReply = 256
)

// Event is an entry of a fake worker's event log.
type Event struct {
	Sequence  uint64           `json:"sequence"`
	UnixNanos int64            `json:"unix-nanos"`
	Worker    string           `json:"worker"`
	Kind      EventKind        `json:"kind"`
	Task      string           `json:"task,omitempty"`
	Entry     string           `json:"entry,omitempty"`
	Owner     string           `json:"owner,omitempty"`
	Holder    string           `json:"holder,omitempty"`
	Epoch     uint64           `json:"epoch,omitempty"`
	State     worker.TaskState `json:"state,omitempty"`
	Digest    string           `json:"digest,omitempty"`
	Detail    string           `json:"detail,omitempty"`
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	EventStart        EventKind = "start"
	EventEnd          EventKind = "end"
	EventLease        EventKind = "lease"
	EventOverCapacity EventKind = "over"
	EventRefused      EventKind = "refused"
	EventCheckpoint   EventKind = "checkpoint"
	EventResume       EventKind = "resume"
	EventLeaving      EventKind = "leaving"
)

// WorkerConfig holds the properties of a fake worker.
type WorkerConfig struct {
	Name       string
	DataCenter string
	Rack       string
	Capacity   unit.Size
}

// Worker is a fake of a worker with its HTTP API.
type Worker struct {
	cfg WorkerConfig

	mu           sync.Mutex
	tasks        map[string]*task
	ends         []worker.End
	events       []Event
	lease        lease
	leaving      bool
	used         unit.Size
	conns        int
	maxConns     int
	overCapacity bool
	quiet        bool
	numStarted   uint64
	done         chan struct{}
	closeOnce    sync.Once
}

type lease struct {
	holder    string
	epoch     uint64
	expiresAt time.Time
	taskTTL   time.Duration
}

type task struct {
	id               string
	spec             worker.Spec
	params           Params
	state            worker.TaskState
	contentType      string
	body             []byte
	digest           string
	startedAt        time.Time
	endedAt          time.Time
	expiresAt        time.Time
	remainingRunTime time.Duration
	timer            *time.Timer
	cpuLimit         int64
	done             chan struct{}
}

// NewWorker returns an idle fake worker.
func NewWorker(cfg WorkerConfig) *Worker {
	w := &Worker{cfg: cfg, tasks: map[string]*task{}, done: make(chan struct{})}
	go w.sweep()
	return w
}

// Close stops the worker's background sweep.
func (w *Worker) Close() { w.closeOnce.Do(func() { close(w.done) }) }

// Quiet turns off the logging of starts and ends, for benchmarks.
func (w *Worker) Quiet() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.quiet = true
}

// Events returns a copy of the event log.
func (w *Worker) Events() []Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Event(nil), w.events...)
}

// SetLeaving sets whether the worker reports that it is leaving.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
	w.log(Event{Kind: EventLeaving, Detail: fmt.Sprint(leaving)})
}

// ConnState counts open connections; it is used as http.Server.ConnState.
func (w *Worker) ConnState(_ net.Conn, state http.ConnState) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch state {
	case http.StateNew:
		w.conns++
		w.maxConns = max(w.maxConns, w.conns)
	case http.StateClosed, http.StateHijacked:
		w.conns--
	default:
	}
}

func (w *Worker) log(event Event) {
	if w.quiet && (event.Kind == EventStart || event.Kind == EventEnd) {
		return
	}
	event.Sequence = uint64(len(w.events)) + 1
	event.UnixNanos = time.Now().UnixNano()
	event.Worker = w.cfg.Name
	w.events = append(w.events, event)
}

func (w *Worker) logTask(kind EventKind, t *task, detail string) {
	w.log(Event{
		Kind: kind, Task: t.id, Entry: t.spec.Entry, Owner: t.spec.Owner, Holder: t.spec.Holder, Epoch: t.spec.Epoch,
		State: t.state, Digest: t.digest, Detail: detail,
	})
}

func (w *Worker) sweep() {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case <-ticker.C:
			w.sweepOnce(time.Now())
		}
	}
}

func (w *Worker) sweepOnce(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var usedMiB int64
	for id, t := range w.tasks {
		switch {
		case t.state == worker.Running || t.state == worker.Checkpointed:
			if now.After(t.expiresAt) {
				w.end(t, worker.Stopped, "lease lapsed")
				continue
			}
			if t.state == worker.Running {
				usedMiB += t.memoryMiB(now)
			}
		case now.Sub(t.endedAt) > endedTaskRetention:
			delete(w.tasks, id)
		}
	}
	overCapacity := usedMiB > w.cfg.Capacity.MemoryMiB
	if overCapacity && !w.overCapacity {
		w.log(Event{Kind: EventOverCapacity, Detail: fmt.Sprintf("%d MiB really in use", usedMiB)})
	}
	w.overCapacity = overCapacity
}

func (t *task) memoryMiB(now time.Time) int64 {
	if t.params.MemoryMiB <= t.spec.Size.MemoryMiB {
		return t.spec.Size.MemoryMiB
	}
	share := min(1, float64(now.Sub(t.startedAt))/float64(usageRampTime))
	return t.spec.Size.MemoryMiB + int64(share*float64(t.params.MemoryMiB-t.spec.Size.MemoryMiB))
}

func (t *task) cpuMilli() int64 {
	if t.params.CPUMilli <= t.spec.Size.CPUMilli {
		return t.spec.Size.CPUMilli
	}
	if t.cpuLimit > 0 {
		return min(t.cpuLimit, t.params.CPUMilli)
	}
	return t.params.CPUMilli
}

// start starts a new task or returns why it is refused; w.mu is held.
func (w *Worker) start(t *task, now time.Time) *worker.Problem {
	switch {
	case w.leaving:
		return &worker.Problem{Fault: worker.FaultLeaving, Detail: "the worker is leaving"}
	case t.spec.Epoch != w.lease.epoch || t.spec.Holder != w.lease.holder || now.After(w.lease.expiresAt):
		detail := fmt.Sprintf("%s's epoch %d is not in force; %s has epoch %d",
			t.spec.Holder, t.spec.Epoch, w.lease.holder, w.lease.epoch)
		return &worker.Problem{Fault: worker.FaultStaleEpoch, Detail: detail}
	}
	if dimension := w.used.Add(t.spec.Size).Shortfall(w.cfg.Capacity); dimension != "" {
		w.logTask(EventOverCapacity, t, "start refused: "+dimension)
		return &worker.Problem{Fault: worker.FaultNoRoom, Detail: dimension}
	}
	t.state, t.startedAt, t.expiresAt = worker.Running, now, now.Add(w.lease.taskTTL)
	t.remainingRunTime = t.params.RunTime
	w.used = w.used.Add(t.spec.Size)
	w.tasks[t.id] = t
	w.numStarted++
	w.logTask(EventStart, t, "")
	w.scheduleEnd(t)
	return nil
}

func (w *Worker) scheduleEnd(t *task) {
	if t.spec.Service {
		return
	}
	t.timer = time.AfterFunc(t.remainingRunTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.state != worker.Running || (w.tasks[t.id] != t) {
			return
		}
		if t.params.Fail || (t.params.FailOnPrefix != "" && hasPrefix(w.cfg.Name, t.params.FailOnPrefix)) {
			w.end(t, worker.TaskFailed, "as its params say")
			return
		}
		w.end(t, worker.Finished, "")
	})
}

func hasPrefix(name, prefix string) bool {
	return len(name) >= len(prefix) && name[:len(prefix)] == prefix
}

// end moves a task to a terminal state; w.mu is held.
func (w *Worker) end(t *task, state worker.TaskState, detail string) {
	if t.state.Terminal() {
		return
	}
	if t.state == worker.Running {
		w.used = w.used.Sub(t.spec.Size)
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	t.state, t.endedAt = state, time.Now()
	if state == worker.Finished {
		t.setAnswer()
	} else {
		t.body, t.contentType = []byte(detail), "text/plain"
	}
	sequence := uint64(1)
	if n := len(w.ends); n > 0 {
		sequence = w.ends[n-1].Sequence + 1
	}
	w.ends = append(w.ends, worker.End{Sequence: sequence, Task: t.id, State: state})
	if len(w.ends) > 1<<16 {
		w.ends = append([]worker.End(nil), w.ends[1<<15:]...)
	}
	w.logTask(EventEnd, t, detail)
	close(t.done)
}

func (t *task) setAnswer() {
	if t.params.AnswerBytes < 0 {
		return
	}
	body := make([]byte, t.params.AnswerBytes)
	pattern := []byte(t.digest + "\n")
	for i := 0; i < len(body); i += len(pattern) {
		copy(body[i:], pattern)
	}
	t.body, t.contentType = body, "application/octet-stream"
}

// Digest returns the digest of a request body. The event log contains it, and response bodies of a fixed size repeat it.
func Digest(body []byte) string {
	var h hash.Hash64 = xxhash.New()
	_, _ = h.Write(body)
	return fmt.Sprintf("%016x", h.Sum64())
}

// HasLease reports whether the worker has a holder whose lease has not expired.
func (w *Worker) HasLease() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lease.holder != "" && time.Now().Before(w.lease.expiresAt)
}
