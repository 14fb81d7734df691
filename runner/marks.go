package runner

import (
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/corianderdrift/corianderdrift/table"
)

const (
	// orphanMarkTTL is how long the mark of a cancelled job that was never stored is kept: several times longer than the table may take to
	// perform a write, so that no acceptance comes after it.
	orphanMarkTTL = 30 * time.Second
	// maxSweepMarks is how many marks a commit removes; each takes three of its 100 entries.
	maxSweepMarks = 30
)

// cancelMarked cancels the jobs that have marks. A mark without a job keeps the job from being stored, and is removed later.
func (r *Runner) cancelMarked(marks []table.Row, now time.Time) {
	for _, mark := range marks {
		if !r.cell.Cancel(strings.TrimSuffix(mark.Name, cancelSuffix), now) {
			r.orphanMarks.add(mark, now)
		}
	}
}

// sweepMarks removes the marks of jobs that were never stored.
func (r *Runner) sweepMarks(ctx context.Context) {
	byPartition := map[string][]table.Row{}
	for _, mark := range r.orphanMarks.due(orphanMarkTTL, time.Now()) {
		byPartition[mark.Partition] = append(byPartition[mark.Partition], mark)
	}
	for _, partition := range slices.Sorted(maps.Keys(byPartition)) {
		for marks := range slices.Chunk(byPartition[partition], maxSweepMarks) {
			r.removeMarks(ctx, marks)
		}
	}
}

// removeMarks removes marks, one by one if they can't all be removed at once. One whose job is there is left to the sweep of that.
func (r *Runner) removeMarks(ctx context.Context, marks []table.Row) {
	var tx table.Tx
	for _, mark := range marks {
		job := mark.Key
		job.Name = strings.TrimSuffix(job.Name, cancelSuffix)
		tx.Checks = append(tx.Checks, table.Check{Key: job}, table.Check{Key: mark.Key, Version: mark.Version})
		tx.Removes = append(tx.Removes, mark.Key)
	}
	call, cancel := context.WithTimeout(ctx, r.cfg.Timeout(tableTimeout))
	_, err := r.cfg.Store.Commit(call, tx)
	cancel()
	var conflict *table.ConflictError
	switch {
	case errors.As(err, &conflict) && len(marks) > 1:
		for i := range marks {
			r.removeMarks(ctx, marks[i:i+1])
		}
	case err == nil || errors.As(err, &conflict):
		for _, mark := range marks {
			r.orphanMarks.forget(mark)
		}
	default:
		r.log.WithError(err).Warn("cancel marks without jobs can't be removed")
	}
}
