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

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

// Times of running for groups.
const (
	// campaignEvery is how often a host looks for groups without a runner.
	campaignEvery = 50 * time.Millisecond
	// rankStep is by how much later each next host of a group's order takes a free lease.
	rankStep = 120 * time.Millisecond
	// rankMost bounds the hosts that wait for one another.
	rankMost = 8
	// busyDelay is how long a host leaves a free lease to others for each group that it runs already: at a crest, two groups
	// are more than one host can carry.
	busyDelay = 1200 * time.Millisecond
	// candidates is how many hosts of a group's order hear of its lease soon.
	candidates = 4
	// soonPause and latePause space the readings of the leases, which change several times a second; the calls are charged.
	// Hosts that come late in the order of every group need not notice a silent holder before the others have.
	soonPause = 200 * time.Millisecond
	latePause = 800 * time.Millisecond
	// holdsTime bounds the question to a silent holder, and heardFor is how long its answer counts. One that is not seen to
	// renew for trustHolder is replaced whatever it answers.
	holdsTime   = 200 * time.Millisecond
	heardFor    = 500 * time.Millisecond
	trustHolder = 6 * time.Second
	// gcRunning lets the heap of a host that runs a group grow further before it is collected: at a crest the collector would
	// take a tenth of its processor.
	gcRunning = 120
	// strongerBy is how many times the processor time of another host makes a host clearly stronger.
	strongerBy = 1.5
	// strongCores is the processor time from which a host that has just started need not wait to hear of stronger ones.
	strongCores = 0.3
	// meetTime is how long after its start a weak host assumes that there are stronger ones.
	meetTime = time.Second
	// weakDelay is how long weak hosts leave a free lease to stronger ones.
	weakDelay = 1500 * time.Millisecond
	// releaseTime bounds the giving back of a lease.
	releaseTime = 600 * time.Millisecond
)

// groups runs the groups whose leases this host holds, and asks other hosts about the rest.
type groups struct {
	a *Agent

	mu      sync.Mutex
	running map[string]*runner.Runner
	// left holds what the last runner of each group left here.
	left map[string]leftBy
	// heard is when the silent holder of a group last said that it runs it; only the campaign uses it.
	heard   map[string]time.Time
	wg      sync.WaitGroup
	leaving bool
}

// leftBy is what a runner left that held a lease under a token.
type leftBy struct {
	token    uint64
	handover cell.Handover
}

func newGroups(a *Agent) *groups {
	return &groups{a: a, running: map[string]*runner.Runner{}, heard: map[string]time.Time{}, left: map[string]leftBy{}}
}

func (g *groups) local(service string) *runner.Runner {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running[service]
}

// all returns the runners of the groups that this host runs.
func (g *groups) all() []*runner.Runner {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Collect(maps.Values(g.running))
}

// campaign takes the leases of groups that nobody runs, until ctx is done.
func (g *groups) campaign(ctx context.Context) {
	for clock.Pause(ctx, campaignEvery) {
		cfg := g.a.queues.Current()
		if cfg == nil {
			continue
		}
		for i := range cfg.Services {
			g.consider(ctx, cfg.Services[i].Name)
		}
	}
}

func (g *groups) consider(ctx context.Context, service string) {
	g.mu.Lock()
	_, mine := g.running[service]
	busy, leaving := len(g.running), g.leaving
	g.mu.Unlock()
	if mine || leaving {
		return
	}
	old, free := g.a.leases.Free(service, g.patience(service, busy), time.Now())
	if !free {
		return
	}
	if g.holderLives(ctx, old) {
		return
	}
	others, unsure := g.a.leases.OrdersUntil(service, time.Now()), g.a.leases.Unsure(service)
	sent := clock.Boot()
	epoch, err := elect.Take(ctx, g.a.store, old, elect.Taker{
		Name: g.a.settings.Name, Life: g.a.life, Address: g.a.peerAddress(),
	})
	if err != nil {
		var conflict *table.ConflictError
		if !errors.As(err, &conflict) {
			g.a.log.WithError(err).WithField("group", service).Warn("group can't be taken over")
			clock.Pause(ctx, rankStep)
		}
		return
	}
	g.run(ctx, epoch, sent, others, unsure, old)
}

// patience returns how long this host leaves a free lease to those before it in the group's order: hosts with clearly more
// processor time come first, since running a group is most of the work.
func (g *groups) patience(service string, busy int) time.Duration {
	rank, weak := g.order(service)
	weak = weak || (g.a.settings.CPUShare < strongCores && time.Since(g.a.started) < meetTime)
	wait := time.Duration(min(rank, rankMost))*rankStep + time.Duration(busy)*busyDelay
	if weak {
		wait += weakDelay
	}
	return wait
}

// leasePause returns how long this host waits between two readings of the leases.
func (g *groups) leasePause() time.Duration {
	cfg := g.a.queues.Current()
	if cfg == nil {
		return soonPause
	}
	for i := range cfg.Services {
		if before, stronger := g.order(cfg.Services[i].Name); before < candidates && !stronger {
			return soonPause
		}
	}
	return latePause
}

// order returns how many equally strong hosts come before this one in a group's order, and whether there are stronger ones.
func (g *groups) order(service string) (before int, stronger bool) {
	self := g.a.settings
	own := rankFor(service, self.Name)
	for _, h := range g.a.hosts.usable(time.Now()) {
		switch {
		case h.Name == self.Name:
		case h.Cores > strongerBy*self.CPUShare:
			stronger = true
		case self.CPUShare <= strongerBy*h.Cores && rankFor(service, h.Name) < own:
			before++
		}
	}
	return before, stronger
}

