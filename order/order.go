package order

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Worker is one incarnation of a worker as listed in the registry.
type Worker struct {
	ID      string
	Address netip.AddrPort
	Service string
	// DataCenter is the data centre in which the worker runs.
	DataCenter string
	Rack       string
	// Kind is the worker's first label.
	Kind     string
	Labels   []string
	Machine  string
	Capacity unit.Size
	// Draining is set once the worker is about to shut down.
	Draining bool
	// Remaining is the minimum time until a draining worker shuts down; 0 if unknown.
	Remaining time.Duration
	// StartedAt is when this incarnation started, which distinguishes it from others with the same id.
	StartedAt time.Time
}

// Incarnation identifies one incarnation of a worker.
type Incarnation struct {
	ID string
	// StartedAt is in milliseconds since the Unix epoch.
	StartedAt int64
}

// Incarnation returns the identity of the worker's incarnation.
func (w *Worker) Incarnation() Incarnation { return Incarnation{w.ID, w.StartedAt.UnixMilli()} }

// Start is an order to start a run of a task.
type Start struct {
	Task graph.TaskID
	// Run is the number of this attempt at the task.
	Run  int
	Spec string
	// Checkpoint is the checkpoint to resume from, if there is one.
	Checkpoint string
	// Ticket is the token of the advisor's permit, if the queue needs one.
	Ticket string
	// Token is the scheduler's fencing token.
	Token uint64
	// LeaseUntil is when the task's lease ends, on the worker's clock.
	LeaseUntil time.Duration
	// MinConnAge returns how long the connection has to have been open; nil and 0 permit a new one. It is called once there is a
	// connection, so that a pause before that counts.
	MinConnAge func() time.Duration
	// BeforeSend is called once there is a connection, before MinConnAge is called for the last time, and reports whether the order may still be
	// sent: a start may have waited for the connection. nil permits it.
	BeforeSend func() bool
}

// Stop is an order to stop a run; if its start has not arrived yet, the worker will reject it.
type Stop struct {
	Task  graph.TaskID
	Run   int
	Token uint64
}

// Throttle is an order to throttle a run to a percentage of its CPU limit.
type Throttle struct {
	Task       graph.TaskID
	Run        int
	CPUPercent int
	Token      uint64
}

// Poll is a status poll of a worker: it renews the leases of all its runs, acknowledges ended runs and waits for further ones
// to end.
type Poll struct {
	Token uint64
	// LeaseUntil is when the renewed leases end, on the worker's clock; 0 renews nothing.
	LeaseUntil time.Duration
	// Acked is the number of the last ended run that the scheduler has stored durably.
	Acked uint64
	// Wait is how long the worker may wait for a run to end before it replies.
	Wait time.Duration
}

// Run is a run that is active on a worker.
type Run struct {
	Task graph.TaskID
	Run  int
	// Checkpoint is the latest checkpoint.
	Checkpoint string
	// CPUPercent is the share of its CPU limit that the run may use; 100 if it is not throttled.
	CPUPercent int
	// Gauge is the tail latency in ms of a serving task, and the CPU usage in thousandths of a core of any other task.
	Gauge float64
}

// EndKind is how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	// EndExpired says that the run's lease expired.
	EndExpired EndKind = "lapsed"
	// EndGangBroken says that another member of the gang ended.
	EndGangBroken EndKind = "broken"
	// EndGangIncomplete says that the other members of the gang did not start in time.
	EndGangIncomplete EndKind = "alone"
)

// End is a run that has ended; each incarnation of a worker numbers its ended runs from 1.
type End struct {
	Number     uint64
	Task       graph.TaskID
	Run        int
	Kind       EndKind
	Checkpoint string
}

// Report is a worker's reply to a status poll.
type Report struct {
	// Clock is the worker's clock when it replied.
	Clock     time.Duration
	StartedAt time.Time
	Running   []Run
	// Ended lists the ended runs that are not acknowledged yet, the oldest first.
	Ended []End
	// MoreEnds says that there may be more of them than the report lists.
	MoreEnds bool
}

// Workers sends orders to workers; its methods return the errors *RejectedError, *BusyError, *GoneError, *NotSentError and
// *UnansweredError.
type Workers interface {
	// Start, Stop and Throttle return the worker's clock.
	Start(ctx context.Context, w *Worker, o Start) (time.Duration, error)
	Stop(ctx context.Context, w *Worker, o Stop) (time.Duration, error)
	Throttle(ctx context.Context, w *Worker, o Throttle) (time.Duration, error)
	Poll(ctx context.Context, w *Worker, o Poll) (Report, error)
	// OldestConn returns for how long the oldest connection to a worker has been open; ok is false if there is none.
	OldestConn(w *Worker) (age time.Duration, ok bool)
	// Forget closes the connections to a worker.
	Forget(w *Worker)
}

