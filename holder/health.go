package holder

import "time"

// Limits of the ejection of workers that fail what they start.
const (
	healthStep      = 0.25
	ejectShare      = 0.75
	ejectRuns       = 6
	commonShare     = 0.5
	commonRuns      = 6
	firstEjection   = 2 * time.Second
	longestEjection = time.Minute
	// ejectedPart is the part, one in so many, of the workers that may be ejected at once.
	ejectedPart = 3
)

// health is how a worker's tasks have gone lately.
type health struct {
	failures float64
	runs     int
	until    time.Time
	times    int
}

func (s *health) ejected() bool { return time.Now().Before(s.until) }

func (s *health) note(failed bool) {
	s.runs++
	if failed {
		s.failures += healthStep * (1 - s.failures)
		return
	}
	s.failures -= healthStep * s.failures
	if s.failures < ejectShare/2 {
		s.times = 0
	}
}

func (s *health) eject(now time.Time) time.Duration {
	length := min(longestEjection, firstEjection<<min(s.times, 5))
	s.until = now.Add(length)
	s.times++
	// One good run after the ejection is enough to go on; one bad run ejects again.
	s.runs, s.failures = ejectRuns-1, ejectShare
	return length
}

// noteRun counts how a task went against its worker, unless its work fails everywhere.
func (p *Pool) noteRun(h *Held, work string, failed bool) {
	share, runs := p.book.FailureShare(work)
	p.mu.Lock()
	defer p.mu.Unlock()
	if failed && runs >= commonRuns && share > commonShare && h.health.failures < ejectShare {
		return
	}
	h.health.note(failed)
	if h.health.runs < ejectRuns || h.health.failures < ejectShare || h.health.ejected() || !p.mayEject() {
		return
	}
	length := h.health.eject(time.Now())
	p.reindex(h)
	p.stats.WorkerEvent("ejected")
	p.log.WithFields(map[string]any{fieldWorker: h.name, "for": length}).Warn("worker ejected: its tasks fail")
	time.AfterFunc(length+time.Millisecond, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.reindex(h)
		p.dispatch()
	})
}

func (p *Pool) mayEject() bool {
	held, ejected := 0, 0
	for _, h := range p.places {
		if h == nil {
			continue
		}
		held++
		if h.health.ejected() {
			ejected++
		}
	}
	return (ejected+1)*ejectedPart <= held
}
