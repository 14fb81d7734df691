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

// rowWorkers holds the ids of the workers on which tasks of a group may run. A later runner that does not find one of them
// in the registry has to wait until its leases have surely run out.
const rowWorkers = "workers"

// recordEvery is how often the record is compared with the workers that are used.
const recordEvery = 25 * time.Millisecond

func (r *Runner) recordKey() table.Key {
	return table.Key{Table: elect.Table, Part: r.cfg.Epoch.Part, Name: rowWorkers}
}

// loadRecord reads which workers an earlier runner used.
func (r *Runner) loadRecord(ctx context.Context) error {
	for {
		call, cancel := context.WithTimeout(ctx, r.cfg.Patience(tableTimeout))
		page, err := r.cfg.Store.Read(call, table.Range{
			Table: elect.Table, Part: r.cfg.Epoch.Part, From: rowWorkers, To: rowWorkers + "\x00", Limit: 1,
		})
		cancel()
		if err != nil {
			r.log.WithError(err).Warn("record of workers can't be read")
			if !clock.Pause(ctx, tableRetry) {
				return ctx.Err()
			}
			continue
		}
		var ids []string
		for _, row := range page.Rows {
			if err := json.Unmarshal(row.Value, &ids); err != nil {
				return fmt.Errorf("record of workers: %w", err)
			}
		}
		r.cell.Expect(ids, r.unsureUntil)
		return nil
	}
}

// unsureUntil returns until when runs of earlier runners may be on a worker that has not been heard of.
func (r *Runner) unsureUntil(id string) time.Time {
	until := r.cfg.OthersUntil.Add(r.cfg.Settings.Lease + unknownSlack)
	if told, ok := r.cfg.Unsure[id]; ok && told.Before(until) {
		return told
	}
	return until
}

// recordLoop makes durable which workers are used, before anything is started on a new one.
func (r *Runner) recordLoop(ctx context.Context) error {
	for clock.Pause(ctx, recordEvery) {
		ids, changed := r.cell.Unrecorded()
		if !changed {
			continue
		}
		raw, err := json.Marshal(ids)
		if err != nil {
			return err
		}
		call, cancel := context.WithTimeout(ctx, r.cfg.Patience(tableTimeout))
		_, err = r.cfg.Store.Commit(call, table.Tx{
			Checks: []table.Check{r.cfg.Epoch.Check()}, Writes: []table.Write{{Key: r.recordKey(), Value: raw}},
		})
		cancel()
		var conflict *table.ConflictError
		switch {
		case err == nil:
			r.cell.Recorded(ids)
			r.kickPlan()
		case errors.As(err, &conflict):
			lost := &elect.LostError{Part: r.cfg.Epoch.Part}
			r.cancel(lost)
			return lost
		default:
			r.log.WithError(err).Warn("record of workers can't be written")
			clock.Pause(ctx, tableRetry)
		}
	}
	return ctx.Err()
}
