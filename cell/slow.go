package cell

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Parameters for slow workers and stalled runs.
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
	// stalledAfter is how long a run may be stalled before it is moved.
	stalledAfter = 900 * time.Millisecond
	// stalledCPUShare is the share of its requested CPU below which a run counts as stalled.
	stalledCPUShare = 0.05
	// stalledQuarantine is how long a worker with stalled runs gets no work.
	stalledQuarantine = 4 * time.Second
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

// checkStalled updates whether a run makes progress according to a report, and moves a stalled run.
func (c *Cell) checkStalled(p *placement, now time.Time) {
	s := p.task.step
	requestedCPU := float64(s.doc.Size.CPUMilli)
	if s.doc.LongRunning || s.doc.LatencyTarget > 0 || s.doc.Backfill || requestedCPU == 0 || p.throttle < 100 || p.gauge > stalledCPUShare*requestedCPU {
		p.stalledSince = time.Time{}
		return
	}
	if p.stalledSince.IsZero() {
		p.stalledSince = now
		return
	}
	if p = s.stalledRun(p, now); p == nil {
		return
	}
	c.evict(p, "it is stalled", now)
	if now.After(p.w.quarantinedUntil) {
		p.w.quarantinedUntil = now.Add(stalledQuarantine)
		c.log.WithFields(logrus.Fields{fieldWorker: p.w.info.ID, "gauge": p.gauge, fieldTask: p.task.id.String()}).
			Warn("worker quarantined after a stalled run")
	}
}

// stalledRun returns the run that has kept p from making progress for long, or nil. A gang member that has done its part
// waits for the others, so a gang is stalled only as a whole, because of the member that stalled first.
func (s *step) stalledRun(p *placement, now time.Time) *placement {
	members := []*placement{p}
	if s.doc.Gang {
		members = s.gangMembers(p.run)
	}
	first := p
	for _, m := range members {
		if m.stalledSince.IsZero() || now.Sub(m.stalledSince) < stalledAfter || now.Sub(m.sentAt) < 2*stalledAfter {
			return nil
		}
		if m.stalledSince.Before(first.stalledSince) {
			first = m
		}
	}
	return first
}

// gangMembers returns the members of one run of a gang.
func (s *step) gangMembers(run int) []*placement {
	var members []*placement
	for _, t := range s.tasks {
		for _, p := range t.placements {
			if p.run == run {
				members = append(members, p)
			}
		}
	}
	return members
}
