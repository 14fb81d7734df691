package cell

import (
	"time"

	"github.com/corianderdrift/corianderdrift/unit"
)

// score orders workers for a step, lower first: the worker that is left fullest, near the data, without disturbance.
func (c *Cell) score(s *step, w *worker, size unit.Size, now time.Time) float64 {
	left := w.info.Capacity.Sub(w.used).Sub(size)
	score := left.Share(w.info.Capacity)
	if s.doc.DataRack != "" && w.info.Rack != s.doc.DataRack {
		score += 2
	}
	if s.doc.Target > 0 || s.doc.Fills {
		score += c.disturbance(s, w)
	}
	if c.settings.DataCenter != "" && !s.doc.Lasting {
		score += c.distance(s, w)
	}
	if s.urgent() {
		score += speedUrgent * w.ratio
	} else {
		score -= speedOther * w.ratio
	}
	return score + float64(w.strikes) + w.slowness(now)
}

// Weights of where work goes, against the share of a worker that is left free.
const (
	// awayFromHome keeps urgent jobs together in the scheduler's data centre: of the cuts between data centres only those
	// that also cut the scheduler off then hit them, while a job that is spread is hit by every cut.
	awayFromHome = 0.6
	// awayFromUrgent keeps other work out of that data centre while there is room elsewhere.
	awayFromUrgent = 0.3
	// speedUrgent and speedOther weigh by which share a worker is slower than others: urgent work goes to fast workers, and
	// other work leaves these to it.
	speedUrgent = 1.5
	speedOther  = 0.7
	// urgentPriority is the last priority that counts as urgent.
	urgentPriority = 1
)

func (s *step) urgent() bool { return s.job.doc.Priority <= urgentPriority }

func (c *Cell) distance(s *step, w *worker) float64 {
	home := w.info.DataCenter == c.settings.DataCenter
	switch {
	case s.urgent() && !home:
		return awayFromHome
	case !s.urgent() && home:
		return awayFromUrgent
	default:
		return 0
	}
}

// disturbance counts the tasks on a worker beside which a filling or a serving task would do harm.
func (c *Cell) disturbance(s *step, w *worker) float64 {
	n := 0.0
	for _, p := range w.placed {
		other := p.task.step.doc
		if (s.doc.Fills && other.Target > 0) || (s.doc.Target > 0 && other.Fills) {
			n++
		}
	}
	return n
}

// avoidPenalty puts a worker on which a task has failed behind all others.
const avoidPenalty = 100
