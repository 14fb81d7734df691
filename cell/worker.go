package cell

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Times of looking at workers.
const (
	// lookWait is how long a worker may hold its answer back when nothing ends.
	lookWait = 1000 * time.Millisecond
	// lookWaitServing is shorter, so that the gauges of serving tasks beside filling ones are fresh.
	lookWaitServing = 400 * time.Millisecond
	// missesUntilSuspect is how many looks may fail before a worker's leases are no longer renewed.
	missesUntilSuspect = 2
	// foreignGrace is how long a run of a job that is not known here is left alone.
	foreignGrace = 1500 * time.Millisecond
	// clockDrift is by how much of the time passed a worker's clock may be behind.
	clockDrift = 0.02
	// idlePause is how long a worker with nothing on it is left alone at most.
	idlePause = 5 * time.Second
	// unackedPause is how long a worker is left alone while an end that it told is made durable.
	unackedPause = 500 * time.Millisecond
	// ackPause spaces looks that may not acknowledge yet, since the worker tells its ends again at once.
	ackPause = 30 * time.Millisecond
	// confirmAfter is how old a confirmed start must be before its absence from a report means that the run is gone.
	confirmAfter = 300 * time.Millisecond
)

// runKey names a run.
type runKey struct {
	task graph.TaskID
	run  int
}

// placement is a run that is on a worker, or may be.
type placement struct {
	task *task
	w    *worker
	run  int
	size unit.Size
	sent time.Time
	// confirmed is when the worker answered for the run; zero while it may or may not have arrived.
	confirmed time.Time
	// adopted says that an earlier scheduler started the run, at a time that is not known here.
	adopted  bool
	unwanted bool
	stopSent time.Time
	stopped  bool
	saved    string
	savedAt  time.Time
	percent  int
	paced    int
	gauge    float64
	// zeroSince is since when the run's pace is 0.
	zeroSince time.Time
	// stillSince is since when the run has used no processor.
	stillSince time.Time
	over       time.Time
}

// worker is a worker of the group, with what is on it.
type worker struct {
	info   order.Worker
	listed bool
	used   unit.Size
	placed map[runKey]*placement
	// closeOff are runs whose start may still arrive and has to be refused.
	closeOff []order.Stop
	foreign  map[runKey]time.Time
	seen     uint64
	acked    uint64
	ackSent  uint64
	clock    time.Duration
	clockAt  time.Time
	// lifeInDoubt says that an answer may have come from another life; the next report tells.
	lifeInDoubt bool
	// known says that this life was looked at under this scheduler's token.
	known    bool
	renewed  time.Time
	rebornAt time.Time
	// heardAt is when the last report came.
	heardAt time.Time
	// doubted is since when an order has had no answer for unusually long.
	doubted time.Time
	misses  int
	missed  time.Time
	strikes int
	// struckBy is the job that failed here last.
	struckBy string
	benched  time.Time
	// pacedAt is when the pace of filling tasks was last considered.
	pacedAt time.Time
	slow    int
	slowAt  time.Time
	// ratio is by which share runs take longer here than on the other workers; negative on a fast one.
	ratio float64
	// leaves is when a draining worker may be gone.
	leaves time.Time
	// plan is the number of the last plan in which the worker may get work.
	plan uint64
	// heldFor is the gang for which the worker is kept until heldUntil.
	heldFor   *step
	heldUntil time.Time
	wake      chan struct{}
	first     time.Time
}

func (w *worker) kick() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// SetWorkers replaces the list of the registry.
func (c *Cell) SetWorkers(list []order.Worker, now time.Time) (added []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	named := map[string]bool{}
	for i := range list {
		named[list[i].ID] = true
		if c.setWorker(list[i], now) {
			added = append(added, list[i].ID)
		}
	}
	for id, w := range c.workers {
		if !named[id] {
			c.unlist(w)
		}
	}
	return added
}

// SetWorker takes one changed entry of the registry and reports whether the worker is new here.
func (c *Cell) SetWorker(info order.Worker, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setWorker(info, now)
}

// Unlist takes a worker out of those that get work.
func (c *Cell) Unlist(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.workers[id]; ok {
		c.unlist(w)
	}
}

