package agent

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"runtime/debug"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/guard"
	"github.com/corianderdrift/corianderdrift/intake"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/platform"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

const (
	metricsPath = "/metrics"
	// gcPercent is below Go's default, so that the heap grows less between collections: memory is charged for, CPU time
	// hardly. See docs/POLICY.md.
	gcPercent = 40
	// runsPerToken exceeds the number of runs of one task that a scheduler starts before any of them is recorded durably.
	runsPerToken = 1000
)

// Times of a graceful shutdown.
const (
	// shutdownReserve is the part of the shutdown timeout that is set aside for closing the last connections.
	shutdownReserve = 700 * time.Millisecond
	// balancerDrainTime is how long the load balancer may still send new connections after the readiness check fails.
	balancerDrainTime    = 2300 * time.Millisecond
	shutdownPollInterval = 20 * time.Millisecond
)

// Agent is an entry host.
type Agent struct {
	started time.Time
	// settings are those at the start; they don't change.
	settings     platform.Settings
	settingsPath string
	// mu guards shutdownTimeout, which is reloaded at run time.
	mu              sync.Mutex
	shutdownTimeout time.Duration
	// incarnation distinguishes this process from earlier ones on the same host.
	incarnation string
	// health tracks whether the table responds over any route, direct whether it responds without a relay through other hosts.
	health     *table.Health
	direct     *table.Health
	relay      *table.Relay
	log        logrus.FieldLogger
	store      table.Store
	workers    order.Workers
	registry   runner.Registry
	advisor    order.Advisor
	config     *platform.ConfigFollower
	queues     *queues.Store
	leases     *elect.View
	hosts      *hosts
	advisors   *advisorBalancer
	groups     *groups
	witness    elect.Witness
	witnesses  *witnesses
	front      *platform.Front
	intake     *intake.Intake
	engine     *nbhttp.Engine
	guard      *guard.Guard
	grpcServer *grpc.Server

	inFlight atomic.Int64
	// lastArrival is the boot clock's time of the last request that is not a readiness check.
	lastArrival atomic.Int64
	stopping    atomic.Bool
	// closing makes the server close each connection after its response.
	closing atomic.Bool
	metrics *metrics
}

// New returns an entry host for the users' platform; path is the file from which s was read, and is read again for changes.
func New(s platform.Settings, path string, log logrus.FieldLogger) *Agent {
	a := &Agent{
		started: time.Now(), settings: s, settingsPath: path, shutdownTimeout: s.ShutdownTimeout, incarnation: uuid.NewString(), log: log,
		queues: &queues.Store{}, leases: elect.NewView(), hosts: newHosts(s.Name, s.DataCenter),
	}
	a.witnesses = newWitnesses(a)
	a.advisor = newAdvisorQueue(platform.NewAdvisor(s.Advisor), s.Name)
	a.groups = newGroups(a)
	a.metrics = newMetrics(a)
	a.newGuard()
	a.direct = table.NewHealth(&instrumentedStore{platform.NewStore(s.Table), a.metrics})
	a.relay = &table.Relay{
		Direct: a.direct, Fallbacks: a.relayStores, Probe: tableProbe, Log: log,
	}
	a.health = table.NewHealth(a.relay)
	a.relay.OnAnswer = a.tableAnswered
	a.store, a.workers = a.health, &instrumentedWorkers{platform.NewWorkers(), a.metrics}
	a.registry = &platform.Registry{Store: a.store, Log: log}
	a.config = &platform.ConfigFollower{Store: a.store, Log: log, RequireKeys: a.queues.RequireKeys}
	a.advisors = newAdvisorBalancer(s.Name, a.advisor, a.hosts)
	a.intake = &intake.Intake{Store: a.store, Health: a.health, Recheck: a.relay.Check, Groups: a.groups, Log: log}
	a.front = &platform.Front{
		Jobs: a.intake, Queues: a.queues, Ready: a.ready, RowBytes: s.RowBytes, Reserve: a.guard.Budget().Reserve,
		Full:        a.groups.full,
		Admit:       a.groups.admit,
		OnRefusal:   func(reason string) { a.metrics.refusals.WithLabelValues(reason).Inc() },
		OnSubmitted: a.countSubmitted, Log: log,
	}
	return a
}

func (a *Agent) cellSettings() cell.Settings {
	return cell.Settings{
		Lease: a.settings.MaxLease, DataCenter: a.settings.DataCenter, Early: a.settings.MaxEarlyStart, RunsPerToken: runsPerToken, OnFinished: a.countFinished,
	}
}

func (a *Agent) peerAddress() netip.AddrPort {
	return netip.AddrPortFrom(a.settings.IP, a.settings.FirstPort)
}

