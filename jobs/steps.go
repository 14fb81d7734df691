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

// inspectTasks updates the states of the tasks that are assigned to workers.
func (d *driver) inspectTasks(ctx context.Context) error {
	results := d.forEachTask([]TaskState{TaskAssigned, TaskRunning}, MaxParallelCalls, func(i int, t Task) taskResult {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		id := d.taskID(i)
		answer, err := d.manager.fleet.Inspect(ctx, id, t.placement())
		if err == nil && answer.State == worker.Absent {
			// Either the start request never arrived or the record of the task is gone. Stop prevents a late start.
			answer, err = d.manager.fleet.Stop(ctx, id, t.placement())
		}
		if err == nil && answer.State == worker.Finished {
			if err := d.manager.table.PutObject(ctx, resultKey(d.job.ID, i), answer.Body); err != nil {
				return taskResult{err: err}
			}
		}
		return taskResult{state: answer.State, body: answer.Body, err: err}
	})
	changed := false
	for _, result := range results {
		changed = d.recordState(result) || changed
	}
	if !changed {
		return nil
	}
	return d.write(ctx)
}

// MaxParallelCalls is the maximum number of tasks of one job that are inspected or stopped in one round.
const MaxParallelCalls = 64

func resultKey(job string, task int) string { return fmt.Sprintf("result/%s/%d", job, task) }

// recordState records the known state of a task and reports whether the row has to be written.
func (d *driver) recordState(result taskResult) bool {
	t := &d.job.Tasks[result.index]
	if result.err != nil {
		refusal := reason.From(result.err)
		d.setWaitReason(refusal.Reason, refusal.Error())
		return false
	}
	before := t.State
	switch result.state {
	case worker.Running, worker.Checkpointed:
		t.State = TaskRunning
	case worker.Finished:
		t.State, t.Result = TaskDone, resultKey(d.job.ID, result.index)
		d.newAttempt(t, d.work.Class == entry.Service)
	case worker.TaskFailed, worker.Stopped:
		d.recordFailure(t, result)
	case worker.NeverStarted, worker.Absent:
		if before == TaskRunning || t.startAnswered {
			// The task has run; its worker has restarted or has kept the result for too short a time.
			d.recordFailure(t, result)
			break
		}
		d.newAttempt(t, true)
	}
	return t.State != before || t.State == TaskWaiting
}

// newAttempt returns a task to the waiting state under a new attempt number, whose task id no worker has seen.
func (d *driver) newAttempt(t *Task, allowed bool) {
	if !allowed {
		return
	}
	t.State, t.Worker, t.DataCenter, t.Rack = TaskWaiting, "", "", ""
	t.startAnswered = false
	t.Attempt++
}

func (d *driver) recordFailure(t *Task, result taskResult) {
	t.Detail = string(result.state) + ": " + string(result.body[:min(len(result.body), maxDetail)])
	failedBefore := len(t.FailedOn)
	if result.state == worker.TaskFailed {
		t.FailedOn = append(t.FailedOn, t.Worker)
	}
	service := d.work.Class == entry.Service
	repeatable := d.work.Repeatable || service
	exhausted := len(t.FailedOn) >= max(1, d.work.Attempts) || len(t.FailedOn) >= maxFailedWorkers
	if !repeatable || (exhausted && !service) || (service && failedBefore >= maxServiceFailures) {
		t.State = TaskFailed
		return
	}
	d.newAttempt(t, true)
}

const (
	maxDetail          = 200
	maxServiceFailures = 20
)

// tryComplete completes the job if all its tasks are done or failed, and reports whether it did. It cancels a job that
// fails everywhere.
func (d *driver) tryComplete() bool {
	counts := d.job.Counts()
	failed, done := counts[TaskFailed], counts[TaskDone]
	switch {
	case failed > 0 && failed+done == len(d.job.Tasks):
		d.close(Failed, reason.TaskFailed)
	case done == len(d.job.Tasks):
		d.close(Done, "")
	case failed > 0 && done == 0 && d.failsEverywhere():
		// The remaining tasks would only fail in the same way.
		d.job.Cancel = true
		d.job.Reason = reason.FailsEverywhere
		return false
	default:
		return false
	}
	return true
}

// failsEverywhere reports whether tasks failed on maxFailedWorkers different workers.
func (d *driver) failsEverywhere() bool {
	workers := map[string]bool{}
	for _, t := range d.job.Tasks {
		for _, name := range t.FailedOn {
			workers[name] = true
		}
	}
	return len(workers) >= maxFailedWorkers
}

// close moves the job to a terminal state; the caller writes the row.
func (d *driver) close(state State, why reason.Reason) {
	d.job.State, d.job.Ended = state, time.Now().UTC()
	if d.job.Reason == "" {
		d.job.Reason = why
	}
	d.manager.stats.Job(string(state))
}

