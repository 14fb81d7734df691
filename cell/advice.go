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

// Figures of asking the advisor.
const (
	// maxAsked is the most workers that a call may name.
	maxAsked = 100
	// ticketMargin is taken off a ticket's life for the way of its answer and of the start.
	ticketMargin = 150 * time.Millisecond
	// askPause is the pause after a call that the advisor turned away.
	askPause = 150 * time.Millisecond
	// askAgain is the pause after a call without an answer, which another host then makes.
	askAgain = 20 * time.Millisecond
	// firstAllowed is the share of named workers that is expected to be allowed before any answer.
	firstAllowed = 0.5
	// padShare is by which share of its least time a call may be lengthened to learn of more workers.
	padShare = 0.3
	// spareAsked is how many more workers are named than the expected share asks for.
	spareAsked = 3
)

// permit is what the advisor said of a step on a worker.
type permit struct {
	born    int64
	allowed bool
	ticket  string
	until   time.Time
}

// adviceRate learns which share of named workers a queue's steps are allowed on.
type adviceRate struct {
	asked   float64
	allowed float64
}

func (r *adviceRate) share() float64 {
	return (r.allowed + firstAllowed*10) / (r.asked + 10)
}

// Ask is a call to the advisor that a step needs.
type Ask struct {
	Step    graph.StepID
	Queue   string
	Workers []string
	Cost    time.Duration
	// Host makes the call.
	Host string
	s    *step
	// renewal says that the call renews tickets of a step that waits for room.
	renewal bool
}

// Desks are the hosts from which the advisor can be called; it takes one call at a time from each.
type Desks interface {
	// Free reports whether a host could make a call of a cost now.
	Free(cost time.Duration) bool
	// Reserve takes a host for a call; it is free again once the call has been made.
	Reserve(cost time.Duration) (host string, ok bool)
}

// usable reports whether a step may be started on a worker now, and with which ticket.
func (s *step) usable(w *worker, needsTicket bool, now time.Time) (string, bool) {
	if !needsTicket {
		return "", true
	}
	p, ok := s.permits[w.info.ID]
	if !ok || !p.allowed || p.born != w.info.Born.UnixMilli() || !now.Before(p.until) {
		return "", false
	}
	return p.ticket, true
}

// denied reports whether the advisor has ruled a worker out for a step.
func (s *step) denied(w *worker) bool {
	p, ok := s.permits[w.info.ID]
	return ok && !p.allowed
}

// roomFunc returns how many more tasks of a step, each of a size, a worker has room for.
type roomFunc func(s *step, w *worker, size unit.Size) int

// candidate is a worker that a call to the advisor may name.
type candidate struct {
	w     *worker
	known bool
	fits  int
	loss  float64
}

// ask returns the call that would let a step's waiting tasks start, if there is room on workers that may be allowed.
func (c *Cell) ask(
	s *step, advice *queues.Advice, waiting int, least int64, now time.Time, room roomFunc,
) (Ask, bool) {
	list := c.askable(s, advice, least, now, room)
	if len(list) == 0 {
		return Ask{}, false
	}
	rate := c.rate(s.job.doc.Queue).share()
	var names []string
	expected := 0.0
	extra := 0
	for _, cand := range list {
		if len(names) >= maxAsked || extra > spareAsked {
			break
		}
		if expected >= float64(waiting) {
			extra++
		}
		names = append(names, cand.w.info.ID)
		if cand.known {
			expected += float64(cand.fits)
		} else {
			expected += rate * float64(cand.fits)
		}
	}
	names = c.pad(names, s, advice, now)
	return Ask{Step: s.id, Queue: s.job.doc.Queue, Workers: names, Cost: advice.Cost(len(names)), s: s}, true
}

// askable returns the workers with room about which a call can bring something new, the best first.
func (c *Cell) askable(s *step, advice *queues.Advice, least int64, now time.Time, room roomFunc) []candidate {
	size := roomOf(s.doc)
	soon := now.Add(advice.Cost(1))
	var list []candidate
	for w := range c.rooms.from(least) {
		if !c.eligible(w, s, now) || s.denied(w) {
			continue
		}
		if _, ok := s.usable(w, true, soon); ok {
			continue
		}
		if fits := room(s, w, size); fits > 0 {
			list = append(list, candidate{w, s.permits[w.info.ID].allowed, fits, c.score(s, w, size, now)})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		if a.known != b.known {
			if a.known {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(a.w.info.ID, b.w.info.ID))
	})
	return list
}

// pad names more workers as long as they hardly lengthen a call. Which workers are allowed never changes, so that the step
// can wait for these, or have room made there, instead of asking about one worker after the other.
func (c *Cell) pad(names []string, s *step, advice *queues.Advice, now time.Time) []string {
	most := maxAsked
	if advice.PerWorker > 0 {
		most = min(most, int(padShare*float64(advice.Base)/float64(advice.PerWorker)))
	}
	if len(names) >= most {
		return names
	}
	named := make(map[string]bool, len(names))
	for _, id := range names {
		named[id] = true
	}
	for w := range c.rooms.from(anyFree) {
		if len(names) >= most {
			break
		}
		id := w.info.ID
		if _, known := s.permits[id]; !known && !named[id] && c.eligible(w, s, now) {
			names = append(names, id)
		}
	}
	return names
}

// knownAllowed counts one place on each worker that the advisor has allowed, whether it has room or not.
func knownAllowed(s *step, w *worker, _ unit.Size) int {
	if s.permits[w.info.ID].allowed {
		return 1
	}
	return 0
}

func (c *Cell) rate(queue string) *adviceRate {
	r, ok := c.advice[queue]
	if !ok {
		r = &adviceRate{}
		c.advice[queue] = r
	}
	return r
}

// Advised takes the advisor's answer to a call.
func (c *Cell) Advised(a Ask, permits []order.Permit, validity time.Duration, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := a.s
	s.asking = false
	if a.renewal {
		c.renewing = false
	}
	s.sought = time.Time{}
	if err != nil {
		s.askAfter = now.Add(askAgain)
		var busy *order.AdvisorBusyError
		if errors.As(err, &busy) {
			s.askAfter = now.Add(askPause)
		}
		c.log.WithError(err).WithField("step", a.Step.String()).Warn("advice failed")
		return
	}
	rate := c.rate(a.Queue)
	for _, id := range a.Workers {
		w, ok := c.workers[id]
		if !ok {
			continue
		}
		rate.asked++
		s.permits[id] = permit{born: w.info.Born.UnixMilli()}
	}
	for _, p := range permits {
		w, ok := c.workers[p.Worker]
		if !ok {
			continue
		}
		rate.allowed++
		s.permits[p.Worker] = permit{w.info.Born.UnixMilli(), true, p.Ticket, now.Add(validity - ticketMargin)}
	}
	if len(permits) == 0 {
		s.askAfter = now.Add(askPause / 10)
	}
	c.log.WithFields(logrus.Fields{
		fieldJob: a.Step.Job, "step": a.Step.String(), "asked": len(a.Workers), "allowed": len(permits),
	}).Info("advised")
}
