package worker

import (
	"fmt"

	"github.com/corianderdrift/corianderdrift/unit"
)

// LeaseRequest asks for or renews the right to start tasks on a worker.
type LeaseRequest struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
	// TTLMillis is how long the holder may start tasks after the worker has answered.
	TTLMillis int64 `json:"ttl-ms"`
	// TaskTTLMillis is how long running tasks live on without another renewal.
	TaskTTLMillis int64 `json:"task-ttl-ms"`
	// Acked is the highest end sequence that the holder has taken note of.
	Acked uint64 `json:"acked"`
}

// LeaseReply grants a lease, or tells who has it.
type LeaseReply struct {
	Granted         bool    `json:"granted"`
	Holder          string  `json:"holder"`
	Epoch           uint64  `json:"epoch"`
	RemainingMillis int64   `json:"remaining-ms"`
	Leaving         bool    `json:"leaving,omitempty"`
	Ended           []End   `json:"ended,omitempty"`
	Usage           []Usage `json:"usage,omitempty"`
}

// End tells that a task is over.
type End struct {
	Sequence uint64    `json:"sequence"`
	Task     string    `json:"task"`
	State    TaskState `json:"state"`
}

// Usage is a lagging measurement of a task that takes more than its declared size.
type Usage struct {
	Task      string `json:"task"`
	CPUMilli  int64  `json:"cpu-milli"`
	MemoryMiB int64  `json:"memory-mib"`
}

// TaskState is where a task stands on its worker.
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

// Over reports whether a task in this state holds nothing and never will again.
func (s TaskState) Over() bool {
	return s == Finished || s == TaskFailed || s == Stopped || s == NeverStarted
}

// Spec is what a start tells the worker about a task.
type Spec struct {
	Entry  string    `json:"entry"`
	Owner  string    `json:"owner"`
	Size   unit.Size `json:"size"`
	Holder string    `json:"holder"`
	Epoch  uint64    `json:"epoch"`
	// Params are the caller's parameters, which the worker alone reads.
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

// State is what a worker tells a new holder.
type State struct {
	Name       string    `json:"name"`
	DataCenter string    `json:"data-center"`
	Rack       string    `json:"rack"`
	Capacity   unit.Size `json:"capacity"`
	Epoch      uint64    `json:"epoch"`
	Holder     string    `json:"holder"`
	Leaving    bool      `json:"leaving,omitempty"`
	// EndSequence is the sequence of the last end that the worker knows.
	EndSequence uint64 `json:"end-sequence"`
	Tasks       []Task `json:"tasks"`
}

// Answer is the whole result of a task.
type Answer struct {
	State       TaskState
	ContentType string
	Body        []byte
}

// Headers and media types of the worker's interface.
const (
	HeaderSpec  = "Task-Spec"
	HeaderState = "Task-State"
)

// Fault is the kebab-case word with which a worker refuses a call.
type Fault string

// The faults that a worker names.
const (
	FaultStaleEpoch Fault = "stale-epoch"
	FaultNoRoom     Fault = "no-room"
	FaultLeaving    Fault = "leaving"
	FaultStopped    Fault = "stopped"
	FaultAbsent     Fault = "absent"
	FaultBad        Fault = "bad-request"
)

// Problem is the body of a worker's refusal.
type Problem struct {
	Fault  Fault  `json:"fault"`
	Detail string `json:"detail,omitempty"`
}

// RefusedError says that the worker refused a call and that it had no effect.
type RefusedError struct {
	Worker string
	Fault  Fault
	Detail string
}

// Error names worker and fault.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("worker %s: %s: %s", e.Worker, e.Fault, e.Detail)
}

// UnreachableError says that no connection was made and so nothing was sent.
type UnreachableError struct {
	Worker string
	Err    error
}

// Error names the worker.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("worker %s can't be reached: %v", e.Worker, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// LostError says that a call was sent and no whole answer came; it may have taken effect.
type LostError struct {
	Worker string
	Err    error
}

// Error names the worker.
func (e *LostError) Error() string { return fmt.Sprintf("worker %s: answer lost: %v", e.Worker, e.Err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }
