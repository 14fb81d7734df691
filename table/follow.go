package table

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/corianderdrift/corianderdrift/clock"
)

// Timing and concurrency of following a table.
const (
	// followWait is how long one call waits for a change; short, so that an unresponsive connection is noticed soon.
	followWait = 1000 * time.Millisecond
	// followSlack is added to followWait to get the timeout of the call.
	followSlack = 600 * time.Millisecond
	// maxConcurrentReads bounds the partitions that are read at a time.
	maxConcurrentReads = 24
	// followRetryDelay is the delay after a failed call.
	followRetryDelay = 150 * time.Millisecond
)

// Follower reads a table and then follows its changes; it reloads the table when the change history is lost.
type Follower struct {
	Store Store
	Table string
	// Partitions lists the partitions to read when the table is loaded.
	Partitions func() []string
	// Load receives all rows when the table is loaded, Apply receives changes; OnAnswer, if set, is called after every answered call.
	Load     func(rows []Row)
	Apply    func(rows []Row)
	OnAnswer func()
	Log      logrus.FieldLogger
	// Pause returns the delay after each batch of changes, for tables whose changes need not be received at once; nil means none.
	Pause func() time.Duration

	unreachable bool
}

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		version, err := f.load(ctx)
		if err == nil {
			err = f.followChanges(ctx, version)
		}
		if ctx.Err() != nil {
			return
		}
		f.logFailure(err)
		clock.Pause(ctx, followRetryDelay)
	}
}

func (f *Follower) logFailure(err error) {
	var lost *HistoryLostError
	if errors.As(err, &lost) {
		f.Log.WithField("table", f.Table).Info("change history of the table lost; reloading the table")
		return
	}
	if !f.unreachable {
		f.unreachable = true
		f.Log.WithError(err).WithField("table", f.Table).Warn("following the table failed; retrying")
	}
}

func (f *Follower) load(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+followSlack)
	defer cancel()
	partitions := f.Partitions()
	rowsByPartition := make([][]Row, len(partitions))
	versions := make([]uint64, len(partitions))
	eg, ctx := errgroup.WithContext(ctx)
	eg.SetLimit(maxConcurrentReads)
	for i, partition := range partitions {
		eg.Go(func() error {
			var err error
			rowsByPartition[i], versions[i], err = ReadAll(ctx, f.Store, Range{Table: f.Table, Partition: partition})
			return err
		})
	}
	if err := eg.Wait(); err != nil {
		return 0, err
	}
	rows, version := slices.Concat(rowsByPartition...), slices.Min(versions)
	f.recordAnswer()
	f.Load(rows)
	return version, nil
}

func (f *Follower) recordAnswer() {
	if f.unreachable {
		f.unreachable = false
		f.Log.WithField("table", f.Table).Info("following the table resumed")
	}
	if f.OnAnswer != nil {
		f.OnAnswer()
	}
}

// followChanges follows changes after a version; a failed call is retried from the same version until the history is lost.
func (f *Follower) followChanges(ctx context.Context, version uint64) error {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, followWait+followSlack)
		changes, err := f.Store.Changes(call, f.Table, version, followWait)
		cancel()
		var lost *HistoryLostError
		switch {
		case errors.As(err, &lost):
			return err
		case err != nil:
			if ctx.Err() == nil {
				f.logFailure(err)
				clock.Pause(ctx, followRetryDelay)
			}
			continue
		}
		f.recordAnswer()
		version = max(version, changes.Version)
		if len(changes.Rows) > 0 {
			f.Apply(changes.Rows)
			if f.Pause != nil {
				clock.Pause(ctx, f.Pause())
			}
		}
	}
	return ctx.Err()
}
