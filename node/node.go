package node

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/corianderdrift/corianderdrift/catlog"
	"github.com/corianderdrift/corianderdrift/claim"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/fleet"
	"github.com/corianderdrift/corianderdrift/front"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/learn"
	"github.com/corianderdrift/corianderdrift/loads"
	"github.com/corianderdrift/corianderdrift/metric"
	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/quota"
	"github.com/corianderdrift/corianderdrift/route"
	"github.com/corianderdrift/corianderdrift/store"
	"github.com/corianderdrift/corianderdrift/worker"
)

const (
	hostListInterval = time.Second
	headroomInterval = 2 * time.Second
	discoveryTimeout = 3 * time.Second
	minPingInterval  = time.Second
	releaseTimeout   = 3 * time.Second
	// Limits of a peer's connection. Forwarded requests may last for hours, so that there may be as many calls as callers' connections.
	peerStreams       = 20_000
	peerHeaderBytes   = 64 << 10
	peerHandshakeTime = 5 * time.Second
)

// Node is an entry host.
type Node struct {
	cfg         conf.Host
	log         logrus.FieldLogger
	metrics     *metric.Set
	id          string
	incarnation string
	startedAt   time.Time

	store     *store.Client
	writer    *store.Batcher
	estimator *learn.Estimator
	pool      *holder.Pool
	members   *peers.Membership
	transport *peers.Transport
	keeper    *catlog.Keeper
	router    *route.Router
	claims    *claim.Registry
	leaders   *jobs.Leaders
	jobs      *jobs.Manager
	quotas    *quota.Allocator
	fleet     *fleet.Fleet
	front     *front.Server

	trace   *loads.Recorder
	leaving atomic.Bool
	mu      sync.Mutex
	hosts   []store.Host
	// endedSince holds when processes with a share of a quota were first found to have ended.
	endedSince map[string]time.Time
	ctx        context.Context
	cancel     context.CancelFunc
}

// New assembles an entry host; nothing runs before Run.
func New(cfg conf.Host, log logrus.FieldLogger) (*Node, error) {
	n := &Node{
		cfg: cfg, log: log, metrics: metric.NewSet(), incarnation: uuid.NewString()[:8], startedAt: time.Now(),
		estimator: learn.NewEstimator(),
	}
	n.id = cfg.Name + "@" + n.incarnation
	n.ctx, n.cancel = context.WithCancel(context.Background())
	const dialTimeout = 2 * time.Second
	dialer := worker.NewDialer(cfg.Source, dialTimeout)
	n.store = store.NewClient(cfg.Platform, dialer, n.metrics)
	n.writer = store.NewBatcher(n.store)
	n.quotas = quota.NewAllocator(quota.Config{
		Self: n.id, DataCenter: cfg.DataCenter, Table: n.store, Writer: n.writer, Quota: n.ownerQuota,
		CanDropShare: n.canDropShare, AdoptionsCovered: n.adoptionsCovered, IsAlive: n.isAlive,
		// The closure is needed because members is set later.
		ContendedOwners: func() map[string]bool { return n.members.ContendedOwners() },
		Dispatch:        func() { n.pool.Dispatch() }, Log: log,
	})
	n.pool = holder.NewPool(holder.Config{
		Holder: n.id, LeaseTTL: cfg.LeaseTTL, TaskTTL: cfg.TaskTTL, ShortLimit: cfg.ShortLimit,
		Plain: cfg.Policy == conf.PolicyPlain, Source: cfg.Source, Quotas: n.quotas,
	}, n.estimator, n.metrics, log)
	n.members = peers.NewMembership(cfg.Name, cfg.DataCenter)
	for _, seed := range cfg.Seeds {
		if seed != cfg.Advertise {
			n.members.AddSeed(seed)
		}
	}
	creds, err := clientCreds(cfg.TLS)
	if err != nil {
		return nil, err
	}
	n.transport = peers.NewTransport(n.members, creds, dialer, n.hostState)
	n.keeper = catlog.NewKeeper(n.store, n.transport, log, func(c *entry.Catalogue) { n.pool.UpdateHeadroom(c.Works()) })
	n.router = route.NewRouter(n.members, n.transport, n.pool, n.metrics)
	n.claims = claim.NewRegistry(n.ctx, n.id, n.store, n.writer, n, n.metrics, log)
	n.leaders = jobs.NewLeaders(n.id, n.store, n.writer, n.leaderCandidates, clock.SinceBoot, log)
	n.fleet = fleet.New(
		cfg.Name, cfg.DataCenter, &server{node: n}, n.pool, n.members, n.transport, n.keeper.Version, n.jobBody, n.entryHosts,
	)
	n.jobs = jobs.NewManager(jobs.Config{
		Table: n.store, Writer: n.writer, Fleet: n.fleet, Leaders: n.leaders, Stats: n.metrics, Log: log,
		LookupWork: n.lookupWork, Estimate: n.estimateRunTime, MayCancel: n.mayCancel,
	})
	if err := n.openTrace(); err != nil {
		return nil, err
	}
	n.front = front.New(front.Config{
		Recorder: n.recorder(), Host: cfg, Cluster: n, Keeper: n.keeper, Router: n.router, Claims: n.claims, Jobs: n.jobs, Metrics: n.metrics, Log: log,
	})
	n.registerGauges()
	return n, nil
}

