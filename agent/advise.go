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

// Parameters of distributing calls to the advisor.
const (
	// maxShortCallDuration is the expected duration up to which a call uses the fast-path hosts.
	maxShortCallDuration = 100 * time.Millisecond
	// maxShortBacklog is the expected duration of the short calls in flight through a host from which it gets no further one, unless
	// the calls are in flight for longer anyway.
	maxShortBacklog = 60 * time.Millisecond
	// maxShortInFlight is how many short calls may be in flight at one host, so that network latency overlaps with a call.
	maxShortInFlight = 8
	// adviseSlack is added to a call's expected duration to get its timeout. It covers the round trip to a distant host and
	// the wait for other calls of that host. A short step must not wait for a partitioned host.
	adviseSlack = 300 * time.Millisecond
	// overheadWeight is the weight of a new call in a host's moving mean overhead.
	overheadWeight = 0.2
	// minBusyTime and maxBusyTime limit for how long a host that is busy with calls of other groups is not asked.
	minBusyTime = 20 * time.Millisecond
	maxBusyTime = 5 * time.Second
	// remoteOverhead is assumed of a host in another data centre until calls through it have been measured.
	remoteOverhead = 8 * time.Millisecond
)

// hostLoad is what this host knows about the calls that it makes through another one.
type hostLoad struct {
	inFlight int
	// backlog is the expected duration of the calls in flight.
	backlog time.Duration
	// answers says that the last call through the host was answered.
	answers bool
	// busyUntil is until when the host is busy with calls of other groups.
	busyUntil time.Time
	// overhead is the moving mean of the time that short calls take beyond the expected duration of the backlog; negative if it
	// is not known yet.
	overhead time.Duration
}

// isBusy reports whether the host is known to be busy with calls of other groups.
func (l *hostLoad) isBusy(now time.Time) bool { return now.Before(l.busyUntil) }

// advisorBalancer distributes calls to the advisor over the hosts, since the advisor processes one at a time from each.
type advisorBalancer struct {
	self    string
	advisor order.Advisor
	hosts   *hosts

	mu       sync.Mutex
	loads    map[string]*hostLoad
	nextHost int
}

func newAdvisorBalancer(self string, advisor order.Advisor, h *hosts) *advisorBalancer {
	return &advisorBalancer{self: self, advisor: advisor, hosts: h, loads: map[string]*hostLoad{}}
}

func (b *advisorBalancer) load(name string) *hostLoad {
	l, ok := b.loads[name]
	if !ok {
		l = &hostLoad{overhead: -1}
		b.loads[name] = l
	}
	return l
}

// Advise implements runner.Advisors.
func (b *advisorBalancer) Advise(ctx context.Context, req cell.AdviceRequest) ([]order.Permit, time.Duration, error) {
	backlog, sentAt := b.backlog(req.Host), time.Now()
	permits, validity, err := b.advise(ctx, req)
	b.finish(req, backlog, time.Since(sentAt), err)
	return permits, validity, err
}

func (b *advisorBalancer) advise(ctx context.Context, req cell.AdviceRequest) ([]order.Permit, time.Duration, error) {
	call, cancel := context.WithTimeout(ctx, req.Cost+adviseSlack)
	defer cancel()
	if req.Host == b.self {
		permits, validity, err := b.advisor.Advise(call, req.Step, req.Workers)
		if err != nil && ctx.Err() == nil && !isBusy(err) {
			b.hosts.backOff(b.self, time.Now())
		}
		return permits, validity, err
	}
	h, ok := b.hosts.find(req.Host)
	if !ok {
		return nil, 0, &order.AdvisorBusyError{}
	}
	permits, validity, err := b.adviseRemotely(call, h, req)
	if err != nil && ctx.Err() == nil && !isBusy(err) {
		b.hosts.backOff(h.Name, time.Now())
	}
	return permits, validity, err
}

// isBusy reports whether a call failed since its host, or the advisor, is busy with others.
func isBusy(err error) bool {
	var busy *order.AdvisorBusyError
	var hostBusy *order.HostBusyError
	return errors.As(err, &busy) || errors.As(err, &hostBusy)
}

