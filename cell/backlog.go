package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Limits of the attempts to place steps of jobs that can't be in time any more, so that a large backlog costs a plan no more than a small one.
const (
	// maxLateTries is how many such steps a plan tries. If there are more, steps with different requirements share half of that equally, and the
	// rest is left to steps that are added or get a ticket.
	maxLateTries = 100
	// lateRetryDelay is the delay after an attempt that has placed nothing.
	lateRetryDelay = 80 * time.Millisecond
	// parkTime is how long the other steps with the same requirements are parked if one that comes before them finds no room.
	parkTime = time.Second
)

// requirements are what a step needs of a worker. If a step finds no room, those with the same requirements find none either, unless that depends on
// the step itself.
type requirements struct {
	queue        string
	team         string
	priority     int
	label        string
	size         unit.Size
	gang         int
	maxPerWorker int
	// unrecorded says that the step waits for the record of its job.
	unrecorded bool
}

func (s *step) requirements() requirements {
	r := requirements{
		queue: s.job.doc.Queue, team: s.job.doc.Team, priority: s.job.doc.Priority, label: s.doc.Label, size: allocationOf(s.doc), maxPerWorker: s.doc.MaxPerWorker,
		unrecorded: s.job.version == 0,
	}
	if s.doc.Gang {
		r.gang = s.doc.Count
	}
	return r
}

// lateGroup holds late steps with the same requirements, those to be tried in a plan apart from the others.
type lateGroup struct {
	requirements  requirements
	tried, others []rankedStep
	// byTurn says that whether one of the steps finds room says nothing about the others.
	byTurn bool
}

// parkedSteps are steps that are left out of plans until all tried ones with the same requirements are placed, or a time is reached.
type parkedSteps struct {
	until time.Time
	steps []*step
}

// groupLate groups the late steps, and the parked ones with the same requirements, and chooses the steps that a plan tries.
func (c *Cell) groupLate(late []rankedStep, cfg *queues.Config, now time.Time) []*lateGroup {
	byRequirements := map[requirements]*lateGroup{}
	var groups []*lateGroup
	for _, r := range late {
		required := r.s.requirements()
		g, ok := byRequirements[required]
		if !ok {
			g = &lateGroup{
				requirements: required, byTurn: r.s.job.advice(cfg) != nil || required.maxPerWorker > 0 || required.gang > 0,
			}
			byRequirements[required] = g
			groups = append(groups, g)
		}
		g.others = append(g.others, r)
	}
	share := lateShare(len(groups))
	for _, g := range groups {
		for _, s := range c.parked[g.requirements].steps {
			if s.ready && s.numWaiting > 0 && now.Before(s.retryAt) {
				g.others = append(g.others, c.rank(s, now))
			}
		}
		g.choose(share)
	}
	if len(groups) > maxLateTries {
		slices.SortFunc(groups, func(a, b *lateGroup) int { return compareByTurn(a.tried[0], b.tried[0]) })
		for _, g := range groups[maxLateTries:] {
			g.tried, g.others = nil, append(g.others, g.tried...)
		}
	}
	return groups
}

// lateShare returns how many steps of each of n groups a plan tries.
func lateShare(n int) int { return max(1, maxLateTries/2/n) }

// choose moves the first n steps to those that are tried.
func (g *lateGroup) choose(n int) {
	compare := compareRanked
	if g.byTurn {
		compare = compareByTurn
	}
	if len(g.others) <= n {
		g.tried, g.others = g.others, nil
		slices.SortFunc(g.tried, compare)
		return
	}
	first := make([]rankedStep, 0, n+1)
	rest := g.others[:0]
	for _, r := range g.others {
		if len(first) == n && compare(r, first[n-1]) > 0 {
			rest = append(rest, r)
			continue
		}
		i, _ := slices.BinarySearchFunc(first, r, compare)
		first = slices.Insert(first, i, r)
		if len(first) > n {
			rest = append(rest, first[n])
			first = first[:n]
		}
	}
	g.tried, g.others = first, rest
}

