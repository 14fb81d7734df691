package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/table"
)

// rowWorkers is the row with the ids of the workers on which tasks of a group may run. If one of them is missing from the
// registry, a later runner has to wait until its leases are guaranteed to have expired.
const rowWorkers = "workers"

// recordInterval is how often the record is compared with the workers in use, and unrenewedInterval how often that of unrenewed workers is
// with those that don't answer.
const (
	recordInterval    = 25 * time.Millisecond
	unrenewedInterval = 50 * time.Millisecond
)

// loadRecord reads the ids of the workers that earlier runners used.
func (r *Runner) loadRecord(ctx context.Context) error {
	for {
		call, cancel := context.WithTimeout(ctx, r.cfg.Timeout(tableTimeout))
		page, err := r.cfg.Store.Read(call, table.Range{
			Table: elect.Table, Partition: r.cfg.Epoch.Group, From: rowWorkers, To: rowWorkers + "\x00", Limit: 1,
		})
		cancel()
		if err != nil {
			r.log.WithError(err).Warn("record of used workers can't be read")
			if !clock.Pause(ctx, tableRetryDelay) {
				return ctx.Err()
			}
			continue
		}
		var ids []string
		for _, row := range page.Rows {
			if err := json.Unmarshal(row.Value, &ids); err != nil {
				return fmt.Errorf("decode record of workers: %w", err)
			}
			r.record.version = row.Version
		}
		r.cell.ExpectWorkers(ids, r.unconfirmedUntil)
		return nil
	}
}

// unconfirmedUntil returns the time until which runs of earlier runners may be active on a worker that has not reported yet.
func (r *Runner) unconfirmedUntil(id string) time.Time {
	if reported, ok := r.cfg.Unconfirmed[id]; ok {
		return reported
	}
	return r.cfg.PreviousOrdersUntil.Add(r.cfg.Settings.Lease + takeoverSlack)
}

// recordLoop keeps the stored record of workers up to date; nothing is started on a worker before it is recorded.
func (r *Runner) recordLoop(ctx context.Context) error {
	for clock.Pause(ctx, recordInterval) {
		ids, changed := r.cell.WorkersToRecord()
		if !changed {
			continue
		}
		r.cell.Recording(ids)
		stored, err := r.storeRow(ctx, &r.record, ids)
		if err != nil {
			return err
		}
		if stored {
			r.cell.Recorded(ids)
			r.wakePlan()
		}
	}
	return ctx.Err()
}

// unrenewedLoop keeps the record of unrenewed workers up to date, once the registry has listed the workers: before that, none of them is known.
func (r *Runner) unrenewedLoop(ctx context.Context) error {
	for clock.Pause(ctx, unrenewedInterval) {
		if !r.isRegistryListed() {
			continue
		}
		remaining, changed := r.cell.WithholdRenewals(time.Now())
		if !changed {
			continue
		}
		record := elect.Unrenewed{Token: r.cfg.Epoch.Token, Workers: unconfirmedList(remaining)}
		stored, err := r.storeRow(ctx, &r.unrenewed, record)
		if err != nil {
			return err
		}
		if stored {
			r.cell.SetUnrenewed(slices.Collect(maps.Keys(remaining)))
			r.wakePlan()
		}
	}
	return ctx.Err()
}

// groupRow is a row of the group that only its runner writes.
type groupRow struct {
	key     table.Key
	version uint64
}

// storeRow replaces a row of the group while the lease is held. It reports whether the new value is stored, and returns *elect.LostError if the
// lease is lost. A commit without an answer may be carried out until a later one has been.
func (r *Runner) storeRow(ctx context.Context, row *groupRow, value any) (stored bool, err error) {
	raw, err := json.Marshal(value)
	if err != nil {
		return false, err
	}
	call, cancel := context.WithTimeout(ctx, r.cfg.Timeout(tableTimeout))
	defer cancel()
	version, err := r.cfg.Store.Commit(call, table.Tx{
		Checks: []table.Check{r.cfg.Epoch.Check(), {Key: row.key, Version: row.version}},
		Writes: []table.Write{{Key: row.key, Value: raw}},
	})
	var conflict *table.ConflictError
	switch {
	case err == nil:
		row.version = version
		return true, nil
	case errors.As(err, &conflict):
		if lost := r.resolveRowConflict(conflict, row); lost != nil {
			r.cancel(lost)
			return false, lost
		}
	default:
		r.log.WithError(err).WithField("row", row.key.Name).Warn("row of the group can't be written")
		clock.Pause(ctx, tableRetryDelay)
	}
	return false, nil
}

// resolveRowConflict adopts the version of a row that an earlier commit without an answer has written, or returns *elect.LostError if the
// lease has changed.
func (r *Runner) resolveRowConflict(conflict *table.ConflictError, row *groupRow) error {
	row.version = 0
	for _, stored := range conflict.Rows {
		switch stored.Key {
		case r.cfg.Epoch.Check().Key:
			if stored.Version != r.cfg.Epoch.Version {
				return &elect.LostError{Group: r.cfg.Epoch.Group}
			}
		case row.key:
			row.version = stored.Version
		}
	}
	return nil
}
