package cell

import (
	"slices"
	"strconv"
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/quota"
	"github.com/corianderdrift/corianderdrift/unit"
)

// WorkerReason is why a worker takes no task of a step.
type WorkerReason string

// The reasons, in the order in which they are tested; the first one that applies is counted. The reasons tooSmall and noRoom are followed by the name
// of a dimension of unit.Size.
const (
	WorkerLeft         WorkerReason = "left"
	WorkerDraining     WorkerReason = "draining"
	WorkerUnpolled     WorkerReason = "unpolled"
	WorkerUnrecorded   WorkerReason = "unrecorded"
	WorkerSuspected    WorkerReason = "suspected"
	WorkerQuarantined  WorkerReason = "quarantined"
	WorkerUnsettled    WorkerReason = "unsettled-runs"
	WorkerNoOldConn    WorkerReason = "no-old-connection"
	WorkerLabel        WorkerReason = "label"
	WorkerMaxPerWorker WorkerReason = "max-per-worker"
	WorkerHeldForGang  WorkerReason = "held-for-gang"
	WorkerDenied       WorkerReason = "denied"
	WorkerNoTicket     WorkerReason = "no-ticket"

	tooSmall = "too-small-"
	noRoom   = "no-room-"
)

// StepReason is why a step starts no task now.
type StepReason string

// The reasons, in the order in which they are tested.
const (
	StepJobEnded       StepReason = "job-ended"
	StepRunning        StepReason = "all-started"
	StepEarlierStep    StepReason = "earlier-step"
	StepNotDue         StepReason = "not-due"
	StepTeamCap        StepReason = "team-cap"
	StepTeamShare      StepReason = "team-share"
	StepTeamGang       StepReason = "team-gang"
	StepAwaitsReports  StepReason = "awaits-reports"
	StepRecord         StepReason = "record"
	StepTaskLimit      StepReason = "task-limit"
	StepRetryDelay     StepReason = "retry-delay"
	StepAwaitsGangEnds StepReason = "awaits-gang-ends"
	StepHeadroom       StepReason = "headroom"
	StepAdvice         StepReason = "advice"
	StepNoRoom         StepReason = "no-room"
	StepTriedLately    StepReason = "tried-lately"
)

// Explanation tells why the tasks of a job wait.
type Explanation struct {
	Job   string `json:"job,omitempty"`
	Queue string `json:"queue"`
	// State is the state that the job's caller is shown; empty for a document that is not accepted.
	State graph.State `json:"state,omitempty"`
	// Workers is the number of workers that the group knows.
	Workers int `json:"workers"`
	// LeaseAgeMillis is the age of the group's lease; starts need old connections while it is stale.
	LeaseAgeMillis int64 `json:"lease-age-ms"`
	LeaseStale     bool  `json:"lease-stale"`
	// NextDue is when the next occurrence is due that is not open yet.
	NextDue time.Time         `json:"next-due,omitzero"`
	Steps   []StepExplanation `json:"steps"`
	// OmittedSteps is the number of steps beyond maxExplainedSteps.
	OmittedSteps int `json:"omitted-steps,omitempty"`
}

// StepExplanation tells why the tasks of a step wait, and where they may start.
type StepExplanation struct {
	Occurrence int `json:"occurrence"`
	Step       int `json:"step"`
	Tasks      int `json:"tasks"`
	Unfinished int `json:"unfinished"`
	Waiting    int `json:"waiting"`
	// MayStart says that a task, or the whole gang, would be started now; if not, Reason says why.
	MayStart bool       `json:"may-start"`
	Reason   StepReason `json:"reason,omitempty"`
	// Takes is the number of workers that would take a task now, and Others that of the others by reason.
	Takes      int                  `json:"workers-that-take-a-task"`
	Others     map[WorkerReason]int `json:"other-workers,omitempty"`
	BestWorker string               `json:"best-worker,omitempty"`
	Urgency    string               `json:"urgency"`
	Standing   string               `json:"standing"`
	Deadline   time.Time            `json:"deadline"`
	// WaitKnown says that it is known about how long the step waits for what Reason says.
	WaitKnown  bool  `json:"wait-known"`
	WaitMillis int64 `json:"wait-ms,omitempty"`
}

// maxExplainedSteps bounds the work for one explanation, during which the group makes no plan: each step compares all workers.
const maxExplainedSteps = 16

