package fakes

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/unit"
)

// WorkerSet is a set of in-memory workers that implements order.Workers. Each worker runs its tasks under one lease.
// It records violations of the rules that every scheduler must keep.
type WorkerSet struct {
	// Outcome returns the duration and the outcome of a run; if it is nil, runs succeed immediately.
	Outcome func(worker string, task graph.TaskID, run int) (time.Duration, order.EndKind)
	// MaxLease caps the lease of every worker.
	MaxLease time.Duration

	mu      sync.Mutex
	workers map[string]*workerState
	// speculative holds the steps whose tasks may have several runs at a time.
	speculative map[graph.StepID]bool
	// taskSizes holds the resources that each task of a step allocates, for the check of capacity.
	taskSizes map[graph.StepID]unit.Size
	completed map[graph.TaskID]bool
	// ackedDone holds the tasks whose successful end was acknowledged.
	ackedDone  map[graph.TaskID]bool
	violations []string
	numStarts  int
}

// workerState is the state of one incarnation of a worker.
type workerState struct {
	worker    order.Worker
	startedAt time.Time
	token     uint64
	leaseEnd  time.Time
	runs      map[runKey]*activeRun
	// highestClosed holds, by task, the highest run that ended or was stopped; starts up to it are rejected as stale.
	highestClosed      map[graph.TaskID]int
	unackedEnds        []order.End
	lastEndNumber      uint64
	changed            chan struct{}
	unreachable        bool
	loseNextStartReply bool
}

type runKey struct {
	task graph.TaskID
	run  int
}

type activeRun struct {
	checkpoint string
	timer      *time.Timer
}

// NewWorkerSet returns a set without workers.
func NewWorkerSet(maxLease time.Duration) *WorkerSet {
	return &WorkerSet{
		MaxLease: maxLease, workers: map[string]*workerState{}, taskSizes: map[graph.StepID]unit.Size{},
		completed: map[graph.TaskID]bool{}, speculative: map[graph.StepID]bool{}, ackedDone: map[graph.TaskID]bool{},
	}
}

// Add adds a worker and returns it as the registry would list it.
func (s *WorkerSet) Add(w order.Worker) order.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.StartedAt.IsZero() {
		w.StartedAt = time.Now()
	}
	s.workers[w.ID] = &workerState{
		worker: w, startedAt: time.Now(), runs: map[runKey]*activeRun{}, highestClosed: map[graph.TaskID]int{},
		changed: make(chan struct{}),
	}
	return w
}

// SetTaskSize declares the resources that each task of a step allocates.
func (s *WorkerSet) SetTaskSize(step graph.StepID, size unit.Size) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.taskSizes[step] = size
}

// AllowSpeculative allows the tasks of a step to have several runs at a time.
func (s *WorkerSet) AllowSpeculative(step graph.StepID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.speculative[step] = true
}

// SetUnreachable makes a worker unreachable, or reachable again. Its tasks keep running until their lease expires.
func (s *WorkerSet) SetUnreachable(id string, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[id].unreachable = unreachable
}

// Crash stops all runs of a worker and restarts it as a new incarnation with the same id.
func (s *WorkerSet) Crash(id string) order.Worker {
	s.mu.Lock()
	old := s.workers[id]
	for _, r := range old.runs {
		r.timer.Stop()
	}
	w := old.worker
	s.mu.Unlock()
	w.StartedAt = time.Now()
	return s.Add(w)
}

// Violations returns the violations that were recorded.
func (s *WorkerSet) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

// NumStarts returns the number of runs that were started.
func (s *WorkerSet) NumStarts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.numStarts
}

// NumRunning returns the number of runs on a worker.
func (s *WorkerSet) NumRunning(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	ws := s.workers[id]
	s.expireRuns(ws)
	return len(ws.runs)
}

