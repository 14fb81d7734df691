package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// Times of tasks and workers that fail.
const (
	// failPause keeps a task that failed from being tried again at once on the same fault.
	failPause = 50 * time.Millisecond
	// strikesUntilBench is how many failures in a row, of different jobs, bench a worker.
	strikesUntilBench = 3
	// benchTime is how long a benched worker gets no work.
	benchTime = 4 * time.Second
)

func (c *Cell) sawEnd(w *worker, e *order.End, now time.Time) {
	if e.Number <= w.seen {
		return
	}
	w.seen = e.Number
	c.stats.Ends[e.Kind]++
	key := runKey{e.Task, e.Run}
	if p, ok := w.placed[key]; ok {
		p.over = now
		c.logEnd(w, e, now.Sub(p.sent))
		c.release(p, e.Kind, e.Saved, now)
		return
	}
	c.lateEnd(w, e, now)
}

func (c *Cell) logEnd(w *worker, e *order.End, took time.Duration) {
	c.log.WithFields(logrus.Fields{
		fieldJob: e.Task.Job, fieldTask: e.Task.String(), fieldRun: e.Run, fieldWorker: w.info.ID, "end": e.Number, "how": e.Kind,
		fieldTook: took.Round(time.Millisecond).String(),
	}).Info("run ended")
}

// lateEnd takes the end of a run that is not placed here: one of an earlier scheduler, or one that was given up.
func (c *Cell) lateEnd(w *worker, e *order.End, now time.Time) {
	j := c.jobs[e.Task.Job]
	if j == nil {
		return
	}
	t := j.task(e.Task)
	if t == nil || t.done {
		return
	}
	c.logEnd(w, e, 0)
	if !j.recorded && e.Kind != order.EndDone && e.Kind != order.EndFailed {
		return
	}
	p := c.place(t, w, e.Run, now)
	c.release(p, e.Kind, e.Saved, now)
}

// settle applies the end of a run to its task and job.
func (c *Cell) settle(p *placement, kind order.EndKind, now time.Time) {
	t, s := p.task, p.task.step
	j := s.job
	switch kind {
	case order.EndDone:
		p.w.strikes, p.w.struckBy = 0, ""
		c.succeed(p, now)
	case order.EndFailed:
		c.fail(p, now)
	default:
		if !t.done {
			t.notBefore = now
		}
	}
	c.finishIfDone(j, now)
}

func (c *Cell) succeed(p *placement, now time.Time) {
	s := p.task.step
	if s.doc.Lasting {
		return
	}
	if !p.adopted && p.saved == "" && p.percent == 100 && !p.confirmed.IsZero() && p.task.run == p.run {
		c.learned.observe(s.job.doc.Queue, s.doc, now.Sub(p.sent))
		c.paceOf(p, now)
	}
	if !s.doc.Gang {
		c.markDone(p.task)
		for _, other := range p.task.placed {
			c.unwant(other)
		}
		return
	}
	for _, t := range s.tasks {
		c.markDone(t)
	}
}

func (c *Cell) fail(p *placement, now time.Time) {
	t, s := p.task, p.task.step
	j := s.job
	t.notBefore = now.Add(failPause)
	c.strike(p.w, j.doc.ID, now)
	if t.avoid == nil {
		t.avoid = map[string]bool{}
	}
	t.avoid[p.w.info.ID] = true
	if s.doc.Lasting || t.done || slices.Contains(t.failed, p.run) {
		return
	}
	t.failed = append(t.failed, p.run)
	failed := s.failures(t)
	if failed >= j.doc.Attempts && !j.state.Over() {
		c.end(j, graph.Failed, fmt.Sprintf("task %s failed %d times", t.id, failed), now)
	}
}

// failures returns how many runs of a task have failed; a run of a gang counts once however many members report it.
func (s *step) failures(t *task) int {
	if !s.doc.Gang {
		return len(t.failed)
	}
	runs := map[int]bool{}
	for _, m := range s.tasks {
		for _, run := range m.failed {
			runs[run] = true
		}
	}
	return len(runs)
}

// strike counts a failure against a worker, and benches one that fails all it starts; a job that fails everywhere counts
// once in a row.
func (c *Cell) strike(w *worker, job string, now time.Time) {
	if w.struckBy == job {
		return
	}
	w.struckBy = job
	w.strikes++
	if w.strikes >= strikesUntilBench && now.After(w.benched) {
		w.benched = now.Add(benchTime)
		c.log.WithFields(logrus.Fields{fieldWorker: w.info.ID, "failures": w.strikes}).Warn("worker fails all that it starts")
	}
}
