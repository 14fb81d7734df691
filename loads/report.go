package loads

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/corianderdrift/corianderdrift/reason"
)

// Group is what one owner's requests for one kind of work got.
type Group struct {
	Owner    string                `json:"owner"`
	Work     string                `json:"work"`
	Asked    int                   `json:"asked"`
	InTime   int                   `json:"in-time"`
	Late     int                   `json:"late"`
	Wrong    int                   `json:"wrong"`
	NotRun   int                   `json:"not-run"`
	Unknown  int                   `json:"unknown"`
	Failed   int                   `json:"failed"`
	Reasons  map[reason.Reason]int `json:"reasons,omitempty"`
	WaitP50  float64               `json:"wait-p50-ms"`
	WaitP99  float64               `json:"wait-p99-ms"`
	WaitMax  float64               `json:"wait-max-ms"`
	RefuseP9 float64               `json:"refusal-p99-ms"`
	waits    *hdrhistogram.Histogram
	refusals *hdrhistogram.Histogram
}

// Report is the outcome of a run.
type Report struct {
	Name     string  `json:"name"`
	Seed     uint64  `json:"seed"`
	Requests int     `json:"requests"`
	Groups   []Group `json:"groups"`
	// Buckets count, by time of arrival, what was asked and what was answered in time.
	BucketMillis int64    `json:"bucket-ms"`
	Buckets      []Bucket `json:"buckets"`
	// SenderLateP99 tells how far the tool itself lagged.
	SenderLateP99 float64 `json:"sender-late-p99-ms"`
}

// Bucket is a slice of time.
type Bucket struct {
	Asked   int     `json:"asked"`
	InTime  int     `json:"in-time"`
	Refused int     `json:"refused"`
	WaitP99 float64 `json:"wait-p99-ms"`
}

const (
	bucketWidth  = 250 * time.Millisecond
	histLowest   = 1
	histHighest  = int64(time.Hour / time.Microsecond)
	histDigits   = 2
	microsPerMil = 1000.0
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histLowest, histHighest, histDigits)
}

// Sum makes a report of results.
func Sum(name string, seed uint64, results []Result) Report {
	report := Report{Name: name, Seed: seed, Requests: len(results), BucketMillis: bucketWidth.Milliseconds()}
	groups := map[string]*Group{}
	late := newHistogram()
	var bucketWaits []*hdrhistogram.Histogram
	for _, r := range results {
		_ = late.RecordValue(max(1, r.Late.Microseconds()))
		id := r.Arrival.Owner + "/" + r.Arrival.Work
		if groups[id] == nil {
			groups[id] = &Group{
				Owner: r.Arrival.Owner, Work: r.Arrival.Work, Reasons: map[reason.Reason]int{},
				waits: newHistogram(), refusals: newHistogram(),
			}
		}
		groups[id].add(r)
		i := int(time.Duration(r.Arrival.AtMicros) * time.Microsecond / bucketWidth)
		for len(report.Buckets) <= i {
			report.Buckets = append(report.Buckets, Bucket{})
			bucketWaits = append(bucketWaits, newHistogram())
		}
		report.Buckets[i].add(r, bucketWaits[i])
	}
	for i := range report.Buckets {
		report.Buckets[i].WaitP99 = float64(bucketWaits[i].ValueAtQuantile(99)) / microsPerMil
	}
	report.SenderLateP99 = float64(late.ValueAtQuantile(99)) / microsPerMil
	for _, g := range groups {
		g.finish()
		report.Groups = append(report.Groups, *g)
	}
	sort.Slice(report.Groups, func(i, j int) bool {
		a, b := report.Groups[i], report.Groups[j]
		return a.Owner+"/"+a.Work < b.Owner+"/"+b.Work
	})
	return report
}

// Wait is the part of a request's time in which it did not run.
func (r Result) Wait() time.Duration {
	return max(0, r.Took-time.Duration(r.Arrival.RunMicros)*time.Microsecond)
}

func (g *Group) add(r Result) {
	g.Asked++
	switch {
	case r.Answered:
		if r.InTime() {
			g.InTime++
		} else {
			g.Late++
		}
		if r.Wrong {
			g.Wrong++
		}
		_ = g.waits.RecordValue(max(histLowest, r.Wait().Microseconds()))
		return
	case r.Outcome == reason.NotRun:
		g.NotRun++
		_ = g.refusals.RecordValue(max(histLowest, r.Took.Microseconds()))
	case r.Outcome == reason.Failed:
		g.Failed++
	case r.Arrival.LeaveMicros > 0:
		// A caller who leaves is told nothing.
	default:
		g.Unknown++
	}
	g.Reasons[r.Reason]++
}

func (g *Group) finish() {
	g.WaitP50 = float64(g.waits.ValueAtQuantile(50)) / microsPerMil
	g.WaitP99 = float64(g.waits.ValueAtQuantile(99)) / microsPerMil
	g.WaitMax = float64(g.waits.Max()) / microsPerMil
	g.RefuseP9 = float64(g.refusals.ValueAtQuantile(99)) / microsPerMil
}

func (b *Bucket) add(r Result, waits *hdrhistogram.Histogram) {
	b.Asked++
	switch {
	case r.InTime():
		b.InTime++
		_ = waits.RecordValue(max(histLowest, r.Wait().Microseconds()))
	case r.Outcome == reason.NotRun:
		b.Refused++
	}
}

// Group returns the group of an owner's work.
func (r Report) Group(owner, work string) (Group, bool) {
	for _, g := range r.Groups {
		if g.Owner == owner && g.Work == work {
			return g, true
		}
	}
	return Group{}, false
}

// Check compares a report with stated outcomes; no answer may ever be wrong.
func (r Report) Check(expects []Expect) error {
	for _, g := range r.Groups {
		if g.Wrong > 0 {
			return fmt.Errorf("%s: %d answers belong to other requests", g.Work, g.Wrong)
		}
		for _, e := range expects {
			if e.Work != g.Work {
				continue
			}
			if share := float64(g.InTime) / float64(max(1, g.Asked)); share < e.AnsweredShare {
				return fmt.Errorf("%s: %.3f of requests answered in time, %.3f expected", g.Work, share, e.AnsweredShare)
			}
			if g.Unknown > e.MostUnknown {
				return fmt.Errorf("%s: %d outcomes unknown, at most %d expected", g.Work, g.Unknown, e.MostUnknown)
			}
		}
	}
	return nil
}