func (s *WorkerSet) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// reach returns the worker that an order is for. If the worker is unreachable, it blocks until ctx is done.
func (s *WorkerSet) reach(ctx context.Context, w *order.Worker) (*workerState, error) {
	s.mu.Lock()
	ws, ok := s.workers[w.ID]
	unreachable := ok && ws.unreachable
	s.mu.Unlock()
	if !ok {
		return nil, &order.GoneError{Worker: w.ID}
	}
	if unreachable {
		<-ctx.Done()
		return nil, &order.UnansweredError{Worker: w.ID, Err: ctx.Err()}
	}
	return ws, nil
}

func (ws *workerState) clock() time.Duration { return time.Since(ws.startedAt) }

// acceptToken rejects a fencing token that is lower than the last one and stores it otherwise.
func (ws *workerState) acceptToken(token uint64) error {
	if token < ws.token {
		return &order.RejectedError{Worker: ws.worker.ID, Reason: order.RejectFenced, Clock: ws.clock()}
	}
	ws.token = token
	return nil
}

func (s *WorkerSet) renewLease(ws *workerState, leaseUntil time.Duration) {
	leaseEnd := ws.startedAt.Add(min(leaseUntil, ws.clock()+s.MaxLease))
	if leaseEnd.After(ws.leaseEnd) {
		ws.leaseEnd = leaseEnd
	}
}

// expireRuns ends all runs on a worker if its lease has expired.
func (s *WorkerSet) expireRuns(ws *workerState) {
	if time.Now().Before(ws.leaseEnd) {
		return
	}
	for key := range ws.runs {
		s.endRun(ws, key, order.EndExpired)
	}
}

// Start implements order.Workers.
func (s *WorkerSet) Start(ctx context.Context, w *order.Worker, o order.Start) (time.Duration, error) {
	ws, err := s.reach(ctx, w)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRuns(ws)
	if err := ws.acceptToken(o.Token); err != nil {
		return 0, err
	}
	key := runKey{o.Task, o.Run}
	if _, ok := ws.runs[key]; ok {
		return ws.clock(), nil
	}
	if o.Run <= ws.highestClosed[o.Task] {
		return 0, &order.RejectedError{Worker: w.ID, Reason: order.RejectStale, Clock: ws.clock()}
	}
	if o.LeaseUntil <= ws.clock() {
		return 0, &order.RejectedError{Worker: w.ID, Reason: order.RejectLate, Clock: ws.clock()}
	}
	s.checkStart(ws, key)
	s.renewLease(ws, o.LeaseUntil)
	s.beginRun(ws, key, o.Checkpoint)
	if ws.loseNextStartReply {
		ws.loseNextStartReply = false
		return 0, &order.UnansweredError{Worker: w.ID, Err: errConnLost}
	}
	return ws.clock(), nil
}

// LoseNextStartReply makes a worker execute its next start order and lose the reply.
func (s *WorkerSet) LoseNextStartReply(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[id].loseNextStartReply = true
}

// checkStart records the violations that a start causes.
func (s *WorkerSet) checkStart(ws *workerState, key runKey) {
	if s.ackedDone[key.task] {
		s.addViolation("%s run %d started on %s after its end was acknowledged", key.task, key.run, ws.worker.ID)
	}
	used := s.taskSizes[key.task.StepID]
	for otherRun := range ws.runs {
		used = used.Add(s.taskSizes[otherRun.task.StepID])
	}
	if !used.Fits(ws.worker.Capacity) {
		s.addViolation("%s run %d started on %s beyond its capacity", key.task, key.run, ws.worker.ID)
	}
	for _, otherWorker := range s.workers {
		s.expireRuns(otherWorker)
		for otherRun := range otherWorker.runs {
			if otherRun.task == key.task && !s.speculative[key.task.StepID] {
				s.addViolation("%s run %d started on %s while run %d is on %s",
					key.task, key.run, ws.worker.ID, otherRun.run, otherWorker.worker.ID)
			}
		}
	}
}

