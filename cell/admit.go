package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// admitInterval is how often the jobs are chosen anew that are to meet their objectives.
const admitInterval = 150 * time.Millisecond

// overloadShare is from which share of the capacity on that deferred jobs wait for the group counts as overloaded. A few deferred jobs may just be
// too large or too late.
const overloadShare = 1.0

// admit chooses which of the jobs that have not started are to meet their objectives; see choose. The others are deferred: they come after all
// jobs that can be in time.
func (c *Cell) admit(cfg *queues.Config, now time.Time) {
	if now.Sub(c.admittedAt) < admitInterval {
		return
	}
	c.admittedAt = now
	c.divide(cfg, now)
	started, waiting := c.splitOccurrences(now)
	slices.SortFunc(waiting, compareOccurrences)
	c.setOccurrenceStandings(waiting)
	capacity := c.candidateIndex.capacity
	running, demands := make([]demand, len(started)), make([]demand, len(waiting))
	for i := range started {
		running[i] = c.demandOf(&started[i], capacity, now)
		running[i].deadline = 0
		if !started[i].occ.current().preemptible() {
			running[i].standing = withinPart
		}
	}
	for i := range waiting {
		demands[i] = c.demandOf(&waiting[i], capacity, now)
	}
	deferredShare := 0.0
	for i, chosen := range choose(running, demands) {
		waiting[i].occ.deferred, waiting[i].occ.chosen = !chosen, chosen
		if !chosen {
			deferredShare += demands[i].share
		}
	}
	c.overloaded = deferredShare > overloadShare
}

// demandOf returns what an occurrence needs.
func (c *Cell) demandOf(o *rankedOccurrence, capacity unit.Size, now time.Time) demand {
	d := demand{
		standing: o.standing, priority: o.priority, remaining: o.occ.remaining, deadline: o.deadline.Sub(now), chosen: o.occ.chosen,
	}
	for _, s := range o.occ.steps {
		if s.numUnfinished == 0 {
			continue
		}
		share := float64(s.numUnfinished) * allocationOf(s.doc).Share(capacity)
		if d.share == 0 {
			d.share = share
		}
		d.work += share * c.runTimes.estimate(o.job.doc.Queue, s.doc).Seconds()
	}
	kind := c.kindOf(o.job.doc.Queue)
	if o.job.work == 0 {
		o.job.work = d.work
		o.job.sizeClass = kind.observe(d.work)
	}
	d.size = 1
	if kind.mean > 0 {
		d.size = o.job.work / kind.mean
	}
	if d.deadline < 0 {
		c.countOutcome(o.occ, false)
	}
	d.lagging = kind.lags(o.job.sizeClass)
	if d.work > 0 {
		o.occ.value = d.value() * o.job.work / d.work
	}
	return d
}

func (c *Cell) kindOf(queue string) *kindStats {
	kind, ok := c.kinds[queue]
	if !ok {
		kind = &kindStats{}
		c.kinds[queue] = kind
	}
	return kind
}

// countOutcome counts once whether an occurrence was in time.
func (c *Cell) countOutcome(occ *occurrence, inTime bool) {
	j := occ.steps[0].job
	if occ.counted || j.work == 0 {
		return
	}
	occ.counted = true
	c.kindOf(j.doc.Queue).count(j.sizeClass, inTime)
}

// precedence is the order in which jobs get room, apart from their deadlines.
type precedence struct {
	standing standing
	priority int
}

func (p precedence) compare(other precedence) int {
	return cmp.Or(cmp.Compare(p.standing, other.standing), cmp.Compare(p.priority, other.priority))
}

func compareOccurrences(a, b rankedOccurrence) int {
	return cmp.Or(a.compare(b.precedence), a.deadline.Compare(b.deadline), cmp.Compare(a.job.doc.ID, b.job.doc.ID))
}

// setOccurrenceStandings does for occurrences what setStandings does for steps.
func (c *Cell) setOccurrenceStandings(list []rankedOccurrence) {
	if !c.fairness.enabled {
		return
	}
	before := map[string]unit.Size{}
	changed := false
	for i := range list {
		o := &list[i]
		if o.standing > withinPart {
			continue
		}
		s, team := o.occ.current(), o.job.doc.Team
		if o.standing = c.standingOf(s, before[team]); o.standing > withinPart {
			changed = true
			continue
		}
		before[team] = before[team].Add(allocationOf(s.doc).Scale(float64(s.numUnfinished)))
	}
	if changed {
		slices.SortFunc(list, compareOccurrences)
	}
}

// rankedOccurrence is an unfinished occurrence that is due, with its deadline.
type rankedOccurrence struct {
	job      *job
	occ      *occurrence
	deadline time.Time
	precedence
}

// splitOccurrences returns the occurrences that are due, apart by whether tasks of them have been placed.
func (c *Cell) splitOccurrences(now time.Time) (started, waiting []rankedOccurrence) {
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		j := c.jobs[id]
		if j.longRunning || j.state.Terminal() {
			continue
		}
		for _, occ := range j.occurrences {
			if occ.numUnfinished == 0 || now.Before(occ.due) {
				continue
			}
			ranked := c.rank(occ.current(), now)
			o := rankedOccurrence{j, occ, ranked.deadline, precedence{ranked.standing, j.doc.Priority}}
			if occ.started() {
				occ.deferred = false
				started = append(started, o)
			} else {
				waiting = append(waiting, o)
			}
		}
	}
	return started, waiting
}

// started reports whether tasks of an occurrence run or are done.
func (o *occurrence) started() bool {
	for _, s := range o.steps {
		if s.numUnfinished < len(s.tasks) || s.numWaiting < s.numUnfinished {
			return true
		}
	}
	return false
}

// current returns the first step that isn't done, or the last step.
func (o *occurrence) current() *step {
	for _, s := range o.steps {
		if s.numUnfinished > 0 {
			return s
		}
	}
	return o.steps[len(o.steps)-1]
}
