package order

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Worker is one life of a worker as the registry tells it.
type Worker struct {
	ID      string
	Address netip.AddrPort
	Service string
	// DataCenter is where the worker stands.
	DataCenter string
	Rack       string
	Kind       string
	Labels     []string
	Machine    string
	Capacity   unit.Size
	// Draining says that the worker is about to leave.
	Draining bool
	// Remaining is the least time that a draining worker has left; 0 if it is not told.
	Remaining time.Duration
	// Born is when this life began, which tells it from another under the same id.
	Born time.Time
}

// Life names one life of a worker.
type Life struct {
	ID   string
	Born int64
}

// Life returns the name of the worker's life.
func (w *Worker) Life() Life { return Life{w.ID, w.Born.UnixMilli()} }

// Start orders a task to be started.
type Start struct {
	Task  graph.TaskID
	Run   int
	Spec  string
	Saved string
	// Ticket is the advisor's permission, if the queue needs one.
	Ticket string
	Token  uint64
	// Until is when the task's lease ends, on the worker's clock.
	Until time.Duration
}

// Stop orders a run to be stopped; one that has not arrived yet is refused later.
type Stop struct {
	Task  graph.TaskID
	Run   int
	Token uint64
}

// Pace orders a run to work at a share of its speed.
type Pace struct {
	Task    graph.TaskID
	Run     int
	Percent int
	Token   uint64
}

// Look renews the lease of all that runs on a worker, acknowledges ends and waits for new ones.
type Look struct {
	Token uint64
	// Until is when the leases end, on the worker's clock; 0 renews nothing.
	Until time.Duration
	// Acked is the number of the last end that is durable here.
	Acked uint64
	Wait  time.Duration
}

// Run is a task that runs on a worker.
type Run struct {
	Task  graph.TaskID
	Run   int
	Saved string
	// Percent is how far a task is allowed to work; 100 at full speed.
	Percent int
	// Gauge is the tail in ms of a serving task, and the processors in use in thousandths of any other.
	Gauge float64
}

// EndKind tells how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	// EndBroken says that another member of the gang ended.
	EndBroken EndKind = "broken"
	// EndAlone says that the other members of the gang did not come in time.
	EndAlone EndKind = "alone"
)

// End is a run that is over; ends of one life of a worker are numbered from 1.
type End struct {
	Number uint64
	Task   graph.TaskID
	Run    int
	Kind   EndKind
	Saved  string
}

// Report is what a worker says of itself when it is looked at.
type Report struct {
	Clock   time.Duration
	Born    time.Time
	Running []Run
	Ended   []End
}

// Workers carries orders to workers; the errors are *RejectedError, *BusyError, *GoneError and *UnansweredError.
type Workers interface {
	// Start, Stop and Pace return the worker's clock.
	Start(ctx context.Context, w *Worker, o Start) (time.Duration, error)
	Stop(ctx context.Context, w *Worker, o Stop) (time.Duration, error)
	Pace(ctx context.Context, w *Worker, o Pace) (time.Duration, error)
	Look(ctx context.Context, w *Worker, o Look) (Report, error)
	// Forget drops the connections to a worker.
	Forget(w *Worker)
}

// Reject is why a worker rejected an order.
type Reject string

// The reasons of a worker.
const (
	// RejectFenced says that another scheduler has used a higher token.
	RejectFenced Reject = "fenced"
	// RejectStale says that the run, or a higher one, was stopped or has ended there.
	RejectStale Reject = "stale-run"
	RejectLate  Reject = "late"
	RejectRoom  Reject = "no-room"
	// RejectTicket says that the ticket is missing or no longer valid.
	RejectTicket Reject = "ticket"
	// RejectInvalid says that the worker can't read the order.
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

// BusyError says that an unhealthy worker did nothing.
type BusyError struct {
	Worker string
	Status int
}

// Error names the worker.
func (e *BusyError) Error() string {
	return fmt.Sprintf("worker %s refused with status %d", e.Worker, e.Status)
}

// GoneError says that another life answers at the worker's address.
type GoneError struct {
	Worker string
}

// Error names the worker.
func (e *GoneError) Error() string {
	return fmt.Sprintf("worker %s is no longer at its address", e.Worker)
}

// UnansweredError says that no answer came, so that the order may have been carried out, or may still be.
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

// Advisor knows which workers may run a step.
type Advisor interface {
	// Advise returns the permits and how long they are valid; *AdvisorBusyError means that nothing was asked.
	Advise(ctx context.Context, step graph.StepID, workers []string) ([]Permit, time.Duration, error)
}

// AdvisorBusyError says that the advisor took no further call.
type AdvisorBusyError struct {
	Status int
}

// Error names the status.
func (e *AdvisorBusyError) Error() string {
	return fmt.Sprintf("advisor refused with status %d", e.Status)
}