// openTrace opens the file to which arriving requests are recorded, if one is set.
func (n *Node) openTrace() error {
	if n.cfg.TraceFile == "" {
		return nil
	}
	file, err := os.Create(n.cfg.TraceFile)
	if err != nil {
		return &conf.Error{Setting: "trace-file", Value: n.cfg.TraceFile, Allowed: err.Error()}
	}
	n.trace = loads.NewRecorder(file)
	return nil
}

// recorder returns a nil interface, not a nil *loads.Recorder, if nothing is recorded.
func (n *Node) recorder() front.Recorder {
	if n.trace == nil {
		return nil
	}
	return n.trace
}

func (n *Node) registerGauges() {
	n.metrics.Gauge("waiting", "Work that waits for room.", func() float64 { return float64(n.pool.Waiting()) })
	n.metrics.Gauge("workers_held", "Workers held.", func() float64 { return float64(len(n.pool.Load().Held)) })
	n.metrics.Gauge("job_shards", "Job shards whose home this host is.", func() float64 { return float64(n.leaders.Count()) })
	n.metrics.Gauge("catalogue_version", "Catalogue version in force.", func() float64 { return float64(n.keeper.Version()) })
	n.metrics.Gauge("peer_bytes", "Bytes exchanged with peers over connections opened here.", func() float64 { return float64(n.transport.Bytes()) })
	n.metrics.Gauge("worker_bytes", "Bytes exchanged with workers.", func() float64 { return float64(n.pool.WorkerBytes()) })
	n.metrics.Gauge("load", "Share of the fullest dimension in use.", func() float64 { return n.pool.Load().UsedShare })
}

func (n *Node) lookupWork(name string) (entry.Work, bool) {
	c := n.keeper.Current()
	if c == nil {
		return entry.Work{}, false
	}
	return c.Work(name)
}

// mayCancel reports whether a caller, named by the digest of an owner's token, may cancel jobs of an owner.
func (n *Node) mayCancel(owner, caller string) bool {
	c := n.keeper.Current()
	if c == nil {
		return true
	}
	o, ok := c.Owner(owner)
	return !ok || o.TokenSHA256 == "" || o.TokenSHA256 == caller
}

func (n *Node) estimateRunTime(work entry.Work) time.Duration {
	return n.estimator.Estimate(work.Name, work.RunTime.D()).Mean
}

func (n *Node) jobBody(ctx context.Context, job *jobs.Job) ([]byte, error) {
	return n.jobs.Body(ctx, job)
}

// leaderCandidates returns the ids of the hosts that may lead job shards.
func (n *Node) leaderCandidates() []string {
	var hosts []string
	if !n.leaving.Load() {
		hosts = append(hosts, n.id)
	}
	for _, m := range n.members.Live(time.Now(), func(peers.Member) bool { return true }) {
		hosts = append(hosts, m.Name+"@"+m.State.GetIncarnation())
	}
	return hosts
}

