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
	// maxReservedShare is the share of the workers that may be reserved.
	maxReservedShare = 0.25
	// gangChoice is how many times the places that a gang needs are asked about, for the choice between those that become free soonest
	// and for those that other tasks take meanwhile.
	gangChoice = 1.3
	// ticketLead is how long before the expected start of a gang the answer to the request for its tickets should arrive.
	ticketLead = 250 * time.Millisecond
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
	if s.numRequests > 0 {
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
	if len(places) < s.doc.Count {
		if advice != nil {
			c.learnPermits(plan, s, advice, len(places), now)
		}
		return
	}
	start := places[s.doc.Count-1].free
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
		c.hold(s, places[:s.doc.Count], start, now)
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
	c.hold(s, places[:s.doc.Count], start, now)
	c.requestAdviceWhere(plan, s, advice, len(wanted), anyFreeCPU, now, func(_ *step, w *worker, _ unit.Size) int {
		if distinct[w] {
			return 1
		}
		return 0
	})
}

// hold reserves the workers of places for a gang that is expected to start at a time.
func (c *Cell) hold(s *step, places []place, start, now time.Time) {
	held := 0
	for _, w := range c.candidateIndex.workers {
		if w.heldFor != nil && w.heldFor != s && now.Before(w.heldUntil) {
			held++
		}
	}
	if float64(held+len(places)) > maxReservedShare*float64(len(c.candidateIndex.workers)) && held > 0 {
		return
	}
	for _, p := range places {
		p.w.heldFor, p.w.heldUntil, p.w.heldStart = s, now.Add(reservationTTL), start
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
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(a.free.Compare(b.free), cmp.Compare(a.w.info.ID, b.w.info.ID))
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
	other := p.task.step
	if p.stopRequested || c.mayPreemptRun(s, p, unit.Size{}, now) {
		return now.Add(freedAfterStop)
	}
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
