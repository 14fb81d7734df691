package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
)

// job is an accepted job that is not over, or whose end is not durable yet.
type job struct {
	doc   *graph.Job
	state graph.State
	// version is the version of the durable progress; 0 means that there is none.
	version uint64
	// changes counts changes of the progress, so that a commit knows what it covers.
	changes   uint64
	cancelled bool
	started   bool
	reason    string
	rounds    []*round
	left      int
	placed    int
	// recorded says that another scheduler left a record of the job, and may have started tasks of it.
	recorded bool
	lasts    bool
}

// round is one occurrence of a job's steps.
type round struct {
	number int
	due    time.Time
	steps  []*step
	left   int
	// objective and rest are the time in which the occurrence is to be completed, and that which its work still takes, as of
	// rankedAt.
	objective time.Duration
	rest      time.Duration
	rankedAt  time.Time
}

// step is a step of one occurrence.
type step struct {
	id      graph.StepID
	job     *job
	doc     *graph.Step
	tasks   []*task
	blocked int
	left    int
	// free is the number of tasks that wait for a worker.
	free      int
	ready     bool
	perWorker map[*worker]int
	permits   map[string]permit
	asking    bool
	askAfter  time.Time
	// ticketsUntil is when the tickets of a step that waits for room are looked at again.
	ticketsUntil time.Time
	unblocks     []*step
	readyAt      time.Time
	// preempted is until when room that was asked of others is awaited.
	preempted time.Time
	// sought is when runs to stop were last looked for.
	sought time.Time
	// took holds the run times of tasks that are done.
	took []time.Duration
}

// task is one task of a step.
type task struct {
	id   graph.TaskID
	step *step
	done bool
	run  int
	// failed lists the runs that failed, and avoid the workers on which they did.
	failed []int
	avoid  map[string]bool
	saved  string
	// placed are the runs that may be on workers; more than one only for copies.
	placed []*placement
	// notBefore keeps a task from being started again at once.
	notBefore time.Time
}

func (t *task) waits() bool { return !t.done && len(t.placed) == 0 }

// visible returns the state that callers may be shown: an end only once it is durable.
func (j *job) visible() graph.State {
	switch {
	case j.cancelled:
		return graph.Cancelled
	case j.started:
		return graph.Running
	default:
		return graph.Queued
	}
}

