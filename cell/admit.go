package cell

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

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
	c.deferred = map[DeferralCause]int{}
	deferredShare := 0.0
	for i, chosen := range choose(running, demands) {
		waiting[i].occ.deferred, waiting[i].occ.chosen = !chosen, chosen
		if !chosen {
			deferredShare += demands[i].share
			c.deferred[demands[i].deferralCause()]++
		}
	}
	c.setOverloaded(deferredShare, now)
}

// DeferralCause is why a job that waits is not to meet its objective.
type DeferralCause string

const (
	// DeferredNoTime says that the job can't be completed within its objective any more.
	DeferredNoTime DeferralCause = "no-time"
	// DeferredLessValue says that there is no capacity for the job beside those with more value at stake.
	DeferredLessValue DeferralCause = "less-value"
	// DeferredTeam says the same of a job whose team has its part or exceeds its rate.
	DeferredTeam DeferralCause = "team"
)

// DeferralCauses lists all causes.
var DeferralCauses = []DeferralCause{DeferredNoTime, DeferredLessValue, DeferredTeam}

func (d *demand) deferralCause() DeferralCause {
	switch {
	case d.slack() < 0:
		return DeferredNoTime
	case d.standing > withinPart:
		return DeferredTeam
	default:
		return DeferredLessValue
	}
}

// Load is how much more a group is asked to do than it can.
type Load struct {
	// Deferred counts the waiting jobs that are not to meet their objectives.
	Deferred map[DeferralCause]int
	// Overloaded says that more is deferred than the workers can run at a time.
	Overloaded bool
	// TeamsAtPart counts the teams that have their part of a scarce resource.
	TeamsAtPart int
}

// Load returns the load by the last choice.
func (c *Cell) Load() Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := Load{Deferred: maps.Clone(c.deferred), Overloaded: c.overloaded}
	for team, use := range c.fairness.uses {
		if used := use.all(); c.fairness.parts.reached(team, used, used) {
			load.TeamsAtPart++
		}
	}
	return load
}

// overloadLogInterval is the minimum interval between log lines about the beginning and end of overloads.
const overloadLogInterval = 5 * time.Second

// setOverloaded records, and logs, whether the group is overloaded.
func (c *Cell) setOverloaded(deferredShare float64, now time.Time) {
	c.overloaded = deferredShare > overloadShare
	if c.overloaded == c.overloadLogged || now.Sub(c.overloadLoggedAt) < overloadLogInterval {
		return
	}
	c.overloadLogged, c.overloadLoggedAt = c.overloaded, now
	fields := logrus.Fields{"deferred-share": math.Round(deferredShare*100) / 100, "capacity": c.candidateIndex.capacity.String()}
	for _, cause := range DeferralCauses {
		fields["deferred-"+string(cause)] = c.deferred[cause]
	}
	if c.overloaded {
		c.log.WithFields(fields).Info("group is overloaded: more jobs are deferred than its workers can run at a time")
	} else {
		c.log.WithFields(fields).Info("group is not overloaded any more")
	}
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
