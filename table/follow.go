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

// Times of following a table.
const (
	// followWait is how long one call waits for a change; short, so that a connection gone silent is noticed soon.
	followWait = 1000 * time.Millisecond
	// followSlack is added to followWait before the call is given up.
	followSlack = 600 * time.Millisecond
	// readsAtOnce bounds the parts that are read at a time.
	readsAtOnce = 24
	// followRetry is the pause after a failed call.
	followRetry = 150 * time.Millisecond
)

// Follower reads a table and then its changes, again from the start when the history is lost.
type Follower struct {
	Store Store
	Table string
	// Parts lists the parts to read at the start.
	Parts func() []string
	// Load gets all rows at a start; Apply gets changes; Alive is told after every answered call.
	Load  func(rows []Row)
	Apply func(rows []Row)
	Alive func()
	Log   logrus.FieldLogger
	// Pause spaces the calls, where changes may be heard of later; nil leaves no pause.
	Pause func() time.Duration

	away bool
}

// Run follows until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		version, err := f.load(ctx)
		if err == nil {
			err = f.changes(ctx, version)
		}
		if ctx.Err() != nil {
			return
		}
		f.failed(err)
		clock.Pause(ctx, followRetry)
	}
}

func (f *Follower) failed(err error) {
	var lost *HistoryLostError
	if errors.As(err, &lost) {
		f.Log.WithField("table", f.Table).Info("history of the table is lost; reading it anew")
		return
	}
	if !f.away {
		f.away = true
		f.Log.WithError(err).WithField("table", f.Table).Warn("table can't be followed")
	}
}

func (f *Follower) load(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+followSlack)
	defer cancel()
	parts := f.Parts()
	found := make([][]Row, len(parts))
	versions := make([]uint64, len(parts))
	eg, ctx := errgroup.WithContext(ctx)
	eg.SetLimit(readsAtOnce)
	for i, part := range parts {
		eg.Go(func() error {
			var err error
			found[i], versions[i], err = ReadAll(ctx, f.Store, Range{Table: f.Table, Part: part})
			return err
		})
	}
	if err := eg.Wait(); err != nil {
		return 0, err
	}
	rows, version := slices.Concat(found...), slices.Min(versions)
	f.answered()
	f.Load(rows)
	return version, nil
}

func (f *Follower) answered() {
	if f.away {
		f.away = false
		f.Log.WithField("table", f.Table).Info("table can be followed again")
	}
	if f.Alive != nil {
		f.Alive()
	}
}

// changes follows from a version; a call that failed is tried again from the same version until the history is lost.
func (f *Follower) changes(ctx context.Context, version uint64) error {
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, followWait+followSlack)
		got, err := f.Store.Changes(call, f.Table, version, followWait)
		cancel()
		var lost *HistoryLostError
		switch {
		case errors.As(err, &lost):
			return err
		case err != nil:
			if ctx.Err() == nil {
				f.failed(err)
				clock.Pause(ctx, followRetry)
			}
			continue
		}
		f.answered()
		version = max(version, got.Version)
		if len(got.Rows) > 0 {
			f.Apply(got.Rows)
			if f.Pause != nil {
				clock.Pause(ctx, f.Pause())
			}
		}
	}
	return ctx.Err()
}
