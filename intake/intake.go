package intake

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

// Timeouts and delays of requests.
const (
	// acceptTimeout limits all attempts to store a job, within the 3 s that callers usually wait.
	acceptTimeout = 2400 * time.Millisecond
	// writeTimeout limits one attempt.
	writeTimeout = 900 * time.Millisecond
	// slowTableLatency is the usual latency from which the table counts as slow.
	slowTableLatency = 200 * time.Millisecond
	// retryDelay is the delay between attempts.
	retryDelay = 60 * time.Millisecond
	// groupTimeout limits a query to the host that runs a group.
	groupTimeout = 400 * time.Millisecond
	// readTimeout limits reading a job's rows.
	readTimeout = 900 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the time after which a refused caller may retry while the table is unreachable.
	// Within them it is as long as the outage has lasted: a long outage is likely to continue, and callers make few attempts.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// Groups queries the groups of workers, whichever hosts run them.
type Groups interface {
	// State returns a job's state as reported by the host that runs its group; known is false if no host reports it.
	State(ctx context.Context, service, queue, id string) (state graph.State, known bool)
	// Pending returns the number of a queue's jobs of which no task has started; known is false if no host reports it.
	Pending(ctx context.Context, service, queue string) (n int, known bool)
	// Accepted passes a newly accepted job to its group, if this host runs it.
	Accepted(job *graph.Job)
}

// RefusedError says that a request was refused; a refused job was not accepted and never runs.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	Err        error
}

// Error names the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused: %s: %v", e.Reason, e.Err) }

// Unwrap returns the cause.
func (e *RefusedError) Unwrap() error { return e.Err }

// UnknownError says that a change may have taken effect.
type UnknownError struct {
	Err error
}

// Error names the cause.
func (e *UnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Err }

// NotFoundError says that no such job was accepted.
type NotFoundError struct {
	Job string
}

// Error names the job.
func (e *NotFoundError) Error() string { return fmt.Sprintf("job %s does not exist", e.Job) }

// Intake accepts, reports and cancels jobs.
type Intake struct {
	Store  table.Store
	Health *table.Health
	Groups Groups
	Log    logrus.FieldLogger
}

func jobKey(service, id string) table.Key {
	return table.Key{Table: runner.TableJobs(service), Partition: runner.JobPartition(service, id), Name: id}
}

// Submit stores a job; submitting the same ID again refers to the same job.
func (i *Intake) Submit(ctx context.Context, job *graph.Job) error {
	raw, err := job.Encode()
	if err != nil {
		return err
	}
	key := jobKey(job.Service, job.ID)
	created, err := i.createRow(ctx, table.Tx{
		Checks: []table.Check{{Key: key}}, Writes: []table.Write{{Key: key, Value: raw}},
	})
	if created {
		// The job of a repeated request is not passed on, since it may have run already.
		i.Groups.Accepted(job)
	}
	i.logResult("submit", job.Queue, job.ID, err)
	return err
}

// logResult logs the outcome of a request.
func (i *Intake) logResult(op, queue, id string, err error) {
	log := i.Log.WithFields(logrus.Fields{"op": op, "queue": queue, "job": id})
	if err != nil {
		log.WithError(err).Warn("call failed")
		return
	}
	log.Info("call done")
}

