package agent

import (
	"context"
	"errors"
	"maps"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	"github.com/corianderdrift/corianderdrift/budget"
	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/guard"
	"github.com/corianderdrift/corianderdrift/platform"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

// Parameters of acquiring and releasing groups.
const (
	// campaignInterval is how often a host checks for groups whose lease is free.
	campaignInterval = 50 * time.Millisecond
	// rankDelay is how much longer each further host in a group's ranking waits before it acquires a free lease.
	rankDelay = 120 * time.Millisecond
	// maxDelayRank caps the rank that counts towards the delay.
	maxDelayRank = 8
	// busyDelay is how much longer a host waits for each group that it already runs: at peak load, two groups are more than one
	// host can handle.
	busyDelay = 1200 * time.Millisecond
	// eagerRanks is how many hosts of a group's ranking read the leases at the short interval.
	eagerRanks = 4
	// shortReadInterval and longReadInterval limit how often the leases are read, since they change several times a second and
	// the calls are charged for. Hosts that rank low for every group need not detect an unresponsive holder before the others.
	shortReadInterval = 200 * time.Millisecond
	longReadInterval  = 800 * time.Millisecond
	// defaultHoldsTimeout bounds the Holds call to an unresponsive holder, and confirmationTTL is how long its answer is valid. A
	// holder without a visible renewal for maxUnrenewed is replaced whatever it answers.
	defaultHoldsTimeout = 200 * time.Millisecond
	confirmationTTL     = 500 * time.Millisecond
	maxUnrenewed        = 6 * time.Second
	// gcPercentRunning replaces gcPercent on a host that runs a group: at peak load, the garbage collector would take a tenth
	// of its CPU.
	gcPercentRunning = 250
	// strongerFactor is the ratio of CPU shares from which a host counts as clearly stronger than another.
	strongerFactor = 1.5
	// minStrongCores is the CPU share from which a host that has just started need not wait to discover stronger ones.
	minStrongCores = 0.3
	// discoveryTime is how long after its start a weak host assumes that there are stronger ones.
	discoveryTime = time.Second
	// weakDelay is how much longer a weak host waits, so that stronger ones acquire the lease first.
	weakDelay = 1500 * time.Millisecond
	// releaseTimeout bounds one attempt to release a lease, and to add or remove the host's address in the table.
	releaseTimeout = 600 * time.Millisecond
)

// groups runs the groups whose leases this host holds, and forwards queries about the rest to their holders. A group is named
// after the service of its workers.
type groups struct {
	a *Agent

	mu      sync.Mutex
	running map[string]*runner.Runner
	// handovers holds the handover state of the last runner of each group on this host.
	handovers map[string]storedHandover
	// confirmedAt is when the unresponsive holder of a group last confirmed that it runs it; only the campaign uses it.
	confirmedAt map[string]time.Time
	// unanswered holds the last attempt to acquire each lease that got no answer; only the campaign uses it.
	unanswered map[string]elect.Attempt
	// yieldedAt is when this host last handed a group over to a more suitable one.
	yieldedAt map[string]time.Time
	// holdsTimeout bounds the Holds call to an unresponsive holder.
	holdsTimeout time.Duration
	wg           sync.WaitGroup
	stopping     bool

	// admitting guards admitted, which is what the jobs take that are being accepted.
	admitting sync.Mutex
	admitted  elect.Usage
}

// storedHandover is the handover state of a runner that held its lease under token.
type storedHandover struct {
	token    uint64
	handover cell.Handover
}

func newGroups(a *Agent) *groups {
	return &groups{
		a: a, running: map[string]*runner.Runner{}, confirmedAt: map[string]time.Time{}, yieldedAt: map[string]time.Time{},
		handovers: map[string]storedHandover{}, unanswered: map[string]elect.Attempt{}, holdsTimeout: defaultHoldsTimeout,
	}
}

func (g *groups) localRunner(service string) *runner.Runner {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[service]
}

func (g *groups) runners() []*runner.Runner {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.running))
}

// campaign acquires the leases of groups that no host runs, until ctx is done.
func (g *groups) campaign(ctx context.Context) {
	for clock.Pause(ctx, campaignInterval) {
		cfg := g.a.queues.Current()
		if cfg == nil {
			continue
		}
		for i := range cfg.Services {
			g.tryAcquire(ctx, cfg.Services[i].Name)
		}
	}
}

