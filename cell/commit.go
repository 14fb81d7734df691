package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
)

// Change is the progress of one job that has to become durable.
type Change struct {
	Job      string
	Progress *graph.Progress
	// Version is the version of the durable progress that it replaces.
	Version  uint64
	revision uint64
}

// Batch is the content of one transaction.
type Batch struct {
	Changes []Change
}

// pendingEnd is an end that may be acknowledged once its job's progress is durable up to a revision.
type pendingEnd struct {
	number   uint64
	job      *job
	revision uint64
}

// recordEnd records a received end; j is its job, or nil if the job is not known here.
func (w *worker) recordEnd(number uint64, j *job) {
	w.lastEndSeen = number
	if j != nil {
		w.pendingEnds = append(w.pendingEnds, pendingEnd{number, j, j.revision})
	}
}

// updateDurableEnds updates up to which end all received ends are durable.
func (w *worker) updateDurableEnds() {
	n := 0
	for n < len(w.pendingEnds) && w.pendingEnds[n].job.isDurable(w.pendingEnds[n].revision) {
		n++
	}
	w.pendingEnds = slices.Delete(w.pendingEnds, 0, n)
	durable := w.lastEndSeen
	if len(w.pendingEnds) > 0 {
		durable = w.pendingEnds[0].number - 1
	}
	if durable > w.lastEndDurable {
		w.lastEndDurable = durable
		w.wakeUp()
	}
}

// isDurable reports whether a job's progress is durable up to a revision; that of a dropped job need not be.
func (j *job) isDurable(revision uint64) bool { return j.dropped || j.durableRevision >= revision }

// Dirty reports whether there is progress that is not durable, and whether committing it is urgent: a job has ended, or can't
// start, or start a lasting task, before it has a durable record.
func (c *Cell) Dirty() (dirty, urgent bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, j := range c.dirty {
		if j.setAside {
			continue
		}
		if j.state.Terminal() || j.version == 0 || j.awaitsRecord {
			return true, true
		}
		dirty = true
	}
	return dirty, false
}

// SetAside sets whether a job's progress is left out of commits.
func (c *Cell) SetAside(id string, aside bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j, ok := c.jobs[id]; ok {
		j.setAside = aside
	}
}

// Collect returns at most n changes: first those that starts wait for, then ended jobs, and then the others.
func (c *Cell) Collect(n int) Batch {
	c.mu.Lock()
	defer c.mu.Unlock()
	var b Batch
	ids := slices.Sorted(maps.Keys(c.dirty))
	for class := range numCommitClasses {
		for _, id := range ids {
			if len(b.Changes) >= n {
				return b
			}
			if j := c.dirty[id]; !j.setAside && j.commitClass() == class {
				b.Changes = append(b.Changes, Change{id, j.progress(c.token), j.version, j.revision})
			}
		}
	}
	return b
}

// The classes of progress, in the order of their commits. After an outage of the table there are hundreds of changes, of which a commit takes
// some fifty.
const (
	commitForStart = iota
	commitEnded
	commitOther
	numCommitClasses
)

func (j *job) commitClass() int {
	switch {
	case j.state.Terminal():
		return commitEnded
	case j.version == 0 || j.awaitsRecord:
		return commitForStart
	default:
		return commitOther
	}
}

