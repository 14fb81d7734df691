package runner

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/table"
)

// Names in the tables of jobs.
const (
	// TableRuns is the table of job progress, with a partition for each group; only the runner of a group writes to it.
	TableRuns = "runs"
	// cancelSuffix is appended to a job's id to get the name of the row that marks it as cancelled.
	cancelSuffix = "/cancel"
)

// numJobTables limits the number of tables of accepted jobs, since the platform limits the total number of tables.
const numJobTables = 32

// TableJobs returns the table that holds the accepted jobs of a service and the marks of cancelled ones. Most services have a
// table of their own, so that a runner receives only changes of its own jobs.
func TableJobs(service string) string {
	return "jobs-" + strconv.FormatUint(xxhash.Sum64String(service)%numJobTables, 10)
}

// numJobPartitions is the number of partitions of a service's accepted jobs. A partition processes one transaction at a time:
// when the table is 85 times slower than usual, each accepts two jobs a second.
const numJobPartitions = 48

// JobPartition returns the partition that holds an accepted job.
func JobPartition(service, id string) string {
	return partitionName(service, int(xxhash.Sum64String(id)%numJobPartitions))
}

// JobKey returns the key of an accepted job's row in the table of a service.
func JobKey(service, id string) table.Key {
	return table.Key{Table: TableJobs(service), Partition: JobPartition(service, id), Name: id}
}

// CancelKey returns the key of the row that marks a job as cancelled, given that of the job's row.
func CancelKey(job table.Key) table.Key {
	job.Name += cancelSuffix
	return job
}

func partitionName(service string, n int) string { return service + "/" + strconv.Itoa(n) }

// partitionNames returns the partitions of all accepted jobs of a service.
func partitionNames(service string) []string {
	partitions := make([]string, numJobPartitions)
	for n := range partitions {
		partitions[n] = partitionName(service, n)
	}
	return partitions
}

// Limits and intervals of calls to the table.
const (
	tableTimeout    = 1200 * time.Millisecond
	tableRetryDelay = 100 * time.Millisecond
	// commitInterval is the delay before a commit in which no job ends, so that many ended runs share one commit.
	commitInterval = 30 * time.Millisecond
	// maxCommitJobs limits the jobs in a commit: of its 100 entries, each job takes a check and a write, and the lease a check.
	maxCommitJobs = 48
	// sweepInterval is the interval between removals of the rows of finished jobs, sweepJobs how many jobs are removed at a time, and
	// maxSweepKeys how many rows by one commit.
	sweepInterval = 5 * time.Second
	sweepJobs     = 500
	maxSweepKeys  = 90
	// unfilteredDivisor is the part of the host's memory for rows of jobs of which is not known yet whether they have finished, and defaultUnfilteredBytes
	// what they may take if the memory is not known.
	unfilteredDivisor      = 64
	defaultUnfilteredBytes = 4 << 20
)

// storedProgress is the progress of a job as read from the table, nil if it can't be decoded, and the version of its row.
type storedProgress struct {
	progress *graph.Progress
	version  uint64
}

func asLostError(err error) (*elect.LostError, bool) {
	var lost *elect.LostError
	return lost, errors.As(err, &lost)
}

// loadProgress reads the progress of all jobs of the group, retrying until it succeeds or ctx is done.
func (r *Runner) loadProgress(ctx context.Context) (map[string]storedProgress, error) {
	l := table.Loader{
		Store: r.cfg.Store, Timeout: func() time.Duration { return r.cfg.Timeout(tableTimeout) },
		OnFailure: func(err error, _ time.Time) { r.log.WithError(err).Warn("progress of jobs can't be read") },
	}
	rows, _, err := l.Load(ctx, []table.Range{{Table: TableRuns, Partition: r.cfg.Epoch.Group}})
	if err != nil {
		return nil, err
	}
	r.logLoaded("progress of jobs loaded", rows)
	segments := map[string]map[int][]byte{}
	for _, row := range rows {
		if job, n, ok := parseSegment(row.Name); ok {
			if segments[job] == nil {
				segments[job] = map[int][]byte{}
			}
			segments[job][n] = row.Value
			r.segments[job] = max(r.segments[job], n)
		}
	}
	progressByJob := make(map[string]storedProgress, len(rows))
	for _, row := range rows {
		if _, _, ok := parseSegment(row.Name); ok {
			continue
		}
		p, err := decodeProgress(row.Value, segments[row.Name])
		if err != nil {
			r.log.WithError(err).WithField("job", row.Name).Error("stored progress of a job can't be decoded; the job is not run")
		}
		progressByJob[row.Name] = storedProgress{p, row.Version}
	}
	return progressByJob, nil
}

// logLoaded logs how much was read for the take-over, and how long after the lease was acquired.
func (r *Runner) logLoaded(msg string, rows []table.Row) {
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	r.log.WithFields(logrus.Fields{
		"rows": len(rows), "bytes": size, "after": r.heldFor().Round(time.Millisecond).String(),
	}).Info(msg)
}

