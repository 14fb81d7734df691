package jobs

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderdrift/corianderdrift/reason"
)

// Shards is the fixed number of job shards; each shard has one leader.
const Shards = 32

// State is the state of a job.
type State string

// The states of a job.
const (
	Waiting   State = "waiting"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal reports whether the state is terminal.
func (s State) Terminal() bool { return s == Done || s == Failed || s == Cancelled }

// TaskState is the state of a task of a job.
type TaskState string

// The states of a task of a job.
const (
	TaskWaiting   TaskState = "waiting"
	TaskAssigned  TaskState = "assigned"
	TaskRunning   TaskState = "running"
	TaskDone      TaskState = "done"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
)

// Terminal reports whether the state is terminal.
func (s TaskState) Terminal() bool { return s == TaskDone || s == TaskFailed || s == TaskCancelled }

// Task is one task of a job.
type Task struct {
	State   TaskState `json:"state"`
	Attempt int       `json:"attempt"`
	// Worker is where the attempt runs or may run; it is written to the row before the start request is sent.
	Worker     string   `json:"worker,omitempty"`
	DataCenter string   `json:"data-center,omitempty"`
	Rack       string   `json:"rack,omitempty"`
	FailedOn   []string `json:"failed-on,omitempty"`
	Result     string   `json:"result,omitempty"`
	// Detail is the final state and message that the worker reported for a failed or stopped attempt.
	Detail string `json:"detail,omitempty"`
	// startAnswered says that the worker has answered the attempt's start; the row doesn't hold it.
	startAnswered bool
}

// Job is the row of a job in the table.
type Job struct {
	ID          string        `json:"id"`
	Owner       string        `json:"owner"`
	Work        string        `json:"work"`
	Params      string        `json:"params,omitempty"`
	ContentType string        `json:"content-type,omitempty"`
	Body        []byte        `json:"body,omitempty"`
	BodyObject  string        `json:"body-object,omitempty"`
	Digest      uint64        `json:"digest"`
	State       State         `json:"state"`
	Cancel      bool          `json:"cancel,omitempty"`
	Reason      reason.Reason `json:"reason,omitempty"`
	Detail      string        `json:"detail,omitempty"`
	Created     time.Time     `json:"created"`
	Ended       time.Time     `json:"ended,omitzero"`
	Tasks       []Task        `json:"tasks"`
	// WriteID is unique to each write, so that a write whose response was lost can be recognised.
	WriteID string `json:"writer"`
}

// ShardOf returns the shard of a job.
func ShardOf(id string) int { return int(xxhash.Sum64String(id) % Shards) }

func rowKey(id string) string { return fmt.Sprintf("job/%02d/%s", ShardOf(id), id) }

func finishedKey(id string) string { return "done/" + id }

// bodyKey names a job's body by the job's digest too, so that another submission under the same id doesn't replace the body.
func bodyKey(job Job) string { return fmt.Sprintf("body/%s/%016x", job.ID, job.Digest) }

func shardPrefix(shard int) string { return fmt.Sprintf("job/%02d/", shard) }

// TaskID returns the id under which an attempt of a task is started; it is never used on a second worker.
func TaskID(job string, task, attempt int) string {
	return fmt.Sprintf("%s.%d.%d", job, task, attempt)
}

// Counts returns the number of tasks in each state.
func (j *Job) Counts() map[TaskState]int {
	counts := map[TaskState]int{}
	for _, t := range j.Tasks {
		counts[t.State]++
	}
	return counts
}
