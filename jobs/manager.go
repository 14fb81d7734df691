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
	scanInterval  = 5 * time.Second
	scanTick      = 200 * time.Millisecond
	maxInlineBody = 16 << 10
	// acceptTimeout bounds the wait for the table when a job is submitted or cancelled.
	acceptTimeout = 5 * time.Second
)

// Stats counts job events and retries.
type Stats interface {
	Job(event string)
	Retry(why reason.Reason)
}

// Config holds the dependencies of a job manager.
type Config struct {
	Table   Table
	Writer  Writer
	Fleet   Fleet
	Leaders *Leaders
	Stats   Stats
	Log     logrus.FieldLogger
	// LookupWork returns a work entry of the current catalogue.
	LookupWork func(name string) (entry.Work, bool)
	// Estimate returns the learned run time of work.
	Estimate func(work entry.Work) time.Duration
	// MayCancel reports whether a caller of CancelUnknown may cancel jobs of an owner; nil allows all.
	MayCancel func(owner, caller string) bool
}

// Manager accepts jobs and runs those of the shards that this host leads.
type Manager struct {
	table      Table
	writer     Writer
	fleet      Fleet
	leaders    *Leaders
	stats      Stats
	log        logrus.FieldLogger
	lookupWork func(name string) (entry.Work, bool)
	estimate   func(work entry.Work) time.Duration
	mayCancel  func(owner, caller string) bool

	mu      sync.Mutex
	drivers map[string]*driver
	wake    chan int

	// marks holds the marks of cancelled IDs without jobs as last scanned; only Run uses it.
	marks map[string]sightedMark
}

// NewManager returns a job manager that runs no jobs until Run is called.
func NewManager(cfg Config) *Manager {
	return &Manager{
		table: cfg.Table, writer: cfg.Writer, fleet: cfg.Fleet, leaders: cfg.Leaders, stats: cfg.Stats, log: cfg.Log,
		lookupWork: cfg.LookupWork, estimate: cfg.Estimate, mayCancel: cfg.MayCancel,
		drivers: map[string]*driver{}, wake: make(chan int, Shards*4), marks: map[string]sightedMark{},
	}
}

// Submit accepts a job; when it returns without an error, the job's row has been written.
func (m *Manager) Submit(ctx context.Context, job Job) (Job, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	if len(job.Body) > maxInlineBody {
		job.BodyObject = bodyKey(job)
		if err := m.table.PutObject(ctx, job.BodyObject, job.Body); err != nil {
			return Job{}, reason.Refuse(reason.StoreUnavailable, "the job's body could not be stored")
		}
		job.Body = nil
	}
	job.State, job.Created, job.WriteID = Waiting, time.Now().UTC(), uuid.NewString()
	value, err := json.Marshal(job)
	if err != nil {
		return Job{}, err
	}
	return m.storeOnce(ctx, job, value)
}

// storeOnce stores the row of a job, or returns the job that is stored under its ID.
func (m *Manager) storeOnce(ctx context.Context, job Job, value []byte) (Job, error) {
	// Checking the row of the finished job as well keeps a repeated submission from running the job again.
	op := store.Op{
		Checks: []store.Check{{Key: rowKey(job.ID)}, {Key: finishedKey(job.ID)}},
		Writes: []store.Write{{Key: rowKey(job.ID), Value: value}},
	}
	maybePending := false
	for {
		_, err := m.writer.Do(ctx, op)
		var conflict *store.ConflictError
		switch {
		case err == nil:
			m.stats.Job("accepted")
			return job, nil
		case !errors.As(err, &conflict):
			return Job{}, reason.Uncertain(reason.StoreUnavailable, "the job may or may not have been accepted; ask for job %s", job.ID)
		}
		maybePending = maybePending || conflict.Overwritten
		mark, row, marked := findMark(job.ID, conflict.Rows)
		switch {
		case !marked:
			return resolveDuplicate(job, conflict)
		case !m.bindsOwner(mark, job.Owner):
			m.removeMark(ctx, job.ID, row.Version)
		case maybePending:
			// The mark may be removed before the table performs a write of this submission that was not answered.
			return Job{}, reason.Uncertain(reason.Cancelled, "the job was cancelled; its submission may still be stored")
		default:
			return Job{}, reason.Refuse(reason.Cancelled, "the job was cancelled before it was stored")
		}
	}
}

