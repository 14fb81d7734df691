package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/order"
)

// Abandoned reports whether a start must not be sent, or sent again: a stop of the run was requested, the run counts as ended, or
// its worker has restarted, is leaving, or must not have its leases renewed.
func (c *Cell) Abandoned(o StartOrder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.abandoned(o.p)
}

func (c *Cell) abandoned(p *placement) bool {
	w := p.w
	switch {
	case p.stopRequested, !p.isCurrent(), !p.incarnation.Equal(w.info.StartedAt):
		return true
	default:
		return !w.listed || w.info.Draining || c.unrenewedWorkers[w.info.ID]
	}
}

// StartResult is the outcome of a start order.
type StartResult struct {
	// Sent is when the last attempt was sent.
	Sent  time.Time
	Clock time.Duration
	Err   error
	// Unanswered counts the attempts that got no answer.
	Unanswered int
}

// Started handles the outcome of a start. The allocation of a run that is known not to have started is freed.
func (c *Cell) Started(o StartOrder, res StartResult, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := o.p
	w := p.w
	if res.Unanswered > 0 && !p.ticketed {
		w.recordUnanswered(runKey{p.task.id, p.run}, p.incarnation, res.Sent)
		p.unansweredAt = res.Sent
	}
	if !p.isCurrent() {
		c.countLate(p)
		return
	}
	p.sentAt = res.Sent
	if res.Err == nil {
		w.updateClock(res.Clock, res.Sent, now)
		c.recordResponse(w, now)
		p.confirm(now)
		if res.Unanswered > 0 {
			c.losses.record(now)
		}
		return
	}
	if res.Unanswered == 0 && lacksOldConn(res.Err) {
		// The task is placed again by the plan after the lease's renewal, or elsewhere.
		c.staleLease.takenBack++
		c.release(p, order.EndStopped, "", now)
		return
	}
	c.log.WithError(res.Err).WithFields(logrus.Fields{
		fieldJob: p.task.id.Job, fieldTask: p.task.id.String(), fieldRun: p.run, fieldWorker: w.info.ID, "unanswered": res.Unanswered,
	}).Warn("start failed")
	if isRejection(res.Err, order.RejectStale) {
		// The worker already had the run and will list its end, unless that was reported before.
		p.confirm(now)
		return
	}
	if isRejection(res.Err, order.RejectTicket) {
		p.task.step.expireTicket(w)
		p.task.step.job.needsTickets = true
	}
	if isRejection(res.Err, order.RejectCapacity) {
		p.task.step.nextAdviceAt = now.Add(adviceBusyDelay)
	}
	if res.Unanswered > 0 || !provesNotExecuted(res.Err) {
		if p.confirmedAt.IsZero() {
			// An attempt may have been carried out, or may still be: the run is fenced on the worker before the task is placed
			// elsewhere.
			c.requestStop(p)
		}
		return
	}
	p.task.notBefore = now.Add(retryDelay)
	c.release(p, order.EndStopped, "", now)
}

// Stopped handles the outcome of a stop that a plan has listed, sent or not. If it was answered, the run is either listed as ended or will never start.
func (c *Cell) Stopped(o StopOrder, clock time.Duration, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := o.p
	w := p.w
	p.stopInFlight = false
	if !p.isCurrent() || !FencesRun(err) {
		return
	}
	w.updateClock(clock, p.stopSentAt, now)
	c.recordResponse(w, now)
	p.stopAnswered = true
	if p.confirmedAt.IsZero() {
		p.confirmedAt = now
	}
	w.wakeUp()
}
