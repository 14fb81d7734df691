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
	// slowAnswerTime is how much longer than it may wait for a change an answered call takes before it is logged.
	slowAnswerTime = 300 * time.Millisecond
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
	// OnReceived, if set, is called before Load and Apply.
	OnReceived func(Received)
	// Keep, if set, returns what Load needs of the rows of a page.
	Keep func(ctx context.Context, rows []Row) []Row
	Log  logrus.FieldLogger
	// Pause returns the delay after each batch of changes, for tables whose changes need not be received at once; nil means none.
	Pause func() time.Duration

	unreachable bool
	// numFailed counts the failed calls since failingSince, when the first of them was sent.
	numFailed    int
	failingSince time.Time
	// lastAnswer is the last answer.
	lastAnswer Answer
}

// Received says how rows arrived.
type Received struct {
	// Answer is the answer that they came in, and Before the one before it.
	Answer, Before Answer
	// Took is how long the call took, or the loading if Loaded is set.
	Took   time.Duration
	Loaded bool
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
		f.logFailure(err, time.Now())
		clock.Pause(ctx, followRetryDelay)
	}
}

// logFailure logs a call that was sent at the given time.
func (f *Follower) logFailure(err error, sentAt time.Time) {
	var lost *HistoryLostError
	if errors.As(err, &lost) {
		f.Log.WithField("table", f.Table).Info("change history of the table lost; reloading the table")
		return
	}
	log := f.Log.WithError(err).WithFields(logrus.Fields{"table": f.Table, "took": sinceText(sentAt)})
	f.numFailed++
	if f.unreachable {
		log.WithField("failed", f.numFailed).Info("following the table failed again")
		return
	}
	f.unreachable, f.failingSince = true, sentAt
	log.Warn("following the table failed; retrying")
}

func sinceText(t time.Time) string { return time.Since(t).Round(time.Millisecond).String() }

func (f *Follower) load(ctx context.Context) (uint64, error) {
	var ranges []Range
	for _, partition := range f.Partitions() {
		ranges = append(ranges, Range{Table: f.Table, Partition: partition})
	}
	startedAt := time.Now()
	l := Loader{
		Store: f.Store, Timeout: func() time.Duration { return followWait + followSlack }, OnAnswer: f.recordAnswer, OnFailure: f.logFailure,
		Keep: f.Keep,
	}
	before := f.lastAnswer
	rows, version, err := l.Load(ctx, ranges)
	if err != nil {
		return 0, err
	}
	f.received(Received{Answer: f.lastAnswer, Before: before, Took: time.Since(startedAt), Loaded: true})
	f.Load(rows)
	return version, nil
}

func (f *Follower) received(r Received) {
	if f.OnReceived != nil {
		f.OnReceived(r)
	}
}

func (f *Follower) recordAnswer(a Answer) {
	f.lastAnswer = a
	if f.unreachable {
		f.Log.WithFields(logrus.Fields{
			"table": f.Table, "via": a.Via, "failed": f.numFailed, "after": sinceText(f.failingSince),
		}).Info("following the table resumed")
		f.unreachable, f.numFailed = false, 0
	}
	if f.OnAnswer != nil {
		f.OnAnswer()
	}
}

// followChanges follows changes after a version; a failed call is retried from the same version until the history is lost.
func (f *Follower) followChanges(ctx context.Context, version uint64) error {
	slack := followSlack
	for ctx.Err() == nil {
		sentAt := time.Now()
		call, cancel := context.WithTimeout(ctx, followWait+slack)
		changes, err := f.Store.Changes(call, f.Table, version, followWait)
		cancel()
		var lost *HistoryLostError
		switch {
		case errors.As(err, &lost):
			return err
		case err != nil:
			if ctx.Err() == nil {
				f.logFailure(err, sentAt)
				clock.Pause(ctx, followRetryDelay)
			}
			if errors.Is(err, context.DeadlineExceeded) {
				slack = min(maxFollowSlack, 2*slack)
			}
			continue
		}
		slack = followSlack
		if time.Since(sentAt) > followWait+slowAnswerTime {
			f.Log.WithFields(logrus.Fields{
				"table": f.Table, "via": changes.Via, "took": sinceText(sentAt), "rows": len(changes.Rows),
			}).Info("slow answer of the table")
		}
		before := f.lastAnswer
		f.recordAnswer(changes.Answer)
		version = max(version, changes.Version)
		if len(changes.Rows) > 0 {
			f.received(Received{Answer: changes.Answer, Before: before, Took: time.Since(sentAt)})
			f.Apply(changes.Rows)
			if f.Pause != nil {
				clock.Pause(ctx, f.Pause())
			}
		}
	}
	return ctx.Err()
}
