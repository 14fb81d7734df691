package cell

import (
	"time"
)

// Parameters for slow workers.
const (
	// slowFactor is how many times the median run time of its step a run takes to count as slow.
	slowFactor = 2.5
	// minMedianSamples is the minimum number of finished tasks of a step for a median.
	minMedianSamples = 3
	// slowRunTTL is how long a slow run counts against its worker.
	slowRunTTL = 5 * time.Second
	// newRunWeight is the weight of a new run in the estimated speed of its worker, and maxRelativeRunTime bounds the effect
	// of one run: some tasks of a step take many times as long as the others.
	newRunWeight       = 0.1
	maxRelativeRunTime = 2.0
)

// updateSlowness updates a worker's relative slowness from the ratio of a run time to the median of its step.
func (w *worker) updateSlowness(relative float64) {
	relative = min(maxRelativeRunTime, max(1/maxRelativeRunTime, relative))
	w.relativeSlowness += newRunWeight * (relative - 1 - w.relativeSlowness)
}

// slowRunPenalty returns the score penalty of a worker for recent slow runs.
func (w *worker) slowRunPenalty(now time.Time) float64 {
	if now.Sub(w.lastSlowRunAt) > slowRunTTL {
		return 0
	}
	return float64(w.slowRuns)
}

// recordRunTime compares the run time of a successful run with the others of its step, and adds it to them.
func (c *Cell) recordRunTime(p *placement, now time.Time) {
	s := p.task.step
	runTime := now.Sub(p.sentAt)
	if median, ok := s.median(); ok {
		p.w.updateSlowness(float64(runTime) / float64(median))
		if float64(runTime) > slowFactor*float64(median) {
			p.w.slowRuns, p.w.lastSlowRunAt = p.w.slowRuns+1, now
		} else if p.w.slowRuns > 0 {
			p.w.slowRuns--
		}
	}
	s.runTimes = append(s.runTimes, runTime)
}