// placeTasks reserves capacity for waiting tasks, writes the placements to the row and only then starts the tasks.
func (d *driver) placeTasks(ctx context.Context) (time.Duration, error) {
	waiting := d.job.Counts()[TaskWaiting]
	if waiting == 0 {
		return d.inspectInterval(), nil
	}
	reserved := d.reserveCapacity(ctx)
	if d.work.Class == entry.Gang && len(reserved) < waiting {
		return d.holdGang(ctx, reserved), nil
	}
	d.backoff, d.reservation = 0, gangReservation{}
	if len(reserved) == 0 {
		return shortPause + rand.N(shortPause), nil
	}
	for _, result := range reserved {
		t := &d.job.Tasks[result.index]
		t.State, t.Worker, t.DataCenter, t.Rack = TaskAssigned, result.placement.Worker, result.placement.DataCenter, result.placement.Rack
	}
	d.job.State = Running
	if err := d.write(ctx); err != nil {
		d.releaseAll(ctx, reserved)
		return 0, err
	}
	if d.job.Cancel {
		// The row was not written: it held a cancellation request, which the driver has adopted.
		d.releaseAll(ctx, reserved)
		return 0, nil
	}
	if err := d.startTasks(ctx, reserved); err != nil {
		return 0, err
	}
	return shortPause, nil
}

func (d *driver) inspectInterval() time.Duration {
	if d.work.Class == entry.Service {
		return maxInspectInterval
	}
	const inspectionsPerRun = 8
	return min(maxInspectInterval, max(shortPause, d.manager.estimate(d.work)/inspectionsPerRun))
}

func (d *driver) reserveCapacity(ctx context.Context) []taskResult {
	maxTasks, timeout, ttl := maxReservations, reserveTimeout, reservationTTL
	if d.work.Class == entry.Gang {
		maxTasks, timeout, ttl = len(d.job.Tasks), gangReserveTimeout, gangReservationTTL
	}
	var racks []string
	for _, t := range d.job.Tasks {
		if d.work.Class == entry.Service && t.Rack != "" {
			racks = append(racks, t.Rack)
		}
	}
	results := d.forEachTask([]TaskState{TaskWaiting}, maxTasks, func(i int, t Task) taskResult {
		if result, ok := d.reservedFor(i); ok {
			return result
		}
		placement, err := d.manager.fleet.Reserve(ctx, ReserveRequest{
			Task: d.taskID(i), Work: d.work, AvoidWorkers: t.FailedOn, AvoidRacks: racks, Timeout: timeout, TTL: ttl,
		})
		return taskResult{placement: placement, err: err}
	})
	var reserved []taskResult
	for _, result := range results {
		if result.err != nil {
			refusal := reason.From(result.err)
			d.setWaitReason(refusal.Reason, refusal.Error())
			continue
		}
		reserved = append(reserved, result)
	}
	return reserved
}

// startTasks starts the tasks whose placements were written; a task that provably did not start gets a new attempt.
func (d *driver) startTasks(ctx context.Context, reserved []taskResult) error {
	placements := map[int]Placement{}
	for _, result := range reserved {
		placements[result.index] = result.placement
	}
	results := d.forEachTask([]TaskState{TaskAssigned}, -1, func(i int, t Task) taskResult {
		if _, reservedNow := placements[i]; !reservedNow {
			return taskResult{}
		}
		ctx, endLeading, leads := d.whileLeading(ctx)
		defer endLeading()
		if !leads {
			return taskResult{err: reason.Uncertain(reason.LeaseLost, "this host has lost the lease of the job's shard")}
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		state, err := d.manager.fleet.Start(ctx, d.taskID(i), d.work, t.placement(), &d.job)
		return taskResult{state: state, err: err}
	})
	changed := false
	for _, result := range results {
		if result.err == nil {
			t := &d.job.Tasks[result.index]
			t.startAnswered = t.startAnswered || (result.state != "" && result.state != worker.NeverStarted)
			continue
		}
		refusal := reason.From(result.err)
		d.setWaitReason(refusal.Reason, refusal.Error())
		if refusal.Outcome == reason.NotRun {
			d.manager.stats.Retry(refusal.Reason)
			d.newAttempt(&d.job.Tasks[result.index], true)
			changed = true
		}
	}
	if !changed {
		return nil
	}
	return d.write(ctx)
}

// cancelRound stops all tasks that may be running and completes the job once all are known to be terminal.
func (d *driver) cancelRound(ctx context.Context) (time.Duration, error) {
	d.releaseGang(ctx)
	results := d.forEachTask([]TaskState{TaskAssigned, TaskRunning}, MaxParallelCalls, func(i int, t Task) taskResult {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		answer, err := d.manager.fleet.Stop(ctx, d.taskID(i), t.placement())
		return taskResult{state: answer.State, err: err}
	})
	for _, result := range results {
		if result.err == nil && result.state.Terminal() {
			d.job.Tasks[result.index].State = TaskCancelled
		}
	}
	numOpen := 0
	for i := range d.job.Tasks {
		t := &d.job.Tasks[i]
		if t.State == TaskWaiting {
			t.State = TaskCancelled
		}
		if !t.State.Terminal() {
			numOpen++
		}
	}
	if numOpen > 0 {
		d.setWaitReason(reason.WorkerUnreachable, fmt.Sprintf("%d tasks are not proved to be over yet", numOpen))
		return shortPause * 4, nil
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
