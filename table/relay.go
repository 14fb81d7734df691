package table

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/clock"
)

// Limits of reaching the table through other hosts.
const (
	// maxRelayHosts is how many other hosts a call is sent to in turn, as long as each proves that it had no effect.
	maxRelayHosts = 3
	// probeInterval is how often a table that does not answer directly is probed.
	probeInterval = 250 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 400 * time.Millisecond
)

// Relay is a Store that sends calls through other hosts while the table does not answer this one. A call is retried over the next
// path only if the previous one proves that the call had no effect.
type Relay struct {
	Direct *Health
	// Fallbacks returns the paths through other hosts, in order of preference.
	Fallbacks func() []Store
	// Probe is a range that can be read at any time.
	Probe Range
	Log   logrus.FieldLogger
}

// Run probes the direct path while it fails, until ctx is done.
func (r *Relay) Run(ctx context.Context) {
	unreachable := false
	for clock.Pause(ctx, probeInterval) {
		reachable := r.Direct.Reachable(time.Now())
		if unreachable == reachable {
			unreachable = !reachable
			r.Log.WithField("direct", reachable).Warn("reachability of the table over the direct path changed")
		}
		if reachable {
			continue
		}
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		if _, err := r.Direct.Read(call, r.Probe); err != nil {
			r.Log.WithError(err).Debug("probe of the direct path to the table failed")
		}
		cancel()
	}
}

// Commit implements Store.
func (r *Relay) Commit(ctx context.Context, tx Tx) (uint64, error) {
	return relay(ctx, r, "commit", func(s Store) (uint64, error) { return s.Commit(ctx, tx) })
}

// Read implements Store.
func (r *Relay) Read(ctx context.Context, rg Range) (Page, error) {
	return relay(ctx, r, "read", func(s Store) (Page, error) { return s.Read(ctx, rg) })
}

// Changes implements Store; the time that earlier paths have taken counts as waited.
func (r *Relay) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error) {
	startedAt := time.Now()
	return relay(ctx, r, "changes", func(s Store) (Changes, error) {
		return s.Changes(ctx, table, after, max(0, wait-time.Since(startedAt).Truncate(time.Millisecond)))
	})
}

func relay[T any](ctx context.Context, r *Relay, op string, call func(Store) (T, error)) (T, error) {
	var zero T
	var directErr error = &RefusedError{Op: op}
	if r.Direct.Reachable(time.Now()) {
		got, err := call(r.Direct)
		if !isRefused(err) {
			return got, err
		}
		directErr = err
	}
	fallbacks := r.Fallbacks()
	for _, s := range fallbacks[:min(maxRelayHosts, len(fallbacks))] {
		if ctx.Err() != nil {
			break
		}
		got, err := call(s)
		if !isRefused(err) {
			return got, err
		}
	}
	return zero, directErr
}

func isRefused(err error) bool {
	var r *RefusedError
	return errors.As(err, &r)
}
