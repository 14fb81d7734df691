package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/unit"
)

// Timing of preemption.
const (
	// preemptWait is how long a step waits for capacity that it has preempted before it preempts more.
	preemptWait = 600 * time.Millisecond
	// minPreemptAge spares runs that have just started, so that tasks are not moved around endlessly.
	minPreemptAge = 400 * time.Millisecond
	// victimSearchInterval is the minimum interval between a step's searches for runs to preempt, each of which scans all
	// workers.
	victimSearchInterval = 40 * time.Millisecond
	// gangHoldTime is how long a worker is held for the gang for which its runs were preempted; a stop takes up to 0.4 s.
	gangHoldTime = 1200 * time.Millisecond
)

// mayPreempt reports whether a step may search for less urgent runs to preempt now, and if so records the search.
func (c *Cell) mayPreempt(s *step, now time.Time) bool {
	if c.preemptibleRuns[s.job.doc.Priority] == 0 && !c.mayPreemptTeams(s) {
		return false
	}
	if now.Before(s.preemptWaitUntil) || now.Sub(s.lastVictimSearchAt) < victimSearchInterval {
		return false
	}
	s.lastVictimSearchAt = now
	return true
}

// countPreemptible adds a run to those that steps of more urgent jobs may preempt, or removes it if n is -1.
func (c *Cell) countPreemptible(p *placement, n int) {
	s := p.task.step
	if !s.preemptible() {
		return
	}
	priority := s.job.doc.Priority
	for more := range priority {
		c.preemptibleRuns[more] += n
	}
	for len(p.w.preemptible) <= priority {
		p.w.preemptible = append(p.w.preemptible, unit.Size{})
	}
	if n > 0 {
		p.w.preemptible[priority] = p.w.preemptible[priority].Add(p.size)
	} else {
		p.w.preemptible[priority] = p.w.preemptible[priority].Sub(p.size)
	}
}

// mayFit returns how many more tasks of a step fit on a worker, or would fit without less urgent runs; 0 while stops are pending
// there.
func (c *Cell) mayFit(s *step, w *worker, size unit.Size) int {
	if w.numStopping > 0 {
		return 0
	}
	used := w.used
	for _, preemptible := range w.preemptible[min(len(w.preemptible), s.job.doc.Priority+1):] {
		used = used.Sub(preemptible)
	}
	return s.fitsWithUsed(w, used, size)
}

// preemptible reports whether runs of a step may be preempted by more urgent work.
func (s *step) preemptible() bool { return s.doc.Checkpoint && !s.doc.Gang && !s.doc.LongRunning }

// victim is a run that may be preempted, with the work that would be lost.
type victim struct {
	p    *placement
	loss time.Duration
}

// preempt evicts less urgent runs on workers where a step may run, and returns for how many tasks it frees capacity.
func (c *Cell) preempt(plan *Plan, s *step, needsTicket bool, waiting int, now time.Time) int {
	size := allocationOf(s.doc)
	freed := 0
	for w := range c.eligibleWorkers(s, needsTicket, anyFreeCPU, now) {
		if freed >= waiting {
			break
		}
		freed += c.preemptOn(s, w, size, waiting-freed, now)
	}
	if freed > 0 {
		s.preemptWaitUntil = now.Add(preemptWait)
		plan.replanAt(s.preemptWaitUntil)
		c.planStops(plan, now)
	}
	return freed
}

// fitsAfterPreemption returns how many more tasks of a step would fit on a worker without less urgent runs; 0 while stops are
// pending there.
func (c *Cell) fitsAfterPreemption(s *step, w *worker, size unit.Size, now time.Time) int {
	used := w.used
	for _, p := range w.placements {
		if p.stopRequested {
			return 0
		}
	}
	for _, v := range c.victims(s, w, now) {
		used = used.Sub(v.p.size)
	}
	return s.fitsWithUsed(w, used, size)
}

// preemptGang frees capacity for a whole gang, or for none of it, and holds the workers for it until the capacity is free.
func (c *Cell) preemptGang(plan *Plan, s *step, needsTicket bool, now time.Time) bool {
	size := allocationOf(s.doc)
	assignments := c.assignGang(s, needsTicket, now, func(w *worker) int {
		return max(c.fits(s, w, size), c.fitsAfterPreemption(s, w, size, now))
	})
	if len(assignments) < len(s.tasks) {
		return false
	}
	tasksOn := map[*worker]int{}
	for _, assigned := range assignments {
		tasksOn[assigned.w]++
	}
	for w, n := range tasksOn {
		c.clear(s, w, size, n, now)
		w.heldFor, w.heldUntil, w.heldStart = s, now.Add(gangHoldTime), now
	}
	s.preemptWaitUntil = now.Add(gangHoldTime)
	plan.replanAt(s.preemptWaitUntil)
	c.planStops(plan, now)
	return true
}

