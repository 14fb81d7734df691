package agent

import (
	"context"
	"sort"
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
	// shortShare is the part of the hosts that is kept for short calls.
	shortShare = 3
	// adviseSlack is added to a call's expected time before it is given up.
	adviseSlack = 1200 * time.Millisecond
)

// spread sends calls to the advisor over the hosts, since the advisor takes one at a time from each.
type spread struct {
	self    string
	advisor order.Advisor
	hosts   *hosts

	mu   sync.Mutex
	busy map[string]time.Time
}

// Advise implements runner.Advisors.
func (s *spread) Advise(ctx context.Context, a cell.Ask) ([]order.Permit, time.Duration, error) {
	now := time.Now()
	h, wait := s.pick(a.Cost, now)
	ctx, cancel := context.WithTimeout(ctx, wait+a.Cost+adviseSlack)
	defer cancel()
	if h.Name == s.self || h.Name == "" {
		return s.advisor.Advise(ctx, a.Step, a.Workers)
	}
	permits, validity, err := s.remote(ctx, h, a)
	if err != nil {
		s.hosts.shun(h.Name, time.Now())
	}
	return permits, validity, err
}

// pick returns the host that would be done first, and how long its earlier calls take; long calls leave some hosts alone.
func (s *spread) pick(cost time.Duration, now time.Time) (host, time.Duration) {
	list := s.hosts.usable(now)
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	if keep := len(list) / shortShare; cost > shortCall && len(list) > 1 {
		list = list[max(1, keep):]
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(list) == 0 {
		return host{}, 0
	}
	best := list[0]
	for _, h := range list[1:] {
		if s.busy[h.Name].Before(s.busy[best.Name]) {
			best = h
		}
	}
	from := s.busy[best.Name]
	if from.Before(now) {
		from = now
	}
	s.busy[best.Name] = from.Add(cost)
	return best, from.Sub(now)
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
