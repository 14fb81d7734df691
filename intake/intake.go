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

// Times of a submission.
const (
	// acceptTime bounds the attempts to make a job durable, within the 3 s that callers usually wait.
	acceptTime = 2400 * time.Millisecond
	// writeTime bounds one attempt.
	writeTime = 900 * time.Millisecond
	// slowTable is the usual time of an answer from which the table counts as slow.
	slowTable = 200 * time.Millisecond
	// retryPause is the pause between attempts.
	retryPause = 60 * time.Millisecond
	// askTime bounds a question to another host.
	askTime = 400 * time.Millisecond
	// readTime bounds the reading of a job's rows.
	readTime = 900 * time.Millisecond
	// backLeast and backMost bound when a refused caller may come back while the table is away. In between it is as long as
	// the table has been away: an outage that has lasted is likely to last, and callers have few tries.
	backLeast = time.Second
	backMost  = 4 * time.Second
)

// Groups answers for the groups of workers, wherever they are run.
type Groups interface {
	// State returns a job's state as the host that runs its group tells it; known is false if nobody does.
	State(ctx context.Context, service, queue, id string) (state graph.State, known bool)
	// Pending returns the number of a queue's jobs of which nothing has started.
	Pending(ctx context.Context, service, queue string) (n int, known bool)
	// Accepted hands a job to its group, if this host runs it.
	Accepted(doc *graph.Job)
}

// RefusedError says that a job was not accepted and never runs.
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

// Intake takes jobs.
type Intake struct {
	Store  table.Store
	Health *table.Health
	Groups Groups
	Log    logrus.FieldLogger
}

func jobKey(service, id string) table.Key {
	return table.Key{Table: runner.TableJobs(service), Part: runner.JobPartition(service, id), Name: id}
}

// Submit makes a job durable; the same id again is the same job.
func (i *Intake) Submit(ctx context.Context, doc *graph.Job) error {
	raw, err := doc.Encode()
	if err != nil {
		return err
	}
	key := jobKey(doc.Service, doc.ID)
	created, err := i.write(ctx, table.Tx{
		Checks: []table.Check{{Key: key}}, Writes: []table.Write{{Key: key, Value: raw}},
	})
	if created {
		// A repeated request is not handed over: its job may have run already.
		i.Groups.Accepted(doc)
	}
	i.logged("submit", doc.Queue, doc.ID, err)
	return err
}

func (i *Intake) logged(op, queue, id string, err error) {
	log := i.Log.WithFields(logrus.Fields{"op": op, "queue": queue, "job": id})
	if err != nil {
		log.WithError(err).Warn("call failed")
		return
	}
	log.Info("call done")
}

// write commits a transaction that creates one row, and reports whether this call surely created it; that the row exists
// already is no error.
func (i *Intake) write(ctx context.Context, tx table.Tx) (created bool, err error) {
	if !i.Health.Reachable(time.Now()) {
		return false, i.away(&table.RefusedError{Op: "commit"})
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	if late := i.tooLate(ctx); late != nil {
		return false, late
	}
	unsure := false
	for {
		call, done := context.WithTimeout(ctx, i.Health.Patience(writeTime, time.Now()))
		_, err := i.Store.Commit(call, tx)
		done()
		var conflict *table.ConflictError
		var refused *table.RefusedError
		switch {
		case err == nil:
			return true, nil
		case errors.As(err, &conflict):
			return false, nil
		case errors.As(err, &refused) && !unsure:
			return false, i.away(err)
		case !errors.As(err, &refused):
			unsure = true
		}
		if !clock.Pause(ctx, retryPause) || ctx.Err() != nil {
			return false, &UnknownError{err}
		}
	}
}

// tooLate returns the refusal of a call whose caller will have left before a slow table can answer.
func (i *Intake) tooLate(ctx context.Context) error {
	latency := i.Health.Latency(time.Now())
	end, ok := ctx.Deadline()
	if !ok || latency < slowTable || time.Until(end) > latency {
		return nil
	}
	return &RefusedError{"store-slow", latency, &table.RefusedError{Op: "commit"}}
}

// away returns the refusal of a call that the table's absence makes impossible.
func (i *Intake) away(err error) *RefusedError {
	back := min(backMost, max(backLeast, i.Health.Away(time.Now())))
	return &RefusedError{"store-away", back, err}
}

// State returns where a job stands.
func (i *Intake) State(ctx context.Context, q *queues.Queue, id string) (graph.State, error) {
	ask, cancel := context.WithTimeout(ctx, askTime)
	state, known := i.Groups.State(ask, q.Service, q.Name, id)
	cancel()
	if known {
		return state, nil
	}
	found, err := i.stored(ctx, q, id)
	if err != nil {
		return "", err
	}
	if found.cancelled {
		return graph.Cancelled, nil
	}
	return found.state, nil
}

type stored struct {
	state     graph.State
	cancelled bool
}

// stored reads where a job stands from its rows.
func (i *Intake) stored(ctx context.Context, q *queues.Queue, id string) (stored, error) {
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	page, err := i.Store.Read(ctx, table.Range{
		Table: runner.TableJobs(q.Service), Part: runner.JobPartition(q.Service, id), From: id, To: id + runner.CancelSuffix + "\x00", Limit: 2,
	})
	if err != nil {
		return stored{}, i.away(err)
	}
	s := stored{state: graph.Queued}
	exists := false
	for _, row := range page.Rows {
		if row.Name != id {
			s.cancelled = row.Name == id+runner.CancelSuffix
			continue
		}
		doc, err := graph.DecodeJob(row.Value)
		if err != nil {
			return stored{}, err
		}
		exists = doc.Queue == q.Name
	}
	if !exists {
		return stored{}, &NotFoundError{id}
	}
	err = i.readProgress(ctx, q, id, &s)
	return s, err
}

func (i *Intake) readProgress(ctx context.Context, q *queues.Queue, id string, s *stored) error {
	page, err := i.Store.Read(ctx, table.Range{
		Table: runner.TableRuns, Part: q.Service, From: id, To: id + "\x00", Limit: 1,
	})
	if err != nil {
		return i.away(err)
	}
	for _, row := range page.Rows {
		p, err := graph.DecodeProgress(row.Value)
		if err != nil {
			return err
		}
		s.state = p.State
		s.cancelled = s.cancelled && !p.State.Over()
	}
	return nil
}

// Cancel makes the cancelling of a job durable.
func (i *Intake) Cancel(ctx context.Context, q *queues.Queue, id string) error {
	found, err := i.stored(ctx, q, id)
	if err == nil && !found.cancelled && !found.state.Over() {
		key := jobKey(q.Service, id)
		key.Name += runner.CancelSuffix
		_, err = i.write(ctx, table.Tx{
			Checks: []table.Check{{Key: key}}, Writes: []table.Write{{Key: key, Value: []byte("1")}},
		})
	}
	i.logged("cancel", q.Name, id, err)
	return err
}

// Pending returns the number of a queue's jobs of which nothing has started.
func (i *Intake) Pending(ctx context.Context, q *queues.Queue) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	n, known := i.Groups.Pending(ctx, q.Service, q.Name)
	if !known {
		return 0, &RefusedError{"no-runner", backLeast, nil}
	}
	return n, nil
}
