package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
)

// Limits of the waiting tasks in memory, since a job may be due any number of times at once. An occurrence is kept as a number until it is opened,
// which it is beyond these limits if nothing else of its job waits.
const (
	// maxWaitingTasks applies to the open occurrences of one job.
	maxWaitingTasks = 256
	// maxWaitingTasksInAll is shared equally by all jobs with occurrences that are not open yet.
	maxWaitingTasksInAll = 4096
)

// openDue opens the occurrences that are due, each job's in the order of their due times, and schedules the next plan for when others are. It
// reports whether it opened any.
func (c *Cell) openDue(plan *Plan, now time.Time) bool {
	opened := false
	for _, j := range c.scheduled {
		numOpen := len(j.occurrences)
		c.openDueOf(j, now)
		opened = opened || len(j.occurrences) > numOpen
		if j.nextOccurrence < j.doc.Occurrences() {
			if due := j.doc.Due(j.nextOccurrence); due.After(now) {
				plan.replanAt(due)
			}
		}
	}
	return opened
}

// openDueOf opens the occurrences of a job that are due, within the limits.
func (c *Cell) openDueOf(j *job, now time.Time) {
	limit := min(maxWaitingTasks, maxWaitingTasksInAll/max(1, len(c.scheduled)))
	numTasks := j.doc.NumTasks()
	for j.nextOccurrence < j.doc.Occurrences() && !now.Before(j.doc.Due(j.nextOccurrence)) {
		if j.numWaiting > 0 && j.numWaiting+numTasks > limit {
			return
		}
		c.open(j, j.nextOccurrence, now)
	}
	if j.nextOccurrence >= j.doc.Occurrences() {
		delete(c.scheduled, j.doc.ID)
	}
}

// schedule makes a job's occurrences be opened as they become due.
func (c *Cell) schedule(j *job) {
	j.skipOpened()
	if j.nextOccurrence < j.doc.Occurrences() && !j.state.Terminal() {
		c.scheduled[j.doc.ID] = j
	}
}

// skipOpened moves a job's next occurrence to the first that is neither open nor completed.
func (j *job) skipOpened() {
	for {
		n := j.completed.NextMissing(j.nextOccurrence)
		if _, open := j.search(n); open {
			n++
		}
		if n == j.nextOccurrence {
			return
		}
		j.nextOccurrence = n
	}
}

// search returns the index of an occurrence among the open ones, and whether it is open.
func (j *job) search(number int) (i int, open bool) {
	return slices.BinarySearchFunc(j.occurrences, number, func(o *occurrence, n int) int { return cmp.Compare(o.number, n) })
}

// open returns an occurrence, and creates its steps and tasks if it is not open. A completed one is opened for a run of it that is still on a
// worker, and is closed with the end of that run.
func (c *Cell) open(j *job, number int, now time.Time) *occurrence {
	i, open := j.search(number)
	if open {
		return j.occurrences[i]
	}
	occ := c.newOccurrence(j, number)
	j.occurrences = slices.Insert(j.occurrences, i, occ)
	if j.completed.Contains(number) {
		occ.complete()
	}
	for n, s := range occ.steps {
		j.numWaiting += s.numWaiting
		if i > 0 {
			c.followEarlier(s, j.occurrences[i-1].steps[n], now)
		}
		c.refresh(s, now)
	}
	j.skipOpened()
	return occ
}

func (c *Cell) newOccurrence(j *job, number int) *occurrence {
	occ := &occurrence{number: number, due: j.doc.Due(number), numUnfinished: len(j.doc.Steps)}
	for i := range j.doc.Steps {
		doc := &j.doc.Steps[i]
		s := &step{
			id: graph.StepID{Job: j.doc.ID, Occurrence: number, Step: i}, job: j, occ: occ, doc: doc, numUnfinishedDeps: len(doc.After),
			numUnfinished: doc.Count, numWaiting: doc.Count, numPerWorker: map[*worker]int{}, permits: map[*worker]*permit{}, adviceInFlight: map[*worker]bool{},
		}
		s.tasks = s.newTasks()
		for _, dep := range doc.After {
			occ.steps[dep].dependents = append(occ.steps[dep].dependents, s)
		}
		occ.steps = append(occ.steps, s)
	}
	return occ
}

// complete marks all tasks of a new occurrence as done.
func (o *occurrence) complete() {
	o.numUnfinished = 0
	for _, s := range o.steps {
		s.numUnfinished, s.numUnfinishedDeps, s.numWaiting = 0, 0, 0
		for i := range s.tasks {
			s.tasks[i] = doneTask
		}
		s.countKnown(-s.knownTasks)
	}
}

// closeIfDone drops the steps and tasks of a completed occurrence once no run of it is on a worker.
func (c *Cell) closeIfDone(occ *occurrence) {
	if occ.numUnfinished > 0 || occ.numPlaced > 0 {
		return
	}
	j := occ.steps[0].job
	if i, open := j.search(occ.number); open {
		j.occurrences = slices.Delete(j.occurrences, i, i+1)
	}
	for _, s := range occ.steps {
		s.countKnown(-s.knownTasks)
		delete(c.stepsToPlace, s.id)
		delete(c.speculativeSteps, s.id)
	}
}

// task returns a task of a job, whose occurrence it opens, or nil if the job has no such task.
func (c *Cell) task(j *job, id graph.TaskID, now time.Time) *task {
	if id.Occurrence >= j.doc.Occurrences() || id.Step >= len(j.doc.Steps) || id.Index >= j.doc.Steps[id.Step].Count {
		return nil
	}
	return c.open(j, id.Occurrence, now).steps[id.Step].task(id.Index)
}
