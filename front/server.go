package front

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/catlog"
	"github.com/corianderdrift/corianderdrift/claim"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/guard"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/metric"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/route"
)

// Cluster gives operators a view of all hosts, and calls the leaders of job shards.
type Cluster interface {
	Workers(ctx context.Context) []holder.WorkerReport
	Owners(ctx context.Context) []holder.OwnerReport
	Hosts() []HostReport
	WakeJob(ctx context.Context, id string)
	WaitReason(ctx context.Context, id string) (reason.Reason, string)
}

// HostReport describes an entry host to operators.
type HostReport struct {
	Name             string  `json:"name"`
	Address          string  `json:"address"`
	DataCenter       string  `json:"data-center"`
	Region           string  `json:"region,omitempty"`
	CatalogueVersion uint64  `json:"catalogue-version"`
	Workers          int     `json:"workers"`
	Load             float64 `json:"load"`
	Leaving          bool    `json:"leaving"`
	Alive            bool    `json:"alive"`
	AgeMillis        int64   `json:"age-ms"`
}

// Recorder records arriving requests for replay.
type Recorder interface {
	Record(work, params string, bytes int, timeout time.Duration, keyed bool)
}

// Config holds the settings and dependencies of a server.
type Config struct {
	Host     conf.Host
	Cluster  Cluster
	Keeper   *catlog.Keeper
	Router   *route.Router
	Claims   *claim.Registry
	Jobs     *jobs.Manager
	Metrics  *metric.Set
	Log      logrus.FieldLogger
	Recorder Recorder
}

// Server serves callers and operators.
type Server struct {
	cfg      Config
	engine   *nbhttp.Engine
	inFlight atomic.Int64
	conns    *connTracker
	guard    *guard.Guard
	// lastArrival is when work last arrived, in nanoseconds since the Unix epoch.
	lastArrival atomic.Int64
	unready     atomic.Bool
	refusing    atomic.Bool
	handler     http.Handler
}

// New returns a server that is not listening yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, conns: newConnTracker(cfg.Log)}
	s.handler = s.routes()
	return s
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run/{work}", s.runWork)
	mux.HandleFunc("GET /v1/jobs/{id}", s.getJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.cancelJob)
	mux.HandleFunc("GET /v1/jobs/{id}/tasks/{task}/result", s.getResult)
	mux.HandleFunc("GET /v1/catalogue", s.listCatalogue)
	mux.HandleFunc("GET /v1/catalogue/{kind}/{name}", s.getDocument)
	mux.HandleFunc("PUT /v1/catalogue/{kind}/{name}", s.putDocument)
	mux.HandleFunc("DELETE /v1/catalogue/{kind}/{name}", s.putDocument)
	mux.HandleFunc("GET /v1/history", s.listHistory)
	mux.HandleFunc("GET /v1/workers", s.listWorkers)
	mux.HandleFunc("GET /v1/owners", s.listOwners)
	mux.HandleFunc("GET /v1/hosts", s.listHosts)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok\n") })
	mux.HandleFunc("GET /readyz", s.readiness)
	mux.Handle("GET /metrics", withContentLength(promhttp.HandlerFor(s.cfg.Metrics.Registry, promhttp.HandlerOpts{
		DisableCompression: true,
	})))
	if s.cfg.Host.Pprof {
		mux.Handle("GET /debug/pprof/", withContentLength(http.HandlerFunc(pprof.Index)))
		mux.Handle("GET /debug/pprof/profile", withContentLength(http.HandlerFunc(pprof.Profile)))
	}
	return mux
}

// ServeHTTP handles a request and counts it as in flight meanwhile.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.unready.Load() {
		// nbhttp then closes the connection after the answer, so that no later request is lost when the server stops.
		r.Close = true
	}
	s.handler.ServeHTTP(w, r)
	s.conns.markAnswered(r.RemoteAddr)
}

// Start opens the listener and serves requests in the background.
func (s *Server) Start() error {
	logging.SetLogger(logAdapter{s.cfg.Log})
	if err := s.newGuard(); err != nil {
		return err
	}
	config := nbhttp.Config{
		Network: "tcp", Handler: s, KeepaliveTime: s.cfg.Host.Guard.IdleTimeout, ServerExecutor: func(f func()) { go f() },
	}
	s.guard.Apply(&config)
	config.Addrs = []string{s.cfg.Host.Listen.String()}
	s.engine = nbhttp.NewEngine(config)
	s.engine.OnOpen(func(nc net.Conn) {
		s.conns.onOpen(socketOf(nc))
		s.guard.OnOpen(nc)
	})
	s.engine.OnClose(s.conns.onClose)
	return s.engine.Start()
}

