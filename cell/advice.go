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

// unknownAdvice is assumed for a job of a removed queue whose tasks turn out to need tickets.
var unknownAdvice = queues.Advice{Base: 100 * time.Millisecond, PerWorker: 5 * time.Millisecond, Validity: 1500 * time.Millisecond}

// advice returns how calls about a job to the advisor are made, or nil if its tasks need no tickets. If its queue is removed from the
// configuration, that of its acceptance holds; earlier versions did not store it.
func (j *job) advice(cfg *queues.Config) *queues.Advice {
	q := cfg.Queue(j.doc.Queue)
	switch {
	case q != nil:
		return q.Advice
	case j.doc.Advice == nil && j.needsTickets:
		return &unknownAdvice
	default:
		return j.doc.Advice
	}
}

// permit is the advisor's answer for a step on a worker.
type permit struct {
	w           *worker
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
	named  []*worker
	// expected is the number of tasks that the request is expected to let start.
	expected float64
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

// usable reports whether a step may be started on the permit's worker now.
func (p *permit) usable(now time.Time) bool {
	return p.allowed && p.incarnation == p.w.info.StartedAt.UnixMilli() && now.Before(p.validUntil)
}

// hasTicket reports whether a step may be started on a worker at a time.
func (s *step) hasTicket(w *worker, at time.Time) bool {
	p, ok := s.permits[w]
	return ok && p.usable(at)
}

// hasTickets reports whether a step may be started on any worker.
func (s *step) hasTickets(now time.Time) bool {
	return slices.ContainsFunc(s.granted, func(p *permit) bool { return p.usable(now) })
}

// denied reports whether the advisor has denied a worker to a step.
func (s *step) denied(w *worker) bool {
	p, ok := s.permits[w]
	return ok && !p.allowed
}

// allowed reports whether the advisor has allowed a worker to a step; the ticket may have expired.
func (s *step) allowed(w *worker) bool {
	p, ok := s.permits[w]
	return ok && p.allowed
}

// setPermit stores the advisor's answer for a worker.
func (s *step) setPermit(answer permit) {
	p, ok := s.permits[answer.w]
	if !ok {
		p = &permit{}
		s.permits[answer.w] = p
	}
	if answer.allowed && !p.allowed {
		s.granted = append(s.granted, p)
	}
	if !answer.allowed && p.allowed {
		s.granted = slices.DeleteFunc(s.granted, func(g *permit) bool { return g == p })
	}
	*p = answer
}

// expireTicket records that a worker has rejected a step's ticket.
func (s *step) expireTicket(w *worker) {
	if p, ok := s.permits[w]; ok {
		p.validUntil = time.Time{}
	}
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
	var named []*worker
	expected := 0.0
	extra := 0
	for _, candidate := range candidates {
		if len(named) >= maxRequestWorkers || extra > extraWorkers {
			break
		}
		if expected >= float64(waiting) {
			extra++
		}
		named = append(named, candidate.w)
		if candidate.allowed {
			expected += float64(candidate.fits)
		} else {
			expected += allowedShare * float64(candidate.fits)
		}
	}
	named = c.padRequest(named, s, advice, now)
	names := make([]string, len(named))
	for i, w := range named {
		names[i] = w.info.ID
	}
	return AdviceRequest{
		Step: s.id, Queue: s.job.doc.Queue, Workers: names, Cost: advice.Cost(len(names)), s: s, named: named, expected: expected,
	}, true
}

// hasCandidate reports whether a request can bring a new permit for a worker with capacity.
func (c *Cell) hasCandidate(s *step, advice *queues.Advice, minFreeCPU int64, now time.Time, capacity capacityFunc) bool {
	size, validAt := allocationOf(s.doc), s.ticketsNeededUntil(advice, now)
	for w := range c.candidateIndex.withFreeCPU(minFreeCPU) {
		if c.isCandidate(s, w, validAt, now) && capacity(s, w, size) > 0 {
			return true
		}
	}
	return false
}

// ticketsNeededUntil returns until when a ticket has to be valid so that no new one is needed: until the answer to a request. The tickets of a
// gang have to be valid at the same time: if only the expired ones were renewed, others would expire meanwhile.
func (s *step) ticketsNeededUntil(advice *queues.Advice, now time.Time) time.Time {
	if s.doc.Gang && now.Before(s.ticketsExpectedAt) {
		return s.ticketsExpectedAt.Add(gangTicketTime)
	}
	return now.Add(advice.Cost(1))
}

// isCandidate reports whether a request about a worker can bring a step a new permit.
func (c *Cell) isCandidate(s *step, w *worker, validAt, now time.Time) bool {
	return c.eligible(w, s, now) && !s.denied(w) && !s.adviceInFlight[w] && !s.hasTicket(w, validAt)
}

// requestCandidates returns the workers with capacity for which a request can bring a new permit, best first.
func (c *Cell) requestCandidates(s *step, advice *queues.Advice, minFreeCPU int64, now time.Time, capacity capacityFunc) []requestCandidate {
	size := allocationOf(s.doc)
	validAt := s.ticketsNeededUntil(advice, now)
	var list []requestCandidate
	for w := range c.candidateIndex.withFreeCPU(minFreeCPU) {
		if !c.isCandidate(s, w, validAt, now) {
			continue
		}
		if fits := capacity(s, w, size); fits > 0 {
			list = append(list, requestCandidate{w, s.allowed(w), fits, c.score(s, w, size, now)})
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
func (c *Cell) padRequest(list []*worker, s *step, advice *queues.Advice, now time.Time) []*worker {
	maxWorkers := maxRequestWorkers
	if advice.PerWorker > 0 && (!s.doc.Gang || s.job.sensitive) {
		maxWorkers = min(maxWorkers, int(maxPaddingShare*float64(advice.Base)/float64(advice.PerWorker)))
	}
	if len(list) >= maxWorkers {
		return list
	}
	named := make(map[*worker]bool, len(list))
	for _, w := range list {
		named[w] = true
	}
	for w := range c.candidateIndex.withFreeCPU(anyFreeCPU) {
		if len(list) >= maxWorkers {
			break
		}
		if _, known := s.permits[w]; !known && !named[w] && !s.adviceInFlight[w] && c.eligible(w, s, now) {
			list = append(list, w)
		}
	}
	return list
}

// oneIfAllowed is a capacityFunc that returns 1 for each worker that the advisor has allowed, whatever its free capacity.
func oneIfAllowed(s *step, w *worker, _ unit.Size) int {
	if s.allowed(w) {
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
	s.numRequests--
	for _, w := range request.named {
		delete(s.adviceInFlight, w)
	}
	c.callsInFlight[request.Queue] -= request.Cost
	if request.renewal {
		c.renewingTickets = false
	}
	s.lastVictimSearchAt, s.retryAt = time.Time{}, time.Time{}
	if err != nil {
		s.numFailedRequests++
		s.nextAdviceAt = now.Add(adviceRetryDelay)
		var busy *order.AdvisorBusyError
		if errors.As(err, &busy) {
			s.nextAdviceAt = now.Add(adviceBusyDelay)
		}
		var hostBusy *order.HostBusyError
		if errors.As(err, &hostBusy) {
			// Another host is asked at once. The step was not kept waiting, so this is no failure.
			s.numFailedRequests--
			s.nextAdviceAt = time.Time{}
			c.log.WithError(err).WithFields(request.logFields(now)).Debug("host is busy with advice for other groups")
			return
		}
		c.log.WithError(err).WithFields(request.logFields(now)).Warn("advice request failed")
		return
	}
	rate := c.adviceRateOf(request.Queue)
	allowed := make(map[string]string, len(permits))
	for _, p := range permits {
		allowed[p.Worker] = p.Ticket
	}
	for _, w := range request.named {
		if c.workers[w.info.ID] != w {
			continue
		}
		rate.requested++
		answer := permit{w: w, incarnation: w.info.StartedAt.UnixMilli()}
		if ticket, ok := allowed[w.info.ID]; ok {
			rate.allowed++
			answer.allowed, answer.ticket, answer.validUntil = true, ticket, now.Add(validity-ticketMargin)
		}
		s.setPermit(answer)
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
