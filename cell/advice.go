package cell

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Limits and delays of advice requests.
const (
	// maxRequestWorkers is the maximum number of workers that one request may name.
	maxRequestWorkers = 100
	// ticketMargin is subtracted from a ticket's validity for the transit of the advisor's answer and of the start order.
	ticketMargin = 150 * time.Millisecond
	// adviceBusyDelay is the delay after the advisor refused a request as busy.
	adviceBusyDelay = 150 * time.Millisecond
	// adviceRetryDelay is the delay after an unanswered request, which is then sent from another host.
	adviceRetryDelay = 20 * time.Millisecond
	// initialAllowedShare is the share of the named workers that is expected to be allowed before any answer is known.
	initialAllowedShare = 0.5
	// maxPaddingShare is the share of its base duration by which a request may be lengthened to include more workers.
	maxPaddingShare = 0.3
	// extraWorkers is how many workers are named beyond those that the expected share requires.
	extraWorkers = 3
)

// permit is the advisor's answer for a step on a worker.
type permit struct {
	incarnation int64
	allowed     bool
	ticket      string
	validUntil  time.Time
}

// adviceRate estimates on which share of the named workers a queue's steps are allowed.
type adviceRate struct {
	requested float64
	allowed   float64
}

func (r *adviceRate) allowedShare() float64 {
	return (r.allowed + initialAllowedShare*10) / (r.requested + 10)
}

// AdviceRequest asks the advisor on which workers a step may start tasks.
type AdviceRequest struct {
	Step    graph.StepID
	Queue   string
	Workers []string
	// Cost is the expected duration of the call.
	Cost time.Duration
	// Host is the host that sends the request.
	Host   string
	s      *step
	sentAt time.Time
	// renewal says that the request renews tickets of a step that waits for capacity.
	renewal bool
}

// AdvisorSlots tracks which hosts can call the advisor, which accepts one call at a time from each.
type AdvisorSlots interface {
	// HasSlot reports whether a host could make a call of the given duration now.
	HasSlot(cost time.Duration) bool
	// Reserve reserves a host for a call until the call is finished.
	Reserve(cost time.Duration) (host string, ok bool)
}

// usableTicket returns the ticket for starting a step on a worker, and whether the step may be started there now.
func (s *step) usableTicket(w *worker, needsTicket bool, now time.Time) (string, bool) {
	if !needsTicket {
		return "", true
	}
	p, ok := s.permits[w.info.ID]
	if !ok || !p.allowed || p.incarnation != w.info.StartedAt.UnixMilli() || !now.Before(p.validUntil) {
		return "", false
	}
	return p.ticket, true
}

// denied reports whether the advisor has denied a worker to a step.
func (s *step) denied(w *worker) bool {
	p, ok := s.permits[w.info.ID]
	return ok && !p.allowed
}

// capacityFunc returns how many more tasks of a step, each of the given size, fit on a worker.
type capacityFunc func(s *step, w *worker, size unit.Size) int

// requestCandidate is a worker that an advice request may name.
type requestCandidate struct {
	w       *worker
	allowed bool
	fits    int
	score   float64
}

// newAdviceRequest returns the request that would let a step's waiting tasks start, if workers that may be allowed have
// capacity.
func (c *Cell) newAdviceRequest(
	s *step, advice *queues.Advice, waiting int, minFreeCPU int64, now time.Time, capacity capacityFunc,
) (AdviceRequest, bool) {
	candidates := c.requestCandidates(s, advice, minFreeCPU, now, capacity)
	if len(candidates) == 0 {
		return AdviceRequest{}, false
	}
	allowedShare := c.adviceRateOf(s.job.doc.Queue).allowedShare()
	var names []string
	expected := 0.0
	extra := 0
	for _, candidate := range candidates {
		if len(names) >= maxRequestWorkers || extra > extraWorkers {
			break
		}
		if expected >= float64(waiting) {
			extra++
		}
		names = append(names, candidate.w.info.ID)
		if candidate.allowed {
			expected += float64(candidate.fits)
		} else {
			expected += allowedShare * float64(candidate.fits)
		}
	}
	names = c.padRequest(names, s, advice, now)
	return AdviceRequest{Step: s.id, Queue: s.job.doc.Queue, Workers: names, Cost: advice.Cost(len(names)), s: s}, true
}