// Committed records that a batch is durable at a version.
func (c *Cell) Committed(b Batch, version uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, ch := range b.Changes {
		j, ok := c.jobs[ch.Job]
		if !ok {
			continue
		}
		if j.version == 0 {
			j.retryNow()
		}
		j.version, j.durableRevision = version, ch.revision
		if j.revision == ch.revision {
			delete(c.dirty, ch.Job)
			j.awaitsRecord = false
		}
		if ch.Progress.State.Terminal() {
			if _, counted := c.finished[ch.Job]; !counted && c.settings.OnFinished != nil {
				c.settings.OnFinished(j.doc.Team, ch.Progress.State)
			}
			c.keepFinished(ch.Job, finishedJob{ch.Progress.State, j.doc.Queue, j.doc.Team, now})
			c.teamLog(j.doc.Team).WithFields(logrus.Fields{
				fieldJob: ch.Job, "queue": j.doc.Queue, "state": ch.Progress.State, "reason": ch.Progress.Reason,
				fieldTook: now.Sub(j.doc.AcceptedAt).Round(time.Millisecond).String(),
			}).Info("job over")
			if j.numPlaced == 0 {
				c.dropJob(j)
			}
		}
	}
	for _, w := range c.workers {
		w.updateDurableEnds()
	}
}

// teamLog returns the log for lines about a job of a team; those about jobs without a team don't name one.
func (c *Cell) teamLog(team string) logrus.FieldLogger {
	if team == "" {
		return c.log
	}
	return c.log.WithField("team", team)
}

// retryNow lets the next plan try the job's steps.
func (j *job) retryNow() {
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			s.retryAt = time.Time{}
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

// dropJob drops a job whose final state is durable and that has no placements.
func (c *Cell) dropJob(j *job) {
	if !j.dropped {
		c.jobBytes.Add(-j.doc.MemoryBytes())
		c.longRunningTasks.Add(-j.doc.LongRunningTasks())
	}
	j.dropped = true
	delete(c.jobs, j.doc.ID)
	delete(c.dirty, j.doc.ID)
	delete(c.scheduled, j.doc.ID)
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			s.countKnown(-s.knownTasks)
			delete(c.stepsToPlace, s.id)
			delete(c.speculativeSteps, s.id)
		}
	}
}

// maxListedSteps is up to how many completed steps a record lists one by one, as earlier versions read it; the list then has half a row at most.
const maxListedSteps = 1000

// listCompleted lists all tasks of the completed occurrences.
func (j *job) listCompleted() []graph.DoneTasks {
	var list []graph.DoneTasks
	for _, r := range j.completed {
		for number := r[0]; number < r[1]; number++ {
			for i := range j.doc.Steps {
				list = append(list, graph.DoneTasks{Occurrence: number, Step: i, Ranges: [][2]int{{0, j.doc.Steps[i].Count}}})
			}
		}
	}
	return list
}

func (j *job) progress(token uint64) *graph.Progress {
	p := &graph.Progress{State: j.state, Queue: j.doc.Queue, Team: j.doc.Team, Reason: j.reason}
	if j.state.Terminal() {
		return p
	}
	if j.longRunning {
		p.Token = token
	}
	if j.started {
		p.State = graph.Running
	}
	if j.completed.Len()*len(j.doc.Steps) <= maxListedSteps {
		p.Done.Tasks = j.listCompleted()
	} else {
		p.Done.Occurrences = slices.Clone(j.completed)
	}
	for _, occ := range j.occurrences {
		if occ.numUnfinished == 0 {
			continue
		}
		for _, s := range occ.steps {
			var done []int
			for i, t := range s.tasks {
				switch {
				case s.isDone(i):
					done = append(done, i)
				case t == nil:
				case t.lastRun > 0 || (s.recordsLocations() && !t.location.known):
					p.Tasks = append(p.Tasks, t.record())
				}
			}
			if len(done) > 0 {
				p.Done.Tasks = append(p.Done.Tasks, graph.DoneTasks{Occurrence: occ.number, Step: s.id.Step, Ranges: graph.Ranges(done)})
			}
		}
	}
	return p
}

func (t *task) record() graph.TaskRecord {
	id := t.id
	r := graph.TaskRecord{
		Occurrence: id.Occurrence, Step: id.Step, Index: id.Index, LastRun: t.lastRun, FailedRuns: t.failedRuns, Checkpoint: t.checkpoint,
	}
	if t.step.recordsLocations() {
		r.Worker, r.Anywhere = t.location.worker, !t.location.known
	}
	return r
}
