package emul

import (
	"fmt"
	"strings"
	"time"
)

// Credit of late jobs.
const (
	// maxLateFactor is up to how many times its target a job may take to count as late rather than as lost.
	maxLateFactor = 3
	// lateShare is the share of its worth that a late job earns.
	lateShare = 0.2
)

// ClassResult is what was served of a class.
type ClassResult struct {
	Queue  string
	Jobs   int
	InTime int
	Late   int
	// Owed is the worth of the jobs, and Earned what they have earned; LargestOwed and LargestEarned are the part of the tenth of the jobs
	// with most work.
	Owed          float64
	Earned        float64
	LargestOwed   float64
	LargestEarned float64
}

// TeamResult is what was served of a team.
type TeamResult struct {
	Name   string
	Owed   float64
	Earned float64
}

// WindowLength is the length of the windows in which worth is added up.
const WindowLength = 2 * time.Second

// Window is the worth of the jobs that were submitted in a window.
type Window struct {
	Owed, Earned float64
}

// Result is what a play served.
type Result struct {
	Classes []ClassResult
	Teams   []TeamResult
	// Bound is the most that the workers' CPU could have earned: the jobs of most worth a core-second first.
	Bound float64
	// Utilization is the share of the workers' CPU that ran tasks while jobs arrived.
	Utilization float64
	// Windows holds the worth of the jobs by when they were submitted, in windows of WindowLength.
	Windows     []Window
	Plans       int
	Polls       int
	Starts      int
	AdviceCalls int
	Overcommits int

	usedSeconds float64
}

// Earned returns the worth earned by all classes.
func (r *Result) Earned() float64 {
	sum := 0.0
	for i := range r.Classes {
		sum += r.Classes[i].Earned
	}
	return sum
}

// Owed returns the worth of all jobs.
func (r *Result) Owed() float64 {
	sum := 0.0
	for i := range r.Classes {
		sum += r.Classes[i].Owed
	}
	return sum
}

// String returns a table of the classes and a summary.
func (r *Result) String() string {
	var b strings.Builder
	for i := range r.Classes {
		c := &r.Classes[i]
		fmt.Fprintf(&b, "%-8s %5d jobs, %5d in time, %5d late, earned %.3f of what is owed, the largest tenth %.3f\n",
			c.Queue, c.Jobs, c.InTime, c.Late, c.Earned/c.Owed, c.LargestEarned/max(1e-9, c.LargestOwed))
	}
	for _, t := range r.Teams {
		fmt.Fprintf(&b, "team %s earned %.3f of what is owed\n", t.Name, t.Earned/t.Owed)
	}
	fmt.Fprintf(&b, "earned %.3f of what is owed, %.3f of the bound; utilization %.3f; %d plans, %d polls, %d starts, %d calls to the advisor\n",
		r.Earned()/r.Owed(), r.Earned()/r.Bound, r.Utilization, r.Plans, r.Polls, r.Starts, r.AdviceCalls)
	return b.String()
}
