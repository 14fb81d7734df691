package jobs

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/store"
)

const (
	scanEvery  = 5 * time.Second
	scanPause  = 200 * time.Millisecond
	bodyInline = 16 << 10
	// acceptTime bounds the wait for the table when a job is submitted or cancelled.
	acceptTime = 5 * time.Second
)

// Stats counts events of jobs.
type Stats interface {
	Job(event string)
	Retry(why reason.Reason)
}

// Config is what a book of jobs works with.
type Config struct {
	Table  Table
	Writer Writer
	Fleet  Fleet
	Homes  *Homes
	Stats  Stats
	Log    logrus.FieldLogger
	// Work looks work up in the catalogue in force.
	Work func(name string) (entry.Work, bool)
	// Estimate is the learned run time of work.
	Estimate func(work entry.Work) time.Duration
}

// Book accepts jobs and drives those whose home this host is.
type Book struct {
	table    Table
	writer   Writer
	fleet    Fleet
	homes    *Homes
	stats    Stats
	log      logrus.FieldLogger
	work     func(name string) (entry.Work, bool)
	estimate func(work entry.Work) time.Duration

	mu      sync.Mutex
	drivers map[string]*driver
	wake    chan int
}

// NewBook returns a book that drives nothing until Run is called.
func NewBook(cfg Config) *Book {
	return &Book{
		table: cfg.Table, writer: cfg.Writer, fleet: cfg.Fleet, homes: cfg.Homes, stats: cfg.Stats, log: cfg.Log,
		work: cfg.Work, estimate: cfg.Estimate, drivers: map[string]*driver{}, wake: make(chan int, Shards*4),
	}
}

// Submit accepts a job: when it returns without an error, the job's row is written.
func (b *Book) Submit(ctx context.Context, job Job) (Job, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	if len(job.Body) > bodyInline {
		job.BodyObject = "body/" + job.ID
		if err := b.table.PutObject(ctx, job.BodyObject, job.Body); err != nil {
			return Job{}, reason.Refuse(reason.StoreUnavailable, "the job's body could not be stored")
		}
		job.Body = nil
	}
	job.State, job.Created, job.Writer = Waiting, time.Now().UTC(), uuid.NewString()
	value, err := json.Marshal(job)
	if err != nil {
		return Job{}, err
	}
	// The check of the row of ended jobs keeps a repeated submission from running a job again.
	_, err = b.writer.Do(ctx, store.Op{
		Checks: []store.Check{{Key: rowKey(job.ID)}, {Key: doneKey(job.ID)}},
		Writes: []store.Write{{Key: rowKey(job.ID), Value: value}},
	})
	var conflict *store.ConflictError
	switch {
	case err == nil:
		b.stats.Job("accepted")
		return job, nil
	case errors.As(err, &conflict):
		return repeated(job, conflict)
	default:
		return Job{}, reason.Uncertain(reason.StoreUnavailable, "the job may or may not have been accepted; ask for job %s", job.ID)
	}
}

func repeated(job Job, conflict *store.ConflictError) (Job, error) {
	for _, row := range conflict.Rows {
		var found Job
		if row.Version == 0 || json.Unmarshal(row.Value, &found) != nil {
			continue
		}
		if found.Digest != job.Digest {
			return Job{}, reason.Refuse(reason.KeyReused, "the idempotency key was used for another job")
		}
		return found, nil
	}
	return Job{}, reason.Uncertain(reason.Internal, "the job's row can't be read")
}

// Get reads a job from the table.
func (b *Book) Get(ctx context.Context, id string) (Job, store.Row, error) {
	rows, err := b.table.Read(ctx, store.Query{Keys: []string{rowKey(id), doneKey(id)}})
	if err != nil {
		if job, ok := b.live(id); ok {
			return job, store.Row{}, nil
		}
		return Job{}, store.Row{}, &reason.Refusal{Outcome: reason.NotRun, Reason: reason.StoreUnavailable, Err: err}
	}
	if len(rows) == 0 {
		return Job{}, store.Row{}, reason.Refuse(reason.NoSuchJob, "there is no job %s", id)
	}
	var job Job
	err = json.Unmarshal(rows[0].Value, &job)
	return job, rows[0], err
}

func (b *Book) live(id string) (Job, bool) {
	b.mu.Lock()
	d, ok := b.drivers[id]
	b.mu.Unlock()
	if !ok {
		return Job{}, false
	}
	return *d.written.Load(), true
}

