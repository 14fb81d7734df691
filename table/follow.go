package table

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/clock"
)

// Timing and concurrency of following a table.
const (
	// followWait is how long one call waits for a change; short, so that an unresponsive connection is noticed soon.
	followWait = 1000 * time.Millisecond
	// followSlack is added to followWait to get the timeout of the call.
	followSlack = 600 * time.Millisecond
	// maxFollowSlack bounds followSlack, which is doubled after a timeout: the changes since an outage may take long on a narrow link.
	maxFollowSlack = 5 * time.Second
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
	// Keep, if set, returns what Load needs of the rows of a page.
	Keep func(ctx context.Context, rows []Row) []Row
	Log  logrus.FieldLogger
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
	var ranges []Range
	for _, partition := range f.Partitions() {
		ranges = append(ranges, Range{Table: f.Table, Partition: partition})
	}
	l := Loader{
		Store: f.Store, Timeout: func() time.Duration { return followWait + followSlack }, OnAnswer: f.recordAnswer, OnFailure: f.logFailure,
		Keep: f.Keep,
	}
	rows, version, err := l.Load(ctx, ranges)
	if err != nil {
		return 0, err
	}
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
	slack := followSlack
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, followWait+slack)
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
			if errors.Is(err, context.DeadlineExceeded) {
				slack = min(maxFollowSlack, 2*slack)
			}
			continue
		}
		slack = followSlack
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