// holderLives asks the holder of a lease that seems free whether it still runs the group: where only a part of the table is
// away, nobody sees its renewals, and nobody else could run the group either.
func (g *groups) holderLives(ctx context.Context, old elect.Epoch) bool {
	silent, ok := g.a.leases.Silent(old.Part, time.Now())
	if !ok || silent > trustHolder || old.Holder == g.a.settings.Name {
		return false
	}
	if last := g.heard[old.Part]; time.Since(last) < heardFor {
		return true
	}
	conn, err := g.a.hosts.conn(old.Address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, holdsTime)
	defer cancel()
	reply, err := cellpb.NewCellsClient(conn).Holds(ctx, &cellpb.HoldsRequest{Service: old.Part, Token: old.Token})
	if err != nil || !reply.GetHolds() {
		return false
	}
	g.heard[old.Part] = time.Now()
	g.a.log.WithFields(logrus.Fields{"group": old.Part, "holder": old.Holder, "silent": silent.Round(time.Millisecond).String()}).
		Info("holder of a group that is not seen to renew its lease still runs it")
	return true
}

// rankFor orders hosts by a hash, another way for each name that they are ordered for.
func rankFor(name, host string) uint64 { return xxhash.Sum64String(name + "/" + host) }

func (g *groups) run(
	ctx context.Context, epoch elect.Epoch, sent time.Duration, others time.Time, unsure map[string]time.Time,
	old elect.Epoch,
) {
	r := runner.New(runner.Config{
		Epoch: epoch, Store: g.a.store, Workers: g.a.workers, Registry: g.a.registry, Advisors: g.a.spread,
		Queues: g.a.queues, Settings: g.a.cellSettings(), OthersUntil: others, Unsure: unsure, Boot: clock.Boot, Log: g.a.log,
		Handed:   func(ctx context.Context) (cell.Handover, bool) { return g.handed(ctx, old) },
		Patience: func(base time.Duration) time.Duration { return g.a.health.Patience(base, time.Now()) },
	})
	g.mu.Lock()
	g.running[epoch.Part] = r
	debug.SetGCPercent(gcRunning)
	g.mu.Unlock()
	g.wg.Add(1)
	go func() {
		defer g.wg.Done()
		err := r.Run(ctx, sent)
		g.mu.Lock()
		delete(g.running, epoch.Part)
		if h, left := r.Cell().Left(time.Now()); left == nil {
			g.left[epoch.Part] = leftBy{epoch.Token, h}
		} else {
			g.a.log.WithError(left).WithField("group", epoch.Part).Info("group can't be handed over")
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

// release gives a lease back, and goes on trying while the host is still there: a table that returns meanwhile should find
// the group free.
func (g *groups) release(epoch elect.Epoch, r *runner.Runner) {
	failing := false
	for end := clock.Boot() + g.a.stopLimit() - stopReserve; clock.Boot() < end; {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
		err := elect.Release(ctx, g.a.store, epoch, r.Unsure(time.Now()))
		cancel()
		var conflict *table.ConflictError
		if err == nil || errors.As(err, &conflict) {
			return
		}
		if !failing {
			g.a.log.WithError(err).WithField("group", epoch.Part).Warn("lease can't be given back yet")
		}
		failing = true
		time.Sleep(rankStep)
	}
}

// leave makes the host take no more groups.
func (g *groups) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// State implements intake.Groups.
func (g *groups) State(ctx context.Context, service, queue, id string) (graph.State, bool) {
	if r := g.local(service); r != nil && r.Ready() {
		return r.Cell().State(id, queue)
	}
	client, ok := g.remote(service)
	if !ok {
		return "", false
	}
	reply, err := client.State(ctx, &cellpb.StateRequest{Service: service, Job: id, Queue: queue})
	if err != nil {
		g.a.log.WithError(err).WithField("job", id).Debug("runner can't be asked")
		return "", false
	}
	return graph.State(reply.GetState()), reply.GetKnown()
}

// Pending implements intake.Groups.
func (g *groups) Pending(ctx context.Context, service, queue string) (int, bool) {
	if r := g.local(service); r != nil && r.Ready() {
		return r.Cell().Pending(queue), true
	}
	client, ok := g.remote(service)
	if !ok {
		return 0, false
	}
	reply, err := client.Pending(ctx, &cellpb.PendingRequest{Service: service, Queue: queue})
	if err != nil {
		g.a.log.WithError(err).WithField("queue", queue).Debug("runner can't be asked")
		return 0, false
	}
	return int(reply.GetJobs()), reply.GetKnown()
}

// Accepted implements intake.Groups.
func (g *groups) Accepted(doc *graph.Job) {
	if r := g.local(doc.Service); r != nil {
		r.Take(doc)
	}
}

func (g *groups) remote(service string) (cellpb.CellsClient, bool) {
	epoch, ok := g.a.leases.Holder(service)
	if !ok || epoch.Holder == g.a.settings.Name {
		return nil, false
	}
	conn, err := g.a.hosts.conn(epoch.Address)
	if err != nil {
		g.a.log.WithError(err).WithField("host", epoch.Holder).Warn("host can't be reached")
		return nil, false
	}
	return cellpb.NewCellsClient(conn), true
}
