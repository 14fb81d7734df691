package runner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/table"
)

// rowWorkers is the row with the ids of the workers on which tasks of a group may run. If one of them is missing from the
// registry, a later runner has to wait until its leases are guaranteed to have expired.
const rowWorkers = "workers"

// recordInterval is how often the record is compared with the workers in use.
const recordInterval = 25 * time.Millisecond

func (r *Runner) recordKey() table.Key {
	return table.Key{Table: elect.Table, Partition: r.cfg.Epoch.Group, Name: rowWorkers}
}

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
			r.recordVersion = row.Version
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
		raw, err := json.Marshal(ids)
		if err != nil {
			return err
		}
		r.cell.Recording(ids)
		call, cancel := context.WithTimeout(ctx, r.cfg.Timeout(tableTimeout))
		version, err := r.cfg.Store.Commit(call, table.Tx{
			Checks: []table.Check{r.cfg.Epoch.Check(), {Key: r.recordKey(), Version: r.recordVersion}},
			Writes: []table.Write{{Key: r.recordKey(), Value: raw}},
		})
		cancel()
		var conflict *table.ConflictError
		switch {
		case err == nil:
			r.recordVersion = version
			r.cell.Recorded(ids)
			r.wakePlan()
		case errors.As(err, &conflict):
			if lost := r.resolveRecordConflict(conflict); lost != nil {
				r.cancel(lost)
				return lost
			}
		default:
			r.log.WithError(err).Warn("record of used workers can't be written")
			clock.Pause(ctx, tableRetryDelay)
		}
	}
	return ctx.Err()
}

// resolveRecordConflict adopts the version of the record that an earlier commit without an answer has written, or returns
// *elect.LostError if the lease has changed.
func (r *Runner) resolveRecordConflict(conflict *table.ConflictError) error {
	version := uint64(0)
	for _, row := range conflict.Rows {
		switch row.Key {
		case r.cfg.Epoch.Check().Key:
			if row.Version != r.cfg.Epoch.Version {
				return &elect.LostError{Group: r.cfg.Epoch.Group}
			}
		case r.recordKey():
			version = row.Version
		}
	}
	r.recordVersion = version
	return nil
}
