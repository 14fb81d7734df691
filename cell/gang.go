package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/queues"
)

// planGang places all tasks of a gang at once, or none.
func (c *Cell) planGang(plan *Plan, s *step, advice *queues.Advice, now time.Time) {
	run := 0
	for _, t := range s.tasks {
		if len(t.placed) > 0 {
			return
		}
		if now.Before(t.notBefore) {
			plan.again(t.notBefore)
			return
		}
		run = max(run, c.nextRun(t))
	}
	saved := ""
	for _, t := range s.tasks {
		if t.saved > saved {
			saved = t.saved
		}
	}
	size := roomOf(s.doc)
	seats := c.seats(s, advice != nil, now, func(w *worker) int { return c.fits(s, w, size) })
	if len(seats) < len(s.tasks) {
		if !c.askFor(plan, s, advice, len(s.tasks), now) && c.mayPreempt(s, now) && !c.preemptGang(plan, s, advice != nil, now) {
			c.askAboutFull(plan, s, advice, len(s.tasks), now)
		}
		c.keepTickets(plan, s, advice, now)
		return
	}
	for i, t := range s.tasks {
		t.saved = saved
		c.start(plan, t, seats[i].w, seats[i].ticket, run, now)
	}
}

type seat struct {
	w      *worker
	ticket string
}

// seats finds a worker for each member of a gang, one rack first if the members belong together.
func (c *Cell) seats(s *step, needsTicket bool, now time.Time, room func(w *worker) int) []seat {
	size := roomOf(s.doc)
	type option struct {
		seat
		fits  int
		score float64
	}
	var options []option
	rackRoom := map[string]int{}
	for w, ticket := range c.options(s, needsTicket, anyFree, now) {
		if n := room(w); n > 0 {
			options = append(options, option{seat{w, ticket}, n, c.score(s, w, size, now)})
			rackRoom[w.info.Rack] += n
		}
	}
	slices.SortFunc(options, func(a, b option) int {
		if s.doc.Colocate {
			ra, rb := rackRoom[a.w.info.Rack] >= s.doc.Count, rackRoom[b.w.info.Rack] >= s.doc.Count
			if ra != rb {
				if ra {
					return -1
				}
				return 1
			}
			if o := cmp.Compare(a.w.info.Rack, b.w.info.Rack); o != 0 {
				return o
			}
		}
		if o := cmp.Compare(a.score, b.score); o != 0 {
			return o
		}
		return cmp.Compare(a.w.info.ID, b.w.info.ID)
	})
	var out []seat
	for _, o := range options {
		for range o.fits {
			if len(out) == s.doc.Count {
				return out
			}
			out = append(out, o.seat)
		}
	}
	return out
}
