package worker

import (
	"fmt"

	"github.com/corianderdrift/corianderdrift/unit"
)

// LeaseRequest requests or renews a lease, the right to start tasks on a worker.
type LeaseRequest struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// TTLMillis is how long the holder may start tasks after the worker's answer.
	TTLMillis int64 `json:"ttl-ms"`
	// TaskTTLMillis is how long running tasks continue without another renewal.
	TaskTTLMillis int64 `json:"task-ttl-ms"`
	// Acked is the highest sequence of an End that the holder has processed.
	Acked uint64 `json:"acked"`
}

// LeaseReply grants a lease, or names the current holder.
type LeaseReply struct {
	Granted         bool    `json:"granted"`
	Holder          string  `json:"holder"`
	Epoch           uint64  `json:"epoch"`
	RemainingMillis int64   `json:"remaining-ms"`
	Leaving         bool    `json:"leaving,omitempty"`
	Ended           []End   `json:"ended,omitempty"`
	Usage           []Usage `json:"usage,omitempty"`
}

// End reports that a task has ended.
type End struct {
	Sequence uint64    `json:"sequence"`
	Task     string    `json:"task"`
	State    TaskState `json:"state"`
}

// Usage is a delayed measurement of a task that uses more than its declared size.
type Usage struct {
	Task      string `json:"task"`
	CPUMilli  int64  `json:"cpu-milli"`
	MemoryMiB int64  `json:"memory-mib"`
}

// TaskState is the state of a task on its worker.
type TaskState string

// The states of a task on a worker.
const (
	Running      TaskState = "running"
	Checkpointed TaskState = "checkpointed"
	Finished     TaskState = "finished"
	TaskFailed   TaskState = "failed"
	Stopped      TaskState = "stopped"
	NeverStarted TaskState = "never-started"
	Absent       TaskState = "absent"
)

// Terminal reports whether the state is terminal: the task holds no resources and never will again.
func (s TaskState) Terminal() bool {
	return s == Finished || s == TaskFailed || s == Stopped || s == NeverStarted
}

// Spec describes a task in the request that starts it.
type Spec struct {
	Entry  string    `json:"entry"`
	Owner  string    `json:"owner"`
	Size   unit.Size `json:"size"`
	Holder string    `json:"holder"`
	Epoch  uint64    `json:"epoch"`
	// Params are the caller's parameters, which only the worker interprets.
	Params string `json:"params,omitempty"`
	// Service marks a task that runs until it is stopped.
	Service bool `json:"service,omitempty"`
}

// Task is one task as its worker lists it.
type Task struct {
	ID        string    `json:"id"`
	State     TaskState `json:"state"`
	Entry     string    `json:"entry"`
	Owner     string    `json:"owner"`
	Size      unit.Size `json:"size"`
	AgeMillis int64     `json:"age-ms"`
	Service   bool      `json:"service,omitempty"`
}

// State is a worker's report to a new lease holder.
type State struct {
	Name       string    `json:"name"`
	DataCenter string    `json:"data-center"`
	Rack       string    `json:"rack"`
	Capacity   unit.Size `json:"capacity"`
	Epoch      uint64    `json:"epoch"`
	Holder     string    `json:"holder"`
	Leaving    bool      `json:"leaving,omitempty"`
	// EndSequence is the sequence of the worker's last End.
	EndSequence uint64 `json:"end-sequence"`
	Tasks       []Task `json:"tasks"`
}

// Answer is the whole result of a task.
type Answer struct {
	State       TaskState
	ContentType string
	Body        []byte
}

// Headers of the worker API.
const (
	HeaderSpec  = "Task-Spec"
	HeaderState = "Task-State"
)

// Fault is the code, in kebab case, that says why a worker refused a call.
type Fault string

// The faults that a worker reports.
const (
	FaultStaleEpoch Fault = "stale-epoch"
	FaultNoRoom     Fault = "no-room"
	FaultLeaving    Fault = "leaving"
	FaultStopped    Fault = "stopped"
	FaultAbsent     Fault = "absent"
	FaultBadRequest Fault = "bad-request"
)

// Problem is the body of the response with which a worker refuses a call.
type Problem struct {
	Fault  Fault  `json:"fault"`
	Detail string `json:"detail,omitempty"`
}

// RefusedError means that the worker refused a call and the call had no effect.
type RefusedError struct {
	Worker string
	Fault  Fault
	Detail string
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s: %s: %s", e.Worker, e.Fault, e.Detail)
}

// UnreachableError means that no connection was made and so nothing was sent.
type UnreachableError struct {
	Worker string
	Err    error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("worker %s can't be reached: %v", e.Worker, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// NotConnectedError means that there was no connection for a call that must not open one, and so nothing was sent.
type NotConnectedError struct {
	Worker string
}

// Error implements error.
func (e *NotConnectedError) Error() string {
	return fmt.Sprintf("there is no connection to worker %s", e.Worker)
}

// UnansweredError means that a call was sent and no whole answer was received; the call may have taken effect.
type UnansweredError struct {
	Worker string
	Err    error
}

// Error implements error.
func (e *UnansweredError) Error() string {
	return fmt.Sprintf("worker %s: answer lost: %v", e.Worker, e.Err)
}

// Unwrap returns the cause.
func (e *UnansweredError) Unwrap() error { return e.Err }
