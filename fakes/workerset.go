package fakes

import (
	"context"
	"fmt"
	"math"
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
	// StopGrace is how long a run takes to stop; until then it uses its resources.
	StopGrace time.Duration
	// MaxListedEnds limits the ended runs in a report; 0 means no limit.
	MaxListedEnds int
	// TeamOf returns the team of a job and the team's cap, against which starts are checked; nil checks none.
	TeamOf func(job string) (team string, limit unit.Size)
	// EnforceCapacity makes the workers reject runs that exceed their capacity.
	EnforceCapacity bool

	mu      sync.Mutex
	workers map[string]*workerState
	// stepRules holds what the starts of each step are checked against.
	stepRules map[graph.StepID]*stepRules
	// starts, doneEnds and failedEnds hold the starts, the successful and the failed ends of each task.
	starts     map[graph.TaskID][]startRecord
	doneEnds   map[graph.TaskID][]*doneEnd
	failedEnds map[graph.TaskID][]*failedEnd
	tickets    map[string]ticket
	// lastEvent numbers starts and ends in the order in which they happened.
	lastEvent  int
	violations []string
	events     []WorkerEvent
	recording  bool
	numStarts  int
	// faultFor returns the fault of an order; it is called before the order is sent.
	faultFor func(OrderCall) OrderFault
}

// workerState is the state of one incarnation of a worker.
type workerState struct {
	worker    order.Worker
	startedAt time.Time
	// clockDrift is the share of the elapsed time by which the clock lags.
	clockDrift float64
	token      uint64
	// leaseEnd is on the worker's clock.
	leaseEnd time.Duration
	runs     map[runKey]*activeRun
	// highestClosed holds, by task, the highest run that ended or was stopped; starts up to it are rejected as stale.
	highestClosed map[graph.TaskID]int
	unackedEnds   []order.End
	lastEndNumber uint64
	// lapsedEnds is the number of the last end before the lease last expired.
	lapsedEnds         uint64
	changed            chan struct{}
	unreachable        bool
	down               bool
	loseNextStartReply bool
	// crashed is closed when this incarnation has crashed.
	crashed chan struct{}
}

type runKey struct {
	task graph.TaskID
	run  int
}

type activeRun struct {
	checkpoint string
	timer      *time.Timer
	stopping   bool
}

// NewWorkerSet returns a set without workers.
func NewWorkerSet(maxLease time.Duration) *WorkerSet {
	return &WorkerSet{
		MaxLease: maxLease, workers: map[string]*workerState{}, stepRules: map[graph.StepID]*stepRules{},
		starts: map[graph.TaskID][]startRecord{}, doneEnds: map[graph.TaskID][]*doneEnd{}, failedEnds: map[graph.TaskID][]*failedEnd{},
		tickets: map[string]ticket{},
	}
}

// Add adds a worker and returns it as the registry would list it.
func (s *WorkerSet) Add(w order.Worker) order.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.add(w, 0)
}

func (s *WorkerSet) add(w order.Worker, clockDrift float64) order.Worker {
	if w.StartedAt.IsZero() {
		w.StartedAt = time.Now()
	}
	s.workers[w.ID] = &workerState{
		worker: w, startedAt: time.Now(), clockDrift: clockDrift, runs: map[runKey]*activeRun{}, highestClosed: map[graph.TaskID]int{},
		changed: make(chan struct{}), crashed: make(chan struct{}),
	}
	return w
}

// SetClockDrift makes a worker's clock lag by a share of the time that has elapsed since its start.
func (s *WorkerSet) SetClockDrift(id string, share float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[id].clockDrift = share
}

// SetUnreachable makes a worker unreachable, or reachable again. Its tasks keep running until their lease expires.
func (s *WorkerSet) SetUnreachable(id string, unreachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[id].unreachable = unreachable
}

// Crash stops all runs of a worker and restarts it as a new incarnation with the same id.
func (s *WorkerSet) Crash(id string) order.Worker {
	s.TakeDown(id)
	return s.Restart(id, nil)
}

// TakeDown makes a worker crash and stay down.
func (s *WorkerSet) TakeDown(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ws := s.workers[id]
	if !s.endAllRuns(ws) {
		return
	}
	close(ws.crashed)
	s.record(id, graph.TaskID{}, 0, "crashed")
}

