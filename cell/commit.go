package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
)

// Change is the progress of one job that has to become durable.
type Change struct {
	Job      string
	Progress *graph.Progress
	// Version is the version of the durable progress that it replaces.
	Version uint64
	changes uint64
}

// Batch is what one transaction makes durable, and the ends that may be acknowledged after it.
type Batch struct {
	Changes []Change
	acks    map[*worker]ackMark
}

type ackMark struct {
	born int64
	end  uint64
}

// Dirty reports whether there is progress that is not durable, and whether somebody waits for it: a job that has ended, or
// one of which nothing may be started yet.
func (c *Cell) Dirty() (some, urgent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.dirty {
		if j.state.Over() || j.version == 0 {
			return true, true
		}
	}
	return len(c.dirty) > 0, false
}

// Collect returns at most n changes, ended jobs first; ends are acknowledged only by a batch that holds all changes.
func (c *Cell) Collect(n int) Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b Batch
	take := func(over bool) {
		for id, j := range c.dirty {
			if len(b.Changes) >= n {
				return
			}
			if j.state.Over() == over {
				b.Changes = append(b.Changes, Change{id, j.progress(), j.version, j.changes})
			}
		}
	}
	take(true)
	take(false)
	if len(b.Changes) == len(c.dirty) {
		b.acks = map[*worker]ackMark{}
		for _, w := range c.workers {
			if w.seen > w.acked {
				b.acks[w] = ackMark{w.info.Born.UnixMilli(), w.seen}
			}
		}
	}
	return b
}

// Committed says that a batch is durable at a version.
func (c *Cell) Committed(b Batch, version uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ch := range b.Changes {
		j, ok := c.jobs[ch.Job]
		if !ok {
			continue
		}
		j.version = version
		if j.changes == ch.changes {
			delete(c.dirty, ch.Job)
		}
		if ch.Progress.State.Over() {
			c.over[ch.Job] = finished{ch.Progress.State, j.doc.Queue, now}
			c.log.WithFields(logrus.Fields{
				fieldJob: ch.Job, "queue": j.doc.Queue, "state": ch.Progress.State, "reason": ch.Progress.Reason,
				fieldTook: now.Sub(j.doc.Accepted).Round(time.Millisecond).String(),
			}).Info("job over")
			if j.placed == 0 {
				c.forget(j)
			}
		}
	}
	for w, mark := range b.acks {
		if w.info.Born.UnixMilli() == mark.born {
			w.acked = max(w.acked, mark.end)
			w.kick()
		}
	}
}

// Conflicted corrects the version of a job's durable progress after a commit whose answer was lost.
func (c *Cell) Conflicted(id string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j, ok := c.jobs[id]; ok {
		j.version = version
	}
}

// forget drops a job that is over, durable and nowhere on a worker.
func (c *Cell) forget(j *job) {
	delete(c.jobs, j.doc.ID)
	delete(c.dirty, j.doc.ID)
	for _, r := range j.rounds {
		for _, s := range r.steps {
			delete(c.open, s.id)
			delete(c.copyable, s.id)
		}
	}
}

func (j *job) progress() *graph.Progress {
	p := &graph.Progress{State: j.state, Queue: j.doc.Queue, Reason: j.reason}
	if j.state.Over() {
		return p
	}
	if j.started {
		p.State = graph.Running
	}
	for _, r := range j.rounds {
		for _, s := range r.steps {
			var done []int
			for i, t := range s.tasks {
				switch {
				case t.done:
					done = append(done, i)
				case t.run > 0:
					p.Marks = append(p.Marks, graph.TaskMark{
						Occurrence: r.number, Step: s.id.Step, Index: i, Run: t.run, Failed: t.failed, Saved: t.saved,
					})
				}
			}
			if len(done) > 0 {
				p.Done = append(p.Done, graph.DoneMark{Occurrence: r.number, Step: s.id.Step, Ranges: graph.Ranges(done)})
			}
		}
	}
	return p
}
