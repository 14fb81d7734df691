package cell

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// urgency says whether a job can still meet its objective.
type urgency int

const (
	// onTime can still be completed within its objective.
	onTime urgency = iota
	// late can only be completed late, which has little value.
	late
	// overdue has no value any more, but is still completed.
	overdue
)

// maxLateFactor is up to how many times its objective a job may take to count as late rather than overdue.
const maxLateFactor = 3

// rankTTL is how long the expected run times of an occurrence are kept before they are computed again.
const rankTTL = 250 * time.Millisecond

// rankedStep is a step with tasks to place, with its sort keys.
type rankedStep struct {
	s        *step
	urgency  urgency
	standing standing
	// aged says that the step is overdue and has waited long.
	aged bool
	// teamPriority orders steps of teams that are beyond their parts.
	teamPriority int
	// value orders late steps of the same priority.
	value    float64
	deadline time.Time
	// ticketed says that a late step has a ticket.
	ticketed bool
}

// rankedSteps returns the steps that are tried in a plan, the most urgent first, and the groups of those that are late.
//
// Steps that can't meet their deadline come after all that can: otherwise all jobs would be late in a backlog after an outage. Overdue
// steps come last. Otherwise work of teams that are within their parts comes first, then the priority counts, and within a priority the
// earliest deadline comes first.
func (c *Cell) rankedSteps(plan *Plan, cfg *queues.Config, now time.Time) ([]rankedStep, []*lateGroup) {
	var list, lateSteps []rankedStep
	var oldest *step
	for _, s := range c.stepsToPlace {
		if !s.ready {
			c.refresh(s, now)
		}
		if !s.ready {
			plan.replanAt(s.occ.due)
			continue
		}
		if c.heldByTeam(plan, s, now) {
			continue
		}
		if now.Before(s.retryAt) {
			plan.replanAt(s.retryAt)
			continue
		}
		if c.awaitsReports(s) {
			continue
		}
		r := c.rank(s, now)
		if r.urgency == overdue && (oldest == nil || s.waitsSince().Before(oldest.waitsSince())) {
			oldest = s
		}
		if r.urgency == onTime {
			list = append(list, r)
			continue
		}
		r.ticketed = s.hasTickets(now)
		lateSteps = append(lateSteps, r)
	}
	c.preemptForTeams(plan, now)
	c.age(plan, oldest, now)
	var groups []*lateGroup
	if len(lateSteps) > maxLateTries {
		groups, lateSteps = c.groupLate(lateSteps, cfg, now), nil
		for _, g := range groups {
			lateSteps = append(lateSteps, g.tried...)
		}
	}
	list = append(list, lateSteps...)
	slices.SortFunc(list, compareRanked)
	c.setStandings(list)
	return list, groups
}

// Parameters of aging, so that overdue work is finished even if there is always work that can be in time.
const (
	// agingTime is how long an overdue step waits before it may count as on time.
	agingTime = 30 * time.Second
	// agingInterval is the minimum interval between such steps: each one may make others late.
	agingInterval = 2 * time.Second
	// maxAgedTime is after how long it is another step's turn if the step is not placed: it may need more than any worker has.
	maxAgedTime = 5 * time.Second
)

// waitsSince returns since when a step waits, or waits for its next turn to count as on time.
func (s *step) waitsSince() time.Time { return latest(s.readyAt, s.agedAt) }

// age lets the overdue step that has waited longest count as on time until it is placed, one at a time.
func (c *Cell) age(plan *Plan, oldest *step, now time.Time) {
	if c.aged != nil {
		if c.aged.ready && c.aged.numWaiting > 0 && now.Sub(c.aged.agedAt) < maxAgedTime {
			return
		}
		c.aged, c.nextAgedAt = nil, now.Add(agingInterval)
	}
	switch {
	case oldest == nil || now.Sub(oldest.waitsSince()) < agingTime:
	case now.Before(c.nextAgedAt):
		plan.replanAt(c.nextAgedAt)
	default:
		c.aged, oldest.agedAt = oldest, now
		plan.replanAt(now)
		c.log.WithFields(logrus.Fields{
			fieldJob: oldest.job.doc.ID, "step": oldest.id.String(), "waited": now.Sub(oldest.readyAt).Round(time.Millisecond).String(),
		}).Info("overdue step has waited long and comes before work that can be in time")
	}
}

// compareAged orders the step that is aged, of which there is at most one, before all others.
func compareAged(a, b rankedStep) int {
	switch {
	case a.aged == b.aged:
		return 0
	case a.aged:
		return -1
	default:
		return 1
	}
}

func compareRanked(a, b rankedStep) int {
	return cmp.Or(
		cmp.Compare(a.urgency, b.urgency),
		compareAged(a, b),
		cmp.Compare(a.standing, b.standing),
		cmp.Compare(a.teamPriority, b.teamPriority),
		cmp.Compare(a.s.job.doc.Priority, b.s.job.doc.Priority),
		cmp.Compare(b.value, a.value),
		a.deadline.Compare(b.deadline),
		cmp.Compare(a.s.id.Job, b.s.id.Job),
		cmp.Compare(a.s.id.Occurrence, b.s.id.Occurrence),
		cmp.Compare(a.s.id.Step, b.s.id.Step),
	)
}

func (c *Cell) rank(s *step, now time.Time) rankedStep {
	j, occ := s.job, s.occ
	if occ.rankedAt.IsZero() || now.Sub(occ.rankedAt) > rankTTL {
		occ.objective, occ.remaining, occ.rankedAt = j.objective(c.runTimes), j.criticalPath(c.runTimes, occ), now
	}
	objective := occ.objective
	ranked := rankedStep{s: s, urgency: onTime, deadline: j.startTime(occ).Add(objective)}
	c.setStanding(&ranked, unit.Size{})
	if j.longRunning {
		return ranked
	}
	expectedEnd := now.Add(occ.remaining)
	switch {
	case c.aged == s:
		ranked.aged = true
	case !expectedEnd.After(ranked.deadline) && !occ.deferred:
	case !expectedEnd.After(j.startTime(occ).Add(maxLateFactor * objective)):
		ranked.urgency, ranked.value = late, occ.value
	default:
		ranked.urgency = overdue
	}
	return ranked
}
