package cell

import (
	"time"

	"github.com/sirupsen/logrus"
)

// Figures of workers that are slow or stand still.
const (
	// slowFactor is how many times the median of its step a run takes on a worker that counts as slow.
	slowFactor = 2.5
	// slowSamples is how many ended tasks of a step make a median to compare with.
	slowSamples = 3
	// slowMemory is how long a slow run speaks against its worker.
	slowMemory = 5 * time.Second
	// speedWeight is the weight of a new run in the learned speed of its worker, and maxRatio bounds what one run may say:
	// some tasks of a step take many times as long as the others.
	speedWeight = 0.1
	maxRatio    = 2.0
	// stillAfter is how long a run may stand still before it is moved.
	stillAfter = 900 * time.Millisecond
	// stillShare is the share of its processors below which a run stands still.
	stillShare = 0.05
	// stillBench is how long a worker on which runs stand still gets no work.
	stillBench = 4 * time.Second
)

// compared learns a worker's speed from a run time and the median of its step.
func (w *worker) compared(ratio float64) {
	ratio = min(maxRatio, max(1/maxRatio, ratio))
	w.ratio += speedWeight * (ratio - 1 - w.ratio)
}

// slowness returns by how much a worker is to be avoided for runs that were slow there.
func (w *worker) slowness(now time.Time) float64 {
	if now.Sub(w.slowAt) > slowMemory {
		return 0
	}
	return float64(w.slow)
}

// paceOf compares a run that succeeded with the others of its step.
func (c *Cell) paceOf(p *placement, now time.Time) {
	s := p.task.step
	took := now.Sub(p.sent)
	if median, ok := s.median(); ok {
		p.w.compared(float64(took) / float64(median))
		if float64(took) > slowFactor*float64(median) {
			p.w.slow, p.w.slowAt = p.w.slow+1, now
		} else if p.w.slow > 0 {
			p.w.slow--
		}
	}
	s.took = append(s.took, took)
}

// standsStill notes what a report says of a run's progress, and moves one that makes none.
func (c *Cell) standsStill(p *placement, now time.Time) {
	s := p.task.step
	need := float64(s.doc.Size.CPUMilli)
	if s.doc.Lasting || s.doc.Target > 0 || s.doc.Fills || need == 0 || p.paced < 100 || p.gauge > stillShare*need {
		p.stillSince = time.Time{}
		return
	}
	if p.stillSince.IsZero() {
		p.stillSince = now
		return
	}
	if p = s.stillest(p, now); p == nil {
		return
	}
	c.evict(p, "it stands still", now)
	if now.After(p.w.benched) {
		p.w.benched = now.Add(stillBench)
		c.log.WithFields(logrus.Fields{fieldWorker: p.w.info.ID, "gauge": p.gauge, fieldTask: p.task.id.String()}).
			Warn("runs stand still on a worker")
	}
}

// stillest returns the run that keeps a run from progress, if that has been so for long; a member of a gang that has done its
// part waits for the others, so that a gang stands still only as a whole, and because of the member that did so first.
func (s *step) stillest(p *placement, now time.Time) *placement {
	members := []*placement{p}
	if s.doc.Gang {
		members = s.placedAs(p.run)
	}
	first := p
	for _, m := range members {
		if m.stillSince.IsZero() || now.Sub(m.stillSince) < stillAfter || now.Sub(m.sent) < 2*stillAfter {
			return nil
		}
		if m.stillSince.Before(first.stillSince) {
			first = m
		}
	}
	return first
}

// placedAs returns the members of one run of a gang.
func (s *step) placedAs(run int) []*placement {
	var members []*placement
	for _, t := range s.tasks {
		for _, p := range t.placed {
			if p.run == run {
				members = append(members, p)
			}
		}
	}
	return members
}
