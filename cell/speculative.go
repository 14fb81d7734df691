package cell

import (
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/queues"
)

// speculationInterval is the interval between searches for tasks that need a speculative copy, each of which scans all runs
// of steps that allow copies.
const speculationInterval = 50 * time.Millisecond

// planSpeculative starts speculative copies of tasks that allow it, where the first run is to be stopped, is on an unresponsive
// worker, or takes much longer than the others of its step. The first run to succeed counts.
func (c *Cell) planSpeculative(plan *Plan, cfg *queues.Config, now time.Time) {
	if len(c.speculativeSteps) == 0 {
		return
	}
	if now.Before(c.nextSpeculationAt) {
		plan.replanAt(c.nextSpeculationAt)
		return
	}
	c.nextSpeculationAt = now.Add(speculationInterval)
	plan.replanAt(c.nextSpeculationAt)
	for _, id := range c.speculativeStepIDs() {
		s := c.speculativeSteps[id]
		if s.numUnfinished == 0 || s.job.state.Terminal() {
			delete(c.speculativeSteps, id)
			continue
		}
		c.planSpeculativeStep(plan, s, s.job.advice(cfg), now)
	}
}

// speculativeStepIDs returns the steps whose runs may get speculative copies, in a fixed order.
func (c *Cell) speculativeStepIDs() []graph.StepID {
	ids := make([]graph.StepID, 0, len(c.speculativeSteps))
	for id := range c.speculativeSteps {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, graph.StepID.Compare)
	return ids
}

func (c *Cell) planSpeculativeStep(plan *Plan, s *step, advice *queues.Advice, now time.Time) {
	unplaced := 0
	median, hasMedian := s.median()
	for t := range s.known {
		if t.done || len(t.placements) != 1 {
			continue
		}
		first := t.placements[0]
		slow := hasMedian && float64(now.Sub(first.sentAt)) > slowFactor*float64(median)
		if !slow && !first.stopRequested && !c.isSuspect(first.w) {
			continue
		}
		if c.taskRoom(s.job) == 0 {
			return
		}
		if c.teamRoom(s) <= unplaced {
			// The cap of its team leaves no room for another copy.
			continue
		}
		w, ticket := c.bestWorker(s, t, first.w, advice != nil, now)
		if w == nil {
			unplaced++
			continue
		}
		c.start(plan, t, w, ticket, c.nextRun(t), now)
	}
	if unplaced > 0 {
		c.requestAdviceInRoom(plan, s, advice, unplaced, now)
	}
}

// median returns the median run time of a step's finished tasks, if there are enough of them.
func (s *step) median() (time.Duration, bool) {
	if len(s.runTimes) < minMedianSamples {
		return 0, false
	}
	sorted := slices.Sorted(slices.Values(s.runTimes))
	return sorted[len(sorted)/2], true
}