// createRow commits a transaction that creates one row, and reports whether this call is known to have created it; if the row
// exists already, there is no error.
func (i *Intake) createRow(ctx context.Context, tx table.Tx) (created bool, err error) {
	if !i.Health.Reachable(time.Now()) {
		return false, i.unreachableError(&table.RefusedError{Op: "commit"})
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if refusal := i.slowTableError(ctx); refusal != nil {
		return false, refusal
	}
	mayExist := false
	for {
		call, stop := context.WithTimeout(ctx, i.Health.Timeout(writeTimeout, time.Now()))
		_, err := i.Store.Commit(call, tx)
		stop()
		var conflict *table.ConflictError
		var refused *table.RefusedError
		switch {
		case err == nil:
			return true, nil
		case errors.As(err, &conflict):
			return false, nil
		case errors.As(err, &refused) && !mayExist:
			return false, i.unreachableError(err)
		case !errors.As(err, &refused):
			mayExist = true
		}
		if !clock.Pause(ctx, retryDelay) || ctx.Err() != nil {
			return false, &UnknownError{err}
		}
	}
}

// slowTableError returns the refusal of a call whose deadline ends before a slow table can reply, or nil.
func (i *Intake) slowTableError(ctx context.Context) error {
	latency := i.Health.Latency(time.Now())
	deadline, ok := ctx.Deadline()
	if !ok || latency < slowTableLatency || time.Until(deadline) > latency {
		return nil
	}
	return &RefusedError{"store-slow", latency, &table.RefusedError{Op: "commit"}}
}

// unreachableError returns the refusal of a call that fails because the table is unreachable.
func (i *Intake) unreachableError(err error) *RefusedError {
	retryAfter := min(maxRetryAfter, max(minRetryAfter, i.Health.UnreachableFor(time.Now())))
	return &RefusedError{"store-away", retryAfter, err}
}

// State returns the state of a job.
func (i *Intake) State(ctx context.Context, q *queues.Queue, id string) (graph.State, error) {
	call, cancel := context.WithTimeout(ctx, groupTimeout)
	state, known := i.Groups.State(call, q.Service, q.Name, id)
	cancel()
	if known {
		return state, nil
	}
	stored, err := i.readStored(ctx, q, id)
	if err != nil {
		return "", err
	}
	if stored.cancelled {
		return graph.Cancelled, nil
	}
	return stored.state, nil
}

// storedState is the state of a job according to its rows, and whether it is marked as cancelled but not finished.
type storedState struct {
	state     graph.State
	cancelled bool
}

// readStored reads the state of a job from its rows.
func (i *Intake) readStored(ctx context.Context, q *queues.Queue, id string) (storedState, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := i.Store.Read(ctx, table.Range{
		Table: runner.TableJobs(q.Service), Partition: runner.JobPartition(q.Service, id), From: id, To: id + runner.CancelSuffix + "\x00", Limit: 2,
	})
	if err != nil {
		return storedState{}, i.unreachableError(err)
	}
	s := storedState{state: graph.Queued}
	exists := false
	for _, row := range page.Rows {
		if row.Name != id {
			s.cancelled = row.Name == id+runner.CancelSuffix
			continue
		}
		job, err := graph.DecodeJob(row.Value)
		if err != nil {
			return storedState{}, err
		}
		exists = job.Queue == q.Name
	}
	if !exists {
		return storedState{}, &NotFoundError{id}
	}
	err = i.readProgress(ctx, q, id, &s)
	return s, err
}

// readProgress sets the state of a job that has stored progress.
func (i *Intake) readProgress(ctx context.Context, q *queues.Queue, id string, s *storedState) error {
	page, err := i.Store.Read(ctx, table.Range{
		Table: runner.TableRuns, Partition: q.Service, From: id, To: id + "\x00", Limit: 1,
	})
	if err != nil {
		return i.unreachableError(err)
	}
	for _, row := range page.Rows {
		p, err := graph.DecodeProgress(row.Value)
		if err != nil {
			return err
		}
		s.state = p.State
		s.cancelled = s.cancelled && !p.State.Terminal()
	}
	return nil
}

// Cancel stores that a job is cancelled.
func (i *Intake) Cancel(ctx context.Context, q *queues.Queue, id string) error {
	stored, err := i.readStored(ctx, q, id)
	if err == nil && !stored.cancelled && !stored.state.Terminal() {
		key := jobKey(q.Service, id)
		key.Name += runner.CancelSuffix
		_, err = i.createRow(ctx, table.Tx{
			Checks: []table.Check{{Key: key}}, Writes: []table.Write{{Key: key, Value: []byte("1")}},
		})
	}
	i.logResult("cancel", q.Name, id, err)
	return err
}

// Pending returns the number of a queue's jobs of which no task has started.
func (i *Intake) Pending(ctx context.Context, q *queues.Queue) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	n, known := i.Groups.Pending(ctx, q.Service, q.Name)
	if !known {
		return 0, &RefusedError{"no-runner", minRetryAfter, nil}
	}
	return n, nil
}
