package cell

import (
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/queues"
)

// copiesEvery spaces the looks for tasks to copy, each of which goes over all runs of steps that allow copies.
const copiesEvery = 50 * time.Millisecond

// planCopies starts second runs of tasks that allow it, where the first is on a worker that is silent, or takes much longer
// than the others of its step; the first to be done counts.
func (c *Cell) planCopies(plan *Plan, cfg *queues.Config, now time.Time) {
	if len(c.copyable) == 0 {
		return
	}
	if now.Before(c.copiesAt) {
		plan.again(c.copiesAt)
		return
	}
	c.copiesAt = now.Add(copiesEvery)
	plan.again(c.copiesAt)
	for _, id := range c.copied() {
		s := c.copyable[id]
		if s.left == 0 || s.job.state.Over() {
			delete(c.copyable, id)
			continue
		}
		var advice *queues.Advice
		if q := cfg.Queue(s.job.doc.Queue); q != nil {
			advice = q.Advice
		}
		c.planCopiesOf(plan, s, advice, now)
	}
}

// copied returns the steps of which copies may be made, in a fixed order.
func (c *Cell) copied() []graph.StepID {
	ids := make([]graph.StepID, 0, len(c.copyable))
	for id := range c.copyable {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, graph.StepID.Compare)
	return ids
}

func (c *Cell) planCopiesOf(plan *Plan, s *step, advice *queues.Advice, now time.Time) {
	missing := 0
	median, enough := s.median()
	for _, t := range s.tasks {
		if t.done || len(t.placed) != 1 {
			continue
		}
		first := t.placed[0]
		late := enough && float64(now.Sub(first.sent)) > slowFactor*float64(median)
		if !late && !first.unwanted && !c.silent(first.w) {
			continue
		}
		w, ticket := c.best(s, t, advice != nil, now)
		if w == nil || w == first.w {
			missing++
			continue
		}
		c.start(plan, t, w, ticket, c.nextRun(t), now)
	}
	if missing > 0 {
		c.askFor(plan, s, advice, missing, now)
	}
}

// median returns the median run time of a step's tasks that are done, if there are enough of them.
func (s *step) median() (time.Duration, bool) {
	if len(s.took) < slowSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(s.took))
	return sorted[len(sorted)/2], true
}
