package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/queues"
)

// adviceLead is how long before the leases on a silent worker expire advice is requested for the tasks there: enough for a long call and for
// one that is refused, and less than tickets are valid.
const adviceLead = 1200 * time.Millisecond

// planExpiries ends the placements on unresponsive workers whose leases have expired, and schedules the next plan for when the next ones do.
func (c *Cell) planExpiries(plan *Plan, now time.Time, leaseAge time.Duration) {
	for _, w := range c.sortedWorkers() {
		if !w.isUnresponsive() {
			continue
		}
		c.expireLeases(w, now, leaseAge)
		if at := c.expiresAt(w); len(w.placements) > 0 && at.After(now) {
			plan.replanAt(at)
		}
	}
}

// expiresAt returns when the leases on an unresponsive worker are guaranteed to have expired.
func (c *Cell) expiresAt(w *worker) time.Time {
	return w.lastRenewal().Add(c.settings.Lease + leaseMargin)
}

// hasUnresponsiveWorker reports whether a worker with placements is unresponsive.
func (c *Cell) hasUnresponsiveWorker() bool {
	return slices.ContainsFunc(c.sortedWorkers(), (*worker).isUnresponsive)
}

// isUnresponsive reports whether a worker with placements has missed several polls.
func (w *worker) isUnresponsive() bool {
	return w.missedPolls >= missedPollLimit && len(w.placements) > 0
}

// planReplacements requests advice about steps with tasks on silent workers whose leases are about to expire, so that these can be started
// elsewhere at once.
func (c *Cell) planReplacements(plan *Plan, cfg *queues.Config, now time.Time) {
	for _, w := range c.sortedWorkers() {
		if !w.isUnresponsive() {
			continue
		}
		at := c.expiresAt(w)
		if requestAt := at.Add(-adviceLead); now.Before(requestAt) {
			plan.replanAt(requestAt)
			continue
		}
		for _, lost := range stepsOn(w) {
			c.requestReplacementAdvice(plan, lost.s, lost.numTasks, cfg, at, now)
		}
	}
}

// stepTasks is a number of tasks of a step.
type stepTasks struct {
	s        *step
	numTasks int
}

// stepsOn returns the steps with tasks on a worker that will have to be started again if it is lost, in a fixed order. A gang needs new
// capacity for all its members then, some of which still run elsewhere.
func stepsOn(w *worker) []stepTasks {
	numTasks := map[*step]int{}
	for _, p := range w.placements {
		if t := p.task; !t.done && !t.step.doc.Gang && len(t.placements) == 1 && !t.step.job.state.Terminal() {
			numTasks[t.step]++
		}
	}
	list := make([]stepTasks, 0, len(numTasks))
	for _, s := range slices.SortedFunc(maps.Keys(numTasks), func(a, b *step) int {
		return cmp.Or(cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.Occurrence, b.id.Occurrence), cmp.Compare(a.id.Step, b.id.Step))
	}) {
		list = append(list, stepTasks{s, numTasks[s]})
	}
	return list
}

// requestReplacementAdvice requests advice about a step of which some tasks will have to be started at a time, unless it has tickets
// for that time, or requests advice anyway, as its other tasks wait.
func (c *Cell) requestReplacementAdvice(plan *Plan, s *step, numTasks int, cfg *queues.Config, at, now time.Time) {
	advice := s.job.advice(cfg)
	if advice == nil || s.numWaiting > 0 || c.teamRoomWithout(s, numTasks) == 0 {
		return
	}
	size := allocationOf(s.doc)
	for _, p := range s.granted {
		if p.usable(at) && c.eligible(p.w, s, now) && c.fits(s, p.w, size) > 0 {
			return
		}
	}
	c.requestAdvice(plan, s, advice, numTasks, now)
}
