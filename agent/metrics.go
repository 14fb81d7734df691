package agent

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/guard"
	"github.com/corianderdrift/corianderdrift/intake"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/table"
)

const namespace = "corianderdrift"

// metrics holds the metrics of a host.
type metrics struct {
	registry   *prometheus.Registry
	refusals   *prometheus.CounterVec
	tableCalls *prometheus.CounterVec
	durations  *prometheus.HistogramVec
	ends       *prometheus.CounterVec
	orders     *prometheus.CounterVec
	// submitted and finished count jobs by team.
	submitted *prometheus.CounterVec
	finished  *prometheus.CounterVec
	handler   http.Handler
}

func newMetrics(a *Agent) *metrics {
	m := &metrics{registry: prometheus.NewRegistry()}
	m.refusals = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "refusals_total", Help: "Requests that were refused, by reason.",
	}, []string{"reason"})
	m.tableCalls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "table_calls_total", Help: "Calls to the table, by operation and result.",
	}, []string{"operation", "result"})
	m.orders = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "orders_total", Help: "Orders to workers, by kind and result.",
	}, []string{"order", "result"})
	m.submitted = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "submitted_jobs_total", Help: "Jobs submitted to this host, by team and answer.",
	}, []string{teamLabel, "answer"})
	m.finished = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "finished_jobs_total", Help: "Jobs of the groups that this host runs that have ended, by team and final state.",
	}, []string{teamLabel, "state"})
	m.durations = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "call_seconds", Help: "Times of requests, table calls, orders and advice.",
		Buckets: prometheus.ExponentialBuckets(0.002, 2.5, 9),
	}, []string{"call"})
	m.ends = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "guard_ends_total", Help: "Requests refused and connections closed by the limits of connections, by cause.",
	}, []string{"cause"})
	m.registry.MustRegister(
		m.ends, m.refusals, m.tableCalls, m.orders, m.durations, m.submitted, m.finished, newTeamCollector(a),
	)
	m.registerGauges(a)
	m.handler = promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{DisableCompression: true})
	return m
}

// teamLabel names a team of the configuration; it is empty for jobs without a team, and for those of a team that the configuration no longer names.
const teamLabel = "team"

func (a *Agent) countSubmitted(team string, outcome intake.Outcome) {
	a.metrics.submitted.WithLabelValues(a.labelOf(team), string(outcome)).Inc()
}

func (a *Agent) countFinished(team string, state graph.State) {
	a.metrics.finished.WithLabelValues(a.labelOf(team), string(state)).Inc()
}

// labelOf returns the value of teamLabel for a team. The teams of the configuration bound the number of values.
func (a *Agent) labelOf(team string) string {
	if cfg := a.queues.Current(); cfg == nil || cfg.Team(team) == nil {
		return ""
	}
	return team
}

// removeTeams removes the series of teams that a new configuration no longer names.
func (m *metrics) removeTeams(old, current *queues.Config) {
	for i := range old.Teams {
		name := old.Teams[i].Name
		if current.Team(name) == nil {
			m.submitted.DeletePartialMatch(prometheus.Labels{teamLabel: name})
			m.finished.DeletePartialMatch(prometheus.Labels{teamLabel: name})
		}
	}
}

// registerGauges registers the gauges, which are read on each scrape.
func (m *metrics) registerGauges(a *Agent) {
	gauge := func(name, help string, read func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: name, Help: help,
		}, read))
	}
	sum := func(selectCount func(workers, jobs, placed int) int) func() float64 {
		return func() float64 {
			n := 0
			for _, r := range a.groups.runners() {
				n += selectCount(r.Cell().Counts())
			}
			return float64(n)
		}
	}
	gauge("groups_held", "Groups that this host runs.", func() float64 { return float64(len(a.groups.runners())) })
	gauge("group_workers", "Workers of the groups that this host runs.", sum(func(w, _, _ int) int { return w }))
	gauge("group_jobs", "Unfinished jobs of the groups that this host runs.", sum(func(_, j, _ int) int { return j }))
	gauge("group_runs", "Runs placed by the groups that this host runs.", sum(func(_, _, p int) int { return p }))
	gauge("group_known_tasks", "Tasks of the groups that this host runs that run, or wait after a run.", func() float64 {
		n := int64(0)
		for _, r := range a.groups.runners() {
			known, _ := r.Cell().Tasks()
			n += known
		}
		return float64(n)
	})
	gauge("known_tasks_limit", "Such tasks of all groups for which the smallest host has the memory.", func() float64 {
		return float64(guard.TasksFor(a.groups.minMemory()))
	})
	sumStats := func(selectCount func(s cell.Stats) uint64) func() float64 {
		return func() float64 {
			n := uint64(0)
			for _, r := range a.groups.runners() {
				n += selectCount(r.Cell().Stats())
			}
			return float64(n)
		}
	}
	gauge("group_resurfaced_runs", "Active runs that had been counted as ended, since this host runs their groups.",
		sumStats(func(s cell.Stats) uint64 { return s.Resurfaced }))
	gauge("group_overcommits", "Times that a worker's runs came to exceed its capacity, since this host runs its group.",
		sumStats(func(s cell.Stats) uint64 { return s.Overcommits }))
	sumLoads := func(selectCount func(l cell.Load) int) func() float64 {
		return func() float64 {
			n := 0
			for _, r := range a.groups.runners() {
				n += selectCount(r.Cell().Load())
			}
			return float64(n)
		}
	}
	for _, cause := range cell.DeferralCauses {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: "group_deferred_jobs", Help: "Waiting jobs that are not to meet their objectives, of the groups that this host runs.",
			ConstLabels: prometheus.Labels{"cause": string(cause)},
		}, sumLoads(func(l cell.Load) int { return l.Deferred[cause] })))
	}
	gauge("group_teams_at_part", "Teams that have their part of a scarce resource, in the groups that this host runs.",
		sumLoads(func(l cell.Load) int { return l.TeamsAtPart }))
	gauge("groups_overloaded", "Groups that this host runs in which more is deferred than the workers can run at a time.",
		sumLoads(func(l cell.Load) int {
			if l.Overloaded {
				return 1
			}
			return 0
		}))
	gauge("group_lease_age_seconds", "Longest time since the last renewal of a lease of the groups that this host runs.", func() float64 {
		age := time.Duration(0)
		for _, r := range a.groups.runners() {
			age = max(age, r.LeaseAge())
		}
		return age.Seconds()
	})
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