func (s *WorkerSet) beginRun(ws *workerState, key runKey, checkpoint string) {
	s.numStarts++
	runTime, kind := time.Duration(0), order.EndDone
	if s.Outcome != nil {
		runTime, kind = s.Outcome(ws.worker.ID, key.task, key.run)
	}
	run := &activeRun{checkpoint: checkpoint}
	run.timer = time.AfterFunc(runTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if ws.runs[key] == run && s.workers[ws.worker.ID] == ws {
			s.expireRuns(ws)
			if ws.runs[key] == run {
				s.endRun(ws, key, kind)
			}
		}
	})
	ws.runs[key] = run
}

func (s *WorkerSet) endRun(ws *workerState, key runKey, kind order.EndKind) {
	r := ws.runs[key]
	r.timer.Stop()
	delete(ws.runs, key)
	ws.highestClosed[key.task] = max(ws.highestClosed[key.task], key.run)
	ws.lastEndNumber++
	ws.unackedEnds = append(ws.unackedEnds, order.End{
		Number: ws.lastEndNumber, Task: key.task, Run: key.run, Kind: kind, Checkpoint: r.checkpoint,
	})
	if kind == order.EndDone {
		s.completed[key.task] = true
	}
	close(ws.changed)
	ws.changed = make(chan struct{})
}

// Stop implements order.Workers.
func (s *WorkerSet) Stop(ctx context.Context, w *order.Worker, o order.Stop) (time.Duration, error) {
	ws, err := s.reach(ctx, w)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRuns(ws)
	if err := ws.acceptToken(o.Token); err != nil {
		return 0, err
	}
	if _, ok := ws.runs[runKey{o.Task, o.Run}]; ok {
		s.endRun(ws, runKey{o.Task, o.Run}, order.EndStopped)
	}
	ws.highestClosed[o.Task] = max(ws.highestClosed[o.Task], o.Run)
	return ws.clock(), nil
}

// Throttle implements order.Workers.
func (s *WorkerSet) Throttle(ctx context.Context, w *order.Worker, o order.Throttle) (time.Duration, error) {
	ws, err := s.reach(ctx, w)
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return ws.clock(), ws.acceptToken(o.Token)
}

// Poll implements order.Workers.
func (s *WorkerSet) Poll(ctx context.Context, w *order.Worker, o order.Poll) (order.Report, error) {
	ws, err := s.reach(ctx, w)
	if err != nil {
		return order.Report{}, err
	}
	deadline := time.NewTimer(o.Wait)
	defer deadline.Stop()
	for first := true; ; first = false {
		rep, changed, err := s.pollOnce(ws, o, first)
		if err != nil || len(rep.Ended) > 0 || o.Wait == 0 {
			return rep, err
		}
		select {
		case <-ctx.Done():
			return order.Report{}, &order.UnansweredError{Worker: w.ID, Err: ctx.Err()}
		case <-deadline.C:
			rep, _, err = s.pollOnce(ws, o, false)
			return rep, err
		case <-changed:
		}
	}
}

func (s *WorkerSet) pollOnce(ws *workerState, o order.Poll, renewLease bool) (order.Report, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRuns(ws)
	if err := ws.acceptToken(o.Token); err != nil {
		return order.Report{}, nil, err
	}
	if renewLease && o.LeaseUntil > 0 {
		s.renewLease(ws, o.LeaseUntil)
	}
	for len(ws.unackedEnds) > 0 && ws.unackedEnds[0].Number <= o.Acked {
		if ws.unackedEnds[0].Kind == order.EndDone {
			s.ackedDone[ws.unackedEnds[0].Task] = true
		}
		ws.unackedEnds = ws.unackedEnds[1:]
	}
	rep := order.Report{Clock: ws.clock(), StartedAt: ws.worker.StartedAt, Ended: append([]order.End(nil), ws.unackedEnds...)}
	for key, r := range ws.runs {
		rep.Running = append(rep.Running, order.Run{
			Task: key.task, Run: key.run, Checkpoint: r.checkpoint, CPUPercent: 100, Gauge: float64(s.taskSizes[key.task.StepID].CPUMilli),
		})
	}
	return rep, ws.changed, nil
}

// Forget implements order.Workers.
func (s *WorkerSet) Forget(*order.Worker) {}