// tableAnswered is called when the table answers again. Calls that wait for changes would show it up to a second later.
func (a *Agent) tableAnswered() {
	a.health.Answered(time.Now())
	for _, r := range a.groups.runners() {
		r.TableAnswers()
	}
}

// ready is the readiness check: without a configuration or the table, the host could only refuse requests.
func (a *Agent) ready() bool {
	return !a.stopping.Load() && a.queues.Current() != nil && a.health.Reachable(time.Now())
}

// Run serves until ctx is done and then shuts down gracefully; cancelling abort ends the shutdown at once.
func (a *Agent) Run(ctx, abort context.Context) error {
	debug.SetGCPercent(gcPercent)
	if a.settings.MemoryBytes > 0 {
		debug.SetMemoryLimit(a.sizes().GoBytes)
	}
	a.log.WithFields(logrus.Fields{
		"data-center": a.settings.DataCenter, "hosts": a.peerAddress(), "metrics": a.metricsAddress(), "life": a.incarnation,
	}).Info("host started")
	if err := a.listen(ctx); err != nil {
		return err
	}
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	campaignCtx, stopCampaign := context.WithCancel(serveCtx)
	eg, serveCtx := errgroup.WithContext(serveCtx)
	eg.Go(func() error { a.relay.Run(serveCtx); return nil })
	eg.Go(func() error { a.searchRelays(serveCtx); return nil })
	eg.Go(func() error { a.followConfig(serveCtx); return nil })
	eg.Go(func() error { a.followLeases(serveCtx); return nil })
	eg.Go(func() error { a.announce(serveCtx); return nil })
	eg.Go(func() error { a.watchSettings(serveCtx); return nil })
	eg.Go(func() error { a.groups.campaign(campaignCtx); return nil })
	select {
	case <-ctx.Done():
	case <-serveCtx.Done():
	}
	a.stop(abort, stopCampaign)
	stopServing()
	err := eg.Wait()
	a.hosts.close()
	a.log.Info("host stopped")
	return err
}

func (a *Agent) listen(ctx context.Context) error {
	logging.SetLevel(logging.LevelError)
	l, err := a.guard.ListenPeers(ctx, a.peerAddress().String(), a.sizes().PeerConnections)
	if err != nil {
		return fmt.Errorf("listen for peer hosts: %w", err)
	}
	a.grpcServer = grpc.NewServer(append(a.guard.PeerServerOptions(),
		grpc.ReadBufferSize(peerBufferBytes), grpc.WriteBufferSize(peerBufferBytes))...)
	cellpb.RegisterCellsServer(a.grpcServer, &peerServer{a: a})
	cellpb.RegisterRowsServer(a.grpcServer, &rowServer{direct: a.direct, memory: newRelayMemory(a.sizes(), a.settings.RowBytes)})
	go func() {
		if err := a.grpcServer.Serve(l); err != nil {
			a.log.WithError(err).Error("server for peer hosts failed")
		}
	}()
	engineConfig := nbhttp.Config{
		Network: "tcp", Handler: a, ServerExecutor: func(f func()) { go f() },
		Addrs: []string{a.settings.Front.String(), a.settings.Ready.String(), a.metricsAddress().String()},
	}
	a.guard.Apply(&engineConfig)
	if err := a.guard.Listen(engineConfig.Network, engineConfig.Addrs...); err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	a.engine = nbhttp.NewEngine(engineConfig)
	a.engine.OnOpen(a.guard.OnOpen)
	if err := a.engine.Start(); err != nil {
		return fmt.Errorf("listen for clients: %w", err)
	}
	return nil
}

// ServeHTTP implements http.Handler and records the metrics of each request.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	if r.URL.Path != "/v1/ready" {
		a.lastArrival.Store(int64(clock.SinceBoot()))
	}
	if a.closing.Load() {
		// Makes the library close the connection after the response.
		r.Close = true
	}
	if r.URL.Path == metricsPath && a.arrivedAtMetrics(w) {
		a.metrics.ServeHTTP(w, r)
		return
	}
	if r.URL.Path == WherePath && a.arrivedAtMetrics(w) {
		a.serveWhere(w, r)
		return
	}
	start := time.Now()
	a.front.ServeHTTP(w, r)
	a.metrics.durations.WithLabelValues("request-" + strings.ToLower(r.Method)).Observe(time.Since(start).Seconds())
}

func (a *Agent) metricsAddress() netip.AddrPort {
	return netip.AddrPortFrom(a.settings.IP, a.settings.FirstPort+1)
}

func (a *Agent) followConfig(ctx context.Context) {
	a.config.Follow(ctx, a.installConfig, nil)
}