// Explain tells why the tasks of a job wait, or would wait if the document were accepted now. If doc is nil, it tells of the job with the given ID;
// known is false if the group has no unfinished job of that ID. It uses the decisions of Plan, and leaves all state as it was.
func (c *Cell) Explain(id string, doc *graph.Job, cfg *queues.Config, now time.Time) (e Explanation, known bool) {
	leaseAge := c.leaseAge()
	c.mu.Lock()
	defer c.mu.Unlock()
	x := explainer{c: c, cfg: cfg, now: now, exclusive: c.isExclusive(leaseAge), minConnAge: c.minConnAge(leaseAge)}
	j, steps := c.stepsToExplain(id, doc)
	if j == nil {
		return Explanation{}, false
	}
	defer c.saveDecisionState()()
	c.candidateIndex.rebuild(c, x.minConnAge, now)
	e = Explanation{
		Job: j.doc.ID, Queue: j.doc.Queue, Workers: len(c.workers), LeaseAgeMillis: leaseAge.Milliseconds(), LeaseStale: x.minConnAge > 0,
	}
	if doc == nil {
		e.State = j.visibleState()
		if j.nextOccurrence < j.doc.Occurrences() {
			e.NextDue = j.doc.Due(j.nextOccurrence)
		}
	}
	e.OmittedSteps = max(0, len(steps)-maxExplainedSteps)
	for _, s := range steps[:len(steps)-e.OmittedSteps] {
		e.Steps = append(e.Steps, x.step(s))
	}
	return e, true
}

// stepsToExplain returns a job with its steps that are not done, or all of those of its next occurrence if none is open, or of a document. Nothing is
// added to the group.
func (c *Cell) stepsToExplain(id string, doc *graph.Job) (*job, []*step) {
	if doc != nil {
		// The time for a commit of its record is left out.
		j := &job{doc: doc, state: graph.Queued, version: 1, longRunning: doc.LongRunning(), inAll: &taskCounter{}}
		j.sensitive = !j.longRunning && j.declaredSlack() < maxSensitiveSlack
		return j, c.newOccurrence(j, 0).steps
	}
	j, ok := c.jobs[id]
	if !ok {
		return nil, nil
	}
	var steps []*step
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			if s.numUnfinished > 0 {
				steps = append(steps, s)
			}
		}
	}
	if len(j.occurrences) == 0 && j.nextOccurrence < j.doc.Occurrences() {
		steps = c.newOccurrence(j, j.nextOccurrence).steps
		for _, s := range steps {
			s.countKnown(-s.knownTasks)
		}
	}
	return j, steps
}

// saveDecisionState replaces the candidate index, which belongs to the last plan, and returns a function that restores it with all else that the
// decisions keep for later ones.
func (c *Cell) saveDecisionState() (restore func()) {
	type planned struct {
		number  uint64
		freeCPU int64
	}
	type ranked struct {
		objective, remaining time.Duration
		at                   time.Time
	}
	index, demand := c.candidateIndex, c.urgentDemand
	workers := make(map[*worker]planned, len(c.workers))
	for _, w := range c.workers {
		workers[w] = planned{w.lastPlanNumber, w.plannedFreeCPU}
	}
	occurrences := map[*occurrence]ranked{}
	for _, j := range c.jobs {
		for _, o := range j.occurrences {
			occurrences[o] = ranked{o.objective, o.remaining, o.rankedAt}
		}
	}
	c.candidateIndex = candidateIndex{planNumber: index.planNumber}
	return func() {
		c.candidateIndex, c.urgentDemand = index, demand
		for w, p := range workers {
			w.lastPlanNumber, w.plannedFreeCPU = p.number, p.freeCPU
		}
		for o, r := range occurrences {
			o.objective, o.remaining, o.rankedAt = r.objective, r.remaining, r.at
		}
	}
}

// explainer is one call of Explain.
type explainer struct {
	c          *Cell
	cfg        *queues.Config
	now        time.Time
	exclusive  bool
	minConnAge time.Duration
}

