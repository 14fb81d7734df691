package table

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/clock"
)

// Limits of reaching the table through other hosts.
const (
	// maxRelayHosts is how many other hosts a call is sent to in turn, as long as each proves that it had no effect.
	maxRelayHosts = 3
	// probeInterval is how often a table that does not answer directly is probed: with 43 hosts by 430 of the 6,000 reads a second that the
	// platform allows. minProbeInterval limits the probes that calls ask for.
	probeInterval    = 100 * time.Millisecond
	minProbeInterval = 20 * time.Millisecond
	// probeTimeout bounds a probe. A later one does not wait for it.
	probeTimeout = 400 * time.Millisecond
	// checkTimeout is how long a call waits for a probe.
	checkTimeout = 50 * time.Millisecond
)

// Relay is a Store that sends calls through other hosts while the table does not answer this one. A commit is retried over the next
// path only if the previous one proves that it had no effect; reads have none, and go on as long as their time lasts.
type Relay struct {
	Direct *Health
	// Fallbacks returns the paths through other hosts, in order of preference.
	Fallbacks func() []Store
	// Probe is a range that can be read at any time.
	Probe Range
	// OnAnswer, if set, is called after each probe that the table has answered.
	OnAnswer func()
	Log      logrus.FieldLogger

	mu sync.Mutex
	// lastProbe is the probe that was sent last.
	lastProbe probe
	// answered is closed when a probe is answered; nil if no call waits for that.
	answered chan struct{}
}

// probe is a read that tells whether the table answers this host directly; done is closed after it.
type probe struct {
	sentAt time.Time
	done   chan struct{}
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
		r.startProbe(ctx, probeInterval/2)
	}
}

// startProbe sends a probe, unless one was sent less than minInterval ago, and returns the last one.
func (r *Relay) startProbe(ctx context.Context, minInterval time.Duration) probe {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if r.lastProbe.done != nil && now.Sub(r.lastProbe.sentAt) < minInterval {
		return r.lastProbe
	}
	p := probe{now, make(chan struct{})}
	r.lastProbe = p
	go func() {
		defer close(p.done)
		call, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		if _, err := r.Direct.Read(call, r.Probe); err != nil {
			r.Log.WithError(err).Debug("probe of the direct path to the table failed")
			return
		}
		r.notifyAnswered()
		if r.OnAnswer != nil {
			r.OnAnswer()
		}
	}()
	return p
}

// nextAnswer returns a channel that is closed when the next probe is answered.
func (r *Relay) nextAnswer() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered == nil {
		r.answered = make(chan struct{})
	}
	return r.answered
}

func (r *Relay) notifyAnswered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.answered != nil {
		close(r.answered)
		r.answered = nil
	}
}

// Check reports whether the table answers directly. If it did not answer before, a probe is sent, and waited for a short time: a caller that
// comes back after an outage must not be refused because of an earlier call.
func (r *Relay) Check(ctx context.Context) bool {
	if r.Direct.Reachable(time.Now()) {
		return true
	}
	startedAt := time.Now()
	call, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	for {
		p := r.startProbe(context.WithoutCancel(ctx), minProbeInterval)
		select {
		case <-p.done:
		case <-call.Done():
		}
		switch {
		case r.Direct.Reachable(time.Now()):
			return true
		case call.Err() != nil, !p.sentAt.Before(startedAt):
			return false
		}
		// The probe was sent before the call.
		clock.Pause(call, time.Until(p.sentAt.Add(minProbeInterval)))
	}
}

// Commit implements Store.
func (r *Relay) Commit(ctx context.Context, tx Tx) (uint64, error) {
	return relay(ctx, r, "commit", isRefused, func(s Store) (uint64, error) { return s.Commit(ctx, tx) })
}

// Read implements Store.
func (r *Relay) Read(ctx context.Context, rg Range) (Page, error) {
	return relay(ctx, r, "read", failedWithTimeLeft(ctx), func(s Store) (Page, error) { return s.Read(ctx, rg) })
}

// Changes implements Store; the time that earlier paths have taken counts as waited. If the table answers a probe meanwhile, the changes are asked for
// over the direct path too: the call may be waiting for a path that is gone, and the first answer counts.
func (r *Relay) Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error) {
	type outcome struct {
		changes Changes
		err     error
	}
	startedAt := time.Now()
	directAnswers := r.nextAnswer()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := func(s Store) (Changes, error) {
		return s.Changes(ctx, table, after, max(0, wait-time.Since(startedAt).Truncate(time.Millisecond)))
	}
	outcomes := make(chan outcome, 2)
	go func() {
		changes, err := relay(ctx, r, "changes", failedWithTimeLeft(ctx), call)
		outcomes <- outcome{changes, err}
	}()
	var first outcome
	select {
	case first = <-outcomes:
		return first.changes, first.err
	case <-directAnswers:
	}
	go func() {
		changes, err := call(r.Direct)
		outcomes <- outcome{changes, err}
	}()
	if first = <-outcomes; isUnreachable(first.err) {
		first = <-outcomes
	}
	return first.changes, first.err
}

// relay makes a call over one path after another, as long as it may go on after the error of the last one.
func relay[T any](
	ctx context.Context, r *Relay, op string, mayGoOn func(error) bool, call func(Store) (T, error),
) (T, error) {
	var zero T
	startedAt := time.Now()
	failed := &NoPathError{}
	status, unanswered := 0, false
	record := func(err error) {
		failed.Errs = append(failed.Errs, err)
		unanswered = unanswered || !isRefused(err)
	}
	if r.Direct.Reachable(time.Now()) {
		got, err := call(r.Direct)
		if !mayGoOn(err) {
			return got, err
		}
		record(err)
		var refused *RefusedError
		if errors.As(err, &refused) {
			status = refused.Status
		}
	} else {
		failed.Errs = append(failed.Errs, errUnreachable)
	}
	fallbacks := r.Fallbacks()
	for _, s := range fallbacks[:min(maxRelayHosts, len(fallbacks))] {
		if ctx.Err() != nil {
			break
		}
		got, err := call(s)
		if !mayGoOn(err) {
			if unanswered && err == nil {
				r.Log.WithError(failed).WithFields(logrus.Fields{"op": op, "took": sinceText(startedAt)}).Info("a call to the table was answered over another path")
			}
			return got, err
		}
		record(err)
	}
	if unanswered {
		return zero, &UnansweredError{Op: op, Err: failed}
	}
	return zero, &RefusedError{Op: op, Status: status, Err: failed}
}

// failedWithTimeLeft returns a function that reports whether an error says that a path doesn't lead to the table, while ctx goes on.
func failedWithTimeLeft(ctx context.Context) func(error) bool {
	return func(err error) bool { return isRefused(err) || (isUnreachable(err) && ctx.Err() == nil) }
}

// errUnreachable says that a call was not sent over the direct path.
var errUnreachable = errors.New("the direct path is down")

// NoPathError says why no path led to the table.
type NoPathError struct {
	// Errs holds the reason of each path that was tried, the direct one first.
	Errs []error
}

// Error lists the reasons.
func (e *NoPathError) Error() string {
	texts := make([]string, len(e.Errs))
	for i, err := range e.Errs {
		texts[i] = err.Error()
	}
	return "no path: " + strings.Join(texts, "; ")
}

func isRefused(err error) bool {
	var r *RefusedError
	return errors.As(err, &r)
}
