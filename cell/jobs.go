package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
)

// job is an accepted job that has not finished, or whose end is not durable yet.
type job struct {
	doc   *graph.Job
	state graph.State
	// version is the version of the durable progress; 0 means that there is none.
	version uint64
	// revision counts changes of the progress, so that a commit knows which ones it covers, and durableRevision is the last
	// one that is durable.
	revision        uint64
	durableRevision uint64
	// dropped says that the job is finished and is not kept here any more.
	dropped   bool
	cancelled bool
	// started says that a task of the job is known to have started.
	started bool
	reason  string
	// occurrences holds the open occurrences by number, and completed the numbers of those that are completed.
	occurrences []*occurrence
	completed   graph.RangeSet
	// nextOccurrence is the first occurrence that is neither open nor completed.
	nextOccurrence int
	// numPlaced is the number of placements, and numWaiting that of waiting tasks of open occurrences.
	numPlaced  int
	numWaiting int
	// restored says that another scheduler left a record of the job, and may have started tasks of it.
	restored bool
	// locationsKnown says that the runs of all tasks that are not placed have ended.
	locationsKnown bool
	// lastingFailedOn is the worker on which a lasting task of the job failed first, and lastingFailsElsewhere says that one failed on another too.
	lastingFailedOn       string
	lastingFailsElsewhere bool
	// awaitsRecord says that a start waits for the job's progress to be durable.
	awaitsRecord bool
	// setAside says that the job's progress is left out of commits.
	setAside    bool
	longRunning bool
	// needsTickets says that a worker has rejected a start for its ticket.
	needsTickets bool
	// idleSteps holds the steps whose tasks were found to be idle on several workers.
	idleSteps map[int]bool
	// beyondRate says that the job's team sent it beyond its rate.
	beyondRate bool
	// work is the job's work when it was first considered, in seconds of the group's capacity, and sizeClass how that compares with other jobs.
	work      float64
	sizeClass sizeClass
	// sensitive says that a delay of some hundred milliseconds may make the job miss its objective.
	sensitive bool
	// knownTasks counts the tasks of the job of which something is known, and inAll those of all jobs.
	knownTasks int64
	inAll      *taskCounter
}

// occurrence is one occurrence of a job's steps.
type occurrence struct {
	number int
	due    time.Time
	steps  []*step
	// numUnfinished is the number of unfinished steps, and numPlaced that of placements.
	numUnfinished int
	numPlaced     int
	// objective is the time in which the occurrence should be completed, and remaining the time that its work still takes,
	// both as of rankedAt.
	objective time.Duration
	remaining time.Duration
	rankedAt  time.Time
	// deferred says that the occurrence gives way to those that can meet their objective.
	deferred bool
	// chosen says that the occurrence, which had not started then, was to meet its objective by the last choice.
	chosen bool
	// value is what is at stake for the occurrence per unit of the work that is left.
	value float64
	// counted says that whether the occurrence was in time has been counted.
	counted bool
}

// step is a step of one occurrence.
type step struct {
	id                graph.StepID
	job               *job
	occ               *occurrence
	doc               *graph.Step
	tasks             []*task
	numUnfinishedDeps int
	// numUnfinished is the number of unfinished tasks.
	numUnfinished int
	// numWaiting is the number of tasks that wait for a worker.
	numWaiting int
	// knownTasks counts the tasks of which something is known.
	knownTasks int64
	ready      bool
	// numPerWorker holds the number of placements on each worker.
	numPerWorker map[*worker]int
	// permits holds the advisor's answers, and granted those that allow a worker.
	permits map[*worker]*permit
	granted []*permit
	// adviceInFlight holds the workers named by requests for advice that have not been answered, and numRequests the number of
	// these requests.
	adviceInFlight map[*worker]bool
	numRequests    int
	nextAdviceAt   time.Time
	// numFailedRequests is the number of requests for advice that failed since a task of the step was last started.
	numFailedRequests int
	// ticketsExpectedAt is when the tickets are expected that were requested for the reserved workers of a gang.
	ticketsExpectedAt time.Time
	// nextReservationAt is when the reservation of a gang is computed next.
	nextReservationAt time.Time
	// triedAt is when an attempt to place tasks last placed nothing, and retryAt until when the step is left out of plans.
	triedAt time.Time
	retryAt time.Time
	// nextTicketCheckAt is when the tickets of a step that waits for capacity are checked again.
	nextTicketCheckAt time.Time
	dependents        []*step
	readyAt           time.Time
	// agedAt is when the step, which was overdue, last counted as on time.
	agedAt time.Time
	// preemptWaitUntil is until when the step waits for capacity that it has preempted.
	preemptWaitUntil time.Time
	// lastVictimSearchAt is when runs to preempt were last searched for.
	lastVictimSearchAt time.Time
	// capRoomSince is since when the cap of its team has had room for a gang.
	capRoomSince time.Time
	// nextCapSearchAt is when runs of its team may be preempted for the step again, after a search has shown that its tasks find no worker.
	nextCapSearchAt time.Time
	// activity is that of the kind of the step's tasks; nil before it is first used.
	activity *activity
	// runTimes holds the run times of finished tasks.
	runTimes []time.Duration
}

