package cell

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/order"
)

// Abandoned reports whether a start is no longer wanted, so that it must not be sent, or sent again.
func (c *Cell) Abandoned(o StartOrder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return o.p.unwanted
}

// StartResult is what came of a start.
type StartResult struct {
	Sent  time.Time
	Clock time.Duration
	Err   error
}

// Started takes the outcome of a start; a run that surely did not start gives its room back.
func (c *Cell) Started(o StartOrder, res StartResult, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := o.p
	w := p.w
	if w.placed[runKey{p.task.id, p.run}] != p {
		return
	}
	p.sent = res.Sent
	if res.Err == nil {
		w.heard(res.Clock, res.Sent, now)
		c.heardOf(w, now)
		if p.confirmed.IsZero() {
			p.confirmed = now
		}
		return
	}
	c.log.WithError(res.Err).WithFields(logrus.Fields{
		fieldJob: p.task.id.Job, fieldTask: p.task.id.String(), fieldRun: p.run, fieldWorker: w.info.ID,
	}).Warn("start failed")
	if !certain(res.Err) {
		// The start may still be carried out: the run is closed off on the worker before the task goes elsewhere.
		c.unwant(p)
		return
	}
	if rejectedAs(res.Err, order.RejectStale) {
		// The run was there before; the worker lists its end, unless that was told already.
		if p.confirmed.IsZero() {
			p.confirmed = now
		}
		return
	}
	if rejectedAs(res.Err, order.RejectTicket) {
		delete(p.task.step.permits, w.info.ID)
	}
	if rejectedAs(res.Err, order.RejectRoom) {
		p.task.step.askAfter = now.Add(askPause)
	}
	p.task.notBefore = now.Add(failPause)
	c.release(p, order.EndStopped, "", now)
}

// Stopped takes the outcome of a stop: after it the run is either listed as ended or will never start.
func (c *Cell) Stopped(o StopOrder, clock time.Duration, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := o.p
	w := p.w
	var rejected *order.RejectedError
	if w.placed[runKey{p.task.id, p.run}] != p || (err != nil && !errors.As(err, &rejected)) {
		return
	}
	w.heard(clock, p.stopSent, now)
	c.heardOf(w, now)
	p.stopped = true
	if p.confirmed.IsZero() {
		p.confirmed = now
	}
	w.kick()
}
