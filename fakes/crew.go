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

// Crew is a set of workers in memory that run tasks under one lease each, and check what a scheduler may never do.
type Crew struct {
	// Work tells how long a run takes and whether it succeeds; nil means at once and well.
	Work func(worker string, task graph.TaskID, run int) (time.Duration, order.EndKind)
	// Lease bounds the lease of whatever runs.
	Lease time.Duration

	mu      sync.Mutex
	members map[string]*member
	// size tells the room of a task, for the check of capacity.
	// copies holds the steps whose tasks may run more than once at a time.
	copies map[graph.StepID]bool
	size   map[graph.StepID]unit.Size
	done   map[graph.TaskID]bool
	// noted are the tasks whose end was acknowledged.
	noted  map[graph.TaskID]bool
	faults []string
	starts int
}

// member is one worker.
type member struct {
	info   order.Worker
	began  time.Time
	token  uint64
	until  time.Time
	runs   map[crewKey]*crewRun
	closed map[graph.TaskID]int
	ended  []order.End
	next   uint64
	change chan struct{}
	silent bool
	deaf   bool
}

type crewKey struct {
	task graph.TaskID
	run  int
}

type crewRun struct {
	saved string
	timer *time.Timer
}

// NewCrew returns a crew without workers.
func NewCrew(lease time.Duration) *Crew {
	return &Crew{
		Lease: lease, members: map[string]*member{}, size: map[graph.StepID]unit.Size{}, done: map[graph.TaskID]bool{},
		copies: map[graph.StepID]bool{},
		noted:  map[graph.TaskID]bool{},
	}
}

// Add adds a worker and returns its entry for the registry.
func (c *Crew) Add(w order.Worker) order.Worker {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w.Born.IsZero() {
		w.Born = time.Now()
	}
	c.members[w.ID] = &member{
		info: w, began: time.Now(), runs: map[crewKey]*crewRun{}, closed: map[graph.TaskID]int{}, change: make(chan struct{}),
	}
	return w
}

// Size declares the room that each task of a step takes.
func (c *Crew) Size(s graph.StepID, size unit.Size) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.size[s] = size
}

// Copies allows the tasks of a step to run more than once at a time.
func (c *Crew) Copies(s graph.StepID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.copies[s] = true
}

// Cut makes a worker unreachable while it runs on; its leases still run out.
func (c *Crew) Cut(id string, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[id].silent = cut
}

// Crash ends all that runs on a worker and starts a new life of it under the same id.
func (c *Crew) Crash(id string) order.Worker {
	c.mu.Lock()
	old := c.members[id]
	for _, r := range old.runs {
		r.timer.Stop()
	}
	w := old.info
	c.mu.Unlock()
	w.Born = time.Now()
	return c.Add(w)
}

// Faults returns what a scheduler did that it may never do.
func (c *Crew) Faults() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.faults...)
}

// Starts returns how many runs were started.
func (c *Crew) Starts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts
}

// Running returns how many runs a worker has.
func (c *Crew) Running(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.members[id]
	c.lapse(m)
	return len(m.runs)
}

func (c *Crew) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// reach returns the worker that an order is for, after waiting for ctx if it can't be reached.
func (c *Crew) reach(ctx context.Context, w *order.Worker) (*member, error) {
	c.mu.Lock()
	m, ok := c.members[w.ID]
	silent := ok && m.silent
	c.mu.Unlock()
	if !ok {
		return nil, &order.GoneError{Worker: w.ID}
	}
	if silent {
		<-ctx.Done()
		return nil, &order.UnansweredError{Worker: w.ID, Err: ctx.Err()}
	}
	return m, nil
}

func (m *member) clock() time.Duration { return time.Since(m.began) }

// accept checks and keeps the fencing token.
func (m *member) accept(token uint64) error {
	if token < m.token {
		return &order.RejectedError{Worker: m.info.ID, Why: order.RejectFenced, Clock: m.clock()}
	}
	m.token = token
	return nil
}

func (c *Crew) renew(m *member, until time.Duration) {
	end := m.began.Add(min(until, m.clock()+c.Lease))
	if end.After(m.until) {
		m.until = end
	}
}

// lapse ends what has outlived its lease.
func (c *Crew) lapse(m *member) {
	if time.Now().Before(m.until) {
		return
	}
	for key := range m.runs {
		c.end(m, key, order.EndLapsed)
	}
}

// Start implements order.Workers.
func (c *Crew) Start(ctx context.Context, w *order.Worker, o order.Start) (time.Duration, error) {
	m, err := c.reach(ctx, w)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lapse(m)
	if err := m.accept(o.Token); err != nil {
		return 0, err
	}
	key := crewKey{o.Task, o.Run}
	if _, ok := m.runs[key]; ok {
		return m.clock(), nil
	}
	if o.Run <= m.closed[o.Task] {
		return 0, &order.RejectedError{Worker: w.ID, Why: order.RejectStale, Clock: m.clock()}
	}
	if o.Until <= m.clock() {
		return 0, &order.RejectedError{Worker: w.ID, Why: order.RejectLate, Clock: m.clock()}
	}
	c.checkStart(m, key)
	c.renew(m, o.Until)
	c.begin(m, key, o.Saved)
	if m.deaf {
		m.deaf = false
		return 0, &order.UnansweredError{Worker: w.ID, Err: errCut}
	}
	return m.clock(), nil
}

