package metric

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/corianderdrift/corianderdrift/reason"
)

const namespace = "corianderdrift"

// Set holds all metrics of one process.
type Set struct {
	Registry *prometheus.Registry

	requests    *prometheus.CounterVec
	refusals    *prometheus.CounterVec
	retries     *prometheus.CounterVec
	starts      *prometheus.CounterVec
	waits       *prometheus.HistogramVec
	workers     *prometheus.CounterVec
	preemptions prometheus.Counter
	store       *prometheus.CounterVec
	forwards    *prometheus.CounterVec
	replays     prometheus.Counter
	claims      *prometheus.CounterVec
	jobs        *prometheus.CounterVec
	guardEnds   *prometheus.CounterVec
}

// NewSet returns a Set whose metrics are registered in a registry of their own.
func NewSet() *Set {
	s := &Set{Registry: prometheus.NewRegistry()}
	s.requests = counter("requests_total", "Requests by class and outcome.", "class", "outcome")
	s.refusals = counter("refusals_total", "Refusals by outcome and reason.", "outcome", "reason")
	s.retries = counter("retries_total", "Retries by the reason of the try before.", "reason")
	s.starts = counter("starts_total", "Tasks sent to workers by class.", "class")
	s.workers = counter("worker_events_total", "Changes of workers by event.", "event")
	s.store = counter("store_calls_total", "Calls to the platform by operation and result.", "operation", "result")
	s.forwards = counter("forwards_total", "Requests sent to other entry hosts by where they are.", "where")
	s.claims = counter("claims_total", "Claims of idempotency keys by result.", "result")
	s.guardEnds = counter("guard_ends_total", "Requests refused and connections closed by the limits of connections, by cause.", "cause")
	s.jobs = counter("jobs_total", "Jobs by event.", "event")
	s.waits = prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Name: "wait_seconds", Help: "Time from arrival at the holder to room on a worker, by class.",
		Buckets: prometheus.ExponentialBuckets(0.0001, 4, 10),
	}, []string{"class"})
	s.preemptions = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "preemptions_total", Help: "Long tasks checkpointed for short or urgent work.",
	})
	s.replays = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "replays_total", Help: "Answers given again for an idempotency key.",
	})
	s.Registry.MustRegister(s.requests, s.refusals, s.retries, s.starts, s.workers, s.store, s.forwards, s.claims, s.jobs, s.guardEnds,
		s.waits, s.preemptions, s.replays, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return s
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

// Gauge registers a gauge whose value is read whenever the metrics are collected.
func (s *Set) Gauge(name, help string, read func() float64) {
	s.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// GuardEnd counts a request that was refused, or a connection that was closed, by the limits of connections.
func (s *Set) GuardEnd(cause string) { s.guardEnds.WithLabelValues(cause).Inc() }

// Answered counts a request that received a complete answer.
func (s *Set) Answered(class string) { s.requests.WithLabelValues(class, "answered").Inc() }

// Refused counts a refusal.
func (s *Set) Refused(class string, r *reason.Refusal) {
	s.requests.WithLabelValues(class, string(r.Outcome)).Inc()
	s.refusals.WithLabelValues(string(r.Outcome), string(r.Reason)).Inc()
}

// Retry counts a retry by the reason of the previous attempt.
func (s *Set) Retry(cause reason.Reason) { s.retries.WithLabelValues(string(cause)).Inc() }

// Started counts a task that was sent to a worker.
func (s *Set) Started(class string) { s.starts.WithLabelValues(class).Inc() }

// Waited records how long work waited at the holder for capacity on a worker.
func (s *Set) Waited(class string, wait time.Duration) {
	s.waits.WithLabelValues(class).Observe(wait.Seconds())
}

// WorkerEvent counts a change of a worker's state.
func (s *Set) WorkerEvent(event string) { s.workers.WithLabelValues(event).Inc() }

// Preempted counts a long task that was checkpointed for short or urgent work.
func (s *Set) Preempted() { s.preemptions.Inc() }

// StoreCall counts a call to the platform.
func (s *Set) StoreCall(op string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	s.store.WithLabelValues(op, result).Inc()
}

// Forwarded counts a request sent to another entry host, by where that host is.
func (s *Set) Forwarded(where string) { s.forwards.WithLabelValues(where).Inc() }

// Replayed counts an answer that was returned again for an idempotency key.
func (s *Set) Replayed() { s.replays.Inc() }

// Claimed counts a claim of an idempotency key.
func (s *Set) Claimed(result string) { s.claims.WithLabelValues(result).Inc() }

// Job counts an event of a job.
func (s *Set) Job(event string) { s.jobs.WithLabelValues(event).Inc() }
