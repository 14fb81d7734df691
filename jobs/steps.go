package jobs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

// inspect learns what became of the tasks that were assigned to workers.
func (d *driver) inspect(ctx context.Context) error {
	steps := d.each([]TaskState{TaskAssigned, TaskRunning}, MaxParallel, func(i int, t Task) step {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		id := d.taskID(i)
		answer, err := d.book.fleet.Inspect(ctx, id, t.place())
		if err == nil && answer.State == worker.Absent {
			// The start never came, or its record is gone; closing the id off tells which.
			answer, err = d.book.fleet.Stop(ctx, id, t.place())
		}
		if err == nil && answer.State == worker.Finished {
			if err := d.book.table.PutObject(ctx, resultKey(d.job.ID, i), answer.Body); err != nil {
				return step{err: err}
			}
		}
		return step{state: answer.State, body: answer.Body, err: err}
	})
	changed := false
	for _, s := range steps {
		changed = d.settle(s) || changed
	}
	if !changed {
		return nil
	}
	return d.write(ctx)
}

// MaxParallel is how many tasks of one job are looked at at once.
const MaxParallel = 64

func resultKey(job string, task int) string { return fmt.Sprintf("result/%s/%d", job, task) }

// settle notes what is proved of a task; it reports whether the row changes.
func (d *driver) settle(s step) bool {
	t := &d.job.Tasks[s.index]
	if s.err != nil {
		refusal := reason.From(s.err)
		d.explain(refusal.Reason, refusal.Error())
		return false
	}
	before := t.State
	switch s.state {
	case worker.Running, worker.Checkpointed:
		t.State = TaskRunning
	case worker.Finished:
		t.State, t.Result = TaskDone, resultKey(d.job.ID, s.index)
		d.again(t, d.work.Class == entry.Service)
	case worker.TaskFailed, worker.Stopped:
		d.ended(t, s)
	case worker.NeverStarted, worker.Absent:
		d.again(t, true)
	}
	return t.State != before || t.State == TaskWaiting
}

// again gives a task a new attempt, whose id no worker has seen.
func (d *driver) again(t *Task, may bool) {
	if !may {
		return
	}
	t.State, t.Worker, t.DataCenter, t.Rack = TaskWaiting, "", "", ""
	t.Attempt++
}

func (d *driver) ended(t *Task, s step) {
	t.Detail = string(s.state) + ": " + string(s.body[:min(len(s.body), maxDetail)])
	failedBefore := len(t.FailedOn)
	if s.state == worker.TaskFailed {
		t.FailedOn = append(t.FailedOn, t.Worker)
	}
	service := d.work.Class == entry.Service
	repeatable := d.work.Repeatable || service
	spent := len(t.FailedOn) >= max(1, d.work.Attempts) || len(t.FailedOn) >= failWorkers
	if !repeatable || (spent && !service) || (service && failedBefore >= maxServiceFailures) {
		t.State = TaskFailed
		return
	}
	d.again(t, true)
}

const (
	maxDetail          = 200
	maxServiceFailures = 20
)

// finish decides whether the job is over.
func (d *driver) finish() bool {
	counts := d.job.Counts()
	failed, done := counts[TaskFailed], counts[TaskDone]
	switch {
	case failed > 0 && failed+done == len(d.job.Tasks):
		d.close(Failed, reason.TaskFailed)
	case done == len(d.job.Tasks):
		d.close(Done, "")
	case failed > 0 && done == 0 && d.hopeless():
		// The rest would only fail the same way.
		d.job.Cancel = true
		d.job.Reason = reason.FailsEverywhere
		return false
	default:
		return false
	}
	return true
}

// hopeless reports whether tasks failed on enough different workers and none succeeded.
func (d *driver) hopeless() bool {
	workers := map[string]bool{}
	for _, t := range d.job.Tasks {
		for _, name := range t.FailedOn {
			workers[name] = true
		}
	}
	return len(workers) >= failWorkers
}

func (d *driver) close(state State, why reason.Reason) {
	d.job.State, d.job.Ended = state, time.Now().UTC()
	if d.job.Reason == "" {
		d.job.Reason = why
	}
	d.book.stats.Job(string(state))
}

