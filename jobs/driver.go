package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/store"
	"github.com/corianderdrift/corianderdrift/worker"
)

// Intervals and limits of a driver's rounds.
const (
	maxReservations = 32
	reserveTimeout  = time.Second
	reservationTTL  = 10 * time.Second
	callTimeout     = 3 * time.Second
	shortPause      = 50 * time.Millisecond
	retryPause      = 2 * time.Second
	// maxInspectInterval is the longest pause between two inspections of running tasks.
	maxInspectInterval = 10 * time.Second
	maxFailedWorkers   = 3
)

// Table reads rows and stores objects on the platform.
type Table interface {
	Read(ctx context.Context, q store.Query) ([]store.Row, error)
	PutObject(ctx context.Context, key string, value []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// Writer applies conditional writes to rows.
type Writer interface {
	Do(ctx context.Context, op store.Op) (uint64, error)
}

// Placement is the worker on which capacity is reserved for a task.
type Placement struct {
	Worker     string
	DataCenter string
	Rack       string
}

// ReserveRequest describes the capacity that a task of a job needs.
type ReserveRequest struct {
	Task         string
	Work         entry.Work
	AvoidWorkers []string
	AvoidRacks   []string
	Timeout      time.Duration
	TTL          time.Duration
}

// Fleet calls the lease holders of workers.
type Fleet interface {
	Reserve(ctx context.Context, req ReserveRequest) (Placement, error)
	Release(ctx context.Context, task string, at Placement)
	Start(ctx context.Context, task string, work entry.Work, at Placement, job *Job) (worker.TaskState, error)
	Inspect(ctx context.Context, task string, at Placement) (worker.Answer, error)
	Stop(ctx context.Context, task string, at Placement) (worker.Answer, error)
}

// driver runs one job to its terminal state.
type driver struct {
	manager     *Manager
	work        entry.Work
	wake        chan struct{}
	backoff     time.Duration
	reservation gangReservation
	// epoch is that of the shard's lease in which the present round began.
	epoch uint64
	// cancelSeen is set when a scan finds a cancellation request in the row.
	cancelSeen atomic.Bool
	// lastWritten is a snapshot of the job as last read or written, for other goroutines.
	lastWritten atomic.Pointer[Job]

	mu         sync.Mutex
	job        Job
	version    uint64
	waitReason reason.Reason
	waitDetail string
}

var errFenced = errors.New("the job's row was changed by another leader")

func (d *driver) run(ctx context.Context) {
	defer d.releaseGang(ctx)
	for ctx.Err() == nil {
		epoch, remaining := d.manager.leaders.tenure(ShardOf(d.job.ID))
		if remaining == 0 {
			return
		}
		d.epoch = epoch
		pause, err := d.round(ctx)
		if errors.Is(err, errFenced) || d.job.State.Terminal() {
			return
		}
		if err != nil {
			pause = retryPause
			d.setWaitReason(reason.StoreUnavailable, err.Error())
		}
		timer := time.NewTimer(pause)
		select {
		case <-timer.C:
		case <-d.wake:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// round advances every task by one step and writes the row before any action that can't be undone.
func (d *driver) round(ctx context.Context) (time.Duration, error) {
	work, ok := d.manager.lookupWork(d.job.Work)
	if ok {
		d.work = work
	}
	if d.cancelSeen.Swap(false) && !d.job.Cancel {
		// The write conflicts with the cancellation request, and the driver reloads the row.
		if err := d.write(ctx); err != nil {
			return 0, err
		}
	}
	if d.job.Cancel {
		return d.cancelRound(ctx)
	}
	if err := d.inspectTasks(ctx); err != nil {
		return 0, err
	}
	if d.tryComplete() {
		return 0, d.write(ctx)
	}
	if !ok {
		d.setWaitReason(reason.NoSuchEntry, "the catalogue has no work "+d.job.Work)
		return retryPause, nil
	}
	return d.placeTasks(ctx)
}

// whileLeading returns a context for a call that must not be sent once another host may have concluded that it never will be: it ends with the
// leadership in which the round began. It reports false if that has ended.
func (d *driver) whileLeading(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	epoch, remaining := d.manager.leaders.tenure(ShardOf(d.job.ID))
	ctx, cancel := context.WithTimeout(ctx, remaining)
	return ctx, cancel, remaining > 0 && epoch == d.epoch
}

func (d *driver) setWaitReason(why reason.Reason, detail string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.waitReason, d.waitDetail = why, detail
}

func (d *driver) write(ctx context.Context) error {
	d.job.WriteID = uuid.NewString()
	value, err := json.Marshal(d.job)
	if err != nil {
		return err
	}
	key := rowKey(d.job.ID)
	op := store.Op{Checks: []store.Check{{Key: key, Version: d.version}}}
	if d.job.State.Terminal() {
		op.Writes = []store.Write{{Key: key, Delete: true}, {Key: finishedKey(d.job.ID), Value: value}}
	} else {
		op.Writes = []store.Write{{Key: key, Value: value}}
	}
	version, err := d.manager.writer.Do(ctx, op)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return d.reloadAfterConflict(conflict.Rows[0])
	}
	if err != nil {
		return err
	}
	d.version = version
	d.publishSnapshot()
	return nil
}

// reloadAfterConflict adopts the row if the conflict is a new cancellation request; any other change means that this
// host no longer leads the shard.
func (d *driver) reloadAfterConflict(row store.Row) error {
	var found Job
	if row.Version == 0 || json.Unmarshal(row.Value, &found) != nil {
		return errFenced
	}
	if !found.Cancel || d.job.Cancel {
		return errFenced
	}
	d.job, d.version = found, row.Version
	d.publishSnapshot()
	return nil
}

func (d *driver) publishSnapshot() {
	snapshot := d.job
	snapshot.Tasks = append([]Task(nil), d.job.Tasks...)
	d.lastWritten.Store(&snapshot)
}

// taskResult is the result of one fleet call for a task.
type taskResult struct {
	index     int
	placement Placement
	state     worker.TaskState
	body      []byte
	err       error
}

// forEachTask runs call concurrently for up to maxTasks tasks in the given states; a negative maxTasks sets no limit.
func (d *driver) forEachTask(states []TaskState, maxTasks int, call func(i int, t Task) taskResult) []taskResult {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var results []taskResult
	for i, t := range d.job.Tasks {
		if !slices.Contains(states, t.State) || maxTasks == 0 {
			continue
		}
		maxTasks--
		wg.Go(func() {
			result := call(i, t)
			result.index = i
			mu.Lock()
			defer mu.Unlock()
			results = append(results, result)
		})
	}
	wg.Wait()
	return results
}

func (d *driver) taskID(i int) string { return TaskID(d.job.ID, i, d.job.Tasks[i].Attempt) }

func (t Task) placement() Placement {
	return Placement{Worker: t.Worker, DataCenter: t.DataCenter, Rack: t.Rack}
}
