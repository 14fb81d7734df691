package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/order"
)

// clockNow returns a time that the worker's clock has surely reached.
func (w *worker) clockNow(now time.Time) time.Duration {
	passed := max(0, now.Sub(w.clockAt))
	return w.clock + passed - time.Duration(clockDrift*float64(passed))
}

// heard takes the worker's clock from an answer; one that is behind what it had surely reached when the order was sent is that
// of a new life.
func (w *worker) heard(clock time.Duration, sent, now time.Time) {
	if clock <= 0 {
		return
	}
	if !w.clockAt.IsZero() && clock < w.clockNow(sent).Truncate(time.Millisecond) {
		w.lifeInDoubt = true
	}
	w.clock, w.clockAt = clock, now
}

// mayAck reports whether an acknowledgement surely reaches the life that told the ends: a new life may have carried out what
// was sent since the last report, and would forget ends that nobody has seen.
func (w *worker) mayAck() bool {
	if w.misses > 0 || w.lifeInDoubt {
		return false
	}
	for _, p := range w.placed {
		if p.confirmed.IsZero() {
			return false
		}
	}
	return true
}

// reborn starts a new life of a worker. A start that was sent to the old life may have been carried out by the new one under
// the same id, so that what was there is lost only if the next report does not show it.
func (c *Cell) reborn(w *worker, born, now time.Time) {
	c.log.WithFields(logrus.Fields{fieldWorker: w.info.ID, fieldPlaced: len(w.placed)}).Warn("worker has started anew")
	for _, p := range w.placed {
		if !p.confirmed.IsZero() {
			p.confirmed = now
		}
	}
	w.info.Born = born
	w.seen, w.acked, w.ackSent, w.known = 0, 0, 0, false
	w.clock, w.clockAt, w.lifeInDoubt = 0, time.Time{}, false
	w.renewed, w.rebornAt = time.Time{}, now
	w.misses = 0
	clear(w.foreign)
}

// loseAll ends all placements of a worker on which surely nothing runs any more.
func (c *Cell) loseAll(w *worker, why string, now time.Time) {
	for key, p := range w.placed {
		if p.confirmed.IsZero() {
			w.closeOff = append(w.closeOff, order.Stop{Task: key.task, Run: key.run, Token: c.token})
		}
		c.log.WithFields(logrus.Fields{
			fieldJob: key.task.Job, fieldTask: key.task.String(), fieldRun: key.run, fieldWorker: w.info.ID, fieldWhy: why,
		}).Warn("run lost")
		c.stats.Lost++
		c.release(p, order.EndLapsed, p.saved, now)
	}
}

// until returns when a lease that is renewed now ends on the worker's clock; 0 if that clock is not known.
func (w *worker) until(now time.Time, lease time.Duration) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clockNow(now) + lease
}

// expire ends what is on a worker whose leases have surely run out.
func (c *Cell) expire(w *worker, now time.Time) {
	if w.misses < missesUntilSuspect || len(w.placed) == 0 {
		return
	}
	if now.Sub(w.lastOrder()) > c.settings.Lease+leaseSlack {
		c.loseAll(w, "its lease has run out", now)
	}
}

// lastOrder returns when the last order was sent that renewed the leases on a worker.
func (w *worker) lastOrder() time.Time {
	last := w.renewed
	for _, p := range w.placed {
		if p.sent.After(last) {
			last = p.sent
		}
	}
	return last
}

// Until returns when the lease of a task that is started now ends on the worker's clock.
func (c *Cell) Until(id string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok {
		return 0
	}
	return w.until(now, c.settings.Lease)
}