// PowerOff makes a worker lose power: unlike those of a worker that crashes, its connections stay open without an answer.
func (s *WorkerSet) PowerOff(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ws := s.workers[id]
	if s.endAllRuns(ws) {
		ws.unreachable = true
		s.record(id, graph.TaskID{}, 0, "lost power")
	}
}

// endAllRuns takes a worker down and drops its runs; false if it was down.
func (s *WorkerSet) endAllRuns(ws *workerState) bool {
	if ws.down {
		return false
	}
	s.expireRuns(ws)
	for key, r := range ws.runs {
		r.timer.Stop()
		delete(ws.runs, key)
	}
	ws.down = true
	return true
}

// IsDown reports whether a worker is down.
func (s *WorkerSet) IsDown(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id].down
}

// Restart starts a new incarnation of a worker that is down; change, if set, changes it first.
func (s *WorkerSet) Restart(id string, change func(*order.Worker)) order.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.workers[id]
	w := old.worker
	w.StartedAt = time.Now()
	if change != nil {
		change(&w)
	}
	s.record(id, graph.TaskID{}, 0, "restarted with %v and labels %v", w.Capacity, w.Labels)
	s.add(w, old.clockDrift)
	s.workers[id].unreachable = old.unreachable
	return w
}

// Worker returns a worker's present incarnation as the registry would list it.
func (s *WorkerSet) Worker(id string) order.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[id].worker
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

func (ws *workerState) clock() time.Duration {
	elapsed := time.Since(ws.startedAt)
	return elapsed - time.Duration(ws.clockDrift*float64(elapsed))
}

func (ws *workerState) rejection(reason order.RejectReason) error {
	return &order.RejectedError{Worker: ws.worker.ID, Reason: reason, Clock: ws.clock()}
}

// acceptToken rejects a fencing token that is lower than the last one and stores it otherwise.
func (ws *workerState) acceptToken(token uint64) error {
	if token < ws.token {
		return ws.rejection(order.RejectFenced)
	}
	ws.token = token
	return nil
}

func (s *WorkerSet) renewLease(ws *workerState, leaseUntil time.Duration) {
	ws.leaseEnd = max(ws.leaseEnd, min(leaseUntil, ws.clock()+s.MaxLease))
}

// expireRuns ends all runs on a worker if its lease has expired.
func (s *WorkerSet) expireRuns(ws *workerState) {
	if ws.clock() < ws.leaseEnd {
		return
	}
	ws.lapsedEnds = ws.lastEndNumber
	for key := range ws.runs {
		s.endRun(ws, key, order.EndExpired)
	}
}

// Start implements order.Workers.
func (s *WorkerSet) Start(ctx context.Context, w *order.Worker, o order.Start) (time.Duration, error) {
	call := OrderCall{Op: OpStart, Worker: w.ID, Task: o.Task, Run: o.Run, Token: o.Token, Address: w.Address}
	return send(ctx, s, call, func(ws *workerState, late bool) (time.Duration, error) { return s.start(ws, o, late) })
}

func (s *WorkerSet) start(ws *workerState, o order.Start, late bool) (time.Duration, error) {
	if err := ws.acceptToken(o.Token); err != nil {
		return 0, err
	}
	key := runKey{o.Task, o.Run}
	if _, ok := ws.runs[key]; ok {
		s.renewLease(ws, o.LeaseUntil)
		return ws.clock(), nil
	}
	if o.Run <= ws.highestClosed[o.Task] {
		s.renewLease(ws, o.LeaseUntil)
		return 0, ws.rejection(order.RejectStale)
	}
	if o.LeaseUntil <= ws.clock() {
		return 0, ws.rejection(order.RejectLate)
	}
	if !s.acceptsTicket(ws, o) {
		return 0, ws.rejection(order.RejectTicket)
	}
	if s.EnforceCapacity && !s.usedWith(ws, o.Task.StepID).Fits(ws.worker.Capacity) {
		s.renewLease(ws, o.LeaseUntil)
		return 0, ws.rejection(order.RejectCapacity)
	}
	s.checkStart(ws, key, late)
	s.renewLease(ws, o.LeaseUntil)
	s.beginRun(ws, key, o.Checkpoint)
	if ws.loseNextStartReply {
		ws.loseNextStartReply = false
		return 0, &order.UnansweredError{Worker: ws.worker.ID, Err: errConnLost}
	}
	return ws.clock(), nil
}

