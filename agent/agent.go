package agent

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"strconv"
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
	"github.com/corianderdrift/corianderdrift/intake"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/platform"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

// Limits of callers' connections.
const (
	maxConnections = 3000
	maxBody        = 4 << 20
	maxHeader      = 64 << 10
	idleTimeout    = 60 * time.Second
	metricsPath    = "/metrics"
	// gcPercent lets the heap grow by less than usual before it is collected: memory is charged, processor time hardly.
	// See docs/POLICY.md.
	gcPercent = 40
	// runsPerToken is more runs of one task than a scheduler starts without a durable record of any.
	runsPerToken = 1000
)

// Times of a planned stop.
const (
	// stopReserve is kept of the time to stop for closing the last connections.
	stopReserve = 700 * time.Millisecond
	// balancerDelay is how long the balancer may still send new connections after the readiness has failed.
	balancerDelay = 2300 * time.Millisecond
	stopCheck     = 20 * time.Millisecond
)

// Agent is one entry host.
type Agent struct {
	// mu guards the settings that may change.
	mu           sync.Mutex
	started      time.Time
	settings     platform.Settings
	settingsPath string
	// life tells this process from an earlier one on the same host.
	life string
	// health tells whether the table answers by any way, direct whether it does so without other hosts.
	health   *table.Health
	direct   *table.Health
	relay    *table.Relay
	log      logrus.FieldLogger
	store    table.Store
	workers  order.Workers
	registry runner.Registry
	advisor  order.Advisor
	operator *platform.Operator
	queues   *queues.Book
	leases   *elect.Book
	hosts    *hosts
	spread   *spread
	groups   *groups
	front    *platform.Front
	engine   *nbhttp.Engine
	peers    *grpc.Server

	inFlight atomic.Int64
	arrived  atomic.Int64
	leaving  atomic.Bool
	closing  atomic.Bool
	metrics  *metrics
}

// New returns an entry host on the users' platform, with the settings that were read from path.
func New(s platform.Settings, path string, log logrus.FieldLogger) *Agent {
	a := &Agent{
		started: time.Now(), settings: s, settingsPath: path, life: uuid.NewString(), log: log, queues: &queues.Book{},
		leases: elect.NewBook(), hosts: newHosts(s.Name, s.DataCenter), advisor: platform.NewAdvisor(s.Advisor),
	}
	a.groups = newGroups(a)
	a.metrics = newMetrics(a)
	a.direct = table.NewHealth(&countedStore{platform.NewStore(s.Table), a.metrics})
	a.relay = &table.Relay{
		Direct: a.direct, Others: a.relayed, Probe: table.Range{Table: elect.Table, Part: partHosts, Limit: 1}, Log: log,
	}
	a.health = table.NewHealth(a.relay)
	a.store, a.workers = a.health, &countedWorkers{platform.NewWorkers(), a.metrics}
	a.registry = &platform.Registry{Store: a.store, Log: log}
	a.operator = &platform.Operator{Store: a.store, Log: log}
	a.spread = &spread{self: s.Name, advisor: a.advisor, hosts: a.hosts, out: map[string]int{}}
	a.front = &platform.Front{
		Jobs:   &intake.Intake{Store: a.store, Health: a.health, Groups: a.groups, Log: log},
		Queues: a.queues, Ready: a.ready,
		Refused: func(reason string) { a.metrics.refused.WithLabelValues(reason).Inc() },
	}
	return a
}

func (a *Agent) cellSettings() cell.Settings {
	return cell.Settings{
		Lease: a.settings.MaxLease, DataCenter: a.settings.DataCenter, Early: a.settings.Early, RunsPerToken: runsPerToken,
	}
}

func (a *Agent) peerAddress() netip.AddrPort {
	return netip.AddrPortFrom(a.settings.IP, a.settings.FirstPort)
}

// ready reports whether the balancer should send callers here: a host without the table could only refuse them.
func (a *Agent) ready() bool {
	return !a.leaving.Load() && a.queues.Current() != nil && a.health.Reachable(time.Now())
}

// Run serves until ctx is done and then stops without cutting requests off; hard ends the stop at once.
func (a *Agent) Run(ctx, hard context.Context) error {
	debug.SetGCPercent(gcPercent)
	a.log.WithFields(logrus.Fields{
		"data-center": a.settings.DataCenter, "hosts": a.peerAddress(), "metrics": a.metricsAddress(), "life": a.life,
	}).Info("host started")
	if err := a.listen(ctx); err != nil {
		return err
	}
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	campaign, endCampaign := context.WithCancel(serving)
	eg, serving := errgroup.WithContext(serving)
	eg.Go(func() error { a.relay.Run(serving); return nil })
	eg.Go(func() error { a.follow(serving); return nil })
	eg.Go(func() error { a.followLeases(serving); return nil })
	eg.Go(func() error { a.announce(serving); return nil })
	eg.Go(func() error { a.watchSettings(serving); return nil })
	eg.Go(func() error { a.groups.campaign(campaign); return nil })
	select {
	case <-ctx.Done():
	case <-serving.Done():
	}
	a.stop(hard, endCampaign)
	stop()
	err := eg.Wait()
	a.hosts.close()
	a.log.Info("host stopped")
	return err
}

