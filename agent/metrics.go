package agent

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/table"
)

const namespace = "corianderdrift"

// metrics are the counts and times of a host.
type metrics struct {
	registry *prometheus.Registry
	refused  *prometheus.CounterVec
	calls    *prometheus.CounterVec
	times    *prometheus.HistogramVec
	orders   *prometheus.CounterVec
	handler  http.Handler
}

func newMetrics(a *Agent) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.refused = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "refusals_total", Help: "Requests that were refused, by reason.",
	}, []string{"reason"})
	m.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "table_calls_total", Help: "Calls to the table, by operation and result.",
	}, []string{"operation", "result"})
	m.orders = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "orders_total", Help: "Orders to workers, by kind and result.",
	}, []string{"order", "result"})
	m.times = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "call_seconds", Help: "Times of requests, table calls, orders and advice.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2.5, 9),
	}, []string{"call"})
	m.registry.MustRegister(m.refused, m.calls, m.orders, m.times)
	m.gauges(a)
	m.handler = promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
	return m
}

// gauges registers what is read when the metrics are.
func (m *metrics) gauges(a *Agent) {
	gauge := func(name, help string, read func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: name, Help: help,
		}, read))
	}
	sum := func(pick func(workers, jobs, placed int) int) func() float64 {
		return func() float64 {
			n := 0
			for _, r := range a.groups.all() {
				n += pick(r.Cell().Counts())
			}
			return float64(n)
		}
	}
	gauge("groups_held", "Groups that this host runs.", func() float64 { return float64(len(a.groups.all())) })
	gauge("group_workers", "Workers of the groups that this host runs.", sum(func(w, _, _ int) int { return w }))
	gauge("group_jobs", "Unfinished jobs of the groups that this host runs.", sum(func(_, j, _ int) int { return j }))
	gauge("group_runs", "Runs placed by the groups that this host runs.", sum(func(_, _, p int) int { return p }))
	gauge("requests_in_flight", "Requests without a whole answer yet.", func() float64 { return float64(a.inFlight.Load()) })
	gauge("configuration_version", "Version of the configuration in force.", func() float64 {
		if cfg := a.queues.Current(); cfg != nil {
			return float64(cfg.Version)
		}
		return 0
	})
	gauge("table_reachable", "1 if the table answers this host.", func() float64 {
		if a.health.Reachable(time.Now()) {
			return 1
		}
		return 0
	})
}

// ServeHTTP answers with the metrics in one piece, since the server needs the length.
func (m *metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	buf := &buffer{header: w.Header()}
	m.handler.ServeHTTP(buf, r)
	w.Header().Set("Content-Length", strconv.Itoa(buf.Len()))
	_, _ = w.Write(buf.Bytes())
}

// buffer is a response writer that keeps the body.
type buffer struct {
	bytes.Buffer
	header http.Header
}

// Header implements http.ResponseWriter.
func (b *buffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *buffer) WriteHeader(int) {}

func result(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

// countedStore counts and times the calls to a table.
type countedStore struct {
	table.Store
	m *metrics
}

func (s *countedStore) done(op string, since time.Time, err error) {
	s.m.calls.WithLabelValues(op, result(err)).Inc()
	s.m.times.WithLabelValues("table-" + op).Observe(time.Since(since).Seconds())
}

// Commit implements table.Store.
func (s *countedStore) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	since := time.Now()
	v, err := s.Store.Commit(ctx, tx)
	s.done("commit", since, err)
	return v, err
}

// Read implements table.Store.
func (s *countedStore) Read(ctx context.Context, r table.Range) (table.Page, error) {
	since := time.Now()
	page, err := s.Store.Read(ctx, r)
	s.done("read", since, err)
	return page, err
}

// Changes implements table.Store.
func (s *countedStore) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	c, err := s.Store.Changes(ctx, name, after, wait)
	s.m.calls.WithLabelValues("changes", result(err)).Inc()
	return c, err
}

// countedWorkers counts and times orders.
type countedWorkers struct {
	order.Workers
	m *metrics
}

func (w *countedWorkers) done(kind string, since time.Time, err error) {
	w.m.orders.WithLabelValues(kind, result(err)).Inc()
	w.m.times.WithLabelValues("order-" + kind).Observe(time.Since(since).Seconds())
}

// Start implements order.Workers.
func (w *countedWorkers) Start(ctx context.Context, to *order.Worker, o order.Start) (time.Duration, error) {
	since := time.Now()
	at, err := w.Workers.Start(ctx, to, o)
	w.done("start", since, err)
	return at, err
}

// Stop implements order.Workers.
func (w *countedWorkers) Stop(ctx context.Context, to *order.Worker, o order.Stop) (time.Duration, error) {
	since := time.Now()
	at, err := w.Workers.Stop(ctx, to, o)
	w.done("stop", since, err)
	return at, err
}