func (g *groups) tryAcquire(ctx context.Context, service string) {
	g.mu.Lock()
	_, isRunning := g.running[service]
	numRunning, stopping := len(g.running), g.stopping
	g.mu.Unlock()
	if isRunning || stopping || g.runUnanswered(ctx, service) {
		return
	}
	previous, acquirable := g.a.leases.Acquirable(service, g.acquireDelay(service, numRunning), time.Now())
	if !acquirable {
		return
	}
	if g.holderConfirms(ctx, previous) {
		return
	}
	attempt := g.a.leases.NewAttempt(previous, clock.SinceBoot(), time.Now())
	var err error
	attempt.Epoch, err = elect.Acquire(ctx, g.a.store, previous, elect.Candidate{
		Name: g.a.settings.Name, Incarnation: g.a.incarnation, Address: g.a.peerAddress(),
	})
	if err != nil {
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) {
			g.a.log.WithError(err).WithField("group", service).Warn("failed to acquire the lease of a group")
			g.unanswered[service] = attempt
			clock.Pause(ctx, rankDelay)
		}
		return
	}
	g.run(ctx, attempt)
}

// runUnanswered runs a group whose lease this host has acquired without noticing: it has sent no orders since.
func (g *groups) runUnanswered(ctx context.Context, service string) bool {
	attempt, ok := g.unanswered[service]
	if !ok || !g.a.leases.Confirm(&attempt) {
		return false
	}
	delete(g.unanswered, service)
	g.run(ctx, attempt)
	return true
}

// acquireDelay returns how long this host leaves a free lease to the hosts before it in the group's ranking. Hosts with clearly
// more CPU come first, since running a group is most of a host's work, and so do hosts that reach the table themselves.
func (g *groups) acquireDelay(service string, numRunning int) time.Duration {
	rank, weak := g.rank(service)
	weak = weak || (g.a.settings.CPUShare < minStrongCores && time.Since(g.a.started) < discoveryTime) || !g.a.direct.Reachable(time.Now())
	delay := time.Duration(min(rank, maxDelayRank))*rankDelay + time.Duration(numRunning)*busyDelay
	if weak {
		delay += weakDelay
	}
	return delay
}

// leaseReadInterval returns how long this host waits between two reads of the leases.
func (g *groups) leaseReadInterval() time.Duration {
	cfg := g.a.queues.Current()
	if cfg == nil {
		return shortReadInterval
	}
	for i := range cfg.Services {
		if numBefore, stronger := g.rank(cfg.Services[i].Name); numBefore < eagerRanks && !stronger {
			return shortReadInterval
		}
	}
	return longReadInterval
}

// rank returns how many equally strong hosts come before this one in a group's ranking, and whether there are stronger ones.
func (g *groups) rank(service string) (numBefore int, stronger bool) {
	self := g.a.settings
	ownRank := hostRank(service, self.Name)
	for _, h := range g.a.hosts.usable(time.Now()) {
		switch {
		case h.Name == self.Name:
		case h.Cores > strongerFactor*self.CPUShare:
			stronger = true
		case self.CPUShare <= strongerFactor*h.Cores && hostRank(service, h.Name) < ownRank:
			numBefore++
		}
	}
	return numBefore, stronger
}

// holderConfirms asks the holder of a lease that seems free whether it still runs the group: if only a partition of the table is
// unreachable, no host sees the renewals, and no other host could run the group either.
func (g *groups) holderConfirms(ctx context.Context, previous elect.Epoch) bool {
	unrenewed, ok := g.a.leases.UnresponsiveFor(previous.Group, time.Now())
	if !ok || unrenewed > maxUnrenewed || previous.Holder == g.a.settings.Name {
		return false
	}
	if last := g.confirmedAt[previous.Group]; time.Since(last) < confirmationTTL {
		return true
	}
	conn, err := g.a.hosts.conn(previous.Address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, g.holdsTimeout)
	defer cancel()
	reply, err := cellpb.NewCellsClient(conn).Holds(ctx, &cellpb.HoldsRequest{Service: previous.Group, Token: previous.Token})
	if err != nil || !reply.GetHolds() {
		return false
	}
	g.confirmedAt[previous.Group] = time.Now()
	g.a.log.WithFields(logrus.Fields{
		"group": previous.Group, "holder": previous.Holder, "silent": unrenewed.Round(time.Millisecond).String(),
	}).Info("holder without a visible lease renewal confirmed that it still runs the group")
	return true
}

// hostRank returns the hash by which hosts are ranked; each name gives a different ranking.
func hostRank(name, host string) uint64 { return xxhash.Sum64String(name + "/" + host) }

