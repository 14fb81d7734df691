package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// Figures of spreading calls to the advisor.
const (
	// shortCall is the cost up to which a call may use the hosts that are kept for short ones.
	shortCall = 100 * time.Millisecond
	// shortQueue is how many short calls may be out at one host, so that the way of one hides behind another.
	shortQueue = 2
	// adviseSlack is added to a call's expected time before it is given up: the way to a far host and back, and the turn of
	// another call of that host. A step that is short itself must not wait for a host that is cut off.
	adviseSlack = 300 * time.Millisecond
)

// spread sends calls to the advisor over the hosts, since the advisor takes one at a time from each.
type spread struct {
	self    string
	advisor order.Advisor
	hosts   *hosts

	mu sync.Mutex
	// out counts the calls on their way from each host.
	out  map[string]int
	turn int
}

// Advise implements runner.Advisors.
func (s *spread) Advise(ctx context.Context, a cell.Ask) ([]order.Permit, time.Duration, error) {
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.out[a.Host]--
	}()
	ctx, cancel := context.WithTimeout(ctx, a.Cost+adviseSlack)
	defer cancel()
	if a.Host == s.self {
		permits, validity, err := s.advisor.Advise(ctx, a.Step, a.Workers)
		var busy *order.AdvisorBusyError
		if err != nil && !errors.As(err, &busy) {
			s.hosts.shun(s.self, time.Now())
		}
		return permits, validity, err
	}
	h, ok := s.hosts.find(a.Host)
	if !ok {
		return nil, 0, &order.AdvisorBusyError{}
	}
	permits, validity, err := s.remote(ctx, h, a)
	if err != nil {
		s.hosts.shun(h.Name, time.Now())
	}
	return permits, validity, err
}

// Free implements runner.Advisors.
func (s *spread) Free(cost time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.pick(cost, time.Now())
	return ok
}

// Reserve implements runner.Advisors.
func (s *spread) Reserve(cost time.Duration) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name, ok := s.pick(cost, time.Now())
	if ok {
		s.out[name]++
	}
	return name, ok
}

// pick returns a host with no call of this host out; long calls leave some hosts alone, where short ones may queue.
func (s *spread) pick(cost time.Duration, now time.Time) (string, bool) {
	kept, rest := s.hosts.split(now)
	if len(kept)+len(rest) == 0 {
		return s.self, s.out[s.self] == 0
	}
	if cost <= shortCall {
		for n := range shortQueue {
			for _, h := range kept {
				if s.out[h.Name] <= n {
					return h.Name, true
				}
			}
		}
	}
	for i := range rest {
		h := rest[(s.turn+i)%len(rest)]
		if s.out[h.Name] == 0 {
			s.turn = (s.turn + i + 1) % len(rest)
			return h.Name, true
		}
	}
	return "", false
}

func (s *spread) remote(ctx context.Context, h host, a cell.Ask) ([]order.Permit, time.Duration, error) {
	conn, err := s.hosts.conn(h.Address)
	if err != nil {
		return nil, 0, err
	}
	reply, err := cellpb.NewCellsClient(conn).Advise(ctx, &cellpb.AdviseRequest{
		Job: a.Step.Job, Occurrence: int32(a.Step.Occurrence), Step: int32(a.Step.Step), Workers: a.Workers,
	})
	if err != nil {
		return nil, 0, err
	}
	permits := make([]order.Permit, len(reply.GetPermits()))
	for i, p := range reply.GetPermits() {
		permits[i] = order.Permit{Worker: p.GetWorker(), Ticket: p.GetTicket()}
	}
	return permits, time.Duration(reply.GetValidityNanos()), nil
}

// stepOf returns the step that a message names.
func stepOf(r *cellpb.AdviseRequest) graph.StepID {
	return graph.StepID{Job: r.GetJob(), Occurrence: int(r.GetOccurrence()), Step: int(r.GetStep())}
}
