package intake

import (
	"context"
	"errors"
	"fmt"
	"slices"
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
	// reportedTimeout limits a query to the host that runs a group before a job is refused, which callers should learn at once.
	reportedTimeout = 50 * time.Millisecond
	// readTimeout limits reading a job's rows.
	readTimeout = 900 * time.Millisecond
	// minRetryAfter and maxRetryAfter limit the time after which a refused caller may retry while the table is unreachable.
	// Within them it is as long as the outage has lasted: a long outage is likely to continue, and callers make few attempts.
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// Groups queries the groups of workers, whichever hosts run them. It reports nothing of jobs that the caller doesn't see.
type Groups interface {
	// State returns a job's state as reported by the host that runs its group; known is false if no host reports it.
	State(ctx context.Context, service, queue, id string, caller queues.Caller) (state graph.State, known bool)
	// Stored reports whether the host that runs a job's group, or was the last one that this host knows of, has seen the job in the table. Unlike a
	// state, that can't be out of date.
	Stored(ctx context.Context, service, queue, id string, caller queues.Caller) bool
	// Pending returns the number of a queue's jobs of which no task has started; known is false if no host reports it.
	Pending(ctx context.Context, service, queue string, caller queues.Caller) (n int, known bool)
	// Accepted passes a newly accepted job to its group, if this host runs it.
	Accepted(job *graph.Job)
}

// RefusedError says that a request was refused; a refused job was not accepted and never runs. It hides its cause, like UnknownError.
type RefusedError struct {
	Reason     string
	RetryAfter time.Duration
	Err        error
}

// Error names the reason.
func (e *RefusedError) Error() string { return fmt.Sprintf("refused: %s: %v", e.Reason, e.Err) }

// UnknownError says that a change may have taken effect. It hides its cause from errors.As: that may be the refusal of one call, which is not the
// outcome of the request.
type UnknownError struct {
	Err error
}

// Error names the cause.
func (e *UnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Err) }

// NotFoundError says that no such job was accepted.
type NotFoundError struct {
	Job string
}

// Error names the job.
func (e *NotFoundError) Error() string { return fmt.Sprintf("job %s does not exist", e.Job) }

// Intake accepts, reports and cancels jobs. To a caller, a job of another team is like an ID that does not exist, except that the ID can't be used.
type Intake struct {
	Store  table.Store
	Health *table.Health
	// Recheck reports whether a table that did not answer does so by now; nil means that it is not known. It takes at most a fraction of a second.
	Recheck func(ctx context.Context) bool
	Groups  Groups
	Log     logrus.FieldLogger

	endpoints endpoints
}

// Submit stores a job that was submitted to a queue; submitting the same ID at its endpoint again refers to the same job.
func (i *Intake) Submit(ctx context.Context, q *queues.Queue, job *graph.Job, caller queues.Caller) error {
	a := &attempt{startedAt: time.Now(), caller: caller, row: rowUnread}
	err := a.settle(i.accept(ctx, a, q, job))
	// A holder of an earlier version would report another team's job too.
	if err != nil && a.row != rowOtherTeam && i.reported(ctx, q, job.ID, caller) {
		a.row, err = rowReported, nil
	}
	i.logResult("submit", job.Queue, job.ID, a, err)
	return err
}

// reported reports whether a host that runs a group of the endpoint knows a job, so that this or an earlier request has stored it, though this
// host can't tell from the table. All are asked at once, since some may not answer.
func (i *Intake) reported(ctx context.Context, q *queues.Queue, id string, caller queues.Caller) bool {
	ctx, cancel := context.WithTimeout(ctx, reportedTimeout)
	defer cancel()
	e, _ := i.endpoints.get(endpointKey(q).Name)
	owners := e.Owners
	if !e.has(owner(q)) {
		owners = append(slices.Clone(owners), owner(q))
	}
	answers := make(chan bool, len(owners))
	for _, o := range owners {
		go func() { answers <- i.Groups.Stored(ctx, o.Service, o.Queue, id, caller) }()
	}
	for range owners {
		select {
		case known := <-answers:
			if known {
				return true
			}
		case <-ctx.Done():
			return false
		}
	}
	return false
}

