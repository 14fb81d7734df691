package cell

import "time"

// location says where a run of a task may be. That of a lasting task is durable before the task is started, so that after a take-over it waits
// for that worker only. For other tasks, whose starts are frequent and must not wait for a commit, only the memory has it.
type location struct {
	// known says that a run can only be on worker, or nowhere if that is empty.
	known  bool
	worker string
}

// recordsLocations reports whether the locations of a step's tasks are durable before they are started.
func (s *step) recordsLocations() bool { return s.doc.LongRunning && !s.doc.Gang }

// locate records that a run of a task, and no other one, is or will be on a worker.
func (t *task) locate(w *worker) { t.location = location{known: true, worker: w.info.ID} }

// locateAdopted records that a run that an earlier scheduler started is on a worker. Beside an older run, a newer one may be elsewhere.
func (t *task) locateAdopted(w *worker, run int) {
	if run < t.lastRun {
		t.location = location{}
		return
	}
	t.locate(w)
}

// recordLocation makes a start wait until the location of its task is durable.
func (c *Cell) recordLocation(p *placement) {
	j := p.task.step.job
	if !p.task.step.recordsLocations() {
		return
	}
	c.markDirty(j)
	p.revision, j.awaitsRecord = j.revision, true
}

// StartRecorded reports whether a start may be sent as far as the record of its task's location is concerned.
func (c *Cell) StartRecorded(o StartOrder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return o.p.task.step.job.isDurable(o.p.revision)
}

// setLocationsKnown records that the runs of a job's tasks that are not placed here have ended.
func (j *job) setLocationsKnown() {
	j.locationsKnown = true
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			for t := range s.known {
				t.setLocationKnown()
			}
		}
	}
}

func (t *task) setLocationKnown() {
	switch {
	case t.location.known:
	case len(t.placements) == 0:
		t.location = location{known: true}
	case len(t.placements) == 1:
		t.locate(t.placements[0].w)
	}
}

// mayRunElsewhere reports whether an earlier scheduler may have started a task on a worker that has not reported yet. A scheduler that
// left no record of the job's progress has started none of its tasks.
func (c *Cell) mayRunElsewhere(t *task, exclusive bool, now time.Time) bool {
	switch {
	case !t.step.job.restored || !c.awaitingReports:
		return false
	case !t.step.recordsLocations() || !t.location.known:
		return true
	default:
		return c.isUnreported(t.location.worker, exclusive, now)
	}
}

// isUnreported reports whether a worker that an earlier scheduler used has not reported all its runs and ends under this scheduler's token, and
// may still have its runs, or those of a later one. Nothing was started on workers that are not in the record.
func (c *Cell) isUnreported(id string, exclusive bool, now time.Time) bool {
	until, expected := c.expectedWorkers[id]
	if !expected {
		return false
	}
	w, ok := c.workers[id]
	if ok && w.reported {
		return false
	}
	if ok && w.polled && c.runsUntil(w).After(until) {
		// It lists its other ends once those that it has listed are acknowledged.
		until = c.runsUntil(w)
	}
	return now.Before(until) || !exclusive
}

// setLocationsKnown records that the runs of all tasks are known or have ended.
func (c *Cell) setLocationsKnown() {
	for _, j := range c.jobs {
		j.setLocationsKnown()
	}
}