func (c *Cell) unlist(w *worker) {
	if w.listed {
		c.log.WithFields(logrus.Fields{fieldWorker: w.info.ID, fieldPlaced: len(w.placed)}).Info("worker left the registry")
	}
	w.listed = false
	w.kick()
}

func (c *Cell) setWorker(info order.Worker, now time.Time) bool {
	w, ok := c.workers[info.ID]
	if !ok {
		w = &worker{
			info: info, placed: map[runKey]*placement{}, foreign: map[runKey]time.Time{}, wake: make(chan struct{}, 1),
			listed: true, first: now,
		}
		w.noteDrain(now)
		c.workers[info.ID] = w
		c.log.WithFields(logrus.Fields{fieldWorker: info.ID, "rack": info.Rack, "draining": info.Draining}).Info("worker listed")
		return true
	}
	if !info.Born.Equal(w.info.Born) {
		if info.Born.Before(w.info.Born) {
			// The entry is older than what the worker has told itself, but it is there.
			w.listed = true
			return false
		}
		c.reborn(w, info.Born, now)
	}
	if info.Draining != w.info.Draining {
		c.log.WithFields(logrus.Fields{
			fieldWorker: info.ID, "draining": info.Draining, "remaining": info.Remaining.String(), fieldPlaced: len(w.placed),
		}).Info("worker changed its state")
	}
	w.info, w.listed = info, true
	w.noteDrain(now)
	w.kick()
	return false
}

// place records a run on a worker, and takes its room.
func (c *Cell) place(t *task, w *worker, run int, now time.Time) *placement {
	p := &placement{task: t, w: w, run: run, size: roomOf(t.step.doc), sent: now, percent: fullPace, paced: fullPace}
	if t.waits() {
		t.step.free--
	}
	t.placed = append(t.placed, p)
	t.run = max(t.run, run)
	t.step.perWorker[w]++
	t.step.job.placed++
	t.step.job.started = true
	w.used = w.used.Add(p.size)
	w.placed[runKey{t.id, run}] = p
	if t.step.doc.Copies && !t.step.doc.Gang && !t.step.doc.Lasting {
		c.copyable[t.step.id] = t.step
	}
	c.countYielding(t.step, 1)
	if t.step.urgent() && !t.step.doc.Lasting {
		c.demand.took(p.size, 1)
	}
	c.refresh(t.step, now)
	w.kick()
	return p
}

// roomOf returns what a task takes of a worker; filling tasks take no processors from others.
func roomOf(s *graph.Step) unit.Size {
	size := s.Size
	if s.Fills {
		size.CPUMilli = 0
	}
	return size
}

// release gives a run's room back and settles what its end means.
func (c *Cell) release(p *placement, kind order.EndKind, saved string, now time.Time) {
	t, w, s := p.task, p.w, p.task.step
	j := s.job
	delete(w.placed, runKey{t.id, p.run})
	delete(c.unwanted, p)
	delete(c.repace, p)
	w.used = w.used.Sub(p.size)
	c.countYielding(s, -1)
	if s.urgent() && !s.doc.Lasting {
		c.demand.took(p.size, -1)
	}
	if s.perWorker[w]--; s.perWorker[w] <= 0 {
		delete(s.perWorker, w)
	}
	t.placed = slices.DeleteFunc(t.placed, func(o *placement) bool { return o == p })
	j.placed--
	if saved != "" {
		t.saved = saved
	}
	if t.waits() {
		s.free++
	}
	c.touch(j)
	c.settle(p, kind, now)
	if t.waits() && s.doc.Gang {
		c.breakGang(s, p.run)
	}
	c.refresh(s, now)
	for _, next := range s.unblocks {
		c.refresh(next, now)
	}
	if j.state.Over() && j.placed == 0 {
		if _, durable := c.over[j.doc.ID]; durable {
			c.forget(j)
		}
	}
}

// breakGang asks for the end of the other members of a run that can no longer succeed.
func (c *Cell) breakGang(s *step, run int) {
	for _, t := range s.tasks {
		for _, p := range t.placed {
			if p.run <= run {
				c.unwant(p)
			}
		}
	}
}