// backlog returns the expected duration of the calls in flight through a host.
func (b *advisorBalancer) backlog(name string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.load(name).backlog
}

// finish records the end of a call that found a backlog, its own expected duration included, at its host.
func (b *advisorBalancer) finish(req cell.AdviceRequest, backlog, took time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.load(req.Host)
	l.inFlight--
	l.backlog -= req.Cost
	l.answers = err == nil || isBusy(err)
	var busy *order.HostBusyError
	if errors.As(err, &busy) {
		l.busyUntil = time.Now().Add(max(minBusyTime, min(busy.For, maxBusyTime)))
	}
	if err != nil || req.Cost > maxShortCallDuration {
		return
	}
	overhead := max(0, took-backlog)
	if l.overhead < 0 {
		l.overhead = overhead
		return
	}
	l.overhead += time.Duration(overheadWeight * float64(overhead-l.overhead))
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
		l := b.load(name)
		l.inFlight++
		l.backlog += cost
	}
	return name, ok
}

// pickHost returns a host for a call. While a host is in backoff, those that answered the last call come first: others may be gone too, which
// only their row in the table would tell.
func (b *advisorBalancer) pickHost(cost time.Duration, now time.Time) (string, bool) {
	fastPath, rest := b.hosts.splitFastPath(now)
	if len(fastPath)+len(rest) == 0 {
		l := b.load(b.self)
		return b.self, l.inFlight == 0 && !l.isBusy(now)
	}
	if b.hosts.anyInBackoff(now) {
		if name, ok := b.pickOf(b.answering(fastPath), b.answering(rest), cost, now); ok {
			return name, true
		}
	}
	return b.pickOf(fastPath, rest, cost, now)
}

// answering returns this host, if it is in the list, and those that answered the last call.
func (b *advisorBalancer) answering(list []host) []host {
	var answering []host
	for _, h := range list {
		if h.Name == b.self || b.load(h.Name).answers {
			answering = append(answering, h)
		}
	}
	return answering
}

// pickOf returns one of some hosts for a call. Short calls share the fast-path hosts, and long ones the others, one at a time, so that neither
// kind waits for the other; a kind without usable hosts uses those of the other.
func (b *advisorBalancer) pickOf(fastPath, rest []host, cost time.Duration, now time.Time) (string, bool) {
	switch {
	case cost <= maxShortCallDuration && len(fastPath) > 0:
		if name, ok := b.pickFastest(fastPath, now); ok {
			return name, true
		}
		return b.overflow(rest, len(fastPath), now)
	case len(rest) == 0:
		rest = fastPath
	}
	for i := range rest {
		h := rest[(b.nextHost+i)%len(rest)]
		if l := b.load(h.Name); l.inFlight == 0 && !l.isBusy(now) {
			b.nextHost = (b.nextHost + i + 1) % len(rest)
			return h.Name, true
		}
	}
	return "", false
}

// overflow returns one of the other hosts for a short call, unless n of them make short calls already.
func (b *advisorBalancer) overflow(rest []host, n int, now time.Time) (string, bool) {
	name := ""
	for _, h := range rest {
		l := b.load(h.Name)
		switch {
		case l.inFlight == 0 && name == "" && !l.isBusy(now):
			name = h.Name
		case l.inFlight > 0 && l.backlog <= maxShortCallDuration:
			n--
		}
	}
	return name, name != "" && n > 0
}

// pickFastest returns the host through which a short call is expected to be answered first, unless all have too many in flight.
func (b *advisorBalancer) pickFastest(list []host, now time.Time) (string, bool) {
	name, soonest := "", time.Duration(0)
	for _, h := range list {
		l := b.load(h.Name)
		if l.isBusy(now) || l.inFlight >= maxShortInFlight || l.backlog >= max(maxShortBacklog, l.overhead) {
			continue
		}
		expected := l.backlog + l.overhead
		if l.overhead < 0 {
			expected = l.backlog
			if b.hosts.distance(h) > 1 {
				expected += remoteOverhead
			}
		}
		if name == "" || expected < soonest {
			name, soonest = h.Name, expected
		}
	}
	return name, name != ""
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
		return nil, 0, busyError(h.Name, err)
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