func (a *Agent) installConfig(c *queues.Config) {
	old := a.queues.Current()
	if !a.queues.Install(c) {
		return
	}
	a.applyLimits(c.Limits)
	fields := logrus.Fields{"version": c.Version, "queues": len(c.Queues), "services": len(c.Services)}
	if current := a.queues.Current(); current.NeedsKeys() {
		fields["teams"] = len(current.Teams)
	}
	a.log.WithFields(fields).Info("configuration applied")
	if old != nil {
		a.metrics.removeTeams(old, c)
	}
}

func (a *Agent) followLeases(ctx context.Context) {
	apply := func(rows []table.Row) {
		if err := a.leases.Apply(rows, time.Now()); err != nil {
			a.log.WithError(err).Error("invalid lease row in the table")
		}
		if err := a.hosts.apply(rows, a.leases.SetIncarnation); err != nil {
			a.log.WithError(err).Error("invalid host row in the table")
		}
		if slices.ContainsFunc(rows, platform.IsKeyRecord) {
			a.queues.RequireKeys()
		}
	}
	f := table.Follower{
		Store: a.store, Table: elect.Table, Log: a.log, Load: apply, Apply: apply,
		Pause: a.groups.leaseReadInterval, OnAnswer: func() { a.leases.TableAnswered(time.Now()) },
		Partitions: func() []string {
			partitions := []string{hostsPartition, platform.KeyRecordPartition}
			if cfg := a.queues.Current(); cfg != nil {
				for i := range cfg.Services {
					partitions = append(partitions, cfg.Services[i].Name)
				}
			}
			return partitions
		},
	}
	for a.queues.Current() == nil && clock.Pause(ctx, campaignInterval) {
	}
	f.Run(ctx)
}

// self returns this host as it is announced to others.
func (a *Agent) self() host {
	return host{
		Name: a.settings.Name, Address: a.peerAddress(), DataCenter: a.settings.DataCenter, Incarnation: a.incarnation,
		Cores: a.settings.CPUShare, MemoryBytes: a.settings.MemoryBytes, Witness: true,
	}
}

func (a *Agent) announce(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		err := announce(callCtx, a.store, a.self())
		cancel()
		if err == nil {
			return
		}
		a.log.WithError(err).Warn("failed to write the host's address to the table; retrying")
		clock.Pause(ctx, releaseTimeout)
	}
}

// stop hands the groups over, goes on serving until no more requests arrive, and closes the connections.
func (a *Agent) stop(abort context.Context, stopCampaign context.CancelFunc) {
	a.log.Info("stopping")
	began := clock.SinceBoot()
	a.stopping.Store(true)
	a.groups.stopAcquiring()
	ctx, cancel := context.WithTimeout(abort, a.stopLimit()-shutdownReserve)
	defer cancel()
	a.awaitTable(ctx)
	stopCampaign()
	withdrawCtx, cancelWithdraw := context.WithTimeout(ctx, releaseTimeout)
	if err := withdraw(withdrawCtx, a.store, a.self()); err != nil {
		a.log.WithError(err).Warn("failed to remove the host's address from the table")
	}
	cancelWithdraw()
	a.groups.wg.Wait()
	for clock.Pause(ctx, shutdownPollInterval) {
		elapsed := clock.SinceBoot() - began
		if elapsed > balancerDrainTime {
			a.closing.Store(true)
		}
		idle := clock.SinceBoot() - time.Duration(a.lastArrival.Load())
		if elapsed > balancerDrainTime+shutdownReserve && idle > shutdownReserve && a.inFlight.Load() == 0 {
			break
		}
	}
	a.close(abort)
}

// awaitTable keeps the groups of a stopping host running while the table is unreachable or refuses to renew their leases, since these
// could not be released and no other host could run the groups; it leaves part of the shutdown timeout for releasing them.
func (a *Agent) awaitTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.stopLimit()-shutdownReserve-2*releaseTimeout)
	defer cancel()
	for (len(a.groups.runners()) > 0 && !a.health.Reachable(time.Now())) || slices.ContainsFunc(a.groups.runners(), (*runner.Runner).RenewalFails) {
		if !clock.Pause(ctx, shutdownPollInterval) {
			return
		}
	}
}

func (a *Agent) close(abort context.Context) {
	ctx, cancel := context.WithTimeout(abort, shutdownReserve/2)
	defer cancel()
	for a.inFlight.Load() > 0 && clock.Pause(ctx, shutdownPollInterval) {
	}
	clock.Pause(ctx, shutdownPollInterval)
	a.grpcServer.Stop()
	if err := a.engine.Shutdown(ctx); err != nil {
		a.log.WithError(err).Debug("connections were still open at shutdown")
	}
}
