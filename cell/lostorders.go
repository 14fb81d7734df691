package cell

import "time"

// Times of polls that may be lost although the worker is alive: a lost poll hides all ends on its worker until it is repeated.
const (
	// urgentPollWait is how long a worker with latency-sensitive tasks may delay its answer when no run ends, and lossyPollWait the same while orders
	// get lost.
	urgentPollWait = 500 * time.Millisecond
	lossyPollWait  = 150 * time.Millisecond
	// pollSlack is added to the wait of a poll to get its timeout, and urgentPollSlack for workers with latency-sensitive tasks.
	pollSlack       = 700 * time.Millisecond
	urgentPollSlack = 300 * time.Millisecond
	// repeatedPollDelay is the delay before a worker is polled again after a single missed poll, which may have been lost.
	repeatedPollDelay = 30 * time.Millisecond
	// numLosses is how many orders have to get lost within lossWindow for the shorter times to apply: a single one may be due to its worker.
	numLosses  = 2
	lossWindow = 5 * time.Second
)

// lossMeter tells whether orders get lost on their way to workers that are alive.
type lossMeter struct {
	// times holds when the last losses were noticed, the oldest first.
	times [numLosses]time.Time
}

// record notes that a worker has answered after an order to it was lost.
func (m *lossMeter) record(now time.Time) {
	copy(m.times[:], m.times[1:])
	m.times[numLosses-1] = now
}

// isLossy reports whether orders have been getting lost lately.
func (m *lossMeter) isLossy(now time.Time) bool {
	return !m.times[0].IsZero() && now.Sub(m.times[0]) <= lossWindow
}

// runsSensitive reports whether latency-sensitive tasks run on a worker.
func (w *worker) runsSensitive() bool {
	for _, p := range w.placements {
		if p.task.step.job.sensitive {
			return true
		}
	}
	return false
}

// pollTimes returns how long a worker may delay its answer to a poll when no run ends, and how much longer the answer may take.
func (c *Cell) pollTimes(w *worker, now time.Time) (wait, slack time.Duration) {
	wait, slack = pollWait, pollSlack
	for _, p := range w.placements {
		if p.task.step.doc.LatencyTarget > 0 || p.task.step.doc.Backfill {
			wait = pollWaitServing
		}
	}
	if !w.runsSensitive() {
		return wait, slack
	}
	if c.losses.isLossy(now) {
		return min(wait, lossyPollWait), urgentPollSlack
	}
	return min(wait, urgentPollWait), urgentPollSlack
}