// requestCandidates returns the workers with capacity for which a request can bring a new permit, best first.
func (c *Cell) requestCandidates(s *step, advice *queues.Advice, minFreeCPU int64, now time.Time, capacity capacityFunc) []requestCandidate {
	size := allocationOf(s.doc)
	validAt := now.Add(advice.Cost(1))
	var list []requestCandidate
	for w := range c.candidateIndex.withFreeCPU(minFreeCPU) {
		if !c.eligible(w, s, now) || s.denied(w) {
			continue
		}
		if _, ok := s.usableTicket(w, true, validAt); ok {
			continue
		}
		if fits := capacity(s, w, size); fits > 0 {
			list = append(list, requestCandidate{w, s.permits[w.info.ID].allowed, fits, c.score(s, w, size, now)})
		}
	}
	slices.SortFunc(list, func(a, b requestCandidate) int {
		if a.allowed != b.allowed {
			if a.allowed {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.score, b.score), cmp.Compare(a.w.info.ID, b.w.info.ID))
	})
	return list
}

// padRequest adds workers to a request as long as that hardly lengthens it. Whether a worker is allowed for a step never
// changes, so the step can wait for these workers or preempt runs on them instead of requesting advice for one worker after
// another.
func (c *Cell) padRequest(names []string, s *step, advice *queues.Advice, now time.Time) []string {
	maxWorkers := maxRequestWorkers
	if advice.PerWorker > 0 {
		maxWorkers = min(maxWorkers, int(maxPaddingShare*float64(advice.Base)/float64(advice.PerWorker)))
	}
	if len(names) >= maxWorkers {
		return names
	}
	named := make(map[string]bool, len(names))
	for _, id := range names {
		named[id] = true
	}
	for w := range c.candidateIndex.withFreeCPU(anyFreeCPU) {
		if len(names) >= maxWorkers {
			break
		}
		id := w.info.ID
		if _, known := s.permits[id]; !known && !named[id] && c.eligible(w, s, now) {
			names = append(names, id)
		}
	}
	return names
}

// oneIfAllowed is a capacityFunc that returns 1 for each worker that the advisor has allowed, whatever its free capacity.
func oneIfAllowed(s *step, w *worker, _ unit.Size) int {
	if s.permits[w.info.ID].allowed {
		return 1
	}
	return 0
}

func (c *Cell) adviceRateOf(queue string) *adviceRate {
	r, ok := c.adviceRates[queue]
	if !ok {
		r = &adviceRate{}
		c.adviceRates[queue] = r
	}
	return r
}

// Advised handles the advisor's answer to a request.
func (c *Cell) Advised(request AdviceRequest, permits []order.Permit, validity time.Duration, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := request.s
	s.advicePending = false
	if request.renewal {
		c.renewingTickets = false
	}
	s.lastVictimSearchAt = time.Time{}
	if err != nil {
		s.nextAdviceAt = now.Add(adviceRetryDelay)
		var busy *order.AdvisorBusyError
		if errors.As(err, &busy) {
			s.nextAdviceAt = now.Add(adviceBusyDelay)
		}
		c.log.WithError(err).WithFields(request.logFields(now)).Warn("advice request failed")
		return
	}
	rate := c.adviceRateOf(request.Queue)
	for _, id := range request.Workers {
		w, ok := c.workers[id]
		if !ok {
			continue
		}
		rate.requested++
		s.permits[id] = permit{incarnation: w.info.StartedAt.UnixMilli()}
	}
	for _, p := range permits {
		w, ok := c.workers[p.Worker]
		if !ok {
			continue
		}
		rate.allowed++
		s.permits[p.Worker] = permit{w.info.StartedAt.UnixMilli(), true, p.Ticket, now.Add(validity - ticketMargin)}
	}
	if len(permits) == 0 {
		s.nextAdviceAt = now.Add(adviceBusyDelay / 10)
	}
	c.log.WithFields(request.logFields(now)).WithField("allowed", len(permits)).Info("advised")
}

func (r *AdviceRequest) logFields(now time.Time) logrus.Fields {
	return logrus.Fields{
		fieldJob: r.Step.Job, "step": r.Step.String(), "asked": len(r.Workers), "renewal": r.renewal, "via": r.Host,
		"expected": r.Cost.String(), fieldTook: now.Sub(r.sentAt).Round(time.Millisecond).String(),
	}
}
