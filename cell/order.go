package cell

import (
	"cmp"
	"slices"
	"time"
)

// urgency tells whether a job can still be worth what it was accepted for.
type urgency int

const (
	// inTime can still be completed within its objective.
	inTime urgency = iota
	// late can only be completed late, which is worth little.
	late
	// overdue is worth nothing any more, but is still carried to its end.
	overdue
)

// lateFactor is how many times its objective a job may take to count as late rather than lost.
const lateFactor = 3

// rankFor is how long the expected run times of an occurrence are kept before they are worked out again.
const rankFor = 250 * time.Millisecond

// candidateStep is a step with tasks to place, with what orders it.
type candidateStep struct {
	s        *step
	urgency  urgency
	deadline time.Time
}

// candidates returns the steps that may be placed, the most urgent first.
//
// Within a priority the earliest deadline comes first, but what can't keep its deadline yields to what can: in a backlog
// after an outage everything would be late otherwise.
func (c *Cell) candidates(plan *Plan, now time.Time) []candidateStep {
	list := make([]candidateStep, 0, len(c.open))
	for _, s := range c.open {
		if !s.ready {
			c.refresh(s, now)
		}
		if !s.ready {
			plan.again(s.job.rounds[s.id.Occurrence].due)
			continue
		}
		list = append(list, c.rank(s, now))
	}
	slices.SortFunc(list, func(a, b candidateStep) int {
		return cmp.Or(
			cmp.Compare(boolInt(a.urgency == overdue), boolInt(b.urgency == overdue)),
			cmp.Compare(a.s.job.doc.Priority, b.s.job.doc.Priority),
			cmp.Compare(a.urgency, b.urgency),
			a.deadline.Compare(b.deadline),
			cmp.Compare(a.s.id.Job, b.s.id.Job),
			cmp.Compare(a.s.id.Step, b.s.id.Step),
		)
	})
	return list
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (c *Cell) rank(s *step, now time.Time) candidateStep {
	j := s.job
	r := j.rounds[s.id.Occurrence]
	if r.rankedAt.IsZero() || now.Sub(r.rankedAt) > rankFor {
		r.objective, r.rest, r.rankedAt = j.objective(c.learned), j.chain(c.learned, r), now
	}
	objective := r.objective
	cand := candidateStep{s: s, urgency: inTime, deadline: j.begin(r).Add(objective)}
	if j.lasts {
		return cand
	}
	ready := now.Add(r.rest)
	switch {
	case !ready.After(cand.deadline):
	case !ready.After(j.begin(r).Add(lateFactor * objective)):
		cand.urgency = late
	default:
		cand.urgency = overdue
	}
	return cand
}