// followJobs adds the group's jobs as they are accepted, and closes loaded once all jobs accepted before are known. It reads them while their
// progress is still being read, which no other host writes any more.
func (r *Runner) followJobs(ctx context.Context, progress <-chan map[string]storedProgress, loaded chan<- struct{}) {
	var progressByJob map[string]storedProgress
	first := true
	unfiltered := 0
	// keep drops what is not needed of the rows of finished and of known jobs, as they are read: there may be far more of them than fit in memory.
	// Rows that are read before the progress is known are kept up to a limit.
	keep := func(ctx context.Context, rows []table.Row) []table.Row {
		if progressByJob == nil {
			for i := range rows {
				unfiltered += len(rows[i].Value)
			}
			if unfiltered < r.maxUnfilteredBytes() {
				return rows
			}
			select {
			case progressByJob = <-progress:
			case <-ctx.Done():
				return rows
			}
		}
		return r.dropFinished(rows, progressByJob)
	}
	addRows := func(rows []table.Row) {
		now := time.Now()
		var marks []table.Row
		marked := map[table.Key]bool{}
		for _, row := range rows {
			marked[row.Key] = strings.HasSuffix(row.Name, cancelSuffix) && !row.Deleted
		}
		for _, row := range rows {
			if !strings.HasPrefix(row.Partition, r.cfg.Epoch.Group+"/") || row.Deleted {
				continue
			}
			if strings.HasSuffix(row.Name, cancelSuffix) {
				marks = append(marks, row)
				continue
			}
			stored, hasProgress := progressByJob[row.Name]
			if hasProgress && stored.progress == nil {
				// What has run of the job is not known, so nothing of it may be started.
				continue
			}
			if stored.progress != nil && stored.progress.State.Terminal() {
				// Most rows at a takeover belong to finished jobs, whose documents need not be decoded.
				r.restoreTeam(stored.progress, row)
				r.cell.AddFinished(row.Name, stored.progress, now)
				continue
			}
			doc, err := graph.DecodeJob(row.Value)
			if err != nil && isReference(row, r.cfg.Epoch.Group) {
				r.references.add(row, now)
				continue
			}
			if err != nil {
				r.log.WithError(err).WithField("job", row.Name).Error("stored job can't be decoded")
				continue
			}
			// A host of an earlier version stores jobs regardless of marks that are there.
			mark := CancelKey(row.Key)
			if orphan := r.orphanMarks.has(mark); !orphan && !marked[mark] {
				r.cell.Add(doc, stored.progress, stored.version, now)
				continue
			}
			r.cell.AddCancelled(doc, stored.progress, stored.version, now)
			marks = append(marks, table.Row{Key: mark})
		}
		r.cancelMarked(marks, now)
		r.wakePlan()
		r.wakeCommit()
	}
	f := table.Follower{
		Store: r.cfg.Store, Table: TableJobs(r.cfg.Epoch.Group), Log: r.log, Partitions: func() []string { return partitionNames(r.cfg.Epoch.Group) },
		Keep: keep,
		Load: func(rows []table.Row) {
			if progressByJob == nil {
				select {
				case progressByJob = <-progress:
				case <-ctx.Done():
					return
				}
			}
			addRows(rows)
			r.logLoaded("jobs loaded", rows)
			if first {
				r.loaded.Store(true)
				close(loaded)
			}
			first = false
		},
		Apply: addRows,
	}
	f.Run(ctx)
}

// maxUnfilteredBytes bounds the rows that are kept before it is known which of their jobs have finished.
func (r *Runner) maxUnfilteredBytes() int {
	if r.cfg.MemoryBytes == 0 {
		return defaultUnfilteredBytes
	}
	return int(r.cfg.MemoryBytes / unfilteredDivisor)
}

// dropFinished drops the rows of jobs that the cell knows, and the documents of finished jobs.
func (r *Runner) dropFinished(rows []table.Row, progressByJob map[string]storedProgress) []table.Row {
	kept := rows[:0]
	for _, row := range rows {
		if r.cell.Knows(row.Name) {
			continue
		}
		if p := progressByJob[row.Name].progress; p != nil && p.State.Terminal() {
			r.restoreTeam(p, row)
			row.Value = nil
		}
		kept = append(kept, row)
	}
	return kept
}

// teamField is in the row of each job that has a team.
var teamField = []byte(`"team":`)

// restoreTeam sets the team of a finished job from the job's row if its progress names none, as that which a host of an earlier version has written:
// without it the job would be visible to all teams.
func (r *Runner) restoreTeam(p *graph.Progress, job table.Row) {
	if p.Team != "" || !bytes.Contains(job.Value, teamField) {
		return
	}
	ref, err := graph.DecodeReference(job.Value)
	if err != nil {
		r.log.WithError(err).WithField("job", job.Name).Error("stored job can't be decoded")
		return
	}
	p.Team = ref.Team
}

// AddJob adds a job that this host has just accepted, before it is seen in the table's changes. It does nothing until the
// earlier jobs are loaded.
func (r *Runner) AddJob(doc *graph.Job) {
	if !r.loaded.Load() {
		return
	}
	r.cell.Add(doc, nil, 0, time.Now())
	r.wakePlan()
}