// resolveDuplicate returns the existing job for a repeated submission, or refuses if the key belongs to another job.
func resolveDuplicate(job Job, conflict *store.ConflictError) (Job, error) {
	for _, row := range conflict.Rows {
		var found Job
		if row.Version == 0 || json.Unmarshal(row.Value, &found) != nil {
			continue
		}
		if !job.repeats(found) {
			return Job{}, reason.Refuse(reason.KeyReused, "the idempotency key was used for another job")
		}
		return found, nil
	}
	return Job{}, reason.Uncertain(reason.Internal, "the job's row can't be read")
}

// repeats reports whether a submitted job is the same as a stored one. Digests alone don't show it: they join the parameters and the number of
// tasks without a separator, and hosts of all versions must find the same digests.
func (j *Job) repeats(stored Job) bool {
	// JSON holds each byte that isn't valid UTF-8 as U+FFFD, like the conversion to runes.
	params := string([]rune(j.Params))
	return stored.Digest == j.Digest && stored.Params == params && len(stored.Tasks) == len(j.Tasks)
}

// Get reads a job from the table. If the table is unavailable, it returns the last written state of a job that this
// host runs, with an empty row.
func (m *Manager) Get(ctx context.Context, id string) (Job, store.Row, error) {
	rows, err := m.table.Read(ctx, store.Query{Keys: []string{rowKey(id), finishedKey(id)}})
	if err != nil {
		if job, ok := m.snapshot(id); ok {
			return job, store.Row{}, nil
		}
		return Job{}, store.Row{}, &reason.Refusal{Outcome: reason.NotRun, Reason: reason.StoreUnavailable, Err: err}
	}
	if _, _, marked := findMark(id, rows); marked || len(rows) == 0 {
		return Job{}, store.Row{}, noSuchJob(id)
	}
	var job Job
	err = json.Unmarshal(rows[0].Value, &job)
	return job, rows[0], err
}

func noSuchJob(id string) *reason.Refusal {
	return reason.Refuse(reason.NoSuchJob, "there is no job %s", id)
}

func (m *Manager) snapshot(id string) (Job, bool) {
	m.mu.Lock()
	d, ok := m.drivers[id]
	m.mu.Unlock()
	if !ok {
		return Job{}, false
	}
	return *d.lastWritten.Load(), true
}

// Cancel requests the cancellation of a job; the leader of its shard stops the running tasks. An ID without a job is cancelled as by
// CancelUnknown with an empty caller.
func (m *Manager) Cancel(ctx context.Context, id string) (Job, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	job, maybeMarked, err := m.markCancelled(ctx, id)
	if err != nil && maybeMarked {
		return job, reason.Uncertain(reason.StoreUnavailable, "the cancel mark may or may not have been written")
	}
	return job, err
}

// markCancelled writes the cancel mark to a job's row; maybeMarked says that an attempt to write it may have taken effect.
func (m *Manager) markCancelled(ctx context.Context, id string) (job Job, maybeMarked bool, err error) {
	for {
		job, row, err := m.Get(ctx, id)
		if reason.Is(err, reason.NoSuchJob) {
			if err = m.CancelUnknown(ctx, id, ""); err == nil {
				continue
			}
		}
		if err != nil || job.State.Terminal() || job.Cancel {
			return job, maybeMarked, err
		}
		if row.Key == "" {
			return job, maybeMarked, reason.Refuse(reason.StoreUnavailable, "the cancel mark can't be written now")
		}
		job.Cancel, job.WriteID = true, uuid.NewString()
		value, err := json.Marshal(job)
		if err != nil {
			return job, maybeMarked, err
		}
		_, err = m.writer.Do(ctx, store.Op{
			Checks: []store.Check{{Key: row.Key, Version: row.Version}},
			Writes: []store.Write{{Key: row.Key, Value: value}},
		})
		var conflict *store.ConflictError
		switch {
		case err == nil:
			m.stats.Job("cancel-asked")
			return job, true, nil
		case !errors.As(err, &conflict):
			return job, true, err
		}
		maybeMarked = maybeMarked || conflict.Overwritten
	}
}

