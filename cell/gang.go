package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/queues"
)

// planGang places all tasks of a gang at once, or none.
func (c *Cell) planGang(plan *Plan, s *step, advice *queues.Advice, now time.Time) {
	run := c.firstRun
	for t := range s.known {
		if len(t.placements) > 0 {
			return
		}
		if now.Before(t.notBefore) {
			plan.replanAt(t.notBefore)
			return
		}
		run = max(run, c.nextRun(t))
	}
	if c.heldByTaskLimit(s) {
		return
	}
	checkpoint := ""
	for t := range s.known {
		if t.checkpoint > checkpoint {
			checkpoint = t.checkpoint
		}
	}
	size := allocationOf(s.doc)
	assignments := c.assignGang(s, advice != nil, now, func(w *worker) int { return c.fits(s, w, size) })
	if len(assignments) < len(s.tasks) {
		if c.mayPreempt(s, now) && c.preemptGang(plan, s, advice != nil, now) {
			return
		}
		c.prepareGang(plan, s, advice, now)
		return
	}
	for i := range s.tasks {
		t := s.task(i)
		t.checkpoint = checkpoint
		c.start(plan, t, assignments[i].w, assignments[i].ticket, run, now)
	}
}

type assignment struct {
	w      *worker
	ticket string
}

// assignGang finds a worker for each member of a gang, preferring a single rack if the members should be colocated.
func (c *Cell) assignGang(s *step, needsTicket bool, now time.Time, capacity func(w *worker) int) []assignment {
	size := allocationOf(s.doc)
	type option struct {
		assignment
		fits  int
		score float64
	}
	var options []option
	rackCapacity := map[string]int{}
	for w, ticket := range c.eligibleWorkers(s, needsTicket, anyFreeCPU, now) {
		if n := capacity(w); n > 0 {
			options = append(options, option{assignment{w, ticket}, n, c.score(s, w, size, now)})
			rackCapacity[w.info.Rack] += n
		}
	}
	slices.SortFunc(options, func(a, b option) int {
		if s.doc.Colocate {
			ra, rb := rackCapacity[a.w.info.Rack] >= s.doc.Count, rackCapacity[b.w.info.Rack] >= s.doc.Count
			if ra != rb {
				if ra {
					return -1
				}
				return 1
			}
			if order := cmp.Compare(a.w.info.Rack, b.w.info.Rack); order != 0 {
				return order
			}
		}
		if order := cmp.Compare(a.score, b.score); order != 0 {
			return order
		}
		return cmp.Compare(a.w.info.ID, b.w.info.ID)
	})
	var assigned []assignment
	for _, opt := range options {
		for range opt.fits {
			if len(assigned) == s.doc.Count {
				return assigned
			}
			assigned = append(assigned, opt.assignment)
		}
	}
	return assigned
}