func (g *groups) run(ctx context.Context, acquired elect.Attempt) {
	epoch, previous := acquired.Epoch, acquired.Previous
	settings := g.a.cellSettings()
	settings.TaskLimit = func() budget.Limit { return g.taskLimit(epoch.Group) }
	r := runner.New(runner.Config{
		Epoch: epoch, Store: g.a.store, Workers: g.a.workers, Registry: g.a.registry, Advisors: g.a.advisors,
		Queues: g.a.queues, Settings: settings, PreviousOrdersUntil: acquired.OrdersUntil, Unconfirmed: acquired.Unconfirmed,
		Previous: previous, SinceBoot: clock.SinceBoot, Log: g.a.log, RowBytes: g.a.settings.RowBytes,
		MemoryBytes:   g.a.settings.MemoryBytes,
		LastWitnesses: acquired.Witnesses, UnextendedUntil: acquired.UnextendedUntil, Witnesses: g.a.witnesses,
		FetchHandover: func(ctx context.Context) (cell.Handover, bool) { return g.fetchHandover(ctx, previous) },
		Timeout:       func(base time.Duration) time.Duration { return g.a.health.Timeout(base, time.Now()) },
	})
	g.mu.Lock()
	g.running[epoch.Group] = r
	debug.SetGCPercent(gcPercentRunning)
	g.mu.Unlock()
	g.wg.Add(1)
	ctx, yield := context.WithCancel(ctx)
	g.wg.Go(func() { g.yieldToBetterHost(ctx, epoch.Group, yield) })
	go func() {
		defer g.wg.Done()
		defer yield()
		err := r.Run(ctx, acquired.SentAt)
		g.mu.Lock()
		delete(g.running, epoch.Group)
		if h, handoverErr := r.Cell().Handover(time.Now()); handoverErr == nil {
			g.handovers[epoch.Group] = storedHandover{epoch.Token, h}
		} else {
			g.a.log.WithError(handoverErr).WithField("group", epoch.Group).Info("no handover state for the next runner of the group")
		}
		if len(g.running) == 0 {
			debug.SetGCPercent(gcPercent)
		}
		g.mu.Unlock()
		var lost *elect.LostError
		if errors.As(err, &lost) {
			return
		}
		g.release(epoch, r)
	}()
}

// release releases a lease and retries for as long as a shutdown may take, so that the group becomes free if the table recovers.
func (g *groups) release(epoch elect.Epoch, r *runner.Runner) {
	warned := false
	for deadline := clock.SinceBoot() + g.a.stopLimit() - shutdownReserve; clock.SinceBoot() < deadline; {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		err := elect.Release(ctx, g.a.store, epoch, r.ReleaseState(time.Now()))
		cancel()
		var conflict *table.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return
		}
		if !warned {
			g.a.log.WithError(err).WithField("group", epoch.Group).Warn("failed to release a lease; retrying")
		}
		warned = true
		time.Sleep(rankDelay)
	}
}

// stopAcquiring keeps the host from acquiring more groups.
func (g *groups) stopAcquiring() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopping = true
}

// State implements intake.Groups.
func (g *groups) State(ctx context.Context, service, queue, id string, caller queues.Caller) (graph.State, bool) {
	if r := g.localRunner(service); r != nil && r.Ready() {
		return r.Cell().State(id, queue, caller)
	}
	reply, applied := g.remoteState(ctx, service, queue, id, caller)
	if !applied {
		// The job may be another team's; its row tells.
		return "", false
	}
	return graph.State(reply.GetState()), reply.GetKnown()
}

// Stored implements intake.Groups.
func (g *groups) Stored(ctx context.Context, service, queue, id string, caller queues.Caller) bool {
	if r := g.localRunner(service); r != nil {
		_, known := r.Cell().State(id, queue, caller)
		return known
	}
	// A holder of an earlier version tells of any team's job. Its word counts nevertheless: a false refusal says that a job of the caller's own never
	// runs, and a job of another team with the same ID is less likely.
	reply, _ := g.remoteState(ctx, service, queue, id, caller)
	// Holders of earlier versions don't set stored.
	return reply.GetStored() || reply.GetKnown()
}

// remoteState returns the reply of the holder of a group's lease, which is nil if there is none, and whether it takes the caller's team into account.
func (g *groups) remoteState(ctx context.Context, service, queue, id string, caller queues.Caller) (reply *cellpb.StateReply, applied bool) {
	client, ok := g.remoteClient(service)
	if !ok {
		return nil, false
	}
	var header metadata.MD
	reply, err := client.State(withCaller(ctx, caller), &cellpb.StateRequest{Service: service, Job: id, Queue: queue}, grpc.Header(&header))
	if err != nil {
		g.a.log.WithError(err).WithField("job", id).Debug("query to the runner failed")
		return nil, false
	}
	return reply, appliesTo(header, caller)
}

