package cell

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/order"
)

// Polls of a scheduler whose lease is stale. Starts then need the connections that were opened before, and a poll occupies one.
const (
	// stalePollWait is how long a worker may delay its answer when no run ends.
	stalePollWait = 150 * time.Millisecond
	// stalePollGap is the delay between polls: shorter than maxIdleReportAge, so that starts needn't wait for a report.
	stalePollGap = 80 * time.Millisecond
	// staleUnackedDelay is unackedPollDelay while the lease is stale: no end can be made durable then, and other ends free capacity.
	staleUnackedDelay = 200 * time.Millisecond
)

// staleLease describes a time in which the group's lease is so old that another scheduler may have acquired it.
type staleLease struct {
	since time.Time
	// takenBack counts the starts that were not sent for lack of an old connection.
	takenBack int
}

// minConnAge returns for how long a connection must have been open for a start to be sent over it.
func (c *Cell) minConnAge(leaseAge time.Duration) time.Duration {
	if c.isExclusive(leaseAge) {
		return 0
	}
	return leaseAge - c.settings.ExclusiveFor
}

// hasOldConn reports whether there is a connection to a worker that has been open for minAge.
func (c *Cell) hasOldConn(w *worker, minAge time.Duration) bool {
	if minAge <= 0 || c.settings.OldestConn == nil {
		return true
	}
	age, ok := c.settings.OldestConn(&w.info)
	return ok && age >= minAge
}

// updateStaleLease logs when the group's lease becomes stale, and when it no longer is. The index must be current.
func (c *Cell) updateStaleLease(minConnAge time.Duration, now time.Time) {
	stale := &c.staleLease
	if minConnAge > 0 == !stale.since.IsZero() {
		return
	}
	if minConnAge > 0 {
		*stale = staleLease{since: now}
		c.log.WithFields(logrus.Fields{
			"lease-age": (c.settings.ExclusiveFor + minConnAge).Round(time.Millisecond).String(), "workers": len(c.candidateIndex.workers),
			"left-out": c.candidateIndex.withoutOldConn,
		}).Warn("the group's lease is stale: starts are sent only to workers with a connection from before")
		return
	}
	c.log.WithFields(logrus.Fields{
		fieldTook: now.Sub(stale.since).Round(time.Millisecond).String(), "taken-back": stale.takenBack,
	}).Info("the group's lease is renewed: starts are sent to all workers again")
	*stale = staleLease{}
}

// lacksOldConn reports whether a start was not sent because no connection was old enough.
func lacksOldConn(err error) bool {
	var noOldConn *order.NoOldConnError
	return errors.As(err, &noOldConn)
}

// unackedPollDelay returns the delay before a worker is polled again that has reported ends which are not durable.
func (c *Cell) unackedPollDelay(leaseAge time.Duration) time.Duration {
	if c.isExclusive(leaseAge) {
		return unackedPollDelay
	}
	return staleUnackedDelay
}

// pollTiming returns how long a poll of a worker may wait for ends, and the delay before it. While the lease is stale, or before it
// becomes so, a poll must not occupy a connection that starts need.
func (c *Cell) pollTiming(w *worker, leaseAge time.Duration, now time.Time) (maxWait, gap time.Duration) {
	if c.settings.OldestConn == nil {
		return pollWait, 0
	}
	if c.isExclusive(leaseAge) {
		return max(stalePollWait, c.settings.ExclusiveFor-leaseAge), 0
	}
	switch {
	case !c.hasOldConn(w, c.minConnAge(leaseAge)):
		return pollWait, 0
	case w.reportAwaited != nil:
		return stalePollWait, 0
	default:
		return stalePollWait, stalePollGap - now.Sub(w.lastResponseAt)
	}
}
