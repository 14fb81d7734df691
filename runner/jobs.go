package runner

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/table"
)

// Tables of jobs; each group is a part of both.
const (
	// TableRuns holds the progress of jobs; only the runner of a group writes it.
	TableRuns = "runs"
	// CancelSuffix makes the name of a job's cancel mark.
	CancelSuffix = "/cancel"
)

// jobTables bounds the number of tables of accepted jobs, since the platform limits that of all tables.
const jobTables = 32

// TableJobs returns the table that holds the accepted jobs of a service, and marks of those that were cancelled; services
// mostly have one each, so that a runner hears of its own jobs only.
func TableJobs(service string) string {
	return "jobs-" + strconv.FormatUint(xxhash.Sum64String(service)%jobTables, 10)
}

// jobParts is over how many parts the accepted jobs of a service are spread, since a part takes one transaction at a time:
// with a table that is 85 times as slow as usual, each takes two jobs a second.
const jobParts = 48

// JobPart returns the part that holds an accepted job.
func JobPart(service, id string) string {
	return partName(service, int(xxhash.Sum64String(id)%jobParts))
}

func partName(service string, n int) string { return service + "/" + strconv.Itoa(n) }

// partNames returns the parts of all accepted jobs of a service.
func partNames(service string) []string {
	parts := make([]string, jobParts)
	for n := range parts {
		parts[n] = partName(service, n)
	}
	return parts
}

// Times of the table.
const (
	tableTimeout = 1200 * time.Millisecond
	tableRetry   = 100 * time.Millisecond
	// commitEvery spaces commits in which no job ends, so that many ends share one.
	commitEvery = 30 * time.Millisecond
	// commitMost bounds the jobs of a commit: a check and a write each, and the check of the lease, of 100 entries.
	commitMost = 48
	sweepEvery = 30 * time.Second
)

type savedRun struct {
	progress *graph.Progress
	version  uint64
}

func asLost(err error) (*elect.LostError, bool) {
	var lost *elect.LostError
	return lost, errors.As(err, &lost)
}

// loadRuns reads the progress of all jobs of the group.
func (r *Runner) loadRuns(ctx context.Context) (map[string]savedRun, error) {
	for {
		call, cancel := context.WithTimeout(ctx, r.cfg.Patience(tableTimeout))
		rows, _, err := table.ReadAll(call, r.cfg.Store, table.Range{Table: TableRuns, Part: r.cfg.Epoch.Part})
		cancel()
		if err != nil {
			r.log.WithError(err).Warn("progress can't be read")
			if !clock.Pause(ctx, tableRetry) {
				return nil, ctx.Err()
			}
			continue
		}
		runs := make(map[string]savedRun, len(rows))
		for _, row := range rows {
			p, err := graph.DecodeProgress(row.Value)
			if err != nil {
				r.log.WithError(err).WithField("job", row.Name).Error("progress is unreadable")
				continue
			}
			runs[row.Name] = savedRun{p, row.Version}
		}
		return runs, nil
	}
}

// followJobs takes the group's jobs, and closes loaded once those are known that were accepted before.
func (r *Runner) followJobs(ctx context.Context, runs map[string]savedRun, loaded chan<- struct{}) {
	first := true
	take := func(rows []table.Row) {
		now := time.Now()
		for _, row := range rows {
			if !strings.HasPrefix(row.Part, r.cfg.Epoch.Part+"/") || row.Deleted {
				continue
			}
			if id, ok := strings.CutSuffix(row.Name, CancelSuffix); ok {
				defer r.cell.Cancel(id, now)
				continue
			}
			saved := runs[row.Name]
			if saved.progress != nil && saved.progress.State.Over() {
				// Most rows at a take-over are of jobs that are over, whose work need not be read.
				r.cell.AddOver(row.Name, saved.progress, now)
				continue
			}
			doc, err := graph.DecodeJob(row.Value)
			if err != nil {
				r.log.WithError(err).WithField("job", row.Name).Error("job is unreadable")
				continue
			}
			r.cell.Add(doc, saved.progress, saved.version, now)
		}
		r.kickPlan()
		r.kickCommit()
	}
	f := table.Follower{
		Store: r.cfg.Store, Table: TableJobs(r.cfg.Epoch.Part), Log: r.log, Parts: func() []string { return partNames(r.cfg.Epoch.Part) },
		Load: func(rows []table.Row) {
			take(rows)
			if first {
				r.loaded.Store(true)
				close(loaded)
			}
			first = false
		},
		Apply: take,
	}
	f.Run(ctx)
}