// accept stores a job. One row in the table of the endpoint's home settles which service runs it; another service gets it in its own table after
// that.
func (i *Intake) accept(ctx context.Context, a *attempt, q *queues.Queue, job *graph.Job) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if err := i.checkWritable(ctx); err != nil {
		return err
	}
	e, err := i.registerEndpoint(ctx, q)
	if err != nil {
		return err
	}
	o, err := i.storeIn(ctx, a, q, job, e.home())
	if err != nil || o.Service == e.home() {
		return err
	}
	job.Queue, job.Service = o.Queue, o.Service
	_, err = i.storeIn(ctx, a, q, job, o.Service)
	return err
}

// storeIn stores a job, or its owner if that is another service, in the table of a service, and returns the owner that the row names: an earlier
// request may have stored the job with another one.
func (i *Intake) storeIn(ctx context.Context, a *attempt, q *queues.Queue, job *graph.Job, service string) (graph.Owner, error) {
	encode := job.Encode
	if job.Service != service {
		encode = job.Reference().Encode
	}
	raw, err := encode()
	if err != nil {
		return graph.Owner{}, err
	}
	o, created, err := i.createOnce(ctx, a, q, runner.JobKey(service, job.ID), raw)
	if created && job.Service == service {
		// The job of a repeated request is not passed on, since it may have run already.
		i.Groups.Accepted(job)
	}
	return o, err
}

// createOnce creates the row of a job, unless it exists or the job was cancelled before it, and returns the owner that the row names.
func (i *Intake) createOnce(
	ctx context.Context, a *attempt, q *queues.Queue, key table.Key, raw []byte,
) (o graph.Owner, created bool, err error) {
	conflict, err := i.writeRow(ctx, a, table.Tx{
		Checks: []table.Check{{Key: key}, {Key: runner.CancelKey(key)}}, Writes: []table.Write{{Key: key, Value: raw}},
	})
	if err != nil {
		return graph.Owner{}, false, err
	}
	if conflict == nil {
		a.row = rowCreated
		ref, err := graph.DecodeReference(raw)
		return ref.Owner, true, err
	}
	a.row = rowConflict
	rows, ok := rowsInConflict(key, conflict)
	if !ok {
		if rows, err = i.readRows(ctx, key); err != nil {
			return graph.Owner{}, false, err
		}
	}
	a.row = rowFound
	if rows.job == nil {
		a.row = rowMissing
	}
	switch {
	case rows.job == nil && rows.mark != nil:
		return graph.Owner{}, false, &RefusedError{"cancelled", 0, errCancelled}
	case rows.job == nil:
		return graph.Owner{}, false, &UnknownError{errRowRemoved}
	}
	ref, err := graph.DecodeReference(rows.job.Value)
	if err != nil {
		return graph.Owner{}, false, err
	}
	belongs, err := i.belongs(ctx, q, ref.Owner)
	switch {
	case err != nil:
	case !belongs:
		a.row = rowOther
		err = &RefusedError{"id-in-use", 0, errIDInUse}
	case !a.caller.Sees(ref.Team):
		a.row = rowOtherTeam
		err = &RefusedError{"id-in-use", 0, errIDOfOtherTeam}
	}
	return ref.Owner, false, err
}

var (
	errCancelled     = errors.New("the job was cancelled before it was stored")
	errRowRemoved    = errors.New("the job's row has just been removed")
	errIDInUse       = errors.New("a job of another queue has this ID")
	errIDOfOtherTeam = errors.New("a job of another team has this ID")
)

// belongs reports whether a job with an owner is one of a queue's endpoint.
func (i *Intake) belongs(ctx context.Context, q *queues.Queue, o graph.Owner) (bool, error) {
	e, err := i.endpoint(ctx, q)
	if err != nil || e.has(o) {
		return err == nil, err
	}
	// Another host may have registered the owner since the record was read.
	e, err = i.readEndpoint(ctx, q)
	return err == nil && e.has(o), err
}

// logResult logs the outcome of a request, and what it rests on.
func (i *Intake) logResult(op, queue, id string, a *attempt, err error) {
	log := i.Log.WithFields(logrus.Fields{"op": op, "queue": queue, "job": id, "answer": string(OutcomeOf(err))}).WithFields(a.fields())
	if err != nil {
		log.WithError(err).Warn("call failed")
		return
	}
	log.Info("call done")
}