func (x *explainer) step(s *step) StepExplanation {
	c := x.c
	r := c.rank(s, x.now)
	e := StepExplanation{
		Occurrence: s.id.Occurrence, Step: s.id.Step, Tasks: s.doc.Count, Unfinished: s.numUnfinished, Waiting: s.numWaiting,
		Urgency: r.urgency.String(), Standing: r.standing.String(), Deadline: r.deadline, Others: map[WorkerReason]int{},
	}
	advice := s.job.advice(x.cfg)
	// Nothing was tried elsewhere with a task of which nothing is known.
	t := &task{step: s}
	if i := slices.IndexFunc(s.tasks, func(t *task) bool { return t != nil && t.isWaiting() }); i >= 0 {
		t = s.tasks[i]
	}
	for _, w := range c.sortedWorkers() {
		if reason := x.worker(s, w, advice != nil); reason != "" {
			e.Others[reason]++
		} else {
			e.Takes++
		}
	}
	best, _ := c.bestWorker(s, t, nil, advice != nil, x.now)
	if best != nil {
		e.BestWorker = best.info.ID
	}
	var until time.Time
	e.Reason, until = x.reason(s, best, e.Others, advice)
	if e.Reason == "" && x.now.Before(s.retryAt) {
		// It was tried in vain a moment ago, and is left out of plans until then.
		e.Reason, until = StepTriedLately, s.retryAt
	}
	e.MayStart = e.Reason == ""
	if !until.IsZero() {
		e.WaitKnown, e.WaitMillis = true, max(0, until.Sub(x.now).Milliseconds())
	}
	return e
}

// worker returns why a worker takes no task of a step now; empty if it takes one. It splits the conditions of eligibleWorkers and fits.
func (x *explainer) worker(s *step, w *worker, needsTicket bool) WorkerReason {
	c, size := x.c, allocationOf(s.doc)
	if reason := c.barred(w, x.now); reason != "" {
		return reason
	}
	switch {
	case !c.hasOldConn(w, x.minConnAge):
		return WorkerNoOldConn
	case !w.hasLabel(s.doc.Label):
		return WorkerLabel
	case w.info.Capacity.NumFitting(size) == 0:
		return tooSmall + dimension(size, w.info.Capacity)
	case c.fits(s, w, size) > 0:
	case w.info.Capacity.Sub(w.used).NumFitting(size) > 0:
		return WorkerMaxPerWorker
	default:
		return noRoom + dimension(size, w.info.Capacity.Sub(w.used))
	}
	switch {
	case c.heldForOther(w, s, x.now):
		return WorkerHeldForGang
	case !needsTicket || s.hasTicket(w, x.now):
		return ""
	case s.denied(w):
		return WorkerDenied
	default:
		return WorkerNoTicket
	}
}

// dimension returns the name of the first dimension in which a size exceeds what there is.
func dimension(size, available unit.Size) WorkerReason {
	need, have := size.Values(), available.Values()
	for i := range need {
		if need[i] > 0 && need[i] > have[i] {
			return WorkerReason(unit.Names[i])
		}
	}
	return "size"
}

// reason returns why a step starts nothing now, and about until when; zero if that is not known. It tests in the order of rankedSteps and planStep.
func (x *explainer) reason(s *step, best *worker, others map[WorkerReason]int, advice *queues.Advice) (StepReason, time.Time) {
	c, now := x.c, x.now
	switch {
	case s.job.state.Terminal():
		return StepJobEnded, time.Time{}
	case s.numWaiting == 0:
		return StepRunning, x.end(s)
	case s.numUnfinishedDeps > 0:
		return StepEarlierStep, x.start(s)
	case !s.occ.due.IsZero() && now.Before(s.occ.due):
		return StepNotDue, s.occ.due
	}
	if c.teamRoom(s) == 0 && !c.awaitsReports(s) {
		return x.teamReason(s)
	}
	if c.awaitsReports(s) {
		return StepAwaitsReports, x.reportsUntil()
	}
	if s.job.version == 0 {
		return StepRecord, time.Time{}
	}
	if reason, until := x.tasksReason(s); reason != "" {
		return reason, until
	}
	if c.heldByTaskLimit(s) {
		return StepTaskLimit, time.Time{}
	}
	size := allocationOf(s.doc)
	if s.doc.Gang {
		if len(c.assignGang(s, advice != nil, now, func(w *worker) int { return c.fits(s, w, size) })) == s.doc.Count {
			return "", time.Time{}
		}
		if advice != nil && len(c.assignGang(s, false, now, func(w *worker) int { return c.fits(s, w, size) })) == s.doc.Count {
			return StepAdvice, x.adviceUntil(s, advice)
		}
		return StepNoRoom, x.roomAt(s, s.doc.Count)
	}
	switch {
	case c.needsHeadroom(s):
		return StepHeadroom, time.Time{}
	case best != nil:
		return "", time.Time{}
	case others[WorkerNoTicket] > 0:
		return StepAdvice, x.adviceUntil(s, advice)
	default:
		return StepNoRoom, x.roomAt(s, 1)
	}
}