func (a *Agent) listen(ctx context.Context) error {
	logging.SetLevel(logging.LevelError)
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", a.peerAddress().String())
	if err != nil {
		return fmt.Errorf("listen for hosts: %w", err)
	}
	a.peers = grpc.NewServer(grpc.ReadBufferSize(peerBuffer), grpc.WriteBufferSize(peerBuffer))
	cellpb.RegisterCellsServer(a.peers, &peerServer{a: a})
	cellpb.RegisterRowsServer(a.peers, &rowServer{direct: a.direct})
	go func() {
		if err := a.peers.Serve(l); err != nil {
			a.log.WithError(err).Error("hosts are no longer served")
		}
	}()
	a.engine = nbhttp.NewEngine(nbhttp.Config{
		Network: "tcp", Handler: a,
		Addrs:   []string{a.settings.Front.String(), a.settings.Ready.String(), a.metricsAddress().String()},
		MaxLoad: maxConnections, KeepaliveTime: idleTimeout, ReadLimit: maxBody + maxHeader, MaxHTTPBodySize: maxBody,
		IOMod: nbhttp.IOModMixed, MaxBlockingOnline: maxConnections, ServerExecutor: func(f func()) { go f() },
	})
	if err := a.engine.Start(); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	return nil
}

// ServeHTTP counts a request and answers it.
func (a *Agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	a.inFlight.Add(1)
	defer a.inFlight.Add(-1)
	if r.URL.Path != "/v1/ready" {
		a.arrived.Store(int64(clock.Boot()))
	}
	if a.closing.Load() {
		// The library then closes the connection after the answer.
		r.Close = true
	}
	if r.URL.Path == metricsPath && strings.HasSuffix(r.Host, ":"+strconv.Itoa(int(a.metricsAddress().Port()))) {
		a.metrics.ServeHTTP(w, r)
		return
	}
	since := time.Now()
	a.front.ServeHTTP(w, r)
	a.metrics.times.WithLabelValues("request-" + strings.ToLower(r.Method)).Observe(time.Since(since).Seconds())
}

func (a *Agent) metricsAddress() netip.AddrPort {
	return netip.AddrPortFrom(a.settings.IP, a.settings.FirstPort+1)
}

func (a *Agent) follow(ctx context.Context) {
	a.operator.Follow(ctx, func(c *queues.Config) {
		if a.queues.Install(c) {
			a.log.WithFields(logrus.Fields{
				"version": c.Version, "queues": len(c.Queues), "services": len(c.Services),
			}).Info("configuration in force")
		}
	}, nil)
}

func (a *Agent) followLeases(ctx context.Context) {
	apply := func(rows []table.Row) {
		if err := a.leases.Apply(rows, time.Now()); err != nil {
			a.log.WithError(err).Error("lease is unreadable")
		}
		if err := a.hosts.apply(rows, a.leases.Started); err != nil {
			a.log.WithError(err).Error("host is unreadable")
		}
	}
	f := table.Follower{
		Store: a.store, Table: elect.Table, Log: a.log, Load: apply, Apply: apply,
		Pause: a.groups.leasePause, Alive: func() { a.leases.Alive(time.Now()) },
		Parts: func() []string {
			parts := []string{partHosts}
			if cfg := a.queues.Current(); cfg != nil {
				for i := range cfg.Services {
					parts = append(parts, cfg.Services[i].Name)
				}
			}
			return parts
		},
	}
	for a.queues.Current() == nil && clock.Pause(ctx, campaignEvery) {
	}
	f.Run(ctx)
}

func (a *Agent) announce(ctx context.Context) {
	self := host{Name: a.settings.Name, Address: a.peerAddress(), DataCenter: a.settings.DataCenter, Life: a.life, Cores: a.settings.CPUShare}
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, releaseTime)
		err := announce(call, a.store, self)
		cancel()
		if err == nil {
			return
		}
		a.log.WithError(err).Warn("host can't announce itself")
		clock.Pause(ctx, releaseTime)
	}
}

// stop hands groups over, serves what still arrives, and closes when nothing does.
func (a *Agent) stop(hard context.Context, endCampaign context.CancelFunc) {
	a.log.Info("stopping")
	begun := clock.Boot()
	a.leaving.Store(true)
	a.groups.leave()
	ctx, cancel := context.WithTimeout(hard, a.stopLimit()-stopReserve)
	defer cancel()
	a.awaitTable(ctx)
	endCampaign()
	withdrawn, done := context.WithTimeout(ctx, releaseTime)
	if err := withdraw(withdrawn, a.store, a.settings.Name); err != nil {
		a.log.WithError(err).Warn("host can't withdraw itself")
	}
	done()
	a.groups.wg.Wait()
	for clock.Pause(ctx, stopCheck) {
		since := clock.Boot() - begun
		if since > balancerDelay {
			a.closing.Store(true)
		}
		quiet := clock.Boot() - time.Duration(a.arrived.Load())
		if since > balancerDelay+stopReserve && quiet > stopReserve && a.inFlight.Load() == 0 {
			break
		}
	}
	a.close(hard)
}

// awaitTable goes on running the groups of a host that stops while the table is away, as their leases could not be given back;
// some of the time to stop is kept for that.
func (a *Agent) awaitTable(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.stopLimit()-stopReserve-2*releaseTime)
	defer cancel()
	for len(a.groups.all()) > 0 && !a.health.Reachable(time.Now()) && clock.Pause(ctx, stopCheck) {
	}
}

func (a *Agent) close(hard context.Context) {
	ctx, cancel := context.WithTimeout(hard, stopReserve/2)
	defer cancel()
	for a.inFlight.Load() > 0 && clock.Pause(ctx, stopCheck) {
	}
	clock.Pause(ctx, stopCheck)
	a.peers.Stop()
	if err := a.engine.Shutdown(ctx); err != nil {
		a.log.WithError(err).Debug("connections were still open")
	}
}