// LoseNextStartReply makes a worker execute its next start order and lose the reply.
func (s *WorkerSet) LoseNextStartReply(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[id].loseNextStartReply = true
}

func (s *WorkerSet) beginRun(ws *workerState, key runKey, checkpoint string) {
	s.numStarts++
	runTime, kind := time.Duration(0), order.EndDone
	if s.Outcome != nil {
		runTime, kind = s.Outcome(ws.worker.ID, key.task, key.run)
	}
	run := &activeRun{checkpoint: checkpoint}
	run.timer = s.endAfter(ws, key, run, runTime, kind)
	ws.runs[key] = run
}

// endAfter ends a run after some time, unless it has ended or its lease has expired by then.
func (s *WorkerSet) endAfter(ws *workerState, key runKey, run *activeRun, after time.Duration, kind order.EndKind) *time.Timer {
	return time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if ws.runs[key] != run || (run.stopping && kind != order.EndStopped) {
			return
		}
		s.expireRuns(ws)
		if ws.runs[key] == run {
			s.endRun(ws, key, kind)
		}
	})
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
	s.record(ws.worker.ID, key.task, key.run, "ended %s, number %d", kind, ws.lastEndNumber)
	switch kind {
	case order.EndDone:
		s.recordDone(ws, key)
	case order.EndFailed:
		s.recordFailed(ws, key)
	}
	close(ws.changed)
	ws.changed = make(chan struct{})
}

// Stop implements order.Workers.
func (s *WorkerSet) Stop(ctx context.Context, w *order.Worker, o order.Stop) (time.Duration, error) {
	call := OrderCall{Op: OpStop, Worker: w.ID, Task: o.Task, Run: o.Run, Token: o.Token, Address: w.Address}
	return send(ctx, s, call, func(ws *workerState, _ bool) (time.Duration, error) { return s.stop(ws, o) })
}

func (s *WorkerSet) stop(ws *workerState, o order.Stop) (time.Duration, error) {
	if err := ws.acceptToken(o.Token); err != nil {
		return 0, err
	}
	key := runKey{o.Task, o.Run}
	switch r, ok := ws.runs[key]; {
	case ok && s.StopGrace == 0:
		s.endRun(ws, key, order.EndStopped)
	case ok && !r.stopping:
		r.stopping = true
		r.timer.Stop()
		r.timer = s.endAfter(ws, key, r, s.StopGrace, order.EndStopped)
	}
	ws.highestClosed[o.Task] = max(ws.highestClosed[o.Task], o.Run)
	return ws.clock(), nil
}

// Throttle implements order.Workers.
func (s *WorkerSet) Throttle(ctx context.Context, w *order.Worker, o order.Throttle) (time.Duration, error) {
	call := OrderCall{Op: OpThrottle, Worker: w.ID, Task: o.Task, Run: o.Run, Token: o.Token, Address: w.Address}
	return send(ctx, s, call, func(ws *workerState, _ bool) (time.Duration, error) { return ws.clock(), ws.acceptToken(o.Token) })
}

// pollReply is the result of a poll that may have to wait for a change.
type pollReply struct {
	report  order.Report
	changed <-chan struct{}
	crashed <-chan struct{}
	ws      *workerState
}

// Poll implements order.Workers.
func (s *WorkerSet) Poll(ctx context.Context, w *order.Worker, o order.Poll) (order.Report, error) {
	call := OrderCall{Op: OpPoll, Worker: w.ID, Token: o.Token, Address: w.Address}
	fault := s.fault(call)
	deadline := time.NewTimer(fault.Transit + o.Wait)
	defer deadline.Stop()
	reply, err := sendWith(ctx, s, call, fault, func(ws *workerState, _ bool) (pollReply, error) { return s.poll(ws, o, true) })
	for err == nil && len(reply.report.Ended) == 0 && o.Wait > 0 {
		waiting := true
		select {
		case <-ctx.Done():
			return order.Report{}, &order.UnansweredError{Worker: w.ID, Err: ctx.Err()}
		case <-reply.crashed:
			return order.Report{}, &order.UnansweredError{Worker: w.ID, Err: errConnLost}
		case <-deadline.C:
			waiting = false
		case <-reply.changed:
		}
		reply, err = s.pollAgain(reply.ws, o)
		if !waiting {
			break
		}
	}
	if err == nil && s.isUnreachable(reply.ws) {
		<-ctx.Done()
		return order.Report{}, &order.UnansweredError{Worker: w.ID, Err: ctx.Err()}
	}
	return reply.report, err
}

