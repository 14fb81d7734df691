package graph

import (
	"encoding/json"
	"fmt"
	"sort"
)

// State is where a job stands.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Over reports whether a state is final.
func (s State) Over() bool { return s == Completed || s == Failed || s == Cancelled }

// TaskMark is what must be remembered of a task beyond whether it is done.
type TaskMark struct {
	Occurrence int `json:"k,omitempty"`
	Step       int `json:"s,omitempty"`
	Index      int `json:"i,omitempty"`
	// Run is the highest run known to have been started.
	Run int `json:"r,omitempty"`
	// Failed lists the runs that failed, so that an end that is told again is not counted again.
	Failed []int  `json:"f,omitempty"`
	Saved  string `json:"c,omitempty"`
}

// DoneMark tells which tasks of a step are done, as ranges of indexes [from, to).
type DoneMark struct {
	Occurrence int      `json:"k,omitempty"`
	Step       int      `json:"s,omitempty"`
	Ranges     [][2]int `json:"d"`
}

// Progress is the durable record of what a job's tasks have come to.
type Progress struct {
	State State      `json:"state"`
	Queue string     `json:"queue"`
	Done  []DoneMark `json:"done,omitempty"`
	Marks []TaskMark `json:"marks,omitempty"`
	// Reason tells why a job failed.
	Reason string `json:"reason,omitempty"`
}

// Encode returns the durable form.
func (p *Progress) Encode() ([]byte, error) { return json.Marshal(p) }

// DecodeProgress reads the durable form.
func DecodeProgress(raw []byte) (*Progress, error) {
	var p Progress
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("progress: %w", err)
	}
	return &p, nil
}

// Ranges turns sorted or unsorted indexes into ranges.
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