// place finds room for waiting tasks, writes where, and only then starts them.
func (d *driver) place(ctx context.Context) (time.Duration, error) {
	waiting := d.job.Counts()[TaskWaiting]
	if waiting == 0 {
		return d.restPause(), nil
	}
	reserved := d.reserve(ctx)
	if d.work.Class == entry.Gang && len(reserved) < waiting {
		return d.gather(ctx, reserved), nil
	}
	d.backoff, d.gang = 0, gathering{}
	if len(reserved) == 0 {
		return fastRound + rand.N(fastRound), nil
	}
	for _, s := range reserved {
		t := &d.job.Tasks[s.index]
		t.State, t.Worker, t.DataCenter, t.Rack = TaskAssigned, s.at.Worker, s.at.DataCenter, s.at.Rack
	}
	d.job.State = Running
	if err := d.write(ctx); err != nil {
		d.releaseAll(ctx, reserved)
		return 0, err
	}
	if d.job.Cancel {
		return 0, nil
	}
	if err := d.start(ctx, reserved); err != nil {
		return 0, err
	}
	return fastRound, nil
}

func (d *driver) restPause() time.Duration {
	if d.work.Class == entry.Service {
		return restRound
	}
	const part = 8
	return min(restRound, max(fastRound, d.book.estimate(d.work)/part))
}

func (d *driver) reserve(ctx context.Context) []step {
	most, wait, hold := reserveMost, reserveWait, reserveHold
	if d.work.Class == entry.Gang {
		most, wait, hold = len(d.job.Tasks), gangWait, gangHold
	}
	var racks []string
	for _, t := range d.job.Tasks {
		if d.work.Class == entry.Service && t.Rack != "" {
			racks = append(racks, t.Rack)
		}
	}
	steps := d.each([]TaskState{TaskWaiting}, most, func(i int, t Task) step {
		if s, ok := d.keptFor(i); ok {
			return s
		}
		at, err := d.book.fleet.Reserve(ctx, Need{
			Task: d.taskID(i), Work: d.work, Avoid: t.FailedOn, AvoidRacks: racks, Wait: wait, Hold: hold,
		})
		return step{at: at, err: err}
	})
	var reserved []step
	for _, s := range steps {
		if s.err != nil {
			refusal := reason.From(s.err)
			d.explain(refusal.Reason, refusal.Error())
			continue
		}
		reserved = append(reserved, s)
	}
	return reserved
}

// start starts the tasks whose row says where; a proved failure gives the task a new attempt.
func (d *driver) start(ctx context.Context, reserved []step) error {
	places := map[int]Place{}
	for _, s := range reserved {
		places[s.index] = s.at
	}
	steps := d.each([]TaskState{TaskAssigned}, -1, func(i int, t Task) step {
		if _, fresh := places[i]; !fresh {
			return step{}
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		state, err := d.book.fleet.Start(ctx, d.taskID(i), d.work, t.place(), &d.job)
		return step{state: state, err: err}
	})
	changed := false
	for _, s := range steps {
		if s.err == nil {
			continue
		}
		refusal := reason.From(s.err)
		d.explain(refusal.Reason, refusal.Error())
		if refusal.Outcome == reason.NotRun {
			d.book.stats.Retry(refusal.Reason)
			d.again(&d.job.Tasks[s.index], true)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return d.write(ctx)
}

// cancelRound ends everything that may run and closes the job when that is proved.
func (d *driver) cancelRound(ctx context.Context) (time.Duration, error) {
	d.letGo(ctx)
	steps := d.each([]TaskState{TaskAssigned, TaskRunning}, MaxParallel, func(i int, t Task) step {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		answer, err := d.book.fleet.Stop(ctx, d.taskID(i), t.place())
		return step{state: answer.State, err: err}
	})
	for _, s := range steps {
		if s.err == nil && s.state.Over() {
			d.job.Tasks[s.index].State = TaskCancelled
		}
	}
	open := 0
	for i := range d.job.Tasks {
		t := &d.job.Tasks[i]
		if t.State == TaskWaiting {
			t.State = TaskCancelled
		}
		if !t.State.Over() {
			open++
		}
	}
	if open > 0 {
		d.explain(reason.WorkerUnreachable, fmt.Sprintf("%d tasks are not proved to be over yet", open))
		return fastRound * 4, nil
	}
	state := Cancelled
	if d.job.Reason == reason.FailsEverywhere {
		state = Failed
	}
	d.close(state, reason.Cancelled)
	if err := d.write(ctx); err != nil {
		d.job.State = Running
		return 0, err
	}
	return 0, nil
}
