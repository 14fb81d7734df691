package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Parameters of reservations for gangs.
const (
	// reservationRefresh is how often the reservation of a gang is computed anew, and reservationTTL how long it is kept without that.
	reservationRefresh = 50 * time.Millisecond
	reservationTTL     = 120 * time.Millisecond
	// maxReservedShare is the share of the workers that may be reserved for a gang and those that come before it; the first one may reserve all that it
	// needs. With 0.25, and all reservations counted, gangs of 40 tasks waited for 14 to 20 s beside smaller ones.
	maxReservedShare = 0.5
	// gangChoice is how many times the places that a gang needs are asked about, for the choice between those that become free soonest
	// and for those that other tasks take meanwhile.
	gangChoice = 1.3
	// heldBonus is by how much sooner a place on another worker has to be free to replace one that the gang holds already: what has become free on
	// workers that are given up is taken by others.
	heldBonus = 300 * time.Millisecond
	// gangPreemptLead is how long before its expected start runs are preempted for a gang.
	gangPreemptLead = 400 * time.Millisecond
	// ticketLead is how long before the expected start of a gang the answer to the request for its tickets should arrive.
	ticketLead = 250 * time.Millisecond
	// gangTicketTime is for how long the tickets of a gang should be valid together: runs that are preempted for it take up to 0.5 s to end.
	gangTicketTime = 700 * time.Millisecond
	// freedAfterStop is how long after a stop was requested a run's capacity is expected to be free.
	freedAfterStop = 300 * time.Millisecond
)

// place is capacity for one task of a gang on a worker, and when it is expected to be free.
type place struct {
	w    *worker
	free time.Time
}

// prepareGang prepares the start of a gang that does not fit now: it learns which workers are allowed, and as soon as enough of their
// capacity is expected to be free while the tickets are valid, it reserves that and requests missing tickets. Without a reservation each
// place that becomes free would go to a task that needs only one.
func (c *Cell) prepareGang(plan *Plan, s *step, advice *queues.Advice, now time.Time) {
	if s.numRequests > 0 && !now.Before(s.ticketsExpectedAt) {
		return
	}
	if now.Before(s.nextReservationAt) {
		plan.replanAt(s.nextReservationAt)
		return
	}
	s.nextReservationAt = now.Add(reservationRefresh)
	plan.replanAt(s.nextReservationAt)
	size := allocationOf(s.doc)
	places := c.expectedPlaces(s, advice != nil, size, now)
	if s.numRequests > 0 {
		// The workers that the request names are kept until it is answered.
		places = slices.DeleteFunc(places, func(p place) bool { return !s.adviceInFlight[p.w] && !s.hasTicket(p.w, s.ticketsExpectedAt) })
		if len(places) >= s.doc.Count {
			c.hold(s, places[:s.doc.Count], latest(lastFree(places[:s.doc.Count]), s.ticketsExpectedAt), now)
		}
		return
	}
	if len(places) < s.doc.Count {
		if advice != nil {
			c.learnPermits(plan, s, advice, len(places), now)
		}
		return
	}
	start := lastFree(places[:s.doc.Count])
	if advice == nil {
		c.hold(s, places[:s.doc.Count], start, now)
		return
	}
	missing := 0
	for _, p := range places[:s.doc.Count] {
		if !s.hasTicket(p.w, start) {
			missing++
		}
	}
	if missing == 0 {
		if c.hold(s, places[:s.doc.Count], start, now) && !start.After(now.Add(gangPreemptLead)) {
			c.preemptForHeld(plan, s, places[:s.doc.Count], start, now)
		}
		return
	}
	wanted := places[:min(len(places), int(gangChoice*float64(s.doc.Count)))]
	distinct := map[*worker]bool{}
	for _, p := range wanted {
		distinct[p.w] = true
	}
	if start.Sub(now) > advice.Cost(len(distinct))+ticketLead {
		if known := len(places); known < 2*s.doc.Count {
			c.learnPermits(plan, s, advice, known, now)
		}
		return
	}
	s.ticketsExpectedAt = now.Add(advice.Cost(len(distinct)) + ticketLead)
	c.hold(s, places[:s.doc.Count], latest(start, s.ticketsExpectedAt), now)
	c.requestAdviceWhere(plan, s, advice, len(wanted), anyFreeCPU, now, func(_ *step, w *worker, _ unit.Size) int {
		if distinct[w] {
			return 1
		}
		return 0
	})
}