// compareByTurn orders steps with tickets, which expire, before those without, and then by when they were last tried.
func compareByTurn(a, b rankedStep) int {
	if a.ticketed != b.ticketed {
		if a.ticketed {
			return -1
		}
		return 1
	}
	return cmp.Or(a.s.triedAt.Compare(b.s.triedAt), compareRanked(a, b))
}

// scheduleRetries schedules the next attempts for the steps of the groups that were not tried, or not placed, in a plan.
func (c *Cell) scheduleRetries(plan *Plan, groups []*lateGroup, now time.Time) {
	numTurns := (len(groups) + maxLateTries - 1) / maxLateTries
	for i, g := range groups {
		delete(c.parked, g.requirements)
		failed := slices.DeleteFunc(g.tried, func(r rankedStep) bool { return !r.s.triedAt.Equal(now) })
		if numTurns > 1 {
			// There are more groups than a plan tries.
			retryAt(plan, g.others, now.Add(lateRetryDelay*time.Duration(max(1, i/maxLateTries))))
			retryAt(plan, failed, now.Add(lateRetryDelay*time.Duration(numTurns)))
			continue
		}
		switch {
		case len(g.others) == 0:
		case g.byTurn:
			g.takeTurns(plan, failed, maxLateTries/len(groups), now)
		case len(failed) == 0:
			plan.replanAt(now)
		default:
			c.park(plan, g, now)
		}
	}
}

// retryAt sets when steps are tried next.
func retryAt(plan *Plan, steps []rankedStep, at time.Time) {
	for _, r := range steps {
		r.s.retryAt = at
		plan.replanAt(at)
	}
}

// takeTurns spreads the next attempts of the steps over time, n at a time, those that have failed last.
func (g *lateGroup) takeTurns(plan *Plan, failed []rankedStep, n int, now time.Time) {
	slices.SortFunc(g.others, compareByTurn)
	for i, steps := range slices.Collect(slices.Chunk(append(g.others, failed...), n)) {
		retryAt(plan, steps, now.Add(lateRetryDelay*time.Duration(1+i)))
	}
}

// park parks the steps of a group that were not tried.
func (c *Cell) park(plan *Plan, g *lateGroup, now time.Time) {
	parked := parkedSteps{until: now.Add(parkTime), steps: make([]*step, len(g.others))}
	for i, r := range g.others {
		parked.steps[i] = r.s
	}
	retryAt(plan, g.others, parked.until)
	c.parked[g.requirements] = parked
}

// unparkPlaced unparks steps if all late steps with the same requirements that a plan has tried were placed.
func (c *Cell) unparkPlaced(plan *Plan, tried []rankedStep, now time.Time) {
	maps.DeleteFunc(c.parked, func(_ requirements, p parkedSteps) bool { return !now.Before(p.until) })
	if len(c.parked) == 0 {
		return
	}
	placed := map[requirements]bool{}
	for _, r := range tried {
		if r.urgency == onTime {
			continue
		}
		required := r.s.requirements()
		before, known := placed[required]
		placed[required] = !r.s.triedAt.Equal(now) && (before || !known)
	}
	for required, all := range placed {
		if all && c.unpark(required) {
			plan.replanAt(now)
		}
	}
}

// unpark lets the next plan try the parked steps with some requirements, and reports whether there are any.
func (c *Cell) unpark(required requirements) bool {
	steps := c.parked[required].steps
	for _, s := range steps {
		s.retryAt = time.Time{}
	}
	delete(c.parked, required)
	return len(steps) > 0
}

// retryAll lets the next plan try all steps, since a worker may get work now that could not before.
func (c *Cell) retryAll() {
	for _, s := range c.stepsToPlace {
		s.retryAt = time.Time{}
	}
}

// followEarlier leaves a late step out of plans as long as the same step of an earlier occurrence, which it would overtake otherwise.
func (c *Cell) followEarlier(s, earlier *step, now time.Time) {
	if s.numWaiting == 0 || !now.Before(earlier.retryAt) || c.rank(s, now).urgency == onTime {
		return
	}
	s.retryAt = earlier.retryAt
	if parked, ok := c.parked[s.requirements()]; ok {
		parked.steps = append(parked.steps, s)
		c.parked[s.requirements()] = parked
	}
}
