package fakes

import (
	"fmt"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/unit"
)

// startRecord is a start of a task.
type startRecord struct {
	worker string
	run    int
	// event is the number of the start among all starts and ends.
	event int
	// overAttempts says that the start is recorded as a violation of the number of attempts.
	overAttempts bool
}

// doneEnd is a successful end of a task.
type doneEnd struct {
	worker       string
	run          int
	event        int
	ws           *workerState
	acknowledged bool
}

// failedEnd is an end of a failed run.
type failedEnd struct {
	run          int
	event        int
	ws           *workerState
	acknowledged bool
}

// maxEarly is how long before its due time a task of an occurrence may start.
const maxEarly = 250 * time.Millisecond

// ticket permits starts of a step on one incarnation of a worker.
type ticket struct {
	step       graph.StepID
	worker     order.Incarnation
	validUntil time.Time
}

// SetStep declares a step, whose starts are checked against its rules.
func (s *WorkerSet) SetStep(id graph.StepID, doc *graph.Step, needsTicket bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setStep(id, doc, needsTicket)
}

func (s *WorkerSet) setStep(id graph.StepID, doc *graph.Step, needsTicket bool) *stepRules {
	size := doc.Size
	if doc.Backfill {
		size.CPUMilli = 0
	}
	rules := &stepRules{
		size: size, fullSize: doc.Size, speculative: doc.Speculative, label: doc.Label, maxPerWorker: doc.MaxPerWorker, needsTicket: needsTicket,
		count: doc.Count, gang: doc.Gang, longRunning: doc.LongRunning, after: doc.After,
	}
	s.stepRules[id] = rules
	return rules
}

// SetJob declares the steps of all occurrences of a job, whose starts are also checked against the job's attempts and due times.
func (s *WorkerSet) SetJob(doc *graph.Job, needsTicket bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k := range doc.Occurrences() {
		for i := range doc.Steps {
			rules := s.setStep(graph.StepID{Job: doc.ID, Occurrence: k, Step: i}, &doc.Steps[i], needsTicket)
			rules.maxAttempts, rules.due = doc.MaxAttempts, doc.Due(k)
		}
	}
}

// rulesOf returns the rules of a step; one that was not declared has none.
func (s *WorkerSet) rulesOf(id graph.StepID) *stepRules {
	if rules, ok := s.stepRules[id]; ok {
		return rules
	}
	return &stepRules{}
}

// IssueTicket returns a ticket for starting a step on the present incarnation of a worker.
func (s *WorkerSet) IssueTicket(step graph.StepID, worker string, validity time.Duration) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := fmt.Sprintf("t%d", len(s.tickets)+1)
	s.tickets[id] = ticket{step, s.workers[worker].worker.Incarnation(), time.Now().Add(validity)}
	return id
}

func (s *WorkerSet) acceptsTicket(ws *workerState, o order.Start) bool {
	if !s.rulesOf(o.Task.StepID).needsTicket {
		return true
	}
	t, ok := s.tickets[o.Ticket]
	return ok && t.step == o.Task.StepID && t.worker == ws.worker.Incarnation() && time.Now().Before(t.validUntil)
}

// Violations returns the violations that were recorded.
func (s *WorkerSet) Violations() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.violations...)
}

func (s *WorkerSet) addViolation(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.violations = append(s.violations, text)
	s.record("", graph.TaskID{}, 0, "violation: %s", text)
}

// usedWith returns the resources in use on a worker with one more task of a step.
func (s *WorkerSet) usedWith(ws *workerState, step graph.StepID) unit.Size {
	used := s.rulesOf(step).size
	for run := range ws.runs {
		used = used.Add(s.rulesOf(run.task.StepID).size)
	}
	return used
}

// FreeCPU returns the CPU of a worker that no run allocates.
func (s *WorkerSet) FreeCPU(id string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	ws := s.workers[id]
	s.expireRuns(ws)
	free := ws.worker.Capacity.CPUMilli
	for run := range ws.runs {
		free -= s.rulesOf(run.task.StepID).size.CPUMilli
	}
	return free
}

// TeamUse returns what the tasks of a team use on all workers, and the largest size of one of them in each dimension.
func (s *WorkerSet) TeamUse(team string) (used, largest unit.Size) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.teamUse(team)
}

func (s *WorkerSet) teamUse(team string) (used, largest unit.Size) {
	for _, ws := range s.workers {
		s.expireRuns(ws)
		for run := range ws.runs {
			if name, _ := s.TeamOf(run.task.Job); name == team {
				size := s.rulesOf(run.task.StepID).fullSize
				used, largest = used.Add(size), largest.Max(size)
			}
		}
	}
	return used, largest
}

// checkTeam records a violation if a start makes a team exceed its cap by more than one task.
func (s *WorkerSet) checkTeam(ws *workerState, key runKey) {
	if s.TeamOf == nil {
		return
	}
	team, limit := s.TeamOf(key.task.Job)
	if team == "" {
		return
	}
	used, largest := s.teamUse(team)
	size := s.rulesOf(key.task.StepID).fullSize
	used, allowed := used.Add(size), limit.Add(largest.Max(size))
	if !used.Mask(limit.Min(size)).Fits(allowed) {
		s.addViolation("%s run %d started on %s beyond the cap of team %s: %v of %v", key.task, key.run, ws.worker.ID, team, used, limit)
	}
}