// lastFree returns when all of some places are free.
func lastFree(places []place) time.Time {
	last := places[0].free
	for _, p := range places {
		last = latest(last, p.free)
	}
	return last
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hold reserves the workers of places for a gang that is expected to start at a time.
func (c *Cell) hold(s *step, places []place, start, now time.Time) bool {
	held := 0
	for _, w := range c.candidateIndex.workers {
		if w.heldFor != nil && w.heldFor != s && now.Before(w.heldUntil) && c.precedes(w.heldFor, s, now) {
			held++
		}
	}
	wanted := map[*worker]bool{}
	for _, p := range places {
		wanted[p.w] = true
	}
	if float64(held+len(wanted)) > maxReservedShare*float64(len(c.candidateIndex.workers)) && held > 0 {
		return false
	}
	for _, p := range places {
		p.w.heldFor, p.w.heldUntil, p.w.heldStart = s, now.Add(reservationTTL), start
	}
	return true
}

// preemptForHeld evicts less urgent runs from the workers that are held for a gang, as far as they would still run when the gang is expected to start.
func (c *Cell) preemptForHeld(plan *Plan, s *step, places []place, start, now time.Time) {
	tasksOn := map[*worker]int{}
	for _, p := range places {
		tasksOn[p.w]++
	}
	size := allocationOf(s.doc)
	evicted := false
	for w, n := range tasksOn {
		used := w.used
		for _, p := range w.placements {
			if p.stopRequested || (!p.task.step.doc.LongRunning && !c.runEnd(p, now).After(start)) {
				used = used.Sub(p.size)
			}
		}
		for _, v := range c.victims(s, w, now) {
			if s.fitsWithUsed(w, used, size) >= n {
				break
			}
			if !v.p.stopRequested && c.runEnd(v.p, now).After(start) {
				used = used.Sub(v.p.size)
				c.evict(v.p, "a more urgent gang", now)
				evicted = true
			}
		}
	}
	if evicted {
		c.planStops(plan, now)
	}
}

// expectedPlaces returns the places for a step's tasks on the workers that the advisor has allowed, those that are free soonest first.
func (c *Cell) expectedPlaces(s *step, needsTicket bool, size unit.Size, now time.Time) []place {
	var places []place
	for _, w := range c.candidateIndex.workers {
		if c.eligible(w, s, now) && (!needsTicket || s.allowed(w)) {
			places = c.appendPlaces(places, s, w, size, now)
		}
	}
	key := func(p place) time.Time {
		if p.w.heldFor == s && now.Before(p.w.heldUntil) {
			return p.free.Add(-heldBonus)
		}
		return p.free
	}
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(key(a).Compare(key(b)), a.free.Compare(b.free), cmp.Compare(a.w.info.ID, b.w.info.ID))
	})
	return places
}

// appendPlaces appends a worker's places for tasks of a step, as the runs on it are expected to end.
func (c *Cell) appendPlaces(places []place, s *step, w *worker, size unit.Size, now time.Time) []place {
	type release struct {
		at   time.Time
		size unit.Size
	}
	releases := make([]release, 0, len(w.placements))
	for _, p := range w.placements {
		if !p.task.step.doc.LongRunning {
			releases = append(releases, release{c.expectedEnd(p, s, now), p.size})
		}
	}
	slices.SortFunc(releases, func(a, b release) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.size.CPUMilli, b.size.CPUMilli), cmp.Compare(a.size.MemoryMiB, b.size.MemoryMiB))
	})
	numPlaces, used, at := 0, w.used, now
	for i := -1; i < len(releases); i++ {
		if i >= 0 {
			used, at = used.Sub(releases[i].size), releases[i].at
		}
		for n := s.fitsWithUsed(w, used, size); numPlaces < n; numPlaces++ {
			places = append(places, place{w, at})
		}
	}
	return places
}

// expectedEnd returns when a run is expected to have ended, or to be stopped for a step.
func (c *Cell) expectedEnd(p *placement, s *step, now time.Time) time.Time {
	if p.stopRequested || c.mayPreemptRun(s, p, unit.Size{}, now) {
		return now.Add(freedAfterStop)
	}
	return c.runEnd(p, now)
}

// runEnd returns when a run is expected to end by itself.
func (c *Cell) runEnd(p *placement, now time.Time) time.Time {
	other := p.task.step
	end := p.sentAt.Add(c.runTimes.estimate(other.job.doc.Queue, other.doc))
	if end.Before(now) {
		// It takes longer than expected.
		end = now.Add(now.Sub(end) / 2)
	}
	return end
}

// learnPermits requests advice about workers of which it isn't known whether the step is allowed there: those on which it would fit soonest.
func (c *Cell) learnPermits(plan *Plan, s *step, advice *queues.Advice, known int, now time.Time) {
	missing := max(1, int(2*gangChoice*float64(s.doc.Count))-known)
	c.requestAdviceWhere(plan, s, advice, missing, anyFreeCPU, now, func(s *step, w *worker, size unit.Size) int {
		if _, ok := s.permits[w]; ok {
			return 0
		}
		return max(c.mayFit(s, w, size), min(1, s.fitsWithUsed(w, unit.Size{}, size)))
	})
}