// RejectReason is the reason for which a worker rejected an order.
type RejectReason string

// The reasons for a rejection.
const (
	// RejectFenced says that another scheduler has used a higher token.
	RejectFenced RejectReason = "fenced"
	// RejectStale says that this run of the task, or one with a higher number, was stopped or has ended on the worker.
	RejectStale RejectReason = "stale-run"
	// RejectLate says that the lease in the order had already expired when it arrived.
	RejectLate RejectReason = "late"
	// RejectCapacity says that the worker lacks free capacity.
	RejectCapacity RejectReason = "no-room"
	// RejectTicket says that the ticket is missing or no longer valid.
	RejectTicket RejectReason = "ticket"
	// RejectInvalid says that the worker could not parse the order.
	RejectInvalid RejectReason = "invalid"
)

// RejectedError says that a worker did not carry out an order.
type RejectedError struct {
	Worker string
	Reason RejectReason
	Clock  time.Duration
}

// Error names the reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("worker %s rejected the order: %s", e.Worker, e.Reason)
}

// BusyError says that a worker is unhealthy and did not process the order.
type BusyError struct {
	Worker string
	Status int
}

// Error names the worker.
func (e *BusyError) Error() string {
	return fmt.Sprintf("worker %s refused with status %d", e.Worker, e.Status)
}

// GoneError says that another worker process answers at the worker's address.
type GoneError struct {
	Worker string
}

// Error names the worker.
func (e *GoneError) Error() string {
	return fmt.Sprintf("worker %s is no longer at its address", e.Worker)
}

// NotSentError says that an order was not sent, for lack of a connection.
type NotSentError struct {
	Worker string
	Err    error
}

// Error names the worker and the cause.
func (e *NotSentError) Error() string { return fmt.Sprintf("worker %s: %v", e.Worker, e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// NoOldConnError says that a start found no connection that had been open for long enough; it is the cause of a *NotSentError.
type NoOldConnError struct {
	// Waited is for how long the start waited for one that was in use.
	Waited time.Duration
}

// Error tells how long the start waited.
func (e *NoOldConnError) Error() string {
	return fmt.Sprintf("no connection has been open for long enough (waited %v)", e.Waited.Round(time.Millisecond))
}

// UnansweredError says that there was no usable reply; the order may have been carried out, or may still be.
type UnansweredError struct {
	Worker string
	Err    error
}

// Error names the worker and the cause.
func (e *UnansweredError) Error() string { return fmt.Sprintf("worker %s: %v", e.Worker, e.Err) }

// Unwrap returns the cause, unless that is the outcome of another attempt, which says nothing about this one.
func (e *UnansweredError) Unwrap() error {
	var rejected *RejectedError
	var busy *BusyError
	var gone *GoneError
	var notSent *NotSentError
	if errors.As(e.Err, &rejected) || errors.As(e.Err, &busy) || errors.As(e.Err, &gone) || errors.As(e.Err, &notSent) {
		return nil
	}
	return e.Err
}

// Permit is the advisor's permission to run a step on a worker.
type Permit struct {
	Worker string
	Ticket string
}

// Advisor decides which workers may run a step.
type Advisor interface {
	// Advise returns the permits and how long they are valid; *AdvisorBusyError means that the request was not processed.
	Advise(ctx context.Context, step graph.StepID, workers []string) ([]Permit, time.Duration, error)
}

// AdvisorBusyError says that the advisor accepts no further request at the moment.
type AdvisorBusyError struct {
	Status int
}

// Error names the status.
func (e *AdvisorBusyError) Error() string {
	return fmt.Sprintf("advisor refused with status %d", e.Status)
}

// HostBusyError says that a host did not send a request to the advisor, since its other calls take too long.
type HostBusyError struct {
	Host string
	// For is after how long another request to the host has a chance; 0 if that is not known.
	For time.Duration
	// Err is the answer of the host, if it is another one.
	Err error
}

// Unwrap returns the host's answer.
func (e *HostBusyError) Unwrap() error { return e.Err }

// Error names the host.
func (e *HostBusyError) Error() string {
	return fmt.Sprintf("host %s is busy with other calls to the advisor for %v", e.Host, e.For.Round(time.Millisecond))
}