// writeRow commits a transaction that writes one row, and returns the conflict with what is there instead, or nil if this call is known to
// have written the row.
func (i *Intake) writeRow(ctx context.Context, a *attempt, tx table.Tx) (*table.ConflictError, error) {
	if err := i.checkWritable(ctx); err != nil {
		return nil, err
	}
	for {
		call, stop := context.WithTimeout(ctx, i.Health.Timeout(writeTimeout, time.Now()))
		a.commits++
		_, err := i.Store.Commit(call, tx)
		stop()
		var conflict *table.ConflictError
		var refused *table.RefusedError
		switch {
		case err == nil:
			return nil, nil
		case errors.As(err, &conflict):
			return conflict, nil
		case !errors.As(err, &refused):
			a.unanswered++
		case a.unanswered == 0:
			return nil, i.unreachableError(err)
		}
		if !clock.Pause(ctx, retryDelay) || ctx.Err() != nil {
			return nil, &UnknownError{err}
		}
	}
}

// checkWritable returns the refusal of a call that is known not to be able to change the table in time, or nil.
func (i *Intake) checkWritable(ctx context.Context) error { return i.checkTable(ctx, i.Recheck) }

// Refusal returns how a job that is submitted now would be refused for the state of the table, or nil. Unlike Submit, it doesn't try whether a table
// that did not answer does so by now.
func (i *Intake) Refusal(ctx context.Context) *RefusedError {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	var refused *RefusedError
	errors.As(i.checkTable(ctx, nil), &refused)
	return refused
}

