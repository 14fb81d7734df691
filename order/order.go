package order

import (
	"context"
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
	Kind       string
	Labels     []string
	Machine    string
	Capacity   unit.Size
	// Draining is set once the worker is about to shut down.
	Draining bool
	// Remaining is the minimum time until a draining worker shuts down; 0 if unknown.
	Remaining time.Duration
	// Born is when this incarnation started, which distinguishes it from others with the same id.
	Born time.Time
}

// Life identifies one incarnation of a worker.
type Life struct {
	ID   string
	Born int64
}

// Life returns the identity of the worker's incarnation.
func (w *Worker) Life() Life { return Life{w.ID, w.Born.UnixMilli()} }

// Start is an order to start a run of a task.
type Start struct {
	Task graph.TaskID
	// Run is the number of this attempt at the task.
	Run  int
	Spec string
	// Saved is the checkpoint to resume from, if there is one.
	Saved string
	// Ticket is the token of the advisor's permit, if the queue needs one.
	Ticket string
	// Token is the scheduler's fencing token.
	Token uint64
	// Until is when the task's lease ends, on the worker's clock.
	Until time.Duration
}

// Stop is an order to stop a run; if its start has not arrived yet, the worker will reject it.
type Stop struct {
	Task  graph.TaskID
	Run   int
	Token uint64
}

// Pace is an order to throttle a run to a percentage of its CPU limit.
type Pace struct {
	Task    graph.TaskID
	Run     int
	Percent int
	Token   uint64
}

// Look is a status poll of a worker: it renews the leases of all its runs, acknowledges ended runs and waits for new ones.
type Look struct {
	Token uint64
	// Until is when the renewed leases end, on the worker's clock; 0 renews nothing.
	Until time.Duration
	// Acked is the number of the last ended run that the scheduler has stored durably.
	Acked uint64
	// Wait is how long the worker may wait for a run to end before it replies.
	Wait time.Duration
}

// Run is a run that is active on a worker.
type Run struct {
	Task graph.TaskID
	Run  int
	// Saved is the latest checkpoint.
	Saved string
	// Percent is the share of its CPU limit that the run may use; 100 if it is not throttled.
	Percent int
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
	// EndLapsed says that the run's lease expired.
	EndLapsed EndKind = "lapsed"
	// EndBroken says that another member of the gang ended.
	EndBroken EndKind = "broken"
	// EndAlone says that the other members of the gang did not start in time.
	EndAlone EndKind = "alone"
)

// End is a run that has ended; each incarnation of a worker numbers its ended runs from 1.
type End struct {
	Number uint64
	Task   graph.TaskID
	Run    int
	Kind   EndKind
	Saved  string
}

// Report is a worker's reply to a status poll.
type Report struct {
	// Clock is the worker's clock when it replied.
	Clock   time.Duration
	Born    time.Time
	Running []Run
	// Ended lists the ended runs that are not acknowledged yet.
	Ended []End
}

// Workers sends orders to workers; its methods return the errors *RejectedError, *BusyError, *GoneError and *UnansweredError.
type Workers interface {
	// Start, Stop and Pace return the worker's clock.
	Start(ctx context.Context, w *Worker, o Start) (time.Duration, error)
	Stop(ctx context.Context, w *Worker, o Stop) (time.Duration, error)
	Pace(ctx context.Context, w *Worker, o Pace) (time.Duration, error)
	Look(ctx context.Context, w *Worker, o Look) (Report, error)
	// Forget closes the connections to a worker.
	Forget(w *Worker)
}

// Reject is the reason for which a worker rejected an order.
type Reject string

// The reasons for a rejection.
const (
	// RejectFenced says that another scheduler has used a higher token.
	RejectFenced Reject = "fenced"
	// RejectStale says that this run of the task, or one with a higher number, was stopped or has ended on the worker.
	RejectStale Reject = "stale-run"
	// RejectLate says that the lease in the order had already expired when it arrived.
	RejectLate Reject = "late"
	// RejectRoom says that the worker lacks free capacity.
	RejectRoom Reject = "no-room"
	// RejectTicket says that the ticket is missing or no longer valid.
	RejectTicket Reject = "ticket"
	// RejectInvalid says that the worker could not parse the order.
	RejectInvalid Reject = "invalid"
)

// RejectedError says that a worker did not carry out an order.
type RejectedError struct {
	Worker string
	Why    Reject
	Clock  time.Duration
}

// Error names the reason.
func (e *RejectedError) Error() string {
	return fmt.Sprintf("worker %s rejected the order: %s", e.Worker, e.Why)
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

// UnansweredError says that there was no usable reply; the order may have been carried out, or may still be.
type UnansweredError struct {
	Worker string
	Err    error
}

// Error names the worker and the cause.
func (e *UnansweredError) Error() string { return fmt.Sprintf("worker %s: %v", e.Worker, e.Err) }

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Err }

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
