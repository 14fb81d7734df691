package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/order"
)

// minClock returns a time that the worker's clock is guaranteed to have reached at t, which may be before its last answer.
func (w *worker) minClock(t time.Time) time.Duration {
	elapsed := t.Sub(w.clockAt)
	if elapsed < 0 {
		return w.clock + elapsed
	}
	return w.clock + elapsed - time.Duration(maxClockDrift*float64(elapsed))
}

// updateClock stores the worker's clock from an answer. A clock behind the minimum at the time the order was sent belongs to
// a new incarnation.
func (w *worker) updateClock(clock time.Duration, sent, now time.Time) {
	if clock <= 0 {
		return
	}
	if !w.clockAt.IsZero() && clock < max(w.clock, w.minClock(sent)).Truncate(time.Millisecond) {
		w.mayHaveRestarted = true
	}
	w.clock, w.clockAt = clock, now
}

// canAck reports whether an acknowledgement is guaranteed to reach the incarnation that reported the ends: a new incarnation
// may have carried out orders sent since the last report, and would drop ends that were never received.
func (w *worker) canAck() bool {
	if w.missedPolls > 0 || w.mayHaveRestarted {
		return false
	}
	for _, p := range w.placements {
		if p.confirmedAt.IsZero() {
			return false
		}
	}
	return true
}

// handleRestart starts a new incarnation of a worker. The new incarnation may have carried out, under the same id, a start
// that was sent to the old one, so the old runs count as lost only if the next report does not list them.
func (c *Cell) handleRestart(w *worker, startedAt, now time.Time) {
	c.log.WithFields(logrus.Fields{
		fieldWorker: w.info.ID, fieldPlaced: len(w.placements), "before": w.info.StartedAt.UnixMilli(), "now": startedAt.UnixMilli(),
	}).Warn("worker restarted")
	for _, p := range w.placements {
		if !p.confirmedAt.IsZero() {
			p.confirmedAt = now
		}
	}
	w.info.StartedAt = startedAt
	w.lastEndSeen, w.lastEndDurable, w.lastAckSent = 0, 0, 0
	w.polled, w.reported = false, false
	w.pendingEnds = nil
	w.clock, w.clockAt, w.mayHaveRestarted = 0, time.Time{}, false
	w.restartedAt = now
	w.missedPolls, w.silent = 0, false
	clear(w.unknownRuns)
	w.expectLateOrders(now)
}

// isEntryCurrent reports whether the registry's entry describes the newest incarnation. Another one may have other capacity and
// labels.
func (w *worker) isEntryCurrent() bool { return w.listedStart.Equal(w.info.StartedAt) }

// loseRuns ends the placements of a worker on which nothing can be running any more, but for those that keep returns.
func (c *Cell) loseRuns(w *worker, reason string, now time.Time, leaseAge time.Duration, keep func(p *placement) bool) {
	for key, p := range w.placements {
		if keep(p) {
			continue
		}
		if p.confirmedAt.IsZero() {
			w.fence(key)
		}
		c.log.WithFields(logrus.Fields{
			fieldJob: key.task.Job, fieldTask: key.task.String(), fieldRun: key.run, fieldWorker: w.info.ID, fieldReason: reason,
			"since-renewal": now.Sub(w.lastRenewal()).Round(time.Millisecond).String(), "confirmed": !p.confirmedAt.IsZero(),
			fieldLeaseAge: leaseAge.Round(time.Millisecond).String(), fieldSilent: now.Sub(w.lastReportAt).Round(time.Millisecond).String(),
		}).Warn("run lost")
		c.stats.Lost++
		c.release(p, order.EndExpired, p.checkpoint, now)
	}
}

// leaseEnd returns when a lease that is renewed now ends on the worker's clock; 0 if that clock is not known.
func (w *worker) leaseEnd(now time.Time, lease time.Duration) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return max(0, w.minClock(now)+lease)
}

// expireLeases ends the placements on a worker whose leases are guaranteed to have expired, and forgets runs of unknown jobs there;
// leaseAge is the age of the group's lease at now or later.
func (c *Cell) expireLeases(w *worker, now time.Time, leaseAge time.Duration) {
	if w.missedPolls < missedPollLimit || len(w.placements)+len(w.unknownRuns) == 0 {
		return
	}
	if !now.Before(c.expiresAt(w)) && c.isExclusive(leaseAge) {
		clear(w.unknownRuns)
		c.loseRuns(w, "its lease has expired", now, leaseAge, func(p *placement) bool {
			return now.Before(p.lateUntil().Add(c.settings.Lease + leaseMargin))
		})
	}
}

// lastRenewal returns the last time at which an order that renews the leases on a worker was sent, or until which one that was sent to an
// earlier incarnation may arrive; that may be in the future.
func (w *worker) lastRenewal() time.Time {
	last := w.renewedAt
	if w.pollInFlight.renews && w.pollInFlight.at.After(last) {
		last = w.pollInFlight.at
	}
	if w.lateRenewalUntil.After(last) {
		last = w.lateRenewalUntil
	}
	for _, p := range w.placements {
		if p.sentAt.After(last) {
			last = p.sentAt
		}
	}
	return last
}

// noteRenewal records an order that may have renewed the leases on a worker from a time on, which may be earlier than that of the last one.
func (w *worker) noteRenewal(from time.Time) {
	if from.After(w.renewedAt) {
		w.renewedAt = from
	}
}

// StartLease records that a start, which renews the leases on its worker, is about to be sent, and returns when the lease ends on
// the worker's clock; 0 if that clock is not known. It returns false if the start must not be sent, see Abandoned.
func (c *Cell) StartLease(o StartOrder, now time.Time) (until time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned(o.p) {
		return 0, false
	}
	o.p.sentAt = now
	o.p.w.noteRenewal(now)
	return o.p.w.leaseEnd(now, c.settings.Lease), true
}

// MaySendStart reports whether a start that has waited for a connection may still be sent, under the lease that StartLease returned.
func (c *Cell) MaySendStart(o StartOrder, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.abandoned(o.p) {
		return false
	}
	o.p.sentAt = now
	return true
}
