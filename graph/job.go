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

// Limits of a job, so that no job document can exhaust a host.
const (
	MaxSteps = 256
	MaxTasks = 20000
)

// Step is a set of identical tasks.
type Step struct {
	Count int `json:"count"`
	// Size is the resource request of each task.
	Size unit.Size `json:"size"`
	// Estimate is the declared run time of a task, which may be far from the actual one.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the earlier steps that must be complete first.
	After []int `json:"after,omitempty"`
	// Checkpoint says that the tasks write checkpoints and can resume from them.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// Gang says that the tasks can only run all at the same time.
	Gang bool `json:"gang,omitempty"`
	// Colocate says that the tasks run slower when they are spread over several racks.
	Colocate bool `json:"colocate,omitempty"`
	// Copies allows speculative copies of a task to run at the same time.
	Copies bool `json:"copies,omitempty"`
	// Lasting marks a long-running step, whose tasks run until the job is cancelled.
	Lasting bool `json:"lasting,omitempty"`
	// Fills marks a backfill step, whose tasks use the CPU that other tasks leave idle.
	Fills bool `json:"fills,omitempty"`
	// Label is a label that a worker must have to run the tasks.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the tasks' data; on others they run slower.
	DataRack string `json:"data-rack,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int    `json:"max-per-worker,omitempty"`
	Image        string `json:"image,omitempty"`
	// Target is the upper limit of a serving task's tail latency.
	Target time.Duration `json:"target,omitempty"`
	// MayMiss is how many tasks the scheduler may evict at the same time; -1 means no limit.
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
	// Times is the number of occurrences; 0 means one, as soon as possible.
	Times int `json:"times,omitempty"`
	// First is when the first occurrence is due, and Every the interval between occurrences.
	First time.Time     `json:"first,omitzero"`
	Every time.Duration `json:"every,omitempty"`
	// The settings of the queue when the job was accepted.
	Priority  int           `json:"priority"`
	Attempts  int           `json:"attempts"`
	Stretch   float64       `json:"stretch"`
	Objective time.Duration `json:"objective"`
}

// InvalidError says which field of a job is invalid, and why.
type InvalidError struct {
	Field string
	Why   string
}

// Error names the field.
func (e *InvalidError) Error() string { return fmt.Sprintf("job: %s %s", e.Field, e.Why) }

// Check returns the first error in a job's definition.
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

// Occurrences returns how often the steps run, which is at least once.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// Due returns when an occurrence is due; the zero time means immediately.
func (j *Job) Due(occurrence int) time.Time {
	if j.Times == 0 {
		return time.Time{}
	}
	return j.First.Add(time.Duration(occurrence) * j.Every)
}

// Lasts reports whether the job has a long-running step and so runs until it is cancelled.
func (j *Job) Lasts() bool {
	for i := range j.Steps {
		if j.Steps[i].Lasting {
			return true
		}
	}
	return false
}

// Encode returns the stored form of a job.
func (j *Job) Encode() ([]byte, error) { return json.Marshal(j) }

// DecodeJob parses the stored form of a job and validates it.
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

// StepID identifies a step of an occurrence of a job.
type StepID struct {
	Job        string
	Occurrence int
	Step       int
}

// TaskID identifies a task of a step.
type TaskID struct {
	StepID
	Index int
}

// Compare orders steps by job, occurrence and step number.
func (s StepID) Compare(o StepID) int {
	return cmp.Or(cmp.Compare(s.Job, o.Job), cmp.Compare(s.Occurrence, o.Occurrence), cmp.Compare(s.Step, o.Step))
}

// String returns the text form JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return s.Job + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// String returns the text form JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID parses the text form of a TaskID.
func ParseTaskID(text string) (TaskID, error) {
	parts := strings.Split(text, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, &InvalidError{"task", fmt.Sprintf("%q is not a valid task id", text)}
	}
	var n [3]int
	for i, p := range parts[1:] {
		v, err := strconv.Atoi(p)
		if err != nil || v < 0 {
			return TaskID{}, &InvalidError{"task", fmt.Sprintf("%q is not a valid task id", text)}
		}
		n[i] = v
	}
	return TaskID{StepID{parts[0], n[0], n[1]}, n[2]}, nil
}
