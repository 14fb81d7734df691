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
	listEvery     = time.Second
	keepRoomEvery = 2 * time.Second
	firstLook     = 3 * time.Second
	minPing       = time.Second
	releaseTime   = 3 * time.Second
)

// Node is one entry host.
type Node struct {
	cfg         conf.Host
	log         logrus.FieldLogger
	metrics     *metric.Set
	id          string
	incarnation string
	started     time.Time

	store  *store.Client
	writer *store.Batcher
	book   *learn.Book
	pool   *holder.Pool
	table  *peers.Table
	net    *peers.Net
	keeper *catlog.Keeper
	router *route.Router
	claims *claim.Book
	homes  *jobs.Homes
	jobs   *jobs.Book
	quotas *quota.Book
	fleet  *fleet.Fleet
	front  *front.Server

	trace   *loads.Recorder
	leaving atomic.Bool
	mu      sync.Mutex
	listed  []store.Host
	life    context.Context
	end     context.CancelFunc
}

// New puts an entry host together; nothing runs before Run.
func New(cfg conf.Host, log logrus.FieldLogger) (*Node, error) {
	n := &Node{
		cfg: cfg, log: log, metrics: metric.NewSet(), incarnation: uuid.NewString()[:8], started: time.Now(),
		book: learn.NewBook(),
	}
	n.id = cfg.Name + "@" + n.incarnation
	n.life, n.end = context.WithCancel(context.Background())
	const dialTimeout = 2 * time.Second
	dialer := worker.NewDialer(cfg.Source, dialTimeout)
	n.store = store.NewClient(cfg.Platform, dialer, n.metrics)
	n.writer = store.NewBatcher(n.store)
	n.quotas = quota.NewBook(quota.Config{
		Self: n.id, DataCenter: cfg.DataCenter, Table: n.store, Writer: n.writer, Quota: n.quotaOf,
		Gone: n.gone, Settled: n.settled, Heard: n.heard,
		// The table of hosts is made later.
		Awaited: func() map[string]bool { return n.table.ContendedOwners() },
		Kick:    func() { n.pool.Kick() }, Log: log,
	})
	n.pool = holder.NewPool(holder.Config{
		Holder: n.id, LeaseTTL: cfg.LeaseTTL, TaskTTL: cfg.TaskTTL, ShortLimit: cfg.ShortLimit,
		Plain: cfg.Policy == conf.PolicyPlain, Source: cfg.Source, Quotas: n.quotas,
	}, n.book, n.metrics, log)
	n.table = peers.NewTable(cfg.Name, cfg.DataCenter)
	for _, seed := range cfg.Seeds {
		if seed != cfg.Advertise {
			n.table.AddSeed(seed)
		}
	}
	creds, err := clientCreds(cfg.TLS)
	if err != nil {
		return nil, err
	}
	n.net = peers.NewNet(n.table, creds, dialer, n.state)
	n.keeper = catlog.NewKeeper(n.store, n.net, log, func(c *entry.Catalogue) { n.pool.KeepRoom(c.Works()) })
	n.router = route.NewRouter(n.table, n.net, n.pool, n.metrics)
	n.claims = claim.NewBook(n.life, n.id, n.store, n.writer, n, n.metrics, log)
	n.homes = jobs.NewHomes(n.id, n.store, n.writer, n.homeHosts, log)
	n.fleet = fleet.New(cfg.DataCenter, &server{node: n}, n.pool, n.table, n.net, n.keeper.Version, n.jobBody, n.listedHosts)
	n.jobs = jobs.NewBook(jobs.Config{
		Table: n.store, Writer: n.writer, Fleet: n.fleet, Homes: n.homes, Stats: n.metrics, Log: log,
		Work: n.work, Estimate: n.estimate,
	})
	if err := n.openTrace(); err != nil {
		return nil, err
	}
	n.front = front.New(front.Config{
		Recorder: n.recorder(), Host: cfg, Node: n, Keeper: n.keeper, Router: n.router, Claims: n.claims, Jobs: n.jobs, Metrics: n.metrics, Log: log,
	})
	n.gauges()
	return n, nil
}

// openTrace begins to record arriving requests, if a setting says so.
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

// recorder returns nil as an interface where nothing is recorded.
func (n *Node) recorder() front.Recorder {
	if n.trace == nil {
		return nil
	}
	return n.trace
}

func (n *Node) gauges() {
	n.metrics.Gauge("waiting", "Work that waits for room.", func() float64 { return float64(n.pool.Waiting()) })
	n.metrics.Gauge("workers_held", "Workers held.", func() float64 { return float64(len(n.pool.Load().Held)) })
	n.metrics.Gauge("job_shards", "Job shards whose home this host is.", func() float64 { return float64(n.homes.Count()) })
	n.metrics.Gauge("catalogue_version", "Catalogue version in force.", func() float64 { return float64(n.keeper.Version()) })
	n.metrics.Gauge("peer_bytes", "Bytes exchanged with peers over connections opened here.", func() float64 { return float64(n.net.Bytes()) })
	n.metrics.Gauge("worker_bytes", "Bytes exchanged with workers.", func() float64 { return float64(n.pool.WorkerBytes()) })
	n.metrics.Gauge("load", "Share of the fullest dimension in use.", func() float64 { return n.pool.Load().Load })
}

