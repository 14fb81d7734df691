package cell

import (
	"time"

	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// ticketCheck spaces the looks for tickets that have to be renewed.
const ticketCheck = 30 * time.Millisecond

// askFor asks the advisor about more workers, and reports whether there are any with room to ask about.
func (c *Cell) askFor(plan *Plan, s *step, advice *queues.Advice, waiting int, now time.Time) bool {
	return c.askWhere(plan, s, advice, waiting, roomOf(s.doc).CPUMilli, now, c.fits)
}

// askAboutFull asks the advisor about workers on which less urgent runs could make room.
func (c *Cell) askAboutFull(plan *Plan, s *step, advice *queues.Advice, waiting int, now time.Time) {
	if c.rank(s, now).urgency == overdue {
		return
	}
	c.askWhere(plan, s, advice, waiting, anyFree, now, func(s *step, w *worker, size unit.Size) int {
		return c.fitsAfter(s, w, size, now)
	})
}

// keepTickets notes that a step waits for room, so that its tickets are to be renewed and it can start at once where room
// comes free.
func (c *Cell) keepTickets(plan *Plan, s *step, advice *queues.Advice, now time.Time) {
	if advice == nil || s.asking {
		return
	}
	if now.Before(s.ticketsUntil) {
		plan.again(s.ticketsUntil)
		return
	}
	plan.renewals = append(plan.renewals, renewal{s, advice})
}

// renewal is a step whose tickets are to be renewed.
type renewal struct {
	s      *step
	advice *queues.Advice
}

// renew renews tickets of steps that wait for room, one call at a time, and only if no step that could start has found no
// host for its call: what waits longest would otherwise take every host for itself, from other groups too.
func (c *Cell) renew(plan *Plan, now time.Time) {
	for _, r := range plan.renewals {
		if len(plan.busy) > 0 || c.renewing {
			plan.again(now.Add(ticketCheck))
			return
		}
		calls := len(plan.Asks)
		c.askWhere(plan, r.s, r.advice, maxAsked, anyFree, now, knownAllowed)
		r.s.ticketsUntil = now.Add(ticketCheck)
		if len(plan.Asks) > calls {
			plan.Asks[calls].renewal, c.renewing = true, true
		}
	}
}

// askWhere asks about workers that have room for a step by a measure of it.
func (c *Cell) askWhere(
	plan *Plan, s *step, advice *queues.Advice, waiting int, least int64, now time.Time, room roomFunc,
) bool {
	if advice == nil {
		return false
	}
	if s.asking || !plan.free(advice.Cost(1)) {
		return true
	}
	if now.Before(s.askAfter) {
		plan.again(s.askAfter)
		return true
	}
	a, ok := c.ask(s, advice, waiting, least, now, room)
	if !ok {
		return false
	}
	if a.Host, ok = plan.desks.Reserve(a.Cost); ok {
		s.asking = true
		plan.Asks = append(plan.Asks, a)
	}
	return true
}
