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

// Crew is a set of in-memory workers that implements order.Workers. Each worker runs its tasks under one lease.
// It records violations of the rules that every scheduler must keep.
type Crew struct {
	// Work returns the duration and the outcome of a run; if it is nil, runs succeed immediately.
	Work func(worker string, task graph.TaskID, run int) (time.Duration, order.EndKind)
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

// NewCrew returns a set without workers.
func NewCrew(maxLease time.Duration) *Crew {
	return &Crew{
		MaxLease: maxLease, workers: map[string]*workerState{}, taskSizes: map[graph.StepID]unit.Size{},
		completed: map[graph.TaskID]bool{}, speculative: map[graph.StepID]bool{}, ackedDone: map[graph.TaskID]bool{},
	}
}

// Add adds a worker and returns it as the registry would list it.
func (c *Crew) Add(w order.Worker) order.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.Born.IsZero() {
		w.Born = time.Now()
	}
	c.workers[w.ID] = &workerState{
		worker: w, startedAt: time.Now(), runs: map[runKey]*activeRun{}, highestClosed: map[graph.TaskID]int{},
		changed: make(chan struct{}),
	}
	return w
}

// Size declares the resources that each task of a step allocates.
func (c *Crew) Size(s graph.StepID, size unit.Size) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taskSizes[s] = size
}

// Copies allows the tasks of a step to have several runs at a time.
func (c *Crew) Copies(s graph.StepID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.speculative[s] = true
}

// Cut makes a worker unreachable, or reachable again. Its tasks keep running until their lease expires.
func (c *Crew) Cut(id string, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].unreachable = unreachable
}

// Crash stops all runs of a worker and restarts it as a new incarnation with the same id.
func (c *Crew) Crash(id string) order.Worker {
	c.mu.Lock()
	old := c.workers[id]
	for _, r := range old.runs {
		r.timer.Stop()
	}
	w := old.worker
	c.mu.Unlock()
	w.Born = time.Now()
	return c.Add(w)
}

// Faults returns the violations that were recorded.
func (c *Crew) Faults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// Starts returns the number of runs that were started.
func (c *Crew) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.numStarts
}

// Running returns the number of runs on a worker.
func (c *Crew) Running(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	ws := c.workers[id]
	c.expireRuns(ws)
	return len(ws.runs)
}

func (c *Crew) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// reach returns the worker that an order is for. If the worker is unreachable, it blocks until ctx is done.
func (c *Crew) reach(ctx context.Context, w *order.Worker) (*workerState, error) {
	c.mu.Lock()
	ws, ok := c.workers[w.ID]
	unreachable := ok && ws.unreachable
	c.mu.Unlock()
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
		return &order.RejectedError{Worker: ws.worker.ID, Why: order.RejectFenced, Clock: ws.clock()}
	}
	ws.token = token
	return nil
}

func (c *Crew) renewLease(ws *workerState, leaseUntil time.Duration) {
	leaseEnd := ws.startedAt.Add(min(leaseUntil, ws.clock()+c.MaxLease))
	if leaseEnd.After(ws.leaseEnd) {
		ws.leaseEnd = leaseEnd
	}
}

// expireRuns ends all runs on a worker if its lease has expired.
func (c *Crew) expireRuns(ws *workerState) {
	if time.Now().Before(ws.leaseEnd) {
		return
	}
	for key := range ws.runs {
		c.endRun(ws, key, order.EndLapsed)
	}
}

// Start implements order.Workers.
func (c *Crew) Start(ctx context.Context, w *order.Worker, o order.Start) (time.Duration, error) {
	ws, err := c.reach(ctx, w)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireRuns(ws)
	if err := ws.acceptToken(o.Token); err != nil {
		return 0, err
	}
	key := runKey{o.Task, o.Run}
	if _, ok := ws.runs[key]; ok {
		return ws.clock(), nil
	}
	if o.Run <= ws.highestClosed[o.Task] {
		return 0, &order.RejectedError{Worker: w.ID, Why: order.RejectStale, Clock: ws.clock()}
	}
	if o.Until <= ws.clock() {
		return 0, &order.RejectedError{Worker: w.ID, Why: order.RejectLate, Clock: ws.clock()}
	}
	c.checkStart(ws, key)
	c.renewLease(ws, o.Until)
	c.beginRun(ws, key, o.Saved)
	if ws.loseNextStartReply {
		ws.loseNextStartReply = false
		return 0, &order.UnansweredError{Worker: w.ID, Err: errConnLost}
	}
	return ws.clock(), nil
}

// Deafen makes a worker execute its next start order and lose the reply.
func (c *Crew) Deafen(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.workers[id].loseNextStartReply = true
}