// commitLoop stores progress as it changes.
func (r *Runner) commitLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.commitWake:
		}
		for ctx.Err() == nil {
			dirty, urgent := r.cell.Dirty()
			if !dirty {
				break
			}
			if !urgent {
				clock.Pause(ctx, commitInterval)
			}
			pause, err := r.commitOnce(ctx)
			if err != nil {
				return err
			}
			clock.Pause(ctx, pause)
		}
	}
}

// commitOnce stores a part of the progress, retrying until it succeeds, the lease is lost or ctx is done, and returns for how long to pause after
// it. If the table doesn't take a part, it stores less, down to one job, which is set aside if that is not taken either.
func (r *Runner) commitOnce(ctx context.Context) (pause time.Duration, err error) {
	failing, limit := false, maxCommitJobs
	for ctx.Err() == nil {
		drain(r.retryWake)
		batch := r.cell.Collect(limit)
		if len(batch.Changes) == 0 {
			return 0, nil
		}
		start := r.cfg.SinceBoot()
		tx, err := r.buildTx(batch.Changes)
		if err != nil {
			return 0, err
		}
		batch.Changes = batch.Changes[:tx.numChanges]
		renews := r.addRenewal(&tx.Tx)
		sent := r.cfg.SinceBoot()
		r.sendingSegments(&tx)
		call, cancel := context.WithTimeout(ctx, r.cfg.Timeout(tableTimeout))
		version, err := r.cfg.Store.Commit(call, tx.Tx)
		cancel()
		if err == nil {
			if renews {
				r.noteRenewal(sent)
			}
			r.storedSegments(&tx)
			r.cell.Committed(batch, version, time.Now())
			r.wakePlan()
			return commitPause(tx.bytes, sent-start), nil
		}
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			if lost := r.resolveConflict(conflict); lost != nil {
				r.cancel(lost)
				return 0, lost
			}
			continue
		}
		var refused *table.RefusedError
		if errors.As(err, &refused) && refused.Permanent() {
			if limit = tx.numChanges / 2; limit == 0 {
				limit = maxCommitJobs
				r.setAside(batch.Changes[0].Job, tx.bytes, err)
			}
			continue
		}
		if !failing && ctx.Err() == nil {
			r.log.WithError(err).WithField("jobs", len(batch.Changes)).Warn("progress of jobs can't be written")
			failing = true
		}
		waitForWake(ctx, r.retryWake, tableRetryDelay)
	}
	return 0, ctx.Err()
}

// resolveConflict adopts the row versions written by an earlier commit whose reply was lost, or returns *elect.LostError if the
// lease itself has changed.
func (r *Runner) resolveConflict(conflict *table.ConflictError) error {
	lease := r.cfg.Epoch.Check()
	for _, row := range conflict.Rows {
		if row.Table == lease.Table {
			if row.Version != lease.Version {
				return &elect.LostError{Group: r.cfg.Epoch.Group}
			}
			continue
		}
		r.cell.Conflicted(row.Name, row.Version)
	}
	return nil
}

// sweepLoop removes the rows of jobs that ended long ago, as fast as jobs end: the next runner reads what is left.
func (r *Runner) sweepLoop(ctx context.Context) {
	for clock.Pause(ctx, sweepInterval) {
		for ctx.Err() == nil && r.sweep(ctx) {
		}
		r.sweepReferences(ctx)
		r.sweepMarks(ctx)
	}
}

// sweep removes the rows of some jobs that ended long ago, and reports whether there may be more. The progress is removed last, since without
// it a job would run again.
func (r *Runner) sweep(ctx context.Context) bool {
	ids := r.cell.ExpiredJobs(time.Now(), sweepJobs)
	service := r.cfg.Epoch.Group
	byPartition := map[string][]table.Key{}
	for _, id := range ids {
		job := JobKey(service, id)
		byPartition[job.Partition] = append(byPartition[job.Partition], job, CancelKey(job))
	}
	for _, partition := range slices.Sorted(maps.Keys(byPartition)) {
		for keys := range slices.Chunk(byPartition[partition], maxSweepKeys) {
			if !r.remove(ctx, table.Tx{Removes: keys}) {
				return false
			}
		}
	}
	for swept := range slices.Chunk(ids, maxSweepKeys) {
		keys := make([]table.Key, len(swept))
		for i, id := range swept {
			keys[i] = r.progressKey(id)
		}
		if !r.remove(ctx, table.Tx{Checks: []table.Check{r.cfg.Epoch.Check()}, Removes: keys}) {
			return false
		}
		r.cell.Forget(swept)
	}
	return len(ids) == sweepJobs
}

func (r *Runner) remove(ctx context.Context, tx table.Tx) bool {
	call, cancel := context.WithTimeout(ctx, r.cfg.Timeout(tableTimeout))
	defer cancel()
	if _, err := r.cfg.Store.Commit(call, tx); err != nil {
		r.log.WithError(err).Warn("rows of finished jobs can't be removed")
		return false
	}
	return true
}
