package graph

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/corianderdrift/corianderdrift/queues"
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
	// Gang says that all tasks must run at the same time.
	Gang bool `json:"gang,omitempty"`
	// Colocate says that the tasks run slower when they are spread over several racks.
	Colocate bool `json:"colocate,omitempty"`
	// Speculative allows speculative copies of a task to run at the same time.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning marks a long-running step, whose tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Backfill marks a backfill step, whose tasks use the CPU that other tasks leave idle.
	Backfill bool `json:"fills,omitempty"`
	// Label is a label that a worker must have to run the tasks.
	Label string `json:"label,omitempty"`
	// DataRack is the rack that holds the tasks' data; on others they run slower.
	DataRack string `json:"data-rack,omitempty"`
	// MaxPerWorker limits the tasks of the step on one worker; 0 means no limit.
	MaxPerWorker int    `json:"max-per-worker,omitempty"`
	Image        string `json:"image,omitempty"`
	// LatencyTarget is the upper limit of a serving task's tail latency.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// MaxUnavailable is how many tasks of a serving step may be unavailable at the same time after an eviction; -1 means no limit.
	// Evictions from draining workers are exempt.
	MaxUnavailable int `json:"may-miss"`
}

// Job is an accepted job.
type Job struct {
	ID         string    `json:"id"`
	Queue      string    `json:"queue"`
	Service    string    `json:"service"`
	Spec       string    `json:"spec"`
	Steps      []Step    `json:"steps"`
	AcceptedAt time.Time `json:"accepted"`
	// Repetitions is the number of occurrences; 0 means one, as soon as possible.
	Repetitions int `json:"times,omitempty"`
	// FirstAt is when the first occurrence is due, and Interval the time between occurrences.
	FirstAt  time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"every,omitempty"`
	// The settings of the queue when the job was accepted.
	Priority    int           `json:"priority"`
	MaxAttempts int           `json:"attempts"`
	Stretch     float64       `json:"stretch"`
	Objective   time.Duration `json:"objective"`
	// Team is the team whose key the job was submitted with; empty if there was none, as may be on a public queue or where no keys are needed.
	Team string `json:"team,omitempty"`
	// Advice is kept for jobs whose queue is removed from the configuration: their tasks still need tickets.
	Advice *queues.Advice `json:"advice,omitempty"`
}

// InvalidError says which field of a job is invalid, and why.
type InvalidError struct {
	Field  string
	Reason string
}

// Error names the field.
func (e *InvalidError) Error() string { return fmt.Sprintf("job: %s %s", e.Field, e.Reason) }

// Validate returns the first error in a job's definition.
func (j *Job) Validate() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return &InvalidError{"steps", fmt.Sprintf("must number 1 to %d", MaxSteps)}
	}
	tasks := 0
	for i := range j.Steps {
		s := &j.Steps[i]
		switch {
		// Compared before they are added: the sum may exceed the largest integer.
		case s.Count < 1 || s.Count > MaxTasks-tasks:
			return &InvalidError{fmt.Sprintf("steps[%d].count", i), fmt.Sprintf("must be at least 1 and %d in all", MaxTasks)}
		case s.Size.CPUMilli < 0 || s.Size.MemoryMiB < 0 || s.Size.Accelerators < 0:
			return &InvalidError{fmt.Sprintf("steps[%d].size", i), "must not be negative"}
		}
		tasks += s.Count
		for _, dep := range s.After {
			if dep < 0 || dep >= i {
				return &InvalidError{fmt.Sprintf("steps[%d].after", i), "must name earlier steps"}
			}
		}
	}
	if j.Repetitions < 0 || (j.Repetitions > 0 && j.Interval < 0) {
		return &InvalidError{"times", "must not be negative"}
	}
	return nil
}

// Occurrences returns how often the steps run, which is at least once.
func (j *Job) Occurrences() int { return max(1, j.Repetitions) }

// Due returns when an occurrence is due, at the latest math.MaxInt64 ns after the first one; the zero time means immediately.
func (j *Job) Due(occurrence int) time.Time {
	if j.Repetitions == 0 {
		return time.Time{}
	}
	after := time.Duration(math.MaxInt64)
	if j.Interval == 0 || time.Duration(occurrence) <= after/j.Interval {
		after = time.Duration(occurrence) * j.Interval
	}
	return j.FirstAt.Add(after)
}

// NumTasks returns the number of tasks of one occurrence.
func (j *Job) NumTasks() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// MemoryBytes returns about how much memory the scheduler takes for the job until it has ended, without that of its running tasks.
func (j *Job) MemoryBytes() int64 {
	const jobBytes, stepBytes, dependencyBytes, taskBytes = 2 << 10, 1 << 10, 16, 16
	texts := len(j.ID) + len(j.Queue) + len(j.Service) + len(j.Spec) + len(j.Team)
	n := jobBytes + j.NumTasks()*taskBytes
	for i := range j.Steps {
		s := &j.Steps[i]
		texts += len(s.Label) + len(s.DataRack) + len(s.Image)
		n += stepBytes + len(s.After)*dependencyBytes
	}
	// The allocator rounds texts up by a quarter at most.
	return int64(n + texts + texts/4)
}

// LongRunningTasks returns the number of tasks that run until the job is cancelled, those of all occurrences included.
func (j *Job) LongRunningTasks() int64 {
	n := int64(0)
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			n += int64(j.Steps[i].Count)
		}
	}
	// The product may exceed the largest integer.
	return n * min(int64(j.Occurrences()), math.MaxInt64/max(1, n))
}

// LargestGang returns the number of tasks of the largest gang; 0 if the job has none.
func (j *Job) LargestGang() int {
	largest := 0
	for i := range j.Steps {
		if j.Steps[i].Gang {
			largest = max(largest, j.Steps[i].Count)
		}
	}
	return largest
}

// LongRunning reports whether the job has a long-running step and so runs until it is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
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
	if err := j.Validate(); err != nil {
		return nil, err
	}
	return &j, nil
}

// Owner is the queue in which a job was accepted and the service that runs it.
type Owner struct {
	Queue   string `json:"queue"`
	Service string `json:"service"`
}

// Reference says to whom a job belongs. In the table of another service it stands in place of the job.
type Reference struct {
	Owner
	// Team is that of the job; references that earlier versions stored have none.
	Team string `json:"team,omitempty"`
}

// Encode returns the stored form of a reference.
func (r Reference) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeReference returns the reference to a job from the stored form of either.
func DecodeReference(raw []byte) (Reference, error) {
	var r Reference
	if err := json.Unmarshal(raw, &r); err != nil {
		return Reference{}, fmt.Errorf("owner of a job: %w", err)
	}
	return r, nil
}

// Owner returns the job's queue and service.
func (j *Job) Owner() Owner { return Owner{j.Queue, j.Service} }

// Reference returns the reference to the job.
func (j *Job) Reference() Reference { return Reference{j.Owner(), j.Team} }

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

// Compare orders tasks by step and index.
func (t TaskID) Compare(o TaskID) int {
	return cmp.Or(t.StepID.Compare(o.StepID), cmp.Compare(t.Index, o.Index))
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
