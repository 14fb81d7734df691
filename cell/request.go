package cell

import (
	"time"

	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// ticketCheckInterval is the interval between checks for tickets that have to be renewed.
const ticketCheckInterval = 30 * time.Millisecond

// requestAdvice requests advice about more workers with capacity for a step; for the result see requestAdviceWhere.
func (c *Cell) requestAdvice(plan *Plan, s *step, advice *queues.Advice, waiting int, now time.Time) bool {
	return c.requestAdviceWhere(plan, s, advice, waiting, allocationOf(s.doc).CPUMilli, now, c.fits)
}

// requestAdviceToPreempt requests advice about workers on which preempting less urgent runs could free capacity.
func (c *Cell) requestAdviceToPreempt(plan *Plan, s *step, advice *queues.Advice, waiting int, now time.Time) {
	if c.rank(s, now).urgency == overdue {
		return
	}
	c.requestAdviceWhere(plan, s, advice, waiting, anyFreeCPU, now, func(s *step, w *worker, size unit.Size) int {
		return c.fitsAfterPreemption(s, w, size, now)
	})
}

// scheduleTicketRenewal schedules the renewal of tickets of a step that waits for capacity, so that it can start as soon as
// some is freed.
func (c *Cell) scheduleTicketRenewal(plan *Plan, s *step, advice *queues.Advice, now time.Time) {
	if advice == nil || s.advicePending {
		return
	}
	if now.Before(s.nextTicketCheckAt) {
		plan.replanAt(s.nextTicketCheckAt)
		return
	}
	plan.ticketRenewals = append(plan.ticketRenewals, ticketRenewal{s, advice})
}

// ticketRenewal is a step whose tickets have to be renewed.
type ticketRenewal struct {
	s      *step
	advice *queues.Advice
}

// renewTickets renews tickets of steps that wait for capacity, one request at a time, and only if no step that could start
// lacks a host for its request: the steps that wait longest would otherwise occupy every host, at the expense of other groups
// too.
func (c *Cell) renewTickets(plan *Plan, now time.Time) {
	for _, r := range plan.ticketRenewals {
		if len(plan.noSlot) > 0 || c.renewingTickets {
			plan.replanAt(now.Add(ticketCheckInterval))
			return
		}
		numRequests := len(plan.AdviceRequests)
		c.requestAdviceWhere(plan, r.s, r.advice, maxRequestWorkers, anyFreeCPU, now, oneIfAllowed)
		r.s.nextTicketCheckAt = now.Add(ticketCheckInterval)
		if len(plan.AdviceRequests) > numRequests {
			plan.AdviceRequests[numRequests].renewal, c.renewingTickets = true, true
		}
	}
}

// requestAdviceWhere requests advice about workers that have capacity for a step, as measured by the given function. It returns
// false if the queue needs no advice or there is no such worker, and true if an answer or a later request is to be awaited.
func (c *Cell) requestAdviceWhere(
	plan *Plan, s *step, advice *queues.Advice, waiting int, minFreeCPU int64, now time.Time, capacity capacityFunc,
) bool {
	if advice == nil {
		return false
	}
	if s.advicePending || !plan.hasSlot(advice.Cost(1)) {
		return true
	}
	if now.Before(s.nextAdviceAt) {
		plan.replanAt(s.nextAdviceAt)
		return true
	}
	request, ok := c.newAdviceRequest(s, advice, waiting, minFreeCPU, now, capacity)
	if !ok {
		return false
	}
	if request.Host, ok = plan.slots.Reserve(request.Cost); ok {
		s.advicePending, request.sentAt = true, now
		plan.AdviceRequests = append(plan.AdviceRequests, request)
	}
	return true
}