// Take hands a job over that this host has just accepted, before the table's changes bring it.
func (r *Runner) Take(doc *graph.Job) {
	if !r.loaded.Load() {
		return
	}
	r.cell.Add(doc, nil, 0, time.Now())
	r.kickPlan()
}

func (r *Runner) commitLoop(ctx context.Context) error {
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.commit:
		case <-time.After(sweepEvery):
		}
		for ctx.Err() == nil {
			some, urgent := r.cell.Dirty()
			if !some {
				break
			}
			if !urgent {
				clock.Pause(ctx, commitEvery)
			}
			if err := r.commitOnce(ctx); err != nil {
				return err
			}
		}
		if time.Since(swept) > sweepEvery {
			swept = time.Now()
			r.sweep(ctx)
		}
	}
}

// commitOnce makes one batch durable, however often it has to be tried.
func (r *Runner) commitOnce(ctx context.Context) error {
	failing := false
	for ctx.Err() == nil {
		b := r.cell.Collect(commitMost)
		if len(b.Changes) == 0 {
			return nil
		}
		tx, err := r.tx(b.Changes)
		if err != nil {
			return err
		}
		beats := r.addBeat(&tx)
		sent := r.cfg.Boot()
		call, cancel := context.WithTimeout(ctx, r.cfg.Patience(tableTimeout))
		version, err := r.cfg.Store.Commit(call, tx)
		cancel()
		if err == nil {
			r.renewed(sent, beats)
			r.cell.Committed(b, version, time.Now())
			r.kickPlan()
			return nil
		}
		var conflict *table.ConflictError
		if errors.As(err, &conflict) {
			if lost := r.conflicted(conflict); lost != nil {
				r.cancel(lost)
				return lost
			}
			continue
		}
		if !failing && ctx.Err() == nil {
			r.log.WithError(err).WithField("jobs", len(b.Changes)).Warn("progress can't be written")
			failing = true
		}
		clock.Pause(ctx, tableRetry)
	}
	return ctx.Err()
}

func (r *Runner) tx(changes []cell.Change) (table.Tx, error) {
	tx := table.Tx{Checks: []table.Check{r.cfg.Epoch.Check()}}
	for _, ch := range changes {
		raw, err := ch.Progress.Encode()
		if err != nil {
			return tx, err
		}
		key := table.Key{Table: TableRuns, Part: r.cfg.Epoch.Part, Name: ch.Job}
		tx.Checks = append(tx.Checks, table.Check{Key: key, Version: ch.Version})
		tx.Writes = append(tx.Writes, table.Write{Key: key, Value: raw})
	}
	return tx, nil
}

// conflicted takes over the versions that a commit with a lost answer has left, unless the lease itself is lost.
func (r *Runner) conflicted(conflict *table.ConflictError) error {
	lease := r.cfg.Epoch.Check()
	for _, row := range conflict.Rows {
		if row.Table == lease.Table {
			if row.Version != lease.Version {
				return &elect.LostError{Part: r.cfg.Epoch.Part}
			}
			continue
		}
		r.cell.Conflicted(row.Name, row.Version)
	}
	return nil
}

// sweep removes the rows of jobs that ended long ago; the progress goes last, since without it a job would run again.
func (r *Runner) sweep(ctx context.Context) {
	const most = 30
	ids := r.cell.Old(time.Now(), most)
	if len(ids) == 0 {
		return
	}
	service := r.cfg.Epoch.Part
	byPart := map[string][]table.Key{}
	runs := make([]table.Key, len(ids))
	for i, id := range ids {
		part := JobPart(service, id)
		job := table.Key{Table: TableJobs(service), Part: part, Name: id}
		mark := job
		mark.Name += CancelSuffix
		byPart[part] = append(byPart[part], job, mark)
		runs[i] = table.Key{Table: TableRuns, Part: service, Name: id}
	}
	for _, keys := range byPart {
		if !r.remove(ctx, table.Tx{Removes: keys}) {
			return
		}
	}
	if r.remove(ctx, table.Tx{Checks: []table.Check{r.cfg.Epoch.Check()}, Removes: runs}) {
		r.cell.Forget(ids)
	}
}

func (r *Runner) remove(ctx context.Context, tx table.Tx) bool {
	call, cancel := context.WithTimeout(ctx, r.cfg.Patience(tableTimeout))
	defer cancel()
	if _, err := r.cfg.Store.Commit(call, tx); err != nil {
		r.log.WithError(err).Warn("rows of old jobs can't be removed")
		return false
	}
	return true
}