// Run serves until ctx is done and then shuts down gracefully, without aborting requests or calls in flight; cancelling
// abortCtx ends the shutdown at once.
func (n *Node) Run(ctx context.Context, abortCtx context.Context) error {
	defer n.cancel()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.cfg.PeerListen.String())
	if err != nil {
		return fmt.Errorf("peer-listen: %w", err)
	}
	creds, err := serverCreds(n.cfg.TLS)
	if err != nil {
		return err
	}
	peerServer := grpc.NewServer(
		grpc.Creds(creds), grpc.MaxRecvMsgSize(peers.MaxMessageBytes), grpc.MaxSendMsgSize(peers.MaxMessageBytes),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		grpc.MaxConcurrentStreams(peerStreams), grpc.MaxHeaderListSize(peerHeaderBytes), grpc.ConnectionTimeout(peerHandshakeTime),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: peers.KeepaliveTime, Timeout: peers.KeepaliveTimeout}),
	)
	peerpb.RegisterPeerServer(peerServer, &server{node: n})
	g := newGroup(n.ctx)
	g.Go("peer-server", func(context.Context) error { return peerServer.Serve(listener) })
	n.discover(ctx)
	g.Go("heartbeats", n.transport.Run)
	g.Go("catalogue", n.keeper.Run)
	g.Go("writes", n.writer.Run)
	g.Go("hosts", n.watchHosts)
	g.Go("room", n.updateHeadroom)
	g.Go("preemption", n.pool.Preempt)
	g.Go("quotas", n.quotas.Run)
	leadersCtx, stopLeaders := context.WithCancel(n.ctx)
	defer stopLeaders()
	g.Go("homes", func(context.Context) error { return n.leaders.Run(leadersCtx) })
	jobsCtx, stopJobs := context.WithCancel(n.ctx)
	defer stopJobs()
	jobsDone := make(chan struct{})
	g.Go("jobs", func(context.Context) error { defer close(jobsDone); return n.jobs.Run(jobsCtx) })
	if err := n.front.Start(); err != nil {
		n.cancel()
		peerServer.Stop()
		_ = g.Wait()
		return fmt.Errorf("listen: %w", err)
	}
	n.log.WithFields(logrus.Fields{"host": n.id, "listen": n.cfg.Listen.String()}).Info("serving")

	var cause error
	select {
	case <-ctx.Done():
	case cause = <-g.failed:
	}
	stopCtx, cancel := context.WithTimeout(abortCtx, n.cfg.StopTimeout)
	defer cancel()
	n.log.Info("stopping")
	n.stop(stopCtx, func() { stopLeaders(); stopJobs(); <-jobsDone })
	n.cancel()
	n.transport.Close()
	stopPeerServer(stopCtx, peerServer)
	if err := g.Wait(); cause == nil {
		cause = err
	}
	n.store.Close()
	if n.trace != nil {
		_ = n.trace.Flush()
	}
	n.log.Info("stopped")
	return cause
}

// stop hands over leases and job shards and waits for requests in flight.
func (n *Node) stop(ctx context.Context, stopJobs func()) {
	n.leaving.Store(true)
	n.front.FailReadiness()
	n.transport.SendHeartbeats(ctx)
	clock.Pause(ctx, n.cfg.StopDelay)
	n.pool.Stop()
	stopJobs()
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	n.leaders.Release(releaseCtx)
	waitUntil(ctx, func() bool { return n.pool.Waiting() == 0 })
	n.pool.HandOverAll(ctx)
	// A load balancer that notices the failed readiness late still sends work here; other hosts run it.
	lateCtx, cancelLate := context.WithTimeout(ctx, n.cfg.StopTimeout/2)
	defer cancelLate()
	waitUntil(lateCtx, func() bool { return n.isIdle() && n.front.IdleFor(n.cfg.StopDelay) })
	n.front.RefuseWork()
	waitUntil(ctx, n.isIdle)
	claimsCtx, cancelClaims := context.WithTimeout(ctx, releaseTimeout)
	defer cancelClaims()
	waitUntil(claimsCtx, func() bool { return n.claims.NumUnwritten() == 0 })
	n.front.Stop(ctx)
}

// isIdle reports whether every request that arrived has been answered.
func (n *Node) isIdle() bool {
	return n.front.InFlight() == 0 && n.pool.NumInFlight() == 0 && n.front.UnfinishedConns() == 0
}

// stopPeerServer waits a short time for calls from peers to end, and aborts them then or when ctx is done.
func stopPeerServer(ctx context.Context, s *grpc.Server) {
	done := make(chan struct{})
	go func() {
		s.GracefulStop()
		close(done)
	}()
	const timeout = 2 * time.Second
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-ctx.Done():
		s.Stop()
	case <-timer.C:
		s.Stop()
	}
}

func waitUntil(ctx context.Context, done func() bool) {
	const pollInterval = 10 * time.Millisecond
	for !done() && ctx.Err() == nil {
		clock.Pause(ctx, pollInterval)
	}
}