// Result reads the result of one task of a job.
func (m *Manager) Result(ctx context.Context, id string, task int) ([]byte, error) {
	body, err := m.table.GetObject(ctx, resultKey(id, task))
	var missing *store.NotFoundError
	if errors.As(err, &missing) {
		return nil, reason.Refuse(reason.NoSuchJob, "task %d of job %s has no result yet", task, id)
	}
	if err != nil {
		return nil, &reason.Refusal{Outcome: reason.NotRun, Reason: reason.StoreUnavailable, Err: err}
	}
	return body, nil
}

// Body returns a job's body; large bodies are read from the object store.
func (m *Manager) Body(ctx context.Context, job *Job) ([]byte, error) {
	if job.BodyObject == "" {
		return job.Body, nil
	}
	return m.table.GetObject(ctx, job.BodyObject)
}

// WaitReason returns why a job that this host runs is waiting; ok is false if this host does not run it.
func (m *Manager) WaitReason(id string) (why reason.Reason, detail string, ok bool) {
	m.mu.Lock()
	d, ok := m.drivers[id]
	m.mu.Unlock()
	if !ok {
		return "", "", false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.waitReason, d.waitDetail, true
}

// Wake triggers an immediate scan of a shard for new jobs.
func (m *Manager) Wake(shard int) {
	select {
	case m.wake <- shard:
	default:
	}
}

// NumDrivers returns the number of jobs that this host runs.
func (m *Manager) NumDrivers() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.drivers)
}

// Run scans the shards that this host leads and runs their jobs until ctx is done.
func (m *Manager) Run(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	ticker := time.NewTicker(scanTick)
	defer ticker.Stop()
	var scanned [Shards]time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case shard := <-m.wake:
			if shard >= 0 && shard < Shards && m.leaders.IsLeader(shard) {
				m.scan(ctx, &wg, []int{shard})
			}
		case <-ticker.C:
			var due []int
			for shard := range Shards {
				if m.leaders.IsLeader(shard) && time.Since(scanned[shard]) > scanInterval {
					due = append(due, shard)
					scanned[shard] = time.Now()
				}
				if !m.leaders.IsLeader(shard) {
					scanned[shard] = time.Time{}
				}
			}
			m.scan(ctx, &wg, due)
		}
	}
}

func (m *Manager) scan(ctx context.Context, wg *sync.WaitGroup, shards []int) {
	if len(shards) == 0 {
		return
	}
	var q store.Query
	for _, shard := range shards {
		q.Prefixes = append(q.Prefixes, shardPrefix(shard), markShardPrefix(shard))
	}
	rows, err := m.table.Read(ctx, q)
	if err != nil {
		return
	}
	var marks []store.Row
	for _, row := range rows {
		if strings.HasPrefix(row.Key, markPrefix) {
			marks = append(marks, row)
			continue
		}
		id := row.Key[strings.LastIndexByte(row.Key, '/')+1:]
		m.mu.Lock()
		d, driven := m.drivers[id]
		m.mu.Unlock()
		if driven {
			d.notifyCancel(row)
			continue
		}
		var job Job
		if err := json.Unmarshal(row.Value, &job); err != nil {
			m.log.WithError(err).WithField("job", id).Error("cannot decode the job's row")
			continue
		}
		m.startDriver(ctx, wg, job, row.Version)
	}
	m.sweepMarks(ctx, wg, shards, marks)
}

func (m *Manager) startDriver(ctx context.Context, wg *sync.WaitGroup, job Job, version uint64) {
	drv := &driver{manager: m, job: job, version: version, wake: make(chan struct{}, 1)}
	drv.publishSnapshot()
	m.mu.Lock()
	m.drivers[job.ID] = drv
	m.mu.Unlock()
	wg.Go(func() {
		drv.run(ctx)
		m.mu.Lock()
		delete(m.drivers, job.ID)
		m.mu.Unlock()
	})
}

// notifyCancel wakes the driver if another host has requested cancellation in the job's row.
func (d *driver) notifyCancel(row store.Row) {
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
