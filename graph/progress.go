package graph

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
)

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal reports whether a state is terminal.
func (s State) Terminal() bool { return s == Completed || s == Failed || s == Cancelled }

// TaskRecord is the stored record of a task's runs.
type TaskRecord struct {
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"s,omitempty"`
	Index      int `json:"i,omitempty"`
	// LastRun is the highest number of a run known to have been started.
	LastRun int `json:"r,omitempty"`
	// FailedRuns lists the runs that failed, so that an end that is reported again is not counted twice.
	FailedRuns []int `json:"f,omitempty"`
	// Checkpoint is the latest checkpoint.
	Checkpoint string `json:"c,omitempty"`
	// Worker is, for a lasting task, the only worker on which a run may be, unless Anywhere says that this is not known.
	Worker   string `json:"w,omitempty"`
	Anywhere bool   `json:"a,omitempty"`
}

// DoneTasks lists the completed tasks of a step as half-open ranges of indexes [from, to).
type DoneTasks struct {
	Occurrence int      `json:"k,omitempty"`
	Step       int      `json:"s,omitempty"`
	Ranges     [][2]int `json:"d"`
}

// Done is the completed part of a job.
type Done struct {
	// Occurrences holds the occurrences that are completed as a whole.
	Occurrences RangeSet
	// Tasks lists the completed tasks of the others.
	Tasks []DoneTasks
	// Segments is the number of rows that hold the whole progress, if this is only the head of one that is too large for a row.
	Segments int
}

// doneObject is the stored form of a Done with completed occurrences or segments. One without them is stored as the list of its tasks, as earlier
// versions do. These know neither and would run tasks again; they reject the object, and so don't run the job.
type doneObject struct {
	Occurrences RangeSet    `json:"occurrences,omitempty"`
	Tasks       []DoneTasks `json:"tasks,omitempty"`
	Segments    int         `json:"segments,omitempty"`
}

// IsZero reports whether nothing is completed.
func (d Done) IsZero() bool { return len(d.Occurrences)+len(d.Tasks)+d.Segments == 0 }

// MarshalJSON returns the stored form.
func (d Done) MarshalJSON() ([]byte, error) {
	if len(d.Occurrences)+d.Segments == 0 {
		return json.Marshal(d.Tasks)
	}
	return json.Marshal(doneObject(d))
}

// UnmarshalJSON parses the stored form.
func (d *Done) UnmarshalJSON(raw []byte) error {
	if bytes.HasPrefix(bytes.TrimSpace(raw), []byte("[")) {
		return json.Unmarshal(raw, &d.Tasks)
	}
	var o doneObject
	if err := json.Unmarshal(raw, &o); err != nil {
		return err
	}
	if !o.Occurrences.valid() {
		return &InvalidError{"done.occurrences", "must be ascending ranges"}
	}
	*d = Done(o)
	return nil
}

// Progress is the stored progress of a job and its tasks.
type Progress struct {
	State State  `json:"state"`
	Queue string `json:"queue"`
	// Team is that of the job.
	Team  string       `json:"team,omitempty"`
	Done  Done         `json:"done,omitzero"`
	Tasks []TaskRecord `json:"marks,omitempty"`
	// Reason is why the job failed.
	Reason string `json:"reason,omitempty"`
	// Token is the fencing token of the scheduler that has written this; 0 if that does not record the workers of lasting tasks.
	Token uint64 `json:"token,omitempty"`
}

// Encode returns the stored form.
func (p *Progress) Encode() ([]byte, error) { return json.Marshal(p) }

// DecodeProgress parses the stored form.
func DecodeProgress(raw []byte) (*Progress, error) {
	var p Progress
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("progress: %w", err)
	}
	return &p, nil
}

// Ranges sorts indexes in place and returns them as half-open ranges [from, to).
func Ranges(indexes []int) [][2]int {
	sort.Ints(indexes)
	var out [][2]int
	for _, i := range indexes {
		if n := len(out); n > 0 && out[n-1][1] == i {
			out[n-1][1] = i + 1
			continue
		}
		out = append(out, [2]int{i, i + 1})
	}
	return out
}