// checkStart records a start and the violations that it causes. late says that the worker carried out the order late.
func (s *WorkerSet) checkStart(ws *workerState, key runKey, late bool) {
	s.lastEvent++
	s.checkTeam(ws, key)
	s.starts[key.task] = append(s.starts[key.task], startRecord{worker: ws.worker.ID, run: key.run, event: s.lastEvent})
	rules := s.rulesOf(key.task.StepID)
	for _, end := range s.doneEnds[key.task] {
		// Of steps that allow copies, only orders that were carried out in time are judged by acknowledged ends.
		if end.acknowledged && (!rules.speculative || !late) {
			s.addViolation("%s run %d started on %s after the end of run %d on %s was acknowledged",
				key.task, key.run, ws.worker.ID, end.run, end.worker)
		}
	}
	if !s.usedWith(ws, key.task.StepID).Fits(ws.worker.Capacity) {
		s.addViolation("%s run %d started on %s beyond its capacity", key.task, key.run, ws.worker.ID)
	}
	if rules.label != "" && !slices.Contains(ws.worker.Labels, rules.label) {
		s.addViolation("%s run %d started on %s without label %s", key.task, key.run, ws.worker.ID, rules.label)
	}
	numOfStep := 1
	for run := range ws.runs {
		if run.task.StepID == key.task.StepID {
			numOfStep++
		}
	}
	if rules.maxPerWorker > 0 && numOfStep > rules.maxPerWorker {
		s.addViolation("%s run %d started on %s as one of %d tasks of its step", key.task, key.run, ws.worker.ID, numOfStep)
	}
	s.checkOrder(ws, key, rules)
	s.checkAttempts(key.task, rules)
	if rules.speculative {
		return
	}
	for _, otherWorker := range s.workers {
		s.expireRuns(otherWorker)
		for otherRun := range otherWorker.runs {
			if otherRun.task == key.task {
				s.addViolation("%s run %d started on %s while run %d is on %s",
					key.task, key.run, ws.worker.ID, otherRun.run, otherWorker.worker.ID)
			}
		}
	}
}

// checkOrder records a start before its occurrence is due, or before the steps that it depends on are done.
func (s *WorkerSet) checkOrder(ws *workerState, key runKey, rules *stepRules) {
	if early := time.Until(rules.due); !rules.due.IsZero() && early > maxEarly {
		s.addViolation("%s run %d started on %s %v before it is due", key.task, key.run, ws.worker.ID, early)
	}
	for _, dep := range rules.after {
		id := key.task.StepID
		id.Step = dep
		numDone := 0
		for i := range s.rulesOf(id).count {
			if len(s.doneEnds[graph.TaskID{StepID: id, Index: i}]) > 0 {
				numDone++
			}
		}
		// One successful end represents all members of a gang.
		if count := s.rulesOf(id).count; numDone < count && (numDone == 0 || !s.rulesOf(id).gang) {
			s.addViolation("%s run %d started on %s when %d of %d tasks of step %d were done",
				key.task, key.run, ws.worker.ID, numDone, count, dep)
		}
	}
}

// checkAttempts records a start of a task after so many of its runs have failed that it may not be started again, once these ends are
// acknowledged. The members of a gang fail together, and of steps that allow copies only timely starts are judged; neither is
// checked.
func (s *WorkerSet) checkAttempts(task graph.TaskID, rules *stepRules) {
	if rules.maxAttempts == 0 || rules.longRunning || rules.gang || rules.speculative {
		return
	}
	starts := s.starts[task]
	for i := range starts {
		numFailed := 0
		for _, end := range s.failedEnds[task] {
			if end.acknowledged && end.event < starts[i].event {
				numFailed++
			}
		}
		if numFailed >= rules.maxAttempts && !starts[i].overAttempts {
			starts[i].overAttempts = true
			s.addViolation("%s run %d started on %s after %d failed runs", task, starts[i].run, starts[i].worker, numFailed)
		}
	}
}

func (s *WorkerSet) recordFailed(ws *workerState, key runKey) {
	s.lastEvent++
	s.failedEnds[key.task] = append(s.failedEnds[key.task], &failedEnd{key.run, s.lastEvent, ws, false})
}

func (s *WorkerSet) recordDone(ws *workerState, key runKey) {
	s.lastEvent++
	s.doneEnds[key.task] = append(s.doneEnds[key.task], &doneEnd{ws.worker.ID, key.run, s.lastEvent, ws, false})
}

// acknowledge records an acknowledged end and the violations that follow from it: a start after a successful end violates the
// rules as soon as that end is acknowledged, even if that happens after the start. If the worker's lease expired between the end and
// its acknowledgement, the end never counts as acknowledged, since the scheduler may have started the task elsewhere by then.
func (s *WorkerSet) acknowledge(ws *workerState, e *order.End) {
	s.record(ws.worker.ID, e.Task, e.Run, "end %d (%s) acknowledged", e.Number, e.Kind)
	for _, end := range s.failedEnds[e.Task] {
		if end.ws == ws && end.run == e.Run && e.Number > ws.lapsedEnds {
			end.acknowledged = true
		}
	}
	s.checkAttempts(e.Task, s.rulesOf(e.Task.StepID))
	for _, end := range s.doneEnds[e.Task] {
		if end.ws != ws || end.run != e.Run || end.acknowledged || e.Number <= ws.lapsedEnds {
			continue
		}
		end.acknowledged = true
		if s.rulesOf(e.Task.StepID).speculative {
			continue
		}
		for _, start := range s.starts[e.Task] {
			if start.event > end.event {
				s.addViolation("%s run %d started on %s after run %d was done on %s, whose end was acknowledged later",
					e.Task, start.run, start.worker, end.run, end.worker)
			}
		}
	}
}
