package holder

import "time"

// Limits of the ejection of workers on which tasks fail.
const (
	failureRateWeight       = 0.25
	ejectFailureRate        = 0.75
	minRunsToEject          = 6
	commonFailureRate       = 0.5
	minRunsForCommonFailure = 6
	minEjectionTime         = 2 * time.Second
	maxEjectionTime         = time.Minute
	// maxEjectedDivisor bounds the workers ejected at once to 1/maxEjectedDivisor of those held.
	maxEjectedDivisor = 3
)

// health is the recent failure rate of a worker's tasks, as a moving average, and the worker's ejections.
type health struct {
	failureRate  float64
	numRuns      int
	ejectedUntil time.Time
	numEjections int
}

func (s *health) ejected() bool { return time.Now().Before(s.ejectedUntil) }

func (s *health) record(failed bool) {
	s.numRuns++
	if failed {
		s.failureRate += failureRateWeight * (1 - s.failureRate)
		return
	}
	s.failureRate -= failureRateWeight * s.failureRate
	if s.failureRate < ejectFailureRate/2 {
		s.numEjections = 0
	}
}

func (s *health) eject(now time.Time) time.Duration {
	duration := min(maxEjectionTime, minEjectionTime<<min(s.numEjections, 5))
	s.ejectedUntil = now.Add(duration)
	s.numEjections++
	// After the ejection one successful run keeps the worker in use, and one failed run ejects it again.
	s.numRuns, s.failureRate = minRunsToEject-1, ejectFailureRate
	return duration
}

// recordRun records the outcome of a run in its worker's health, and ejects the worker if its failure rate is too high.
// While the worker's failure rate is below that limit, a failure doesn't count if the work often fails on all workers.
func (p *Pool) recordRun(h *HeldWorker, work string, failed bool) {
	workFailureRate, numRuns := p.estimator.FailureRate(work)
	p.mu.Lock()
	defer p.mu.Unlock()
	if failed && numRuns >= minRunsForCommonFailure && workFailureRate > commonFailureRate &&
		h.health.failureRate < ejectFailureRate {
		return
	}
	h.health.record(failed)
	if h.health.numRuns < minRunsToEject || h.health.failureRate < ejectFailureRate || h.health.ejected() || !p.mayEject() {
		return
	}
	duration := h.health.eject(time.Now())
	p.updateIndexes(h)
	p.stats.WorkerEvent("ejected")
	p.log.WithFields(map[string]any{fieldWorker: h.name, "for": duration}).Warn("worker ejected: its tasks fail")
	time.AfterFunc(duration+time.Millisecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.updateIndexes(h)
		p.dispatch()
	})
}

func (p *Pool) mayEject() bool {
	numHeld, numEjected := 0, 0
	for _, h := range p.indexedWorkers {
		if h == nil {
			continue
		}
		numHeld++
		if h.health.ejected() {
			numEjected++
		}
	}
	return (numEjected+1)*maxEjectedDivisor <= numHeld
}
