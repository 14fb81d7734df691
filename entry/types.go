package entry

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/corianderdrift/corianderdrift/unit"
)

// Class says how the tasks of a work document are run.
type Class string

// The classes of work.
const (
	Request Class = "request"
	Service Class = "service"
	Batch   Class = "batch"
	Gang    Class = "gang"
)

// Kind is the kind of a catalogue document.
type Kind string

// The kinds of documents.
const (
	KindOwner  Kind = "owner"
	KindWork   Kind = "work"
	KindWorker Kind = "worker"
)

// Duration is a time.Duration that is encoded as a string like "1.5s".
type Duration time.Duration

// MarshalJSON encodes the duration as a string.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON decodes the duration from a string.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return fmt.Errorf("a duration is text like \"1.5s\", not %s", data)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return fmt.Errorf("%q is no duration like \"1.5s\"", text)
	}
	*d = Duration(parsed)
	return nil
}

// D returns the duration as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Owner is the document of a team that owns work.
type Owner struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Weight is the owner's fair-share weight while work of several owners waits.
	Weight int64 `json:"weight,omitempty"`
	// MaxQueued is how many requests and tasks may wait at one entry host.
	MaxQueued int `json:"max-queued,omitempty"`
	// TokenSHA256 is the SHA-256 hash, in hexadecimal, of the token that the owner's callers send.
	TokenSHA256 string `json:"token-sha256,omitempty"`
	// Quota limits what may run at once in all data centres together; 0 is no limit.
	Quota Quota `json:"quota,omitzero"`
}

// Quota limits what an owner may run at once.
type Quota struct {
	CPUMilli     int64 `json:"cpu-milli,omitempty"`
	Accelerators int64 `json:"accelerators,omitempty"`
}

// Work is the document of a kind of work.
type Work struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name"`
	Owner string `json:"owner"`
	Class Class  `json:"class"`
	// Repeatable says that the work is idempotent: it may run more than once.
	Repeatable bool `json:"repeatable,omitempty"`
	// Urgent work goes before the owner's other work and may preempt long work, which is checkpointed.
	Urgent bool `json:"urgent,omitempty"`
	// Size is the resources that one task needs; slots default to 1, and for requests connections too.
	Size unit.Size `json:"size"`
	// RunTime is the declared run time of one task.
	RunTime Duration `json:"run-time,omitempty"`
	// Timeout is the timeout of requests that specify none.
	Timeout Duration `json:"timeout,omitempty"`
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes int64 `json:"max-body-bytes,omitempty"`
	// Attempts is how many times a task of a job is attempted at most.
	Attempts int `json:"attempts,omitempty"`
	// Tasks is the number of tasks of jobs that specify none.
	Tasks int `json:"tasks,omitempty"`
	// Checkpointable says that a task can be checkpointed, taken off its worker and resumed later.
	Checkpointable bool `json:"checkpointable,omitempty"`
}

// Worker is the document by which operators drain a worker.
type Worker struct {
	Kind   Kind   `json:"kind"`
	Name   string `json:"name"`
	Drain  bool   `json:"drain,omitempty"`
	Reason string `json:"why,omitempty"`
}

// Limits and defaults of the fields of documents.
const (
	MaxNameLength    = 63
	MaxTasks         = 1000
	MaxAttempts      = 20
	MaxWeight        = 1000
	MaxBodyBytes     = 8 << 20
	DefaultTimeout   = 10 * time.Second
	MaxTimeout       = 24 * time.Hour
	DefaultAttempts  = 3
	DefaultMaxQueued = 10000
)

// FieldError reports an invalid field of a document.
type FieldError struct {
	Document string
	Field    string
	Problem  string
}

// Error returns the document, the field and the problem.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Document, e.Field, e.Problem)
}

// Key returns the key in the catalogue of the document with a kind and name.
func Key(kind Kind, name string) string { return string(kind) + "/" + name }