func (c *Crew) checkStart(ws *workerState, key runKey) {
	if c.ackedDone[key.task] {
		c.addViolation("%s run %d started on %s after its end was acknowledged", key.task, key.run, ws.worker.ID)
	}
	used := c.taskSizes[key.task.StepID]
	for otherRun := range ws.runs {
		used = used.Add(c.taskSizes[otherRun.task.StepID])
	}
	if !used.Fits(ws.worker.Capacity) {
		c.addViolation("%s run %d started on %s beyond its capacity", key.task, key.run, ws.worker.ID)
	}
	for _, otherWorker := range c.workers {
		c.expireRuns(otherWorker)
		for otherRun := range otherWorker.runs {
			if otherRun.task == key.task && !c.speculative[key.task.StepID] {
				c.addViolation("%s run %d started on %s while run %d is on %s",
					key.task, key.run, ws.worker.ID, otherRun.run, otherWorker.worker.ID)
			}
		}
	}
}

func (c *Crew) beginRun(ws *workerState, key runKey, checkpoint string) {
	c.numStarts++
	runTime, kind := time.Duration(0), order.EndDone
	if c.Work != nil {
		runTime, kind = c.Work(ws.worker.ID, key.task, key.run)
	}
	run := &activeRun{checkpoint: checkpoint}
	run.timer = time.AfterFunc(runTime, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if ws.runs[key] == run && c.workers[ws.worker.ID] == ws {
			c.expireRuns(ws)
			if ws.runs[key] == run {
				c.endRun(ws, key, kind)
			}
		}
	})
	ws.runs[key] = run
}

func (c *Crew) endRun(ws *workerState, key runKey, kind order.EndKind) {
	r := ws.runs[key]
	r.timer.Stop()
	delete(ws.runs, key)
	ws.highestClosed[key.task] = max(ws.highestClosed[key.task], key.run)
	ws.lastEndNumber++
	ws.unackedEnds = append(ws.unackedEnds, order.End{
		Number: ws.lastEndNumber, Task: key.task, Run: key.run, Kind: kind, Saved: r.checkpoint,
	})
	if kind == order.EndDone {
		c.completed[key.task] = true
	}
	close(ws.changed)
	ws.changed = make(chan struct{})
}

// Stop implements order.Workers.
func (c *Crew) Stop(ctx context.Context, w *order.Worker, o order.Stop) (time.Duration, error) {
	ws, err := c.reach(ctx, w)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireRuns(ws)
	if err := ws.acceptToken(o.Token); err != nil {
		return 0, err
	}
	if _, ok := ws.runs[runKey{o.Task, o.Run}]; ok {
		c.endRun(ws, runKey{o.Task, o.Run}, order.EndStopped)
	}
	ws.highestClosed[o.Task] = max(ws.highestClosed[o.Task], o.Run)
	return ws.clock(), nil
}

// Pace implements order.Workers.
func (c *Crew) Pace(ctx context.Context, w *order.Worker, o order.Pace) (time.Duration, error) {
	ws, err := c.reach(ctx, w)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return ws.clock(), ws.acceptToken(o.Token)
}

// Look implements order.Workers.
func (c *Crew) Look(ctx context.Context, w *order.Worker, o order.Look) (order.Report, error) {
	ws, err := c.reach(ctx, w)
	if err != nil {
		return order.Report{}, err
	}
	deadline := time.NewTimer(o.Wait)
	defer deadline.Stop()
	for first := true; ; first = false {
		rep, changed, err := c.pollOnce(ws, o, first)
		if err != nil || len(rep.Ended) > 0 || o.Wait == 0 {
			return rep, err
		}
		select {
		case <-ctx.Done():
			return order.Report{}, &order.UnansweredError{Worker: w.ID, Err: ctx.Err()}
		case <-deadline.C:
			rep, _, err = c.pollOnce(ws, o, false)
			return rep, err
		case <-changed:
		}
	}
}

func (c *Crew) pollOnce(ws *workerState, o order.Look, renewLease bool) (order.Report, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireRuns(ws)
	if err := ws.acceptToken(o.Token); err != nil {
		return order.Report{}, nil, err
	}
	if renewLease && o.Until > 0 {
		c.renewLease(ws, o.Until)
	}
	for len(ws.unackedEnds) > 0 && ws.unackedEnds[0].Number <= o.Acked {
		if ws.unackedEnds[0].Kind == order.EndDone {
			c.ackedDone[ws.unackedEnds[0].Task] = true
		}
		ws.unackedEnds = ws.unackedEnds[1:]
	}
	rep := order.Report{Clock: ws.clock(), Born: ws.worker.Born, Ended: append([]order.End(nil), ws.unackedEnds...)}
	for key, r := range ws.runs {
		rep.Running = append(rep.Running, order.Run{
			Task: key.task, Run: key.run, Saved: r.checkpoint, Percent: 100, Gauge: float64(c.taskSizes[key.task.StepID].CPUMilli),
		})
	}
	return rep, ws.changed, nil
}

// Forget implements order.Workers.
func (c *Crew) Forget(*order.Worker) {}
