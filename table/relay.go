package table

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/clock"
)

// Figures of reaching the table through other hosts.
const (
	// relayTries is how many other hosts a call is offered to, while each proves that nothing was done.
	relayTries = 3
	// probeEvery is how often a table that does not answer directly is tried again.
	probeEvery = 250 * time.Millisecond
	// probeTime bounds such a try.
	probeTime = 400 * time.Millisecond
)

// Relay is a store that is reached through other hosts while it does not answer this one. A call goes on to the next way
// only if the last one proves that nothing was done.
type Relay struct {
	Direct *Health
	// Others returns the ways through other hosts, the best first.
	Others func() []Store
	// Probe is a range that can be read at any time.
	Probe Range
	Log   logrus.FieldLogger
}

// Run tries the direct way again while it fails, until ctx is done.
func (r *Relay) Run(ctx context.Context) {
	away := false
	for clock.Pause(ctx, probeEvery) {
		reachable := r.Direct.Reachable(time.Now())
		if away == reachable {
			away = !reachable
			r.Log.WithField("direct", reachable).Warn("way to the table has changed")
		}
		if reachable {
			continue
		}
		call, cancel := context.WithTimeout(ctx, probeTime)
		if _, err := r.Direct.Read(call, r.Probe); err != nil {
			r.Log.WithError(err).Debug("table does not answer this host yet")
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

// Changes implements Store.
func (r *Relay) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error) {
	return relay(ctx, r, "changes", func(s Store) (Changes, error) { return s.Changes(ctx, table, after, wait) })
}

func relay[T any](ctx context.Context, r *Relay, op string, call func(Store) (T, error)) (T, error) {
	var none T
	var last error = &RefusedError{Op: op}
	if r.Direct.Reachable(time.Now()) {
		got, err := call(r.Direct)
		if !refused(err) {
			return got, err
		}
		last = err
	}
	others := r.Others()
	for _, s := range others[:min(relayTries, len(others))] {
		if ctx.Err() != nil {
			break
		}
		got, err := call(s)
		if !refused(err) {
			return got, err
		}
	}
	return none, last
}

func refused(err error) bool {
	var r *RefusedError
	return errors.As(err, &r)
}
