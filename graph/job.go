package graph

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/corianderdrift/corianderdrift/unit"
)

// Limits of a job, so that no document can exhaust a host.
const (
	MaxSteps = 256
	MaxTasks = 20000
)

// Step is a set of equal tasks.
type Step struct {
	Count int       `json:"count"`
	Size  unit.Size `json:"size"`
	// Estimate is the declared run time of a task, which may be far off.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists earlier steps whose tasks must all be done first.
	After      []int `json:"after,omitempty"`
	Checkpoint bool  `json:"checkpoint,omitempty"`
	// Gang says that the tasks work only all together.
	Gang bool `json:"gang,omitempty"`
	// Colocate says that the tasks are slow when spread over racks.
	Colocate bool `json:"colocate,omitempty"`
	// Copies says that copies of a task may run side by side.
	Copies bool `json:"copies,omitempty"`
	// Lasting says that the tasks run until the job is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Fills says that the tasks take the processors that others leave unused.
	Fills bool `json:"fills,omitempty"`
	// Label is a label that the worker must have.
	Label string `json:"label,omitempty"`
	// DataRack is the rack on which the tasks are not slowed.
	DataRack string `json:"data-rack,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 has no bound.
	MaxPerWorker int    `json:"max-per-worker,omitempty"`
	Image        string `json:"image,omitempty"`
	// Target is the bound on the tail of a serving task's response times.
	Target time.Duration `json:"target,omitempty"`
	// MayMiss is how many tasks may be away at a time through the scheduler's doing; -1 has no bound.
	MayMiss int `json:"may-miss"`
}

// Job is an accepted job.
type Job struct {
	ID       string    `json:"id"`
	Queue    string    `json:"queue"`
	Service  string    `json:"service"`
	Spec     string    `json:"spec"`
	Steps    []Step    `json:"steps"`
	Accepted time.Time `json:"accepted"`
	// Times is how often the steps run; 0 means once, as soon as possible.
	Times int           `json:"times,omitempty"`
	First time.Time     `json:"first,omitzero"`
	Every time.Duration `json:"every,omitempty"`
	// The queue's figures at acceptance.
	Priority  int           `json:"priority"`
	Attempts  int           `json:"attempts"`
	Stretch   float64       `json:"stretch"`
	Objective time.Duration `json:"objective"`
}

// InvalidError says what is wrong with a job.
type InvalidError struct {
	Field string
	Why   string
}

// Error names the field.
func (e *InvalidError) Error() string { return fmt.Sprintf("job: %s %s", e.Field, e.Why) }

// Check reports the first mistake of a job's steps.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &InvalidError{"steps", fmt.Sprintf("must number 1 to %d", MaxSteps)}
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		tasks += s.Count
		switch {
		case s.Count < 1 || tasks > MaxTasks:
			return &InvalidError{fmt.Sprintf("steps[%d].count", i), fmt.Sprintf("must be at least 1 and %d in all", MaxTasks)}
		case s.Size.CPUMilli < 0 || s.Size.MemoryMiB < 0 || s.Size.Accelerators < 0:
			return &InvalidError{fmt.Sprintf("steps[%d].size", i), "must not be negative"}
		}
		for _, dep := range s.After {
			if dep < 0 || dep >= i {
				return &InvalidError{fmt.Sprintf("steps[%d].after", i), "must name earlier steps"}
			}
		}
	}
	if j.Times < 0 || (j.Times > 0 && j.Every < 0) {
		return &InvalidError{"times", "must not be negative"}
	}
	return nil
}

// Occurrences returns how often the steps run.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// Due returns when an occurrence may start; the zero time means at once.
func (j *Job) Due(occurrence int) time.Time {
	if j.Times == 0 {
		return time.Time{}
	}
	return j.First.Add(time.Duration(occurrence) * j.Every)
}

// Lasts reports whether the job runs until it is cancelled.
func (j *Job) Lasts() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Encode returns the durable form of a job.
func (j *Job) Encode() ([]byte, error) { return json.Marshal(j) }

// DecodeJob reads the durable form of a job.
func DecodeJob(raw []byte) (*Job, error) {
	var j Job
	if err := json.Unmarshal(raw, &j); err != nil {
		return nil, fmt.Errorf("job: %w", err)
	}
	if err := j.Check(); err != nil {
		return nil, err
	}
	return &j, nil
}

// StepID names a step of an occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// TaskID names a task of a step.
type TaskID struct {
	StepID
	Index int
}

// Compare orders steps by job, occurrence and number.
func (s StepID) Compare(o StepID) int {
	return cmp.Or(cmp.Compare(s.Job, o.Job), cmp.Compare(s.Occurrence, o.Occurrence), cmp.Compare(s.Step, o.Step))
}

// String returns the text form JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// String returns the text form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID reads the text form of a task's name.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, &InvalidError{"task", fmt.Sprintf("%q is no task's name", text)}
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, &InvalidError{"task", fmt.Sprintf("%q is no task's name", text)}
		}
		n[i] = v
	}
	return TaskID{StepID{parts[0], n[0], n[1]}, n[2]}, nil
}