func (s *WorkerSet) pollAgain(ws *workerState, o order.Poll) (pollReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.workers[ws.worker.ID] != ws {
		return pollReply{}, &order.UnansweredError{Worker: ws.worker.ID, Err: errConnLost}
	}
	s.expireRuns(ws)
	return s.poll(ws, o, false)
}

func (s *WorkerSet) isUnreachable(ws *workerState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ws.unreachable
}

func (s *WorkerSet) poll(ws *workerState, o order.Poll, first bool) (pollReply, error) {
	if err := ws.acceptToken(o.Token); err != nil {
		return pollReply{}, err
	}
	if first {
		if o.LeaseUntil > 0 {
			s.renewLease(ws, o.LeaseUntil)
		}
		for len(ws.unackedEnds) > 0 && ws.unackedEnds[0].Number <= o.Acked {
			s.acknowledge(ws, &ws.unackedEnds[0])
			ws.unackedEnds = ws.unackedEnds[1:]
		}
	}
	ends := ws.unackedEnds
	if s.MaxListedEnds > 0 {
		ends = ends[:min(len(ends), s.MaxListedEnds)]
	}
	rep := order.Report{
		Clock: ws.clock(), StartedAt: ws.worker.StartedAt, Ended: append([]order.End(nil), ends...),
		MoreEnds: s.MaxListedEnds > 0 && len(ends) == s.MaxListedEnds,
	}
	for key, r := range ws.runs {
		rep.Running = append(rep.Running, order.Run{
			Task: key.task, Run: key.run, Checkpoint: r.checkpoint, CPUPercent: 100, Gauge: float64(s.rulesOf(key.task.StepID).size.CPUMilli),
		})
	}
	return pollReply{rep, ws.changed, ws.crashed, ws}, nil
}

// OldestConn implements order.Workers: there is always a connection.
func (s *WorkerSet) OldestConn(*order.Worker) (age time.Duration, ok bool) {
	return math.MaxInt64, true
}

// Forget implements order.Workers.
func (s *WorkerSet) Forget(*order.Worker) {}

// WorkerEvent is something that happened on a worker.
type WorkerEvent struct {
	At     time.Time
	Worker string
	Task   graph.TaskID
	Run    int
	Text   string
}

// String implements fmt.Stringer.
func (e WorkerEvent) String() string {
	return fmt.Sprintf("%s %s %s run %d: %s", e.At.Format("04:05.000"), e.Worker, e.Task, e.Run, e.Text)
}

// Record makes the set keep a list of events.
func (s *WorkerSet) Record() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recording = true
}

// Events returns the recorded events.
func (s *WorkerSet) Events() []WorkerEvent {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]WorkerEvent(nil), s.events...)
}

func (s *WorkerSet) record(worker string, task graph.TaskID, run int, format string, args ...any) {
	if s.recording {
		s.events = append(s.events, WorkerEvent{time.Now(), worker, task, run, fmt.Sprintf(format, args...)})
	}
}

// stepRules are the rules for the starts of a step.
type stepRules struct {
	// size is what each task allocates, and fullSize what it counts of its team's cap.
	size, fullSize unit.Size
	// speculative allows a task to have several runs at a time.
	speculative  bool
	label        string
	maxPerWorker int
	needsTicket  bool
	// count is the number of tasks.
	count       int
	gang        bool
	longRunning bool
	// after lists the steps that must be done first.
	after []int
	// due is when the step's occurrence is due; the zero time means immediately.
	due time.Time
	// maxAttempts is how many runs of a task may fail; 0 means no limit.
	maxAttempts int
}