// chain returns the longest chain of work of a job, from the steps that are left if only those count.
func (j *job) chain(l *learned, r *round) time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.doc.Steps))
	for i := range j.doc.Steps {
		s := &j.doc.Steps[i]
		var start time.Duration
		for _, dep := range s.After {
			start = max(start, ends[dep])
		}
		ends[i] = start
		if r == nil || r.steps[i].left > 0 {
			ends[i] += l.expected(j.doc.Queue, s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// objective returns how soon the job should be completed to be worth its full value.
func (j *job) objective(l *learned) time.Duration {
	return time.Duration(j.doc.Stretch*float64(j.chain(l, nil))) + j.doc.Objective
}

// begin returns from when the time of a round counts.
func (j *job) begin(r *round) time.Time {
	if !r.due.IsZero() {
		return r.due
	}
	return j.doc.Accepted
}

// AddOver takes a job that is over by its durable progress.
func (c *Cell) AddOver(id string, progress *graph.Progress, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, known := c.jobs[id]
	if _, over := c.over[id]; !known && !over {
		c.over[id] = finished{progress.State, progress.Queue, now}
	}
}

// Add takes an accepted job that is not over, with its durable progress if there is any; a job that is known is left as it is.
func (c *Cell) Add(doc *graph.Job, progress *graph.Progress, version uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.over[doc.ID]; ok {
		return
	}
	if _, ok := c.jobs[doc.ID]; ok {
		return
	}
	j := &job{doc: doc, state: graph.Queued, version: version, recorded: progress != nil, lasts: doc.Lasts()}
	c.jobs[doc.ID] = j
	c.build(j)
	if progress != nil {
		c.restore(j, progress)
	}
	for _, r := range j.rounds {
		for _, s := range r.steps {
			c.refresh(s, now)
		}
	}
	c.log.WithFields(logrus.Fields{
		fieldJob: doc.ID, "queue": doc.Queue, "steps": len(doc.Steps), "age": now.Sub(doc.Accepted).Round(time.Millisecond).String(),
		"restored": progress != nil,
	}).Info("job taken")
	c.finishIfDone(j, now)
}

// Cancel ends a job; its runs are stopped.
func (c *Cell) Cancel(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	if !ok || j.cancelled || j.state.Over() {
		return
	}
	c.log.WithFields(logrus.Fields{fieldJob: id, fieldPlaced: j.placed}).Info("job cancelled")
	j.cancelled = true
	c.end(j, graph.Cancelled, "cancelled by its caller", now)
}

func (c *Cell) build(j *job) {
	for k := range j.doc.Occurrences() {
		r := &round{number: k, due: j.doc.Due(k), left: len(j.doc.Steps)}
		for i := range j.doc.Steps {
			doc := &j.doc.Steps[i]
			s := &step{
				id: graph.StepID{Job: j.doc.ID, Occurrence: k, Step: i}, job: j, doc: doc, blocked: len(doc.After),
				left: doc.Count, free: doc.Count, perWorker: map[*worker]int{}, permits: map[string]permit{},
			}
			s.tasks = make([]*task, doc.Count)
			for n := range s.tasks {
				s.tasks[n] = &task{id: graph.TaskID{StepID: s.id, Index: n}, step: s}
			}
			for _, dep := range doc.After {
				r.steps[dep].unblocks = append(r.steps[dep].unblocks, s)
			}
			r.steps = append(r.steps, s)
		}
		j.rounds = append(j.rounds, r)
	}
	j.left = len(j.rounds)
}

func (c *Cell) restore(j *job, p *graph.Progress) {
	j.started = len(p.Done) > 0 || len(p.Marks) > 0
	for _, m := range p.Marks {
		if t := j.task(graph.TaskID{StepID: graph.StepID{Job: j.doc.ID, Occurrence: m.Occurrence, Step: m.Step}, Index: m.Index}); t != nil {
			t.run, t.failed, t.saved = m.Run, m.Failed, m.Saved
		}
	}
	for _, d := range p.Done {
		for _, r := range d.Ranges {
			for i := r[0]; i < r[1]; i++ {
				t := j.task(graph.TaskID{StepID: graph.StepID{Job: j.doc.ID, Occurrence: d.Occurrence, Step: d.Step}, Index: i})
				if t != nil && !t.done {
					c.markDone(t)
				}
			}
		}
	}
}

func (j *job) task(id graph.TaskID) *task {
	if id.Occurrence >= len(j.rounds) || id.Step >= len(j.doc.Steps) {
		return nil
	}
	s := j.rounds[id.Occurrence].steps[id.Step]
	if id.Index >= len(s.tasks) {
		return nil
	}
	return s.tasks[id.Index]
}

// markDone counts a task as done and unblocks the steps that wait for its step.
func (c *Cell) markDone(t *task) {
	s := t.step
	if t.done {
		return
	}
	if t.waits() {
		s.free--
	}
	t.done = true
	s.left--
	if s.left > 0 {
		return
	}
	s.job.rounds[s.id.Occurrence].rankedAt = time.Time{}
	r := s.job.rounds[s.id.Occurrence]
	r.left--
	if r.left == 0 {
		s.job.left--
	}
	for _, next := range s.unblocks {
		next.blocked--
	}
}

// refresh puts a step among those to be placed, or takes it out.
func (c *Cell) refresh(s *step, now time.Time) {
	r := s.job.rounds[s.id.Occurrence]
	s.ready = s.blocked == 0 && !s.job.state.Over()
	if s.ready && !r.due.IsZero() && now.Before(r.due) {
		s.ready = false
	}
	if s.ready && s.readyAt.IsZero() {
		s.readyAt = now
	}
	waitsForTime := s.blocked == 0 && !s.ready && !s.job.state.Over()
	if (s.ready || waitsForTime) && s.free > 0 {
		c.open[s.id] = s
		return
	}
	delete(c.open, s.id)
}

func (c *Cell) touch(j *job) {
	j.changes++
	c.dirty[j.doc.ID] = j
}

// end settles a job's state; it is shown once it is durable.
func (c *Cell) end(j *job, state graph.State, reason string, now time.Time) {
	j.state, j.reason = state, reason
	for _, r := range j.rounds {
		for _, s := range r.steps {
			c.refresh(s, now)
			for _, t := range s.tasks {
				for _, p := range t.placed {
					c.unwant(p)
				}
			}
		}
	}
	c.touch(j)
}

func (c *Cell) finishIfDone(j *job, now time.Time) {
	if j.left == 0 && !j.state.Over() {
		c.end(j, graph.Completed, "", now)
	}
}
