package cell

import (
	"time"

	"github.com/corianderdrift/corianderdrift/unit"
)

// score ranks workers for a step, lower is better: the worker that is left fullest, near the data, without interference.
func (c *Cell) score(s *step, w *worker, size unit.Size, now time.Time) float64 {
	free := w.info.Capacity.Sub(w.used).Sub(size)
	score := free.Share(w.info.Capacity)
	if s.doc.DataRack != "" && w.info.Rack != s.doc.DataRack {
		score += 2
	}
	if w.heldFor != nil && w.heldFor != s && now.Before(w.heldUntil) {
		score += heldPenalty
	}
	if s.doc.LatencyTarget > 0 || s.doc.Backfill {
		score += c.interference(s, w)
	}
	if c.settings.DataCenter != "" && !s.doc.LongRunning {
		score += c.dataCenterPenalty(s, w)
	}
	if s.urgent() {
		score += urgentSpeedWeight * w.relativeSlowness
	} else {
		score -= otherSpeedWeight * w.relativeSlowness
	}
	return score + float64(w.consecutiveFailures) + w.slowRunPenalty(now)
}

// Weights of the score, relative to the share of a worker that is left free.
const (
	// remoteUrgentPenalty keeps urgent jobs together in the scheduler's data centre. Of the partitions between data centres
	// only those that also isolate the scheduler then affect them, while a spread job is affected by every partition.
	remoteUrgentPenalty = 0.6
	// localOtherPenalty keeps other work out of that data centre while there is capacity elsewhere.
	localOtherPenalty = 0.3
	// urgentSpeedWeight and otherSpeedWeight weigh a worker's relative slowness: urgent work goes to fast workers, and other
	// work leaves these to it.
	urgentSpeedWeight = 1.5
	otherSpeedWeight  = 0.7
	// heldPenalty keeps tasks that may use the workers that are held for a gang away from them while there is capacity elsewhere.
	heldPenalty = 1
	// maxUrgentPriority is the numerically highest priority that counts as urgent.
	maxUrgentPriority = 1
)

func (s *step) urgent() bool { return s.job.doc.Priority <= maxUrgentPriority }

func (c *Cell) dataCenterPenalty(s *step, w *worker) float64 {
	local := w.info.DataCenter == c.settings.DataCenter
	switch {
	case s.urgent() && !local:
		return remoteUrgentPenalty
	case !s.urgent() && local:
		return localOtherPenalty
	default:
		return 0
	}
}

// interference counts a worker's serving tasks for a backfill step, and its backfill tasks for a serving step.
func (c *Cell) interference(s *step, w *worker) float64 {
	n := 0.0
	for _, p := range w.placements {
		other := p.task.step.doc
		if (s.doc.Backfill && other.LatencyTarget > 0) || (s.doc.LatencyTarget > 0 && other.Backfill) {
			n++
		}
	}
	return n
}

// failedHerePenalty puts a worker on which a task has failed behind all others.
const failedHerePenalty = 100