// Cancel marks a job as cancelled; its home ends what runs.
func (b *Book) Cancel(ctx context.Context, id string) (Job, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	for {
		job, row, err := b.Get(ctx, id)
		if err != nil || job.State.Over() || job.Cancel {
			return job, err
		}
		if row.Key == "" {
			return job, reason.Refuse(reason.StoreUnavailable, "the cancel mark can't be written now")
		}
		job.Cancel, job.Writer = true, uuid.NewString()
		value, err := json.Marshal(job)
		if err != nil {
			return job, err
		}
		_, err = b.writer.Do(ctx, store.Op{
			Checks: []store.Check{{Key: row.Key, Version: row.Version}},
			Writes: []store.Write{{Key: row.Key, Value: value}},
		})
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			continue
		}
		if err != nil {
			return job, reason.Uncertain(reason.StoreUnavailable, "the cancel mark may or may not have been written")
		}
		b.stats.Job("cancel-asked")
		return job, nil
	}
}

// Result reads the answer of one task of a job.
func (b *Book) Result(ctx context.Context, id string, task int) ([]byte, error) {
	body, err := b.table.GetObject(ctx, resultKey(id, task))
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return nil, reason.Refuse(reason.NoSuchJob, "task %d of job %s has no result yet", task, id)
	}
	if err != nil {
		return nil, &reason.Refusal{Outcome: reason.NotRun, Reason: reason.StoreUnavailable, Err: err}
	}
	return body, nil
}

// Body returns a job's body, from the object store if it is large.
func (b *Book) Body(ctx context.Context, job *Job) ([]byte, error) {
	if job.BodyObject == "" {
		return job.Body, nil
	}
	return b.table.GetObject(ctx, job.BodyObject)
}

// Why tells why a job that this host drives waits.
func (b *Book) Why(id string) (why reason.Reason, detail string, ok bool) {
	b.mu.Lock()
	d, ok := b.drivers[id]
	b.mu.Unlock()
	if !ok {
		return "", "", false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.why, d.detail, true
}

// Wake makes the book look for new jobs in a shard now.
func (b *Book) Wake(shard int) {
	select {
	case b.wake <- shard:
	default:
	}
}

// Drivers returns the number of jobs that this host drives.
func (b *Book) Drivers() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.drivers)
}

// Run finds jobs of the shards whose home this host is and drives them until ctx is done.
func (b *Book) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(scanPause)
	defer ticker.Stop()
	var scanned [Shards]time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case shard := <-b.wake:
			if shard >= 0 && shard < Shards && b.homes.Mine(shard) {
				b.scan(ctx, &wg, []int{shard})
			}
		case <-ticker.C:
			var due []int
			for shard := range Shards {
				if b.homes.Mine(shard) && time.Since(scanned[shard]) > scanEvery {
					due = append(due, shard)
					scanned[shard] = time.Now()
				}
				if !b.homes.Mine(shard) {
					scanned[shard] = time.Time{}
				}
			}
			b.scan(ctx, &wg, due)
		}
	}
}

func (b *Book) scan(ctx context.Context, wg *sync.WaitGroup, shards []int) {
	if len(shards) == 0 {
		return
	}
	var q store.Query
	for _, shard := range shards {
		q.Prefixes = append(q.Prefixes, shardPrefix(shard))
	}
	rows, err := b.table.Read(ctx, q)
	if err != nil {
		return
	}
	for _, row := range rows {
		id := row.Key[strings.LastIndexByte(row.Key, '/')+1:]
		b.mu.Lock()
		d, driven := b.drivers[id]
		b.mu.Unlock()
		if driven {
			d.noticeCancel(row)
			continue
		}
		var job Job
		if err := json.Unmarshal(row.Value, &job); err != nil {
			b.log.WithError(err).WithField("job", id).Error("job's row can't be read")
			continue
		}
		b.drive(ctx, wg, job, row.Version)
	}
}

func (b *Book) drive(ctx context.Context, wg *sync.WaitGroup, job Job, version uint64) {
	d := &driver{book: b, job: job, version: version, wake: make(chan struct{}, 1)}
	d.publish()
	b.mu.Lock()
	b.drivers[job.ID] = d
	b.mu.Unlock()
	wg.Go(func() {
		d.run(ctx)
		b.mu.Lock()
		delete(b.drivers, job.ID)
		b.mu.Unlock()
	})
}

// noticeCancel wakes a driver whose row was marked by another host.
func (d *driver) noticeCancel(row store.Row) {
	var found struct {
		Cancel bool `json:"cancel"`
	}
	if json.Unmarshal(row.Value, &found) != nil || !found.Cancel {
		return
	}
	d.cancelSeen.Store(true)
	select {
	case d.wake <- struct{}{}:
	default:
	}
}