// task is one task of a step.
type task struct {
	id      graph.TaskID
	step    *step
	done    bool
	lastRun int
	// failedRuns lists the runs that failed, and avoidWorkers the workers on which the last ones did, at most maxAvoided.
	failedRuns   []int
	avoidWorkers []string
	checkpoint   string
	// placements are the runs that may be on workers; more than one only with speculative copies.
	placements []*placement
	// notBefore is the earliest time of the next start.
	notBefore time.Time
	// idleSince is when the last run that was known here ended.
	idleSince time.Time
	// movedFrom is the worker from which the task was moved since it seemed to be stalled there.
	movedFrom *worker
	// location is where a run of a lasting task may be.
	location location
}

func (t *task) isWaiting() bool { return !t.done && len(t.placements) == 0 }

// visibleState returns the state that callers may be shown before the final state is durable. A cancellation is shown at once,
// since its mark is durable already.
func (j *job) visibleState() graph.State {
	switch {
	case j.cancelled:
		return graph.Cancelled
	case j.started:
		return graph.Running
	default:
		return graph.Queued
	}
}

// criticalPath returns the longest chain of expected run times of a job's steps; with an occurrence, only its unfinished
// steps count.
func (j *job) criticalPath(estimates *runTimeEstimator, occ *occurrence) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.doc.Steps))
	for i := range j.doc.Steps {
		s := &j.doc.Steps[i]
		var start time.Duration
		for _, dep := range s.After {
			start = max(start, ends[dep])
		}
		ends[i] = start
		if occ == nil || occ.steps[i].numUnfinished > 0 {
			ends[i] += estimates.estimate(j.doc.Queue, s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// objective returns how soon the job should be completed to have its full value.
func (j *job) objective(estimates *runTimeEstimator) time.Duration {
	return time.Duration(j.doc.Stretch*float64(j.criticalPath(estimates, nil))) + j.doc.Objective
}

// maxSensitiveSlack is the slack up to which a job counts as latency-sensitive: too short for preemption and a second attempt.
const maxSensitiveSlack = 1500 * time.Millisecond

// declaredSlack returns how much longer than its longest chain of declared run times the job may take.
func (j *job) declaredSlack() time.Duration {
	chain := j.criticalPath(&runTimeEstimator{}, nil)
	return time.Duration((j.doc.Stretch-1)*float64(chain)) + j.doc.Objective
}

// startTime returns the time from which the objective of an occurrence is counted.
func (j *job) startTime(occ *occurrence) time.Time {
	if !occ.due.IsZero() {
		return occ.due
	}
	return j.doc.AcceptedAt
}

// AddFinished adds a job that is finished according to its durable progress.
func (c *Cell) AddFinished(id string, progress *graph.Progress, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.jobs[id]
	if _, finished := c.finished[id]; !known && !finished {
		c.keepFinished(id, finishedJob{progress.State, progress.Queue, progress.Team, now})
	}
}

// Knows reports whether a job is known, finished or not.
func (c *Cell) Knows(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.jobs[id]
	_, finished := c.finished[id]
	return known || finished
}

// Add adds an accepted job that has not finished, with its durable progress if there is any; a known job is left unchanged.
func (c *Cell) Add(doc *graph.Job, progress *graph.Progress, version uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.addJob(doc, progress, version, now)
	if j == nil {
		return
	}
	c.schedule(j)
	c.openDueOf(j, now)
	c.finishIfDone(j, now)
}

// AddCancelled adds an accepted job that was cancelled before it was known here, so that its tasks need not be created.
func (c *Cell) AddCancelled(doc *graph.Job, progress *graph.Progress, version uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if j := c.addJob(doc, progress, version, now); j != nil {
		c.cancel(j, now)
	}
}

// addJob adds a job without its tasks, but for those of which its progress tells, and returns it; nil if it is known.
func (c *Cell) addJob(doc *graph.Job, progress *graph.Progress, version uint64, now time.Time) *job {
	if _, ok := c.finished[doc.ID]; ok {
		return nil
	}
	if _, ok := c.jobs[doc.ID]; ok {
		return nil
	}
	j := &job{
		doc: doc, state: graph.Queued, version: version, restored: progress != nil, longRunning: doc.LongRunning(), inAll: &c.knownTasks,
	}
	j.sensitive = !j.longRunning && j.declaredSlack() < maxSensitiveSlack
	c.jobs[doc.ID] = j
	c.jobBytes.Add(doc.MemoryBytes())
	c.longRunningTasks.Add(doc.LongRunningTasks())
	if doc.Team != "" {
		c.fairness.newJobs = append(c.fairness.newJobs, j)
	}
	if progress != nil {
		c.restore(j, progress, now)
	}
	c.teamLog(doc.Team).WithFields(logrus.Fields{
		fieldJob: doc.ID, "queue": doc.Queue, "steps": len(doc.Steps), "times": doc.Repetitions, "completed-times": j.completed.Len(),
		"age": now.Sub(doc.AcceptedAt).Round(time.Millisecond).String(), "restored": progress != nil,
	}).Info("job taken")
	return j
}

// Cancel cancels a job and requests a stop of its runs; known is false if the group has no such job.
func (c *Cell) Cancel(id string, now time.Time) (known bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	if !ok {
		_, finished := c.finished[id]
		return finished
	}
	if !j.cancelled && !j.state.Terminal() {
		c.cancel(j, now)
	}
	return true
}

func (c *Cell) cancel(j *job, now time.Time) {
	c.log.WithFields(logrus.Fields{fieldJob: j.doc.ID, fieldPlaced: j.numPlaced}).Info("job cancelled")
	j.cancelled = true
	c.finish(j, graph.Cancelled, "cancelled by its caller", now)
}

func (c *Cell) restore(j *job, p *graph.Progress, now time.Time) {
	j.started = p.State == graph.Running
	recorded := c.settings.RecordsSince > 0 && p.Token >= c.settings.RecordsSince
	j.locationsKnown = recorded
	for _, r := range p.Done.Occurrences {
		if r[1] <= j.doc.Occurrences() {
			j.completed = append(j.completed, r)
		}
	}
	for _, d := range p.Done.Tasks {
		for _, r := range d.Ranges {
			for i := r[0]; i < r[1]; i++ {
				id := graph.TaskID{StepID: graph.StepID{Job: j.doc.ID, Occurrence: d.Occurrence, Step: d.Step}, Index: i}
				if t := c.task(j, id, now); t != nil {
					c.markDone(t)
					t.dropIfDone()
				}
			}
		}
		if i, open := j.search(d.Occurrence); open {
			c.closeIfDone(j.occurrences[i])
		}
	}
	for _, m := range p.Tasks {
		id := graph.TaskID{StepID: graph.StepID{Job: j.doc.ID, Occurrence: m.Occurrence, Step: m.Step}, Index: m.Index}
		if j.completed.Contains(m.Occurrence) {
			continue
		}
		if t := c.task(j, id, now); t != nil {
			t.lastRun, t.failedRuns, t.checkpoint = m.LastRun, m.FailedRuns, m.Checkpoint
			t.location = location{known: recorded && !m.Anywhere, worker: m.Worker}
		}
	}
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			c.refresh(s, now)
		}
	}
}

// markDone counts a task as done and unblocks the steps that depend on its step.
func (c *Cell) markDone(t *task) {
	s := t.step
	if t.done {
		return
	}
	if t.isWaiting() {
		s.countWaiting(-1)
	}
	t.done = true
	s.numUnfinished--
	if s.numUnfinished > 0 {
		return
	}
	s.occ.rankedAt = time.Time{}
	s.occ.numUnfinished--
	if s.occ.numUnfinished == 0 {
		s.job.completed.Add(s.occ.number)
	}
	for _, dependent := range s.dependents {
		dependent.numUnfinishedDeps--
	}
}

// countWaiting adds n to the number of waiting tasks.
func (s *step) countWaiting(n int) {
	s.numWaiting += n
	s.job.numWaiting += n
}

// refresh adds a step to those that have tasks to place, or removes it.
func (c *Cell) refresh(s *step, now time.Time) {
	s.ready = s.numUnfinishedDeps == 0 && !s.job.state.Terminal()
	if s.ready && !s.occ.due.IsZero() && now.Before(s.occ.due) {
		s.ready = false
	}
	if s.ready && s.readyAt.IsZero() {
		s.readyAt = now
	}
	notDue := s.numUnfinishedDeps == 0 && !s.ready && !s.job.state.Terminal()
	if (s.ready || notDue) && s.numWaiting > 0 {
		c.stepsToPlace[s.id] = s
		return
	}
	delete(c.stepsToPlace, s.id)
}

func (c *Cell) markDirty(j *job) {
	j.revision++
	c.dirty[j.doc.ID] = j
}

// finish sets a job's terminal state, which is shown once it is durable, and requests a stop of its runs.
func (c *Cell) finish(j *job, state graph.State, reason string, now time.Time) {
	j.state, j.reason = state, reason
	delete(c.scheduled, j.doc.ID)
	if j.numWaiting > 0 {
		for required := range c.parked {
			c.unpark(required)
		}
	}
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			c.refresh(s, now)
			for t := range s.known {
				for _, p := range t.placements {
					c.requestStop(p)
				}
			}
		}
	}
	c.markDirty(j)
}

func (c *Cell) finishIfDone(j *job, now time.Time) {
	if j.completed.Len() == j.doc.Occurrences() && !j.state.Terminal() {
		c.finish(j, graph.Completed, "", now)
	}
}
