package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Parameters of the choice which jobs are to meet their objectives.
const (
	// admitInterval is how often the choice is made anew.
	admitInterval = 150 * time.Millisecond
	// admitSlackShare is the share of its slack that a job may be expected to wait: the rest is for failed runs, disruptions and wrong
	// estimates.
	admitSlackShare = 0.6
	// packedShare is the share of the group's capacity that can be filled on average.
	packedShare = 0.85
)

// load is work in shares of the group's capacity: what runs or waits to run at the same time, and its product with its time.
type load struct {
	share       float64
	shareSecond float64
}

func (l *load) add(share float64, remaining time.Duration) {
	l.share += share
	l.shareSecond += share * remaining.Seconds()
}

// wait returns how long work of a share waits behind the load: until enough of it has ended.
func (l *load) wait(share float64) time.Duration {
	free := max(0, packedShare-share)
	if l.share <= free {
		return 0
	}
	return time.Duration(l.shareSecond / packedShare * (1 - free/l.share) * float64(time.Second))
}

// admit chooses which of the jobs that have not started are to meet their objectives, so that in an overload some are in time
// instead of all being a little late. The others are deferred: they come after all jobs that can be in time.
func (c *Cell) admit(cfg *queues.Config, now time.Time) {
	if now.Sub(c.admittedAt) < admitInterval {
		return
	}
	c.admittedAt = now
	c.divide(cfg, now)
	capacity := c.candidateIndex.capacity
	byPrecedence := map[precedence]*load{}
	loadOf := func(p precedence) *load {
		l, ok := byPrecedence[p]
		if !ok {
			l = &load{}
			byPrecedence[p] = l
		}
		return l
	}
	started, waiting := c.splitOccurrences(now)
	for _, o := range started {
		share, remaining := o.demand(capacity)
		p := precedence{withinPart, o.job.doc.Priority}
		if o.occ.current().preemptible() {
			p.standing = o.standing
		}
		loadOf(p).add(share, remaining)
	}
	slices.SortFunc(waiting, compareOccurrences)
	c.setOccurrenceStandings(waiting)
	for _, o := range waiting {
		ahead := load{}
		for _, p := range slices.SortedFunc(maps.Keys(byPrecedence), precedence.compare) {
			if l := byPrecedence[p]; p.compare(o.precedence) <= 0 {
				ahead.share += l.share
				ahead.shareSecond += l.shareSecond
			}
		}
		share, remaining := o.demand(capacity)
		slack := o.deadline.Sub(now) - o.occ.remaining
		o.occ.deferred = slack < 0 || float64(ahead.wait(share)) > admitSlackShare*float64(slack)
		if !o.occ.deferred {
			loadOf(o.precedence).add(share, remaining)
		}
	}
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

// demand returns what share of the capacity the occurrence's present step needs, and how long the occurrence still takes.
func (o *rankedOccurrence) demand(capacity unit.Size) (float64, time.Duration) {
	s := o.occ.current()
	return float64(s.numUnfinished) * allocationOf(s.doc).Share(capacity), o.occ.remaining
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
