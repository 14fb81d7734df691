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

// Times and sizes of a driver's rounds.
const (
	reserveMost = 32
	reserveWait = time.Second
	reserveHold = 10 * time.Second
	callTimeout = 3 * time.Second
	fastRound   = 50 * time.Millisecond
	slowRound   = 2 * time.Second
	// restRound is the longest pause between two looks at tasks that run.
	restRound   = 10 * time.Second
	failWorkers = 3
)

// Table is the part of the platform that jobs need.
type Table interface {
	Read(ctx context.Context, q store.Query) ([]store.Row, error)
	PutObject(ctx context.Context, key string, value []byte) error
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// Writer applies changes of rows.
type Writer interface {
	Do(ctx context.Context, op store.Op) (uint64, error)
}

// Place is the worker that has room for a task.
type Place struct {
	Worker     string
	DataCenter string
	Rack       string
}

// Need is what a task of a job wants.
type Need struct {
	Task       string
	Work       entry.Work
	Avoid      []string
	AvoidRacks []string
	Wait       time.Duration
	Hold       time.Duration
}

// Fleet reaches the holders of workers.
type Fleet interface {
	Reserve(ctx context.Context, need Need) (Place, error)
	Release(ctx context.Context, task string, at Place)
	Start(ctx context.Context, task string, work entry.Work, at Place, job *Job) (worker.TaskState, error)
	Inspect(ctx context.Context, task string, at Place) (worker.Answer, error)
	Stop(ctx context.Context, task string, at Place) (worker.Answer, error)
}

// driver carries one job from its row to its end.
type driver struct {
	book    *Book
	work    entry.Work
	wake    chan struct{}
	backoff time.Duration
	gang    gathering
	// cancelSeen says that the row was seen with a cancel mark.
	cancelSeen atomic.Bool
	// written is the job as last written, for readers in other goroutines.
	written atomic.Pointer[Job]

	mu      sync.Mutex
	job     Job
	version uint64
	why     reason.Reason
	detail  string
}

var errFenced = errors.New("the job has another home now")

func (d *driver) run(ctx context.Context) {
	defer d.letGo(ctx)
	for ctx.Err() == nil && d.book.homes.Mine(ShardOf(d.job.ID)) {
		pause, err := d.round(ctx)
		if errors.Is(err, errFenced) || d.job.State.Over() {
			return
		}
		if err != nil {
			pause = slowRound
			d.explain(reason.StoreUnavailable, err.Error())
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

// round does one step for every task and writes the row before anything irrevocable.
func (d *driver) round(ctx context.Context) (time.Duration, error) {
	work, ok := d.book.work(d.job.Work)
	if ok {
		d.work = work
	}
	if d.cancelSeen.Swap(false) && !d.job.Cancel {
		// The write conflicts with the mark and takes it in.
		if err := d.write(ctx); err != nil {
			return 0, err
		}
	}
	if d.job.Cancel {
		return d.cancelRound(ctx)
	}
	if err := d.inspect(ctx); err != nil {
		return 0, err
	}
	if d.finish() {
		return 0, d.write(ctx)
	}
	if !ok {
		d.explain(reason.NoSuchEntry, "the catalogue has no work "+d.job.Work)
		return slowRound, nil
	}
	return d.place(ctx)
}

func (d *driver) explain(why reason.Reason, detail string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.why, d.detail = why, detail
}

func (d *driver) write(ctx context.Context) error {
	d.job.Writer = uuid.NewString()
	value, err := json.Marshal(d.job)
	if err != nil {
		return err
	}
	key := rowKey(d.job.ID)
	op := store.Op{Checks: []store.Check{{Key: key, Version: d.version}}}
	if d.job.State.Over() {
		op.Writes = []store.Write{{Key: key, Delete: true}, {Key: doneKey(d.job.ID), Value: value}}
	} else {
		op.Writes = []store.Write{{Key: key, Value: value}}
	}
	version, err := d.book.writer.Do(ctx, op)
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return d.reload(conflict.Rows[0])
	}
	if err != nil {
		return err
	}
	d.version = version
	d.publish()
	return nil
}

// reload takes in a cancel mark that a host set meanwhile; any other change means that this driver is not the home.
func (d *driver) reload(row store.Row) error {
	var found Job
	if row.Version == 0 || json.Unmarshal(row.Value, &found) != nil {
		return errFenced
	}
	if !found.Cancel || d.job.Cancel {
		return errFenced
	}
	d.job, d.version = found, row.Version
	d.publish()
	return nil
}

func (d *driver) publish() {
	written := d.job
	written.Tasks = append([]Task(nil), d.job.Tasks...)
	d.written.Store(&written)
}

type step struct {
	index int
	at    Place
	state worker.TaskState
	body  []byte
	err   error
}

// each runs do for the tasks in one of the states, a bounded number at once.
func (d *driver) each(states []TaskState, most int, do func(i int, t Task) step) []step {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var steps []step
	for i, t := range d.job.Tasks {
		if !slices.Contains(states, t.State) || most == 0 {
			continue
		}
		most--
		wg.Go(func() {
			s := do(i, t)
			s.index = i
			mu.Lock()
			defer mu.Unlock()
			steps = append(steps, s)
		})
	}
	wg.Wait()
	return steps
}

func (d *driver) taskID(i int) string { return TaskID(d.job.ID, i, d.job.Tasks[i].Attempt) }

func (t Task) place() Place { return Place{Worker: t.Worker, DataCenter: t.DataCenter, Rack: t.Rack} }