func (i *Intake) checkTable(ctx context.Context, recheck func(ctx context.Context) bool) error {
	if !i.Health.Reachable(time.Now()) && (recheck == nil || !recheck(ctx)) {
		return i.unreachableError(&table.RefusedError{Op: "commit"})
	}
	return i.slowTableError(ctx)
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
func (i *Intake) State(ctx context.Context, q *queues.Queue, id string, caller queues.Caller) (graph.State, error) {
	if state, known := i.groupState(ctx, owner(q), id, caller); known {
		return state, nil
	}
	stored, err := i.findJob(ctx, q, id, caller)
	switch {
	case err != nil:
		return "", err
	case stored.version == 0:
		return "", &NotFoundError{id}
	}
	if stored.owner != owner(q) {
		if state, known := i.groupState(ctx, stored.owner, id, caller); known {
			return state, nil
		}
	}
	if stored.cancelled {
		return graph.Cancelled, nil
	}
	return stored.state, nil
}

func (i *Intake) groupState(ctx context.Context, o graph.Owner, id string, caller queues.Caller) (state graph.State, known bool) {
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	return i.Groups.State(ctx, o.Service, o.Queue, id, caller)
}

// storedJob is a job according to its rows.
type storedJob struct {
	key table.Key
	// version is that of the job's row, which never changes; 0 if there is none.
	version uint64
	// mark is the version of the mark of a cancelled job; 0 if there is none.
	mark  uint64
	owner graph.Owner
	state graph.State
	// cancelled says that the job is marked as cancelled but not finished.
	cancelled bool
}

// jobRows are the rows of a job in the table of one service, and the mark of a cancelled job; each is nil if there is none.
type jobRows struct {
	job, mark *table.Row
}

// rowsInConflict returns the rows of a job, whose key is given, as a conflict over their creation lists them; ok is false if it doesn't.
func rowsInConflict(key table.Key, conflict *table.ConflictError) (rows jobRows, ok bool) {
	mark := runner.CancelKey(key)
	for _, row := range conflict.Rows {
		switch {
		case row.Version == 0 || row.Deleted:
		case row.Key == mark:
			rows.mark = &row
		case row.Key == key && len(row.Value) > 0:
			rows.job = &row
		default:
			return jobRows{}, false
		}
	}
	return rows, rows.job != nil || rows.mark != nil
}

// readRows reads the rows of a job, whose key is given, as of one moment.
func (i *Intake) readRows(ctx context.Context, key table.Key) (jobRows, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	mark := runner.CancelKey(key)
	page, err := i.Store.Read(ctx, table.Range{
		Table: key.Table, Partition: key.Partition, From: key.Name, To: mark.Name + "\x00", Limit: 2,
	})
	if err != nil {
		return jobRows{}, i.unreachableError(err)
	}
	var rows jobRows
	for _, row := range page.Rows {
		switch row.Name {
		case key.Name:
			rows.job = &row
		case mark.Name:
			rows.mark = &row
		}
	}
	return rows, nil
}

// findJob reads a job from its rows, in the table of the endpoint's home and, if that names another service, in the table of that one. A job that the
// caller doesn't see is *NotFoundError, while one that isn't stored has version 0.
func (i *Intake) findJob(ctx context.Context, q *queues.Queue, id string, caller queues.Caller) (storedJob, error) {
	e, err := i.endpoint(ctx, q)
	if err != nil {
		return storedJob{}, err
	}
	stored, err := i.readJob(ctx, e.home(), id, caller)
	if err == nil && stored.version > 0 && stored.owner.Service != e.home() {
		stored, err = i.readJob(ctx, stored.owner.Service, id, caller)
	}
	if err != nil || stored.version == 0 {
		return stored, err
	}
	belongs, err := i.belongs(ctx, q, stored.owner)
	if err == nil && !belongs {
		err = &NotFoundError{id}
	}
	if err != nil {
		return storedJob{}, err
	}
	err = i.readProgress(ctx, id, &stored)
	return stored, err
}

// readJob reads a job from its rows in the table of a service, which may name another owner; one that the caller doesn't see is *NotFoundError.
func (i *Intake) readJob(ctx context.Context, service, id string, caller queues.Caller) (storedJob, error) {
	key := runner.JobKey(service, id)
	rows, err := i.readRows(ctx, key)
	if err != nil {
		return storedJob{}, err
	}
	stored := storedJob{key: key, state: graph.Queued, cancelled: rows.mark != nil}
	if rows.mark != nil {
		stored.mark = rows.mark.Version
	}
	if rows.job == nil {
		return stored, nil
	}
	ref, err := graph.DecodeReference(rows.job.Value)
	if err != nil {
		return storedJob{}, err
	}
	if !caller.Sees(ref.Team) {
		return storedJob{}, &NotFoundError{id}
	}
	stored.version, stored.owner = rows.job.Version, ref.Owner
	return stored, nil
}

// readProgress sets the state of a job that has stored progress.
func (i *Intake) readProgress(ctx context.Context, id string, s *storedJob) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := i.Store.Read(ctx, table.Range{
		Table: runner.TableRuns, Partition: s.owner.Service, From: id, To: id + "\x00", Limit: 1,
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

// Cancel stores that a job is cancelled. It does so for an unknown ID too, since a request that stores the job may still be performed by the table;
// the result then is *NotFoundError. So it is for a job of another team, of which nothing is stored.
func (i *Intake) Cancel(ctx context.Context, q *queues.Queue, id string, caller queues.Caller) error {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	a := &attempt{startedAt: time.Now(), caller: caller}
	err := a.settle(i.cancel(ctx, a, q, id))
	i.logResult("cancel", q.Name, id, a, err)
	return err
}

func (i *Intake) cancel(ctx context.Context, a *attempt, q *queues.Queue, id string) error {
	if _, err := i.registerEndpoint(ctx, q); err != nil {
		return err
	}
	for first := true; ; first = false {
		stored, err := i.findJob(ctx, q, id, a.caller)
		if err != nil {
			return err
		}
		// The mark of an unknown job is removed some time after it was written, so that one from before this request may be too old.
		renew := stored.version == 0 && first
		if renew || !stored.cancelled && !stored.state.Terminal() {
			// The job's row must be as it was read: either this mark or the acceptance comes first.
			mark := runner.CancelKey(stored.key)
			conflict, err := i.writeRow(ctx, a, table.Tx{
				Checks: []table.Check{{Key: stored.key, Version: stored.version}, {Key: mark, Version: stored.mark}},
				Writes: []table.Write{{Key: mark, Value: []byte("1")}},
			})
			if err != nil {
				return err
			}
			if conflict != nil {
				continue
			}
		}
		if stored.version == 0 {
			return &NotFoundError{id}
		}
		return nil
	}
}

// Pending returns the number of jobs of a queue's endpoint that the caller sees and of which no task has started.
func (i *Intake) Pending(ctx context.Context, q *queues.Queue, caller queues.Caller) (int, error) {
	e, err := i.endpoint(ctx, q)
	if err != nil {
		return 0, err
	}
	ctx, cancel := context.WithTimeout(ctx, groupTimeout)
	defer cancel()
	total, known := i.Groups.Pending(ctx, q.Service, q.Name, caller)
	if !known {
		return 0, &RefusedError{"no-runner", minRetryAfter, nil}
	}
	for _, o := range e.Owners {
		if o == owner(q) {
			continue
		}
		// A service that the configuration doesn't name any more has no runner, so its jobs can't be counted.
		n, _ := i.Groups.Pending(ctx, o.Service, o.Queue, caller)
		total += n
	}
	return total, nil
}