// tasksReason returns why none of the waiting tasks of a step, or its gang as a whole, may be tried.
func (x *explainer) tasksReason(s *step) (StepReason, time.Time) {
	var reason StepReason
	var until time.Time
	for _, t := range s.tasks {
		var blocked StepReason
		var blockedUntil time.Time
		switch {
		case t == nil || t == doneTask:
		case s.doc.Gang && len(t.placements) > 0:
			blocked = StepAwaitsGangEnds
		case !t.isWaiting():
		case !s.doc.Gang && x.c.mayRunElsewhere(t, x.exclusive, x.now):
			blocked, blockedUntil = StepAwaitsReports, x.reportsUntil()
		case x.now.Before(t.notBefore):
			blocked, blockedUntil = StepRetryDelay, t.notBefore
		}
		switch {
		case blocked != "":
			if reason == "" || blockedUntil.Before(until) {
				reason, until = blocked, blockedUntil
			}
			if s.doc.Gang {
				return reason, until
			}
		case t == nil || t.isWaiting():
			if !s.doc.Gang {
				return "", time.Time{}
			}
		}
	}
	return reason, until
}

// teamReason returns how the cap of its team holds back a step, and when the next run of the team is expected to end here.
func (x *explainer) teamReason(s *step) (StepReason, time.Time) {
	t := x.c.teamOf(s)
	used := t.inUseFor(s)
	reason := StepTeamShare
	switch {
	case t.room(s, used) > 0:
		// The room is left to a gang of the team that comes first.
		reason = StepTeamGang
	case quota.Room(quota.AmountOf(s.doc.Size), used, t.cap, quota.Amount{}, t.cap, int64(s.doc.Count), s.doc.Gang) == 0:
		// With the whole cap as its share, the group could still not start a task.
		reason = StepTeamCap
	}
	var until time.Time
	for _, w := range x.c.workers {
		for _, p := range w.placements {
			if p.task.step.doc.LongRunning || x.c.teamOf(p.task.step) != t {
				continue
			}
			if end := x.c.runEnd(p, x.now); until.IsZero() || end.Before(until) {
				until = end
			}
		}
	}
	return reason, until
}

// reportsUntil returns until when an earlier scheduler's runs on workers that do not report may last.
func (x *explainer) reportsUntil() time.Time {
	var last time.Time
	for id, until := range x.c.expectedWorkers {
		if x.c.isUnreported(id, x.exclusive, x.now) {
			last = latest(last, until)
		}
	}
	return last
}

// adviceUntil returns when an answer of the advisor is expected: after the present call if there is one, or a call for one worker.
func (x *explainer) adviceUntil(s *step, advice *queues.Advice) time.Time {
	n := max(1, len(s.adviceInFlight))
	return latest(x.now, s.nextAdviceAt).Add(advice.Cost(n))
}

// roomAt returns when runs are expected to have left room for n tasks of a step. Where tickets are still needed, that is on any worker that may
// be allowed.
func (x *explainer) roomAt(s *step, n int) time.Time {
	places := x.c.expectedPlaces(s, false, allocationOf(s.doc), x.now)
	places = slices.DeleteFunc(places, func(p place) bool { return s.denied(p.w) })
	if len(places) < n {
		return time.Time{}
	}
	return lastFree(places[:n])
}

// start returns when the earlier steps are expected to be complete, if their waiting tasks start at once; zero if that is not known.
func (x *explainer) start(s *step) time.Time {
	start := x.now
	for _, dep := range s.doc.After {
		end := x.end(s.occ.steps[dep])
		if end.IsZero() {
			return time.Time{}
		}
		start = latest(start, end)
	}
	return start
}

// end returns when a step is expected to be complete, like start.
func (x *explainer) end(s *step) time.Time {
	if s.doc.LongRunning {
		return time.Time{}
	}
	if s.numUnfinished == 0 {
		return x.now
	}
	end := x.now
	if s.numWaiting > 0 {
		if end = x.start(s); end.IsZero() {
			return end
		}
		end = end.Add(x.c.runTimes.estimate(s.job.doc.Queue, s.doc))
	}
	for w := range s.numPerWorker {
		for _, p := range w.placements {
			if p.task.step == s {
				end = latest(end, x.c.runEnd(p, x.now))
			}
		}
	}
	return end
}

// String returns the name of an urgency in explanations.
func (u urgency) String() string {
	switch u {
	case onTime:
		return "on-time"
	case late:
		return "late"
	case overdue:
		return "overdue"
	default:
		return strconv.Itoa(int(u))
	}
}

// String returns the name of a standing in explanations.
func (s standing) String() string {
	switch s {
	case withinPart:
		return "within-part"
	case beyondPart:
		return "beyond-part"
	case beyondRate:
		return "beyond-rate"
	default:
		return strconv.Itoa(int(s))
	}
}