// Deafen makes a worker carry its next start out without answering.
func (c *Crew) Deafen(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.members[id].deaf = true
}

func (c *Crew) checkStart(m *member, key crewKey) {
	if c.noted[key.task] {
		c.fault("%s run %d started on %s after its end was acknowledged", key.task, key.run, m.info.ID)
	}
	used := c.size[key.task.StepID]
	for other := range m.runs {
		used = used.Add(c.size[other.task.StepID])
	}
	if !used.Fits(m.info.Capacity) {
		c.fault("%s run %d started on %s beyond its room", key.task, key.run, m.info.ID)
	}
	for _, o := range c.members {
		c.lapse(o)
		for other := range o.runs {
			if other.task == key.task && !c.copies[key.task.StepID] {
				c.fault("%s run %d started on %s while run %d is on %s", key.task, key.run, m.info.ID, other.run, o.info.ID)
			}
		}
	}
}

func (c *Crew) begin(m *member, key crewKey, saved string) {
	c.starts++
	took, kind := time.Duration(0), order.EndDone
	if c.Work != nil {
		took, kind = c.Work(m.info.ID, key.task, key.run)
	}
	run := &crewRun{saved: saved}
	run.timer = time.AfterFunc(took, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if m.runs[key] == run && c.members[m.info.ID] == m {
			c.lapse(m)
			if m.runs[key] == run {
				c.end(m, key, kind)
			}
		}
	})
	m.runs[key] = run
}

func (c *Crew) end(m *member, key crewKey, kind order.EndKind) {
	r := m.runs[key]
	r.timer.Stop()
	delete(m.runs, key)
	m.closed[key.task] = max(m.closed[key.task], key.run)
	m.next++
	m.ended = append(m.ended, order.End{Number: m.next, Task: key.task, Run: key.run, Kind: kind, Saved: r.saved})
	if kind == order.EndDone {
		c.done[key.task] = true
	}
	close(m.change)
	m.change = make(chan struct{})
}

// Stop implements order.Workers.
func (c *Crew) Stop(ctx context.Context, w *order.Worker, o order.Stop) (time.Duration, error) {
	m, err := c.reach(ctx, w)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lapse(m)
	if err := m.accept(o.Token); err != nil {
		return 0, err
	}
	if _, ok := m.runs[crewKey{o.Task, o.Run}]; ok {
		c.end(m, crewKey{o.Task, o.Run}, order.EndStopped)
	}
	m.closed[o.Task] = max(m.closed[o.Task], o.Run)
	return m.clock(), nil
}

// Pace implements order.Workers.
func (c *Crew) Pace(ctx context.Context, w *order.Worker, o order.Pace) (time.Duration, error) {
	m, err := c.reach(ctx, w)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return m.clock(), m.accept(o.Token)
}

// Look implements order.Workers.
func (c *Crew) Look(ctx context.Context, w *order.Worker, o order.Look) (order.Report, error) {
	m, err := c.reach(ctx, w)
	if err != nil {
		return order.Report{}, err
	}
	deadline := time.NewTimer(o.Wait)
	defer deadline.Stop()
	for first := true; ; first = false {
		rep, change, err := c.look(m, o, first)
		if err != nil || len(rep.Ended) > 0 || o.Wait == 0 {
			return rep, err
		}
		select {
		case <-ctx.Done():
			return order.Report{}, &order.UnansweredError{Worker: w.ID, Err: ctx.Err()}
		case <-deadline.C:
			rep, _, err = c.look(m, o, false)
			return rep, err
		case <-change:
		}
	}
}

func (c *Crew) look(m *member, o order.Look, renew bool) (order.Report, <-chan struct{}, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lapse(m)
	if err := m.accept(o.Token); err != nil {
		return order.Report{}, nil, err
	}
	if renew && o.Until > 0 {
		c.renew(m, o.Until)
	}
	for len(m.ended) > 0 && m.ended[0].Number <= o.Acked {
		if m.ended[0].Kind == order.EndDone {
			c.noted[m.ended[0].Task] = true
		}
		m.ended = m.ended[1:]
	}
	rep := order.Report{Clock: m.clock(), Born: m.info.Born, Ended: append([]order.End(nil), m.ended...)}
	for key, r := range m.runs {
		rep.Running = append(rep.Running, order.Run{
			Task: key.task, Run: key.run, Saved: r.saved, Percent: 100, Gauge: float64(c.size[key.task.StepID].CPUMilli),
		})
	}
	return rep, m.change, nil
}

// Forget implements order.Workers.
func (c *Crew) Forget(*order.Worker) {}