// clear evicts less urgent runs from a worker until n tasks of a step fit there.
func (c *Cell) clear(s *step, w *worker, size unit.Size, n int, now time.Time) {
	used := w.used
	for _, v := range c.victims(s, w, now) {
		if s.fitsWithUsed(w, used, size) >= n {
			return
		}
		used = used.Sub(v.p.size)
		c.evict(v.p, "a more urgent gang", now)
	}
}

// heldForOther reports whether a worker is held for another gang that comes before a step or is equal, and that is expected to start
// before the step's tasks would end.
func (c *Cell) heldForOther(w *worker, s *step, now time.Time) bool {
	if w.heldFor == nil || w.heldFor == s || !now.Before(w.heldUntil) || !c.precedes(w.heldFor, s, now) {
		return false
	}
	return s.doc.LongRunning || now.Add(c.runTimes.estimate(s.job.doc.Queue, s.doc)).After(w.heldStart)
}

// preemptOn evicts as many less urgent runs from a worker as are needed for up to maxTasks tasks of a step, and returns for
// how many it frees capacity.
func (c *Cell) preemptOn(s *step, w *worker, size unit.Size, maxTasks int, now time.Time) int {
	if s.doc.MaxPerWorker > 0 {
		maxTasks = min(maxTasks, s.doc.MaxPerWorker-s.numPerWorker[w])
	}
	free := w.info.Capacity.Sub(w.used)
	for _, p := range w.placements {
		if p.stopRequested {
			// Its capacity is being freed for another step.
			return 0
		}
	}
	freed := 0
	var chosen []*placement
	for _, v := range c.victims(s, w, now) {
		if freed >= maxTasks {
			break
		}
		if freed > 0 && !c.mayPreemptRun(s, v.p, size.Scale(float64(freed)), now) {
			// With the runs that are stopped already, a team's use has come to its part.
			continue
		}
		free = free.Add(v.p.size)
		chosen = append(chosen, v.p)
		for freed < maxTasks && size.Fits(free) {
			free = free.Sub(size)
			freed++
			for _, p := range chosen {
				c.evict(p, "more urgent work", now)
			}
			chosen = chosen[:0]
		}
	}
	return freed
}

// victims returns the runs on a worker that a step may preempt, the cheapest first.
func (c *Cell) victims(s *step, w *worker, now time.Time) []victim {
	var list []victim
	for _, p := range w.placements {
		if now.Sub(p.sentAt) < minPreemptAge || !c.mayPreemptRun(s, p, unit.Size{}, now) {
			continue
		}
		list = append(list, victim{p, p.lostWork(now)})
	}
	slices.SortFunc(list, compareVictims)
	return list
}

// lostWork returns the work of a run that would be lost if it were stopped now.
func (p *placement) lostWork(now time.Time) time.Duration {
	if !p.checkpointAt.IsZero() {
		return now.Sub(p.checkpointAt)
	}
	return now.Sub(p.sentAt)
}

// compareVictims orders runs by how little is lost if they are stopped.
func compareVictims(a, b victim) int {
	return cmp.Or(
		cmp.Compare(b.p.task.step.job.doc.Priority, a.p.task.step.job.doc.Priority),
		cmp.Compare(a.loss, b.loss),
		a.p.task.id.Compare(b.p.task.id),
	)
}

// requestStop marks a run to be stopped.
func (c *Cell) requestStop(p *placement) {
	if !p.stopRequested {
		p.w.numStopping++
		c.fairness.countStopping(p)
	}
	p.stopRequested = true
	c.stopRequested[p] = struct{}{}
}

// evict requests a stop of a run, so that its task is placed again. A serving run on a worker that is not draining is spared
// if no further task of its step may be unavailable.
func (c *Cell) evict(p *placement, reason string, now time.Time) {
	if p.stopRequested {
		return
	}
	if isServing(p.task.step.doc) && !p.w.info.Draining && !p.task.step.mayEvict() {
		return
	}
	c.requestStop(p)
	c.stats.Preemptions++
	c.log.WithFields(logrus.Fields{
		fieldJob: p.task.id.Job, fieldTask: p.task.id.String(), fieldRun: p.run, fieldWorker: p.w.info.ID, fieldReason: reason,
		"ran": now.Sub(p.sentAt).Round(time.Millisecond).String(),
	}).Info("run evicted")
}