// countEnd counts a request that was refused, or a connection that was closed, by the guard.
func (m *metrics) countEnd(cause guard.Cause) { m.ends.WithLabelValues(string(cause)).Inc() }

// registerGuard registers the gauges of the guard.
func (m *metrics) registerGuard(g *guard.Guard) {
	gauge := func(name, help string, labels prometheus.Labels, read func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace, Name: name, Help: help, ConstLabels: labels,
		}, read))
	}
	gauge("guard_budget_bytes", "Memory for requests that are incomplete or being handled.", nil,
		func() float64 { return float64(g.Budget().Total()) })
	gauge("guard_budget_used_bytes", "Part of the memory for requests that is in use.", nil,
		func() float64 { return float64(g.Budget().Used()) })
	gauge("guard_peer_budget_bytes", "Memory for calls of peer hosts.", nil, func() float64 { return float64(g.PeerBudget().Total()) })
	gauge("guard_peer_budget_used_bytes", "Part of the memory for calls of peer hosts that is in use.", nil,
		func() float64 { return float64(g.PeerBudget().Used()) })
	for _, place := range []string{frontPlace, readyPlace, metricsPlace} {
		gauge("guard_connections", "Open connections, by address.", prometheus.Labels{"address": place},
			func() float64 { return float64(g.Open(place)) })
	}
	gauge("guard_connections", "Open connections, by address.", prometheus.Labels{"address": peersPlace},
		func() float64 { return float64(g.PeersOpen()) })
}

// ServeHTTP writes the metrics in one piece, since the server needs the content length.
func (m *metrics) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	buf := &responseBuffer{header: w.Header()}
	m.handler.ServeHTTP(buf, r)
	w.Header().Set("Content-Length", strconv.Itoa(buf.Len()))
	_, _ = w.Write(buf.Bytes())
}

// responseBuffer is an http.ResponseWriter that buffers the body.
type responseBuffer struct {
	bytes.Buffer
	header http.Header
}

// Header implements http.ResponseWriter.
func (b *responseBuffer) Header() http.Header { return b.header }

// WriteHeader implements http.ResponseWriter.
func (b *responseBuffer) WriteHeader(int) {}

func resultLabel(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}

// instrumentedStore records the number and duration of calls to a table.
type instrumentedStore struct {
	table.Store
	m *metrics
}

func (s *instrumentedStore) observe(op string, start time.Time, err error) {
	s.m.tableCalls.WithLabelValues(op, resultLabel(err)).Inc()
	s.m.durations.WithLabelValues("table-" + op).Observe(time.Since(start).Seconds())
}

// Commit implements table.Store.
func (s *instrumentedStore) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	start := time.Now()
	v, err := s.Store.Commit(ctx, tx)
	s.observe("commit", start, err)
	return v, err
}

// Read implements table.Store.
func (s *instrumentedStore) Read(ctx context.Context, r table.Range) (table.Page, error) {
	start := time.Now()
	page, err := s.Store.Read(ctx, r)
	s.observe("read", start, err)
	return page, err
}

// Changes implements table.Store.
func (s *instrumentedStore) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	c, err := s.Store.Changes(ctx, name, after, wait)
	s.m.tableCalls.WithLabelValues("changes", resultLabel(err)).Inc()
	return c, err
}

// instrumentedWorkers records the number and duration of orders.
type instrumentedWorkers struct {
	order.Workers
	m *metrics
}

func (w *instrumentedWorkers) observe(kind string, start time.Time, err error) {
	w.m.orders.WithLabelValues(kind, resultLabel(err)).Inc()
	w.m.durations.WithLabelValues("order-" + kind).Observe(time.Since(start).Seconds())
}

// Start implements order.Workers.
func (w *instrumentedWorkers) Start(ctx context.Context, to *order.Worker, o order.Start) (time.Duration, error) {
	start := time.Now()
	at, err := w.Workers.Start(ctx, to, o)
	w.observe("start", start, err)
	return at, err
}

// Stop implements order.Workers.
func (w *instrumentedWorkers) Stop(ctx context.Context, to *order.Worker, o order.Stop) (time.Duration, error) {
	start := time.Now()
	at, err := w.Workers.Stop(ctx, to, o)
	w.observe("stop", start, err)
	return at, err
}
