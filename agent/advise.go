package agent

import (
	"context"
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// Parameters of distributing calls to the advisor.
const (
	// maxShortCallDuration is the expected duration up to which a call may use the fast-path hosts.
	maxShortCallDuration = 100 * time.Millisecond
	// maxShortInFlight is how many short calls may be in flight at one host, so that network latency overlaps with a call.
	maxShortInFlight = 2
	// adviseSlack is added to a call's expected duration to get its timeout. It covers the round trip to a distant host and
	// the wait for other calls of that host. A short step must not wait for a partitioned host.
	adviseSlack = 300 * time.Millisecond
)

// advisorBalancer distributes calls to the advisor over the hosts, since the advisor accepts one at a time from each.
type advisorBalancer struct {
	self    string
	advisor order.Advisor
	hosts   *hosts

	mu sync.Mutex
	// inFlight counts the calls that this host has in flight through each host.
	inFlight map[string]int
	nextHost int
}

// Advise implements runner.Advisors.
func (b *advisorBalancer) Advise(ctx context.Context, req cell.AdviceRequest) ([]order.Permit, time.Duration, error) {
	defer func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.inFlight[req.Host]--
	}()
	call, cancel := context.WithTimeout(ctx, req.Cost+adviseSlack)
	defer cancel()
	if req.Host == b.self {
		permits, validity, err := b.advisor.Advise(call, req.Step, req.Workers)
		var busy *order.AdvisorBusyError
		var queueTimeout *queueTimeoutError
		if err != nil && ctx.Err() == nil && !errors.As(err, &busy) && !errors.As(err, &queueTimeout) {
			b.hosts.backOff(b.self, time.Now())
		}
		return permits, validity, err
	}
	h, ok := b.hosts.find(req.Host)
	if !ok {
		return nil, 0, &order.AdvisorBusyError{}
	}
	permits, validity, err := b.adviseRemotely(call, h, req)
	if err != nil && ctx.Err() == nil && status.Code(err) != codes.Aborted {
		b.hosts.backOff(h.Name, time.Now())
	}
	return permits, validity, err
}

// HasSlot implements runner.Advisors.
func (b *advisorBalancer) HasSlot(cost time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.pickHost(cost, time.Now())
	return ok
}

// Reserve implements runner.Advisors.
func (b *advisorBalancer) Reserve(cost time.Duration) (string, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	name, ok := b.pickHost(cost, time.Now())
	if ok {
		b.inFlight[name]++
	}
	return name, ok
}

// pickHost returns a host with no call of this host in flight. Long calls avoid the fast-path hosts, where up to
// maxShortInFlight short calls may overlap, unless no other host can be used.
func (b *advisorBalancer) pickHost(cost time.Duration, now time.Time) (string, bool) {
	fastPath, rest := b.hosts.splitFastPath(now)
	if len(fastPath)+len(rest) == 0 {
		return b.self, b.inFlight[b.self] == 0
	}
	if cost <= maxShortCallDuration {
		for n := range maxShortInFlight {
			for _, h := range fastPath {
				if b.inFlight[h.Name] <= n {
					return h.Name, true
				}
			}
		}
	}
	if len(rest) == 0 {
		rest = fastPath
	}
	for i := range rest {
		h := rest[(b.nextHost+i)%len(rest)]
		if b.inFlight[h.Name] == 0 {
			b.nextHost = (b.nextHost + i + 1) % len(rest)
			return h.Name, true
		}
	}
	return "", false
}

func (b *advisorBalancer) adviseRemotely(ctx context.Context, h host, req cell.AdviceRequest) ([]order.Permit, time.Duration, error) {
	conn, err := b.hosts.conn(h.Address)
	if err != nil {
		return nil, 0, err
	}
	reply, err := cellpb.NewCellsClient(conn).Advise(ctx, &cellpb.AdviseRequest{
		Job: req.Step.Job, Occurrence: int32(req.Step.Occurrence), Step: int32(req.Step.Step), Workers: req.Workers,
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

func stepFromProto(r *cellpb.AdviseRequest) graph.StepID {
	return graph.StepID{Job: r.GetJob(), Occurrence: int(r.GetOccurrence()), Step: int(r.GetStep())}
}