// socketOf returns the socket of a connection that the engine has just opened. The engine's connection must not be used later, since its
// reader changes it.
func socketOf(nc net.Conn) net.Conn {
	if engineConn, ok := nc.(*nbhttp.Conn); ok {
		return engineConn.Conn
	}
	return nc
}

// newGuard makes the guard with the limits of the settings.
func (s *Server) newGuard() error {
	// unknownMemoryMiB is what callers' memory is derived from if the host's memory isn't known.
	const unknownMemoryMiB = 1024
	set := s.cfg.Host.Guard
	memory := set.MemoryMiB
	if memory == 0 {
		memory = unknownMemoryMiB
	}
	withTLS := s.cfg.Host.TLS.Cert != ""
	sizes := guard.SizesFor(int64(memory)<<20, set.MaxConnections, withTLS)
	limits := guard.Limits{
		HeadBytes: set.MaxHeaderBytes, BodyBytes: set.MaxBodyBytes, HeadTimeout: set.HeaderTimeout, IdleTimeout: set.IdleTimeout,
	}
	if !sizes.Fits(limits) {
		return &conf.Error{
			Setting: "memory-mb", Value: strconv.Itoa(set.MemoryMiB), Allowed: "must be enough for a request of max-header-bytes and max-body-bytes",
		}
	}
	if set.MemoryMiB > 0 {
		debug.SetMemoryLimit(sizes.GoBytes)
	}
	s.guard = guard.New(sizes, limits, func(cause guard.Cause) { s.cfg.Metrics.GuardEnd(string(cause)) }, s.cfg.Log)
	if !withTLS {
		s.guard.AddPlace("callers", s.cfg.Host.Listen.String(), sizes.Connections, false)
	} else {
		tlsConfig, err := callerTLS(s.cfg.Host.TLS)
		if err != nil {
			return err
		}
		s.guard.AddTLSPlace("callers", s.cfg.Host.Listen.String(), sizes.Connections, tlsConfig)
	}
	s.cfg.Metrics.Gauge("guard_budget_bytes", "Memory for requests that are incomplete or being handled.",
		func() float64 { return float64(s.guard.Budget().Total()) })
	s.cfg.Metrics.Gauge("guard_budget_used_bytes", "Part of the memory for requests that is in use.",
		func() float64 { return float64(s.guard.Budget().Used()) })
	s.cfg.Metrics.Gauge("guard_connections", "Open connections of callers.",
		func() float64 { return float64(s.guard.Open("callers")) })
	return nil
}

// callerTLS returns a configuration that reloads the certificate for every connection, so that it can be replaced without
// a restart.
func callerTLS(cfg conf.TLS) (*tls.Config, error) {
	load := func() (*tls.Certificate, error) {
		cert, err := tls.LoadX509KeyPair(cfg.Cert, cfg.Key)
		return &cert, err
	}
	if _, err := load(); err != nil {
		return nil, &conf.Error{Setting: "tls-cert", Value: cfg.Cert, Allowed: err.Error()}
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return load() },
	}, nil
}

// FailReadiness makes the readiness probe fail, so that the load balancer sends no more requests.
func (s *Server) FailReadiness() { s.unready.Store(true) }

// RefuseWork makes the server refuse new work.
func (s *Server) RefuseWork() { s.refusing.Store(true) }

// IdleFor reports whether no work has arrived for the given time.
func (s *Server) IdleFor(d time.Duration) bool {
	return time.Since(time.Unix(0, s.lastArrival.Load())) >= d
}

// InFlight returns the number of requests that are being handled.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// UnfinishedConns returns the number of connections with a request that is partially received or not yet answered.
func (s *Server) UnfinishedConns() int { return s.conns.numUnfinished() }

// Stop closes the listener and the connections; the caller must have waited for InFlight to reach 0.
func (s *Server) Stop(ctx context.Context) {
	const flushDelay = 100 * time.Millisecond
	clock.Pause(ctx, flushDelay)
	_ = s.engine.Shutdown(ctx)
}

func (s *Server) readiness(w http.ResponseWriter, _ *http.Request) {
	if s.unready.Load() {
		writeText(w, http.StatusServiceUnavailable, "stopping\n")
		return
	}
	if err := s.cfg.Keeper.Ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
		return
	}
	writeText(w, http.StatusOK, "ready\n")
}

// logAdapter passes nbhttp's log messages on to the host's log, except those at debug level.
type logAdapter struct {
	log logrus.FieldLogger
}

// Debug drops the message.
func (logAdapter) Debug(string, ...any) {}

// Info logs the message at debug level.
func (l logAdapter) Info(format string, v ...any) { l.log.Debugf(format, v...) }

// Warn logs the message as a warning.
func (l logAdapter) Warn(format string, v ...any) { l.log.Warnf(format, v...) }

// Error logs the message as an error.
func (l logAdapter) Error(format string, v ...any) { l.log.Errorf(format, v...) }
