package cell

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// priorityWeight is how many times the hosts' time a queue may take of one whose priority is lower by one.
const priorityWeight = 10.0

// minCallShare is the share of the hosts' time that every queue may take, whatever its priority.
const minCallShare = 0.2

// ticketCheckInterval is the interval between checks for tickets that have to be renewed.
const ticketCheckInterval = 30 * time.Millisecond

// maxParallelRequests is how many requests for advice about a step may be in flight, through different hosts: a wide step needs tickets
// for more workers than one request may name, and those of the first request expire while a second one is processed.
const maxParallelRequests = 4

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
	if advice == nil || s.numRequests > 0 {
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
		r.s.nextTicketCheckAt = now.Add(ticketCheckInterval)
		if r.s.numRequests > 0 {
			continue
		}
		numRequests := len(plan.AdviceRequests)
		c.sendRequest(plan, wantedAdvice{r.s, r.advice, maxRequestWorkers, anyFreeCPU, oneIfAllowed}, now)
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
	if s.numRequests > 0 || !plan.hasSlot(advice.Cost(1), now) {
		return true
	}
	if now.Before(s.nextAdviceAt) {
		plan.replanAt(s.nextAdviceAt)
		return true
	}
	if !c.hasCandidate(s, advice, minFreeCPU, now, capacity) {
		return false
	}
	plan.wanted = append(plan.wanted, wantedAdvice{s, advice, waiting, minFreeCPU, capacity})
	return true
}

// wantedAdvice is a request for advice that is sent if a host is free for it.
type wantedAdvice struct {
	s          *step
	advice     *queues.Advice
	waiting    int
	minFreeCPU int64
	capacity   capacityFunc
}

// sendRequests sends the wanted requests for advice as long as hosts are free. Each host goes to the queue whose calls take least of the
// hosts' time: otherwise the long calls of one queue would take all hosts, while its steps may not even find capacity. Queues whose next
// step is of a team beyond its part come last.
func (c *Cell) sendRequests(plan *Plan, now time.Time) {
	byQueue := map[string][]wantedAdvice{}
	var queueNames []string
	for _, wanted := range plan.wanted {
		name := wanted.s.job.doc.Queue
		if _, ok := byQueue[name]; !ok {
			queueNames = append(queueNames, name)
		}
		byQueue[name] = append(byQueue[name], wanted)
	}
	plan.wanted = nil
	for len(queueNames) > 0 {
		next := slices.MinFunc(queueNames, func(a, b string) int {
			first, second := byQueue[a][0].s, byQueue[b][0].s
			return cmp.Or(
				cmp.Compare(c.rank(first, now).urgency, c.rank(second, now).urgency),
				cmp.Compare(c.standingOf(first, unit.Size{}), c.standingOf(second, unit.Size{})), cmp.Compare(c.weightedCalls(first), c.weightedCalls(second)),
			)
		})
		wanted := byQueue[next][0]
		byQueue[next] = byQueue[next][1:]
		expected, ok := c.sendRequest(plan, wanted, now)
		if wanted.waiting -= int(expected); ok && wanted.waiting > 0 && wanted.s.numRequests < maxParallelRequests {
			byQueue[next] = append([]wantedAdvice{wanted}, byQueue[next]...)
		}
		if !ok || len(byQueue[next]) == 0 {
			queueNames = slices.DeleteFunc(queueNames, func(name string) bool { return name == next })
		}
	}
}

// sendRequest sends a request for advice, and returns how many tasks it is expected to let start; false if no host is free.
func (c *Cell) sendRequest(plan *Plan, wanted wantedAdvice, now time.Time) (expected float64, ok bool) {
	if !plan.hasSlot(wanted.advice.Cost(1), now) {
		return 0, false
	}
	request, ok := c.newAdviceRequest(wanted.s, wanted.advice, wanted.waiting, wanted.minFreeCPU, now, wanted.capacity)
	if !ok {
		return float64(wanted.waiting), true
	}
	if request.Host, ok = plan.slots.Reserve(request.Cost); !ok {
		return 0, false
	}
	request.sentAt = now
	request.s.numRequests++
	for _, w := range request.named {
		request.s.adviceInFlight[w] = true
	}
	c.callsInFlight[request.Queue] += request.Cost
	plan.AdviceRequests = append(plan.AdviceRequests, request)
	return request.expected, true
}

// weightedCalls returns the duration of the calls in flight of a step's queue, which counts more for queues of lower priority, unless the
// queue has less than minCallShare of all calls.
func (c *Cell) weightedCalls(s *step) float64 {
	all := time.Duration(0)
	for _, calls := range c.callsInFlight {
		all += calls
	}
	calls := c.callsInFlight[s.job.doc.Queue]
	if calls.Seconds() < minCallShare*all.Seconds() {
		return calls.Seconds()
	}
	return calls.Seconds() * math.Pow(priorityWeight, float64(s.job.doc.Priority))
}