// Pending implements intake.Groups.
func (g *groups) Pending(ctx context.Context, service, queue string, caller queues.Caller) (int, bool) {
	if r := g.localRunner(service); r != nil && r.Ready() {
		return r.Cell().Pending(queue, caller), true
	}
	client, ok := g.remoteClient(service)
	if !ok {
		return 0, false
	}
	var header metadata.MD
	reply, err := client.Pending(withCaller(ctx, caller), &cellpb.PendingRequest{Service: service, Queue: queue}, grpc.Header(&header))
	if err != nil {
		g.a.log.WithError(err).WithField("queue", queue).Debug("query to the runner failed")
		return 0, false
	}
	return int(reply.GetJobs()), reply.GetKnown() && appliesTo(header, caller)
}

// usage returns what the jobs of all groups but one take; none is left out if that is empty.
func (g *groups) usage(except string) elect.Usage {
	skip, sum := map[string]bool{except: true}, elect.Usage{}
	for _, r := range g.runners() {
		if u, ok := r.Usage(); ok && !skip[r.Group()] {
			skip[r.Group()] = true
			sum = sum.Plus(u)
		}
	}
	return sum.Plus(g.a.leases.Usage(func(group string) bool { return skip[group] }))
}

// minMemory returns the memory of the smallest host: any host may have to take all groups over.
func (g *groups) minMemory() int64 { return g.a.hosts.minMemory(g.a.settings.MemoryBytes) }

// full reports whether the accepted jobs take all the memory that the smallest host has for them.
func (g *groups) full() bool { return g.usage("").JobBytes > int64(guard.JobBytesFor(g.minMemory())) }

// room tells whether the smallest host has room for a job beside the accepted ones; admitting is held.
func (g *groups) room(doc *graph.Job) platform.Room {
	memory := g.minMemory()
	tasks, longRunning := guard.TasksFor(memory), doc.LongRunningTasks()
	used := g.usage("").Plus(g.admitted)
	switch {
	case !tasks.Admits(0, longRunning) || !tasks.Admits(0, int64(doc.LargestGang())):
		return platform.RoomNever
	case !tasks.Admits(used.LongRunning, longRunning) || !guard.JobBytesFor(memory).Admits(used.JobBytes, doc.MemoryBytes()):
		return platform.RoomLater
	default:
		return platform.RoomNow
	}
}

// taskLimit returns of how many tasks the host that runs a group may keep what is known of them: what the other groups leave of the smallest host's
// memory, and an equal part at least.
func (g *groups) taskLimit(group string) budget.Limit {
	limit, numGroups := guard.TasksFor(g.minMemory()), 1
	if cfg := g.a.queues.Current(); cfg != nil {
		numGroups = max(1, len(cfg.Services))
	}
	return max(limit/budget.Limit(numGroups), limit-budget.Limit(g.usage(group).Tasks))
}

// admit tells whether the smallest host has room for a job, and counts the job among those that are accepted until release is called.
func (g *groups) admit(doc *graph.Job) (room platform.Room, release func()) {
	g.admitting.Lock()
	defer g.admitting.Unlock()
	if room = g.room(doc); room != platform.RoomNow {
		return room, func() {}
	}
	usage := usageOf(doc)
	g.admitted = g.admitted.Plus(usage)
	return room, func() {
		g.admitting.Lock()
		defer g.admitting.Unlock()
		g.admitted = g.admitted.Minus(usage)
	}
}

// usageOf returns what a job takes before it has started.
func usageOf(doc *graph.Job) elect.Usage {
	return elect.Usage{JobBytes: doc.MemoryBytes(), LongRunning: doc.LongRunningTasks()}
}

// Accepted implements intake.Groups.
func (g *groups) Accepted(doc *graph.Job) {
	g.a.leases.Accepted(doc.Service, usageOf(doc))
	if r := g.localRunner(doc.Service); r != nil {
		r.AddJob(doc)
	}
}

func (g *groups) remoteClient(service string) (cellpb.CellsClient, bool) {
	epoch, ok := g.a.leases.Holder(service)
	if !ok || epoch.Holder == g.a.settings.Name {
		return nil, false
	}
	conn, err := g.a.hosts.conn(epoch.Address)
	if err != nil {
		g.a.log.WithError(err).WithField("host", epoch.Holder).Warn("connection to host failed")
		return nil, false
	}
	return cellpb.NewCellsClient(conn), true
}