func (n *Node) work(name string) (entry.Work, bool) {
	c := n.keeper.Current()
	if c == nil {
		return entry.Work{}, false
	}
	return c.Work(name)
}

func (n *Node) estimate(work entry.Work) time.Duration {
	return n.book.Estimate(work.Name, work.RunTime.D()).Mean
}

func (n *Node) jobBody(ctx context.Context, job *jobs.Job) ([]byte, error) {
	return n.jobs.Body(ctx, job)
}

// homeHosts returns the ids of the hosts that may be homes of job shards.
func (n *Node) homeHosts() []string {
	var hosts []string
	if !n.leaving.Load() {
		hosts = append(hosts, n.id)
	}
	for _, m := range n.table.Live(time.Now(), func(peers.Member) bool { return true }) {
		hosts = append(hosts, m.Name+"@"+m.State.GetIncarnation())
	}
	return hosts
}

// Run serves until ctx is done, then stops in the order that cuts nothing off; a second context ends the stop early.
func (n *Node) Run(ctx context.Context, hard context.Context) error {
	defer n.end()
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", n.cfg.PeerListen.String())
	if err != nil {
		return fmt.Errorf("peer-listen: %w", err)
	}
	creds, err := serverCreds(n.cfg.TLS)
	if err != nil {
		return err
	}
	peerServer := grpc.NewServer(
		grpc.Creds(creds), grpc.MaxRecvMsgSize(peers.MaxMessage), grpc.MaxSendMsgSize(peers.MaxMessage),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPing, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: peers.KeepaliveTime, Timeout: peers.KeepaliveTimeout}),
	)
	peerpb.RegisterPeerServer(peerServer, &server{node: n})
	g := newGroup(n.life)
	g.Go("peer-server", func(context.Context) error { return peerServer.Serve(listener) })
	n.firstLook(ctx)
	g.Go("heartbeats", n.net.Run)
	g.Go("catalogue", n.keeper.Run)
	g.Go("writes", n.writer.Run)
	g.Go("hosts", n.watchHosts)
	g.Go("room", n.keepRoom)
	g.Go("preemption", n.pool.Preempt)
	g.Go("quotas", n.quotas.Run)
	homesCtx, stopHomes := context.WithCancel(n.life)
	defer stopHomes()
	g.Go("homes", func(context.Context) error { return n.homes.Run(homesCtx) })
	jobsCtx, stopJobs := context.WithCancel(n.life)
	defer stopJobs()
	jobsDone := make(chan struct{})
	g.Go("jobs", func(context.Context) error { defer close(jobsDone); return n.jobs.Run(jobsCtx) })
	if err := n.front.Start(); err != nil {
		n.end()
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
	stopCtx, cancel := context.WithTimeout(hard, n.cfg.StopLimit)
	defer cancel()
	n.log.Info("stopping")
	n.stop(stopCtx, func() { stopHomes(); stopJobs(); <-jobsDone })
	n.end()
	n.net.Close()
	stopPeers(stopCtx, peerServer)
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

// stop hands everything over and waits for what is in flight.
func (n *Node) stop(ctx context.Context, stopHomes func()) {
	n.leaving.Store(true)
	n.front.Unready()
	n.net.SendHeartbeats(ctx)
	clock.Pause(ctx, n.cfg.StopDelay)
	n.pool.Stop()
	stopHomes()
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTime)
	defer cancel()
	n.homes.Release(releaseCtx)
	waitFor(ctx, func() bool { return n.pool.Waiting() == 0 })
	n.pool.HandOverAll(ctx)
	// A balancer that is late to notice still sends work here; the other hosts run it.
	lateCtx, cancelLate := context.WithTimeout(ctx, n.cfg.StopLimit/2)
	defer cancelLate()
	waitFor(lateCtx, func() bool { return n.idle() && n.front.Quiet(n.cfg.StopDelay) })
	n.front.Refuse()
	waitFor(ctx, n.idle)
	settleCtx, cancelSettle := context.WithTimeout(ctx, releaseTime)
	defer cancelSettle()
	waitFor(settleCtx, func() bool { return n.claims.Unsettled() == 0 })
	n.front.Stop(ctx)
}

// idle reports whether every request that arrived has its answer.
func (n *Node) idle() bool {
	return n.front.InFlight() == 0 && n.pool.Unanswered() == 0 && n.front.Unfinished() == 0
}

// stopPeers lets calls from peers end, and cuts them when ctx is done.
func stopPeers(ctx context.Context, s *grpc.Server) {
	done := make(chan struct{})
	go func() {
		s.GracefulStop()
		close(done)
	}()
	const most = 2 * time.Second
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-done:
	case <-ctx.Done():
		s.Stop()
	case <-timer.C:
		s.Stop()
	}
}

func waitFor(ctx context.Context, done func() bool) {
	const look = 10 * time.Millisecond
	for !done() && ctx.Err() == nil {
		clock.Pause(ctx, look)
	}
}
