package entry

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/corianderdrift/corianderdrift/unit"
)

// Class is the kind of work that an entry stands for.
type Class string

// The classes of work.
const (
	Request Class = "request"
	Service Class = "service"
	Batch   Class = "batch"
	Gang    Class = "gang"
)

// Kind tells documents of owners from documents of work.
type Kind string

// The kinds of documents.
const (
	KindOwner  Kind = "owner"
	KindWork   Kind = "work"
	KindWorker Kind = "worker"
)

// Duration is a time.Duration that is written like "1.5s".
type Duration time.Duration

// MarshalJSON writes the duration as text.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(time.Duration(d).String()) }

// UnmarshalJSON reads the duration from text.
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

// D returns the duration in the standard library's type.
func (d Duration) D() time.Duration { return time.Duration(d) }

// Owner is the document of a team.
type Owner struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
	// Weight is the owner's share against other owners' when work waits.
	Weight int64 `json:"weight,omitempty"`
	// MaxQueued is how many pieces of work may wait at one entry host.
	MaxQueued int `json:"max-queued,omitempty"`
	// TokenSHA256 is the hash, in hexadecimal, of the token that the owner's callers show.
	TokenSHA256 string `json:"token-sha256,omitempty"`
	// Quota is the most that may run at once in all data centres together; 0 is no limit.
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
	// Repeatable says that running the work twice does no harm.
	Repeatable bool `json:"repeatable,omitempty"`
	// Urgent work goes before the owner's other work and may have long work checkpointed for it.
	Urgent bool `json:"urgent,omitempty"`
	// Size is what one task takes; slots and connections default to 1.
	Size unit.Size `json:"size"`
	// RunTime is the declared run time of one task.
	RunTime Duration `json:"run-time,omitempty"`
	// Timeout is the deadline of a request that names none.
	Timeout Duration `json:"timeout,omitempty"`
	// MaxBodyBytes limits a request's body.
	MaxBodyBytes int64 `json:"max-body-bytes,omitempty"`
	// Attempts is how often a task of a job is tried.
	Attempts int `json:"attempts,omitempty"`
	// Tasks is how many tasks a job has that names no number.
	Tasks int `json:"tasks,omitempty"`
	// Checkpointable says that a task may be taken off its worker for a while.
	Checkpointable bool `json:"checkpointable,omitempty"`
}

// Mark is the document by which operators drain a worker.
type Mark struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name"`
	Drain bool   `json:"drain,omitempty"`
	Why   string `json:"why,omitempty"`
}

// Limits of the fields of documents.
const (
	MaxNameLength    = 63
	MaxTasks         = 1000
	MaxAttempts      = 20
	MaxWeight        = 1000
	MaxBody          = 8 << 20
	DefaultTimeout   = 10 * time.Second
	MaxTimeout       = 24 * time.Hour
	DefaultAttempts  = 3
	DefaultMaxQueued = 10000
)

// FieldError says what is wrong with one field of a document.
type FieldError struct {
	Document string
	Field    string
	Problem  string
}

// Error names document and field.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Document, e.Field, e.Problem)
}

// Key returns the document's key in the catalogue.
func Key(kind Kind, name string) string { return string(kind) + "/" + name }
