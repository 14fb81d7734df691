package runner

import (
	"context"
	"errors"
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/table"
)

// referenceCheckInterval is how often a reference is compared with the job that it stands for, whose rows are kept for as long after its end.
const referenceCheckInterval = 10 * time.Minute

// isReference reports whether a row of a group's table only names another service, which runs the job.
func isReference(row table.Row, group string) bool {
	ref, err := graph.DecodeReference(row.Value)
	return err == nil && ref.Service != "" && ref.Service != group
}

// sweepReferences removes the references to jobs whose rows have been removed.
func (r *Runner) sweepReferences(ctx context.Context) {
	for _, ref := range r.references.due(referenceCheckInterval, time.Now()) {
		if err := r.removeUnlessJobExists(ctx, ref); err != nil {
			r.log.WithError(err).WithField("job", ref.Name).Warn("reference to a finished job can't be removed")
		}
	}
}

func (r *Runner) removeUnlessJobExists(ctx context.Context, ref table.Row) error {
	ctx, cancel := context.WithTimeout(ctx, r.cfg.Timeout(tableTimeout))
	defer cancel()
	decoded, err := graph.DecodeReference(ref.Value)
	if err != nil {
		return err
	}
	job := JobKey(decoded.Service, ref.Name)
	page, err := r.cfg.Store.Read(ctx, table.Range{
		Table: job.Table, Partition: job.Partition, From: job.Name, To: job.Name + "\x00", Limit: 1,
	})
	if err != nil || len(page.Rows) > 0 {
		return err
	}
	_, err = r.cfg.Store.Commit(ctx, table.Tx{
		Checks: []table.Check{{Key: ref.Key, Version: ref.Version}}, Removes: []table.Key{ref.Key},
	})
	var conflict *table.ConflictError
	if err == nil || errors.As(err, &conflict) {
		r.references.forget(ref)
		return nil
	}
	return err
}
