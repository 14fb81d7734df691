package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/unit"
)

// Times of making room.
const (
	// preemptPause is how long a step waits for the room that it was promised before it asks for more.
	preemptPause = 600 * time.Millisecond
	// preemptLeast spares runs that have only just begun, so that work is not moved around without end.
	preemptLeast = 400 * time.Millisecond
	// seekPause spaces a step's searches for runs to stop, each of which looks at every worker.
	seekPause = 40 * time.Millisecond
	// holdRoom is how long a worker is kept for the gang for which its runs were stopped; a stop takes up to 0.4 s.
	holdRoom = 1200 * time.Millisecond
)

// mayPreempt reports whether a step may look for less urgent runs now, and if so notes that it does.
func (c *Cell) mayPreempt(s *step, now time.Time) bool {
	if c.yields[s.job.doc.Priority] == 0 || now.Before(s.preempted) || now.Sub(s.sought) < seekPause {
		return false
	}
	s.sought = now
	return true
}

// countYielding notes that a run was placed or is over, which steps of more urgent jobs may stop.
func (c *Cell) countYielding(s *step, n int) {
	if !s.yields() {
		return
	}
	for p := range s.job.doc.Priority {
		c.yields[p] += n
	}
}

// yields reports whether runs of a step may be stopped for more urgent work.
func (s *step) yields() bool { return s.doc.Checkpoint && !s.doc.Gang && !s.doc.Lasting }

// victim is a run that may be stopped for more urgent work, with what is lost by that.
type victim struct {
	p    *placement
	loss time.Duration
}

// preempt asks for the end of less urgent runs on workers where a step may run, and returns for how many tasks.
func (c *Cell) preempt(plan *Plan, s *step, needsTicket bool, waiting int, now time.Time) int {
	size := roomOf(s.doc)
	made := 0
	for w := range c.options(s, needsTicket, anyFree, now) {
		if made >= waiting {
			break
		}
		made += c.makeRoom(s, w, size, waiting-made, now)
	}
	if made > 0 {
		s.preempted = now.Add(preemptPause)
		plan.again(s.preempted)
		c.planStops(plan, now)
	}
	return made
}

// fitsAfter returns how many more tasks of a step a worker would have room for without less urgent runs; none while the room
// of others is on its way.
func (c *Cell) fitsAfter(s *step, w *worker, size unit.Size, now time.Time) int {
	used := w.used
	for _, p := range w.placed {
		if p.unwanted {
			return 0
		}
	}
	for _, v := range c.victims(s, w, now) {
		used = used.Sub(v.p.size)
	}
	return s.fitsBeside(w, used, size)
}

// preemptGang makes room for a whole gang, or for nothing of it, and keeps the workers for it until the room is there.
func (c *Cell) preemptGang(plan *Plan, s *step, needsTicket bool, now time.Time) bool {
	size := roomOf(s.doc)
	seats := c.seats(s, needsTicket, now, func(w *worker) int {
		return max(c.fits(s, w, size), c.fitsAfter(s, w, size, now))
	})
	if len(seats) < len(s.tasks) {
		return false
	}
	wanted := map[*worker]int{}
	for _, seat := range seats {
		wanted[seat.w]++
	}
	for w, n := range wanted {
		c.clear(s, w, size, n, now)
		w.heldFor, w.heldUntil = s, now.Add(holdRoom)
	}
	s.preempted = now.Add(holdRoom)
	plan.again(s.preempted)
	c.planStops(plan, now)
	return true
}

// clear stops less urgent runs on a worker until n tasks of a step have room there.
func (c *Cell) clear(s *step, w *worker, size unit.Size, n int, now time.Time) {
	used := w.used
	for _, v := range c.victims(s, w, now) {
		if s.fitsBeside(w, used, size) >= n {
			return
		}
		used = used.Sub(v.p.size)
		c.evict(v.p, "a more urgent gang", now)
	}
}

// heldFromOthers reports whether a worker is kept for a gang that is at least as urgent as a step.
func (w *worker) heldFromOthers(s *step, now time.Time) bool {
	return w.heldFor != nil && w.heldFor != s && now.Before(w.heldUntil) &&
		w.heldFor.job.doc.Priority <= s.job.doc.Priority
}

// makeRoom stops as many less urgent runs on a worker as let up to most tasks of a step start there.
func (c *Cell) makeRoom(s *step, w *worker, size unit.Size, most int, now time.Time) int {
	if s.doc.MaxPerWorker > 0 {
		most = min(most, s.doc.MaxPerWorker-s.perWorker[w])
	}
	free := w.info.Capacity.Sub(w.used)
	for _, p := range w.placed {
		if p.unwanted {
			// Its room is on the way to whoever asked for it.
			return 0
		}
	}
	made := 0
	var chosen []*placement
	for _, v := range c.victims(s, w, now) {
		if made >= most {
			break
		}
		free = free.Add(v.p.size)
		chosen = append(chosen, v.p)
		for made < most && size.Fits(free) {
			free = free.Sub(size)
			made++
			for _, p := range chosen {
				c.evict(p, "more urgent work", now)
			}
			chosen = chosen[:0]
		}
	}
	return made
}

// victims returns the runs on a worker that must yield to a step, the cheapest first.
func (c *Cell) victims(s *step, w *worker, now time.Time) []victim {
	var list []victim
	for _, p := range w.placed {
		other := p.task.step
		if other.job.doc.Priority <= s.job.doc.Priority || !other.yields() || now.Sub(p.sent) < preemptLeast {
			continue
		}
		loss := now.Sub(p.sent)
		if !p.savedAt.IsZero() {
			loss = now.Sub(p.savedAt)
		}
		list = append(list, victim{p, loss})
	}
	slices.SortFunc(list, func(a, b victim) int {
		return cmp.Or(
			cmp.Compare(b.p.task.step.job.doc.Priority, a.p.task.step.job.doc.Priority),
			cmp.Compare(a.loss, b.loss),
		)
	})
	return list
}

// unwant marks a run to be stopped.
func (c *Cell) unwant(p *placement) {
	p.unwanted = true
	c.unwanted[p] = struct{}{}
}

// evict asks for the end of a run, whose task is placed again.
func (c *Cell) evict(p *placement, why string, now time.Time) {
	if p.unwanted {
		return
	}
	if serves(p.task.step.doc) && !p.w.info.Draining && !p.task.step.mayMiss() {
		return
	}
	c.unwant(p)
	c.stats.Preemptions++
	c.log.WithFields(logrus.Fields{
		fieldJob: p.task.id.Job, fieldTask: p.task.id.String(), fieldRun: p.run, fieldWorker: p.w.info.ID, fieldWhy: why,
		"ran": now.Sub(p.sent).Round(time.Millisecond).String(),
	}).Info("run evicted")
}
