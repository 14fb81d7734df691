package cell

import (
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// Delays and limits after failures.
const (
	// retryDelay keeps a failed task from being retried at once on the same fault.
	retryDelay = 50 * time.Millisecond
	// failuresUntilQuarantine is how many consecutive failures, of different jobs, put a worker in quarantine.
	failuresUntilQuarantine = 3
	// failureQuarantine is how long a worker in quarantine after failures gets no work.
	failureQuarantine = 4 * time.Second
)

func (c *Cell) handleEnd(w *worker, e *order.End, now time.Time) {
	if e.Number <= w.lastEndSeen {
		return
	}
	c.stats.Ends[e.Kind]++
	j := c.jobs[e.Task.Job]
	if p, ok := w.placements[runKey{e.Task, e.Run}]; ok {
		p.task.step.job.started = true
		p.endedAt = now
		c.logEnd(w, e, now.Sub(p.sentAt))
		c.release(p, e.Kind, e.Checkpoint, now)
	} else {
		c.handleLateEnd(w, e, now)
	}
	w.recordEnd(e.Number, j)
}

func (c *Cell) logEnd(w *worker, e *order.End, runTime time.Duration) {
	c.log.WithFields(logrus.Fields{
		fieldJob: e.Task.Job, fieldTask: e.Task.String(), fieldRun: e.Run, fieldWorker: w.info.ID, "end": e.Number, "how": e.Kind,
		fieldTook: runTime.Round(time.Millisecond).String(),
	}).Info("run ended")
}

// handleLateEnd handles the end of a run that has no placement here: one of an earlier scheduler, or one that was given up.
func (c *Cell) handleLateEnd(w *worker, e *order.End, now time.Time) {
	j := c.jobs[e.Task.Job]
	if j == nil || j.completed.Contains(e.Task.Occurrence) {
		return
	}
	t := c.task(j, e.Task, now)
	if t == nil {
		return
	}
	if t.done {
		t.dropIfDone()
		return
	}
	c.logEnd(w, e, 0)
	if !j.restored && e.Kind != order.EndDone && e.Kind != order.EndFailed {
		return
	}
	j.started = true
	p := c.place(t, w, e.Run, now)
	c.release(p, e.Kind, e.Checkpoint, now)
}

// applyEnd applies the end of a run to its task and job.
func (c *Cell) applyEnd(p *placement, kind order.EndKind, now time.Time) {
	t, s := p.task, p.task.step
	j := s.job
	switch kind {
	case order.EndDone:
		p.w.consecutiveFailures, p.w.lastFailedJob = 0, ""
		c.succeed(p, now)
		if s.occ.numUnfinished == 0 {
			c.countOutcome(s.occ, !now.After(j.startTime(s.occ).Add(s.occ.objective)))
		}
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
	if s.doc.LongRunning {
		return
	}
	if !p.adopted && p.checkpoint == "" && p.reportedThrottle == 100 && !p.confirmedAt.IsZero() && p.task.lastRun == p.run {
		c.runTimes.observe(s.job.doc.Queue, s.doc, now.Sub(p.sentAt))
		c.recordRunTime(p, now)
	}
	if !s.doc.Gang {
		c.markDone(p.task)
		for _, other := range p.task.placements {
			c.requestStop(other)
		}
		return
	}
	for i := range s.tasks {
		t := s.task(i)
		c.markDone(t)
		t.dropIfDone()
	}
}

func (c *Cell) fail(p *placement, now time.Time) {
	t, s := p.task, p.task.step
	j := s.job
	t.notBefore = now.Add(retryDelay)
	if !s.doc.LongRunning || !j.failsElsewhere(p.w) {
		c.recordFailure(p.w, j.doc.ID, now)
	}
	t.avoid(p.w)
	if s.doc.LongRunning || t.done || slices.Contains(t.failedRuns, p.run) {
		return
	}
	t.failedRuns = append(t.failedRuns, p.run)
	failed := s.failedRuns(t)
	if failed >= j.doc.MaxAttempts && !j.state.Terminal() {
		c.finish(j, graph.Failed, fmt.Sprintf("task %s failed %d times", t.id, failed), now)
	}
}

// failedRuns returns how many runs of a task have failed; a run of a gang counts once however many members report it.
func (s *step) failedRuns(t *task) int {
	if !s.doc.Gang {
		return len(t.failedRuns)
	}
	runs := map[int]bool{}
	for m := range s.known {
		for _, run := range m.failedRuns {
			runs[run] = true
		}
	}
	return len(runs)
}

// failsElsewhere records that a lasting task of the job has failed on a worker, and reports whether some have failed on another one: such a failure
// says nothing about its worker.
func (j *job) failsElsewhere(w *worker) bool {
	if j.lastingFailedOn == "" {
		j.lastingFailedOn = w.info.ID
	}
	j.lastingFailsElsewhere = j.lastingFailsElsewhere || j.lastingFailedOn != w.info.ID
	return j.lastingFailsElsewhere
}

// recordFailure counts a failure against a worker, and quarantines a worker on which every job fails. Consecutive failures of
// the same job count once, since the job may fail everywhere.
func (c *Cell) recordFailure(w *worker, job string, now time.Time) {
	if w.lastFailedJob == job {
		return
	}
	w.lastFailedJob = job
	w.consecutiveFailures++
	if w.consecutiveFailures >= failuresUntilQuarantine && now.After(w.quarantinedUntil) {
		w.quarantinedUntil = now.Add(failureQuarantine)
		c.log.WithFields(logrus.Fields{fieldWorker: w.info.ID, "failures": w.consecutiveFailures}).Warn("worker quarantined after consecutive failures")
	}
}
