package front

import (
	"context"
	"net/http"
	"net/http/pprof"
	"sync/atomic"
	"time"

	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/logging"
	"github.com/lesismal/nbio/nbhttp"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/catlog"
	"github.com/corianderdrift/corianderdrift/claim"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/metric"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/route"
)

// Limits of callers' connections.
const (
	// bodyLimit is what the library reads of a body before it closes the connection without an answer.
	bodyLimit      = 32 << 20
	maxConnections = 20000
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// View is what operators see of the cell, and the wake-up of jobs' homes.
type View interface {
	Workers(ctx context.Context) []holder.WorkerReport
	Owners(ctx context.Context) []holder.OwnerReport
	Hosts() []HostReport
	WakeJob(ctx context.Context, id string)
	WaitReason(ctx context.Context, id string) (reason.Reason, string)
}

// HostReport is an entry host as operators see it.
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

// Recorder takes down arriving requests for replay.
type Recorder interface {
	Record(work, params string, bytes int, timeout time.Duration, keyed bool)
}

// Config is what a server works with.
type Config struct {
	Host     conf.Host
	Node     View
	Keeper   *catlog.Keeper
	Router   *route.Router
	Claims   *claim.Book
	Jobs     *jobs.Book
	Metrics  *metric.Set
	Log      logrus.FieldLogger
	Recorder Recorder
}

// Server answers callers and operators.
type Server struct {
	cfg      Config
	engine   *nbhttp.Engine
	inFlight atomic.Int64
	conns    *conns
	// arrived is when work last arrived, in nanoseconds of the Unix epoch.
	arrived  atomic.Int64
	unready  atomic.Bool
	refusing atomic.Bool
	handler  http.Handler
}

// New returns a server that does not listen yet.
func New(cfg Config) *Server {
	s := &Server{cfg: cfg, conns: newConns(cfg.Log)}
	s.handler = s.routes()
	return s
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/run/{work}", s.run)
	mux.HandleFunc("GET /v1/jobs/{id}", s.getJob)
	mux.HandleFunc("DELETE /v1/jobs/{id}", s.cancelJob)
	mux.HandleFunc("GET /v1/jobs/{id}/tasks/{task}/result", s.getResult)
	mux.HandleFunc("GET /v1/catalogue", s.listCatalogue)
	mux.HandleFunc("GET /v1/catalogue/{kind}/{name}", s.getDocument)
	mux.HandleFunc("PUT /v1/catalogue/{kind}/{name}", s.putDocument)
	mux.HandleFunc("DELETE /v1/catalogue/{kind}/{name}", s.putDocument)
	mux.HandleFunc("GET /v1/history", s.history)
	mux.HandleFunc("GET /v1/workers", s.listWorkers)
	mux.HandleFunc("GET /v1/owners", s.listOwners)
	mux.HandleFunc("GET /v1/hosts", s.listHosts)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok\n") })
	mux.HandleFunc("GET /readyz", s.ready)
	mux.Handle("GET /metrics", buffered(promhttp.HandlerFor(s.cfg.Metrics.Registry, promhttp.HandlerOpts{
		DisableCompression: true,
	})))
	if s.cfg.Host.Pprof {
		mux.Handle("GET /debug/pprof/", buffered(http.HandlerFunc(pprof.Index)))
		mux.Handle("GET /debug/pprof/profile", buffered(http.HandlerFunc(pprof.Profile)))
	}
	return mux
}

// ServeHTTP counts a request and answers it.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	if s.unready.Load() {
		// The library then closes the connection after the answer, so that no later request meets its end.
		r.Close = true
	}
	s.handler.ServeHTTP(w, r)
	s.conns.answered(r.RemoteAddr)
}

// Start listens.
func (s *Server) Start() error {
	logging.SetLogger(quietLogger{s.cfg.Log})
	config := nbhttp.Config{
		Network: "tcp", Handler: s, MaxLoad: maxConnections, KeepaliveTime: idleTimeout,
		ReadLimit: bodyLimit + maxHeaderBytes, MaxHTTPBodySize: bodyLimit, IOMod: nbhttp.IOModMixed,
		MaxBlockingOnline: maxConnections, ServerExecutor: func(f func()) { go f() },
	}
	addr := []string{s.cfg.Host.Listen.String()}
	if s.cfg.Host.TLS.Cert == "" {
		config.Addrs = addr
	} else {
		tlsConfig, err := callerTLS(s.cfg.Host.TLS)
		if err != nil {
			return err
		}
		config.AddrsTLS, config.TLSConfig = addr, tlsConfig
	}
	s.engine = nbhttp.NewEngine(config)
	s.engine.OnOpen(s.conns.opened)
	s.engine.OnClose(s.conns.closed)
	return s.engine.Start()
}

// callerTLS reads the certificate anew for every connection, so that it is replaced without a restart.
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

// Unready fails the readiness, so that the balancer sends no more requests.
func (s *Server) Unready() { s.unready.Store(true) }

// Refuse makes the server refuse new work.
func (s *Server) Refuse() { s.refusing.Store(true) }

// Quiet reports whether no work has arrived for the given time.
func (s *Server) Quiet(d time.Duration) bool { return time.Since(time.Unix(0, s.arrived.Load())) >= d }

// InFlight returns the number of requests that have no whole answer yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Unfinished returns the number of connections with a request that is not whole yet, or that has no answer.
func (s *Server) Unfinished() int { return s.conns.unfinished() }

// Stop closes the listener and the connections; the caller has waited for InFlight to reach 0.
func (s *Server) Stop(ctx context.Context) {
	const flush = 100 * time.Millisecond
	clock.Pause(ctx, flush)
	_ = s.engine.Shutdown(ctx)
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
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

// quietLogger sends the library's lines to the host's log.
type quietLogger struct {
	log logrus.FieldLogger
}

// Debug drops the line.
func (quietLogger) Debug(string, ...any) {}

// Info passes the line on at debug level.
func (q quietLogger) Info(format string, v ...any) { q.log.Debugf(format, v...) }

// Warn passes the line on.
func (q quietLogger) Warn(format string, v ...any) { q.log.Warnf(format, v...) }

// Error passes the line on.
func (q quietLogger) Error(format string, v ...any) { q.log.Errorf(format, v...) }
