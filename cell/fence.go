package cell

import (
	"maps"
	"time"

	"github.com/corianderdrift/corianderdrift/order"
)

// lateOrderLimit is how long after it was sent an unanswered order may still be carried out.
const lateOrderLimit = 13 * time.Second

// fence adds a run whose start may still arrive to those that the worker is told to refuse, until it has answered that.
func (w *worker) fence(key runKey) {
	if w.toFence == nil {
		w.toFence = map[runKey]struct{}{}
	}
	w.toFence[key] = struct{}{}
}

// recordUnanswered records that an attempt to start a run in an incarnation of a worker got no answer. It is not needed for a start
// with a ticket, which no other incarnation accepts.
func (w *worker) recordUnanswered(key runKey, incarnation, sent time.Time) {
	if w.unansweredStarts == nil {
		w.unansweredStarts = map[runKey]time.Time{}
	}
	w.unansweredStarts[key] = sent
	if incarnation.Equal(w.info.StartedAt) {
		return
	}
	w.fence(key)
	if late := sent.Add(lateOrderLimit); late.After(w.lateRenewalUntil) {
		w.lateRenewalUntil = late
	}
}

// sentPoll is a poll that has been sent.
type sentPoll struct {
	at     time.Time
	renews bool
	acks   bool
}

// recordUnansweredPoll records that the poll in flight, if there is one, was not answered.
func (w *worker) recordUnansweredPoll() {
	if w.pollInFlight.acks {
		w.unansweredAckAt = w.pollInFlight.at
	}
	if w.pollInFlight.renews {
		w.unansweredRenewalAt = w.pollInFlight.at
	}
	w.closePoll()
}

// closePoll records that the poll in flight, if there is one, may have been carried out.
func (w *worker) closePoll() {
	if w.pollInFlight.renews {
		w.noteRenewal(w.pollInFlight.at)
	}
	w.pollInFlight = sentPoll{}
}

// expectLateOrders prepares for orders that were sent to earlier incarnations of a worker and may be carried out by the new one,
// which knows nothing of the stops and runs of the earlier ones, numbers its ends anew and has another clock.
func (w *worker) expectLateOrders(now time.Time) {
	w.recordUnansweredPoll()
	w.forgetUnanswered(now)
	renewedAt := w.unansweredRenewalAt
	for key, sent := range w.unansweredStarts {
		w.fence(key)
		if sent.After(renewedAt) {
			renewedAt = sent
		}
	}
	w.lateRenewalUntil, w.lateAckUntil = renewedAt.Add(lateOrderLimit), w.unansweredAckAt.Add(lateOrderLimit)
}

// expectsLateOrders reports whether an order that was not answered may still be carried out.
func (w *worker) expectsLateOrders(now time.Time) bool {
	for _, sent := range []time.Time{w.unansweredAckAt, w.unansweredRenewalAt} {
		if now.Before(sent.Add(lateOrderLimit)) {
			return true
		}
	}
	return len(w.unansweredStarts) > 0 || now.Before(w.lateAckUntil) || now.Before(w.lateRenewalUntil)
}

// forgetOrders forgets all orders without an answer to a worker that is gone: an order names its worker, and no other carries it out.
func (w *worker) forgetOrders() {
	clear(w.toFence)
	clear(w.unansweredStarts)
	w.pollInFlight = sentPoll{}
	w.unansweredAckAt, w.unansweredRenewalAt, w.lateAckUntil, w.lateRenewalUntil = time.Time{}, time.Time{}, time.Time{}, time.Time{}
}

// forgetUnanswered forgets the unanswered starts that can't be carried out any more.
func (w *worker) forgetUnanswered(now time.Time) {
	maps.DeleteFunc(w.unansweredStarts, func(_ runKey, sent time.Time) bool { return now.Sub(sent) > lateOrderLimit })
}

// lateUntil returns until when a later incarnation of the worker may carry out the start of a run; the zero time if it can't.
func (p *placement) lateUntil() time.Time {
	last := p.unansweredAt
	if p.confirmedAt.IsZero() && p.sentAt.After(last) {
		last = p.sentAt
	}
	if p.ticketed || p.adopted || last.IsZero() {
		return time.Time{}
	}
	return last.Add(lateOrderLimit)
}

// runsToFence returns the stops that fence a worker's runs, if it answers.
func (c *Cell) runsToFence(w *worker) []order.Stop {
	if w.missedPolls > 0 {
		return nil
	}
	var stops []order.Stop
	for key := range w.toFence {
		stops = append(stops, order.Stop{Task: key.task, Run: key.run, Token: c.token})
	}
	return stops
}

// RunFenced records that an incarnation of a worker has answered a stop that fences a run.
func (c *Cell) RunFenced(incarnation order.Worker, o order.Stop) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.workers[incarnation.ID]; ok && w.info.StartedAt.Equal(incarnation.StartedAt) {
		delete(w.toFence, runKey{o.Task, o.Run})
	}
}
