package loads

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/corianderdrift/corianderdrift/reason"
)

// GroupStats summarises the results of one owner's requests for one kind of work.
type GroupStats struct {
	Owner      string                `json:"owner"`
	Work       string                `json:"work"`
	Requests   int                   `json:"asked"`
	InTime     int                   `json:"in-time"`
	Late       int                   `json:"late"`
	Mismatched int                   `json:"wrong"`
	NotRun     int                   `json:"not-run"`
	Unknown    int                   `json:"unknown"`
	Failed     int                   `json:"failed"`
	Reasons    map[reason.Reason]int `json:"reasons,omitempty"`
	WaitP50    float64               `json:"wait-p50-ms"`
	WaitP99    float64               `json:"wait-p99-ms"`
	WaitMax    float64               `json:"wait-max-ms"`
	RefusalP99 float64               `json:"refusal-p99-ms"`
	waits      *hdrhistogram.Histogram
	refusals   *hdrhistogram.Histogram
}

// Report summarises the results of a run.
type Report struct {
	Name     string `json:"name"`
	Seed     uint64 `json:"seed"`
	Requests int    `json:"requests"`
	// Groups are sorted by owner and work.
	Groups []GroupStats `json:"groups"`
	// Buckets count the requests and their outcomes by time of arrival.
	BucketMillis int64    `json:"bucket-ms"`
	Buckets      []Bucket `json:"buckets"`
	// SendDelayP99 is the p99 of the delay between the intended arrival and the sending of a request.
	SendDelayP99 float64 `json:"sender-late-p99-ms"`
}

// Bucket summarises the requests that arrived in one interval.
type Bucket struct {
	Requests int     `json:"asked"`
	InTime   int     `json:"in-time"`
	Refused  int     `json:"refused"`
	WaitP99  float64 `json:"wait-p99-ms"`
}

const (
	bucketWidth    = 250 * time.Millisecond
	histMin        = 1
	histMax        = int64(time.Hour / time.Microsecond)
	histDigits     = 2
	microsPerMilli = 1000.0
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histMin, histMax, histDigits)
}

// NewReport computes the report of results.
func NewReport(name string, seed uint64, results []Result) Report {
	report := Report{Name: name, Seed: seed, Requests: len(results), BucketMillis: bucketWidth.Milliseconds()}
	groups := map[string]*GroupStats{}
	sendDelays := newHistogram()
	var bucketWaits []*hdrhistogram.Histogram
	for _, r := range results {
		_ = sendDelays.RecordValue(max(1, r.SendDelay.Microseconds()))
		id := r.Arrival.Owner + "/" + r.Arrival.Work
		if groups[id] == nil {
			groups[id] = &GroupStats{
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
		report.Buckets[i].WaitP99 = float64(bucketWaits[i].ValueAtQuantile(99)) / microsPerMilli
	}
	report.SendDelayP99 = float64(sendDelays.ValueAtQuantile(99)) / microsPerMilli
	for _, g := range groups {
		g.computeQuantiles()
		report.Groups = append(report.Groups, *g)
	}
	sort.Slice(report.Groups, func(i, j int) bool {
		a, b := report.Groups[i], report.Groups[j]
		return a.Owner+"/"+a.Work < b.Owner+"/"+b.Work
	})
	return report
}

// Wait returns the part of a request's latency in which it did not run.
func (r Result) Wait() time.Duration {
	return max(0, r.Latency-time.Duration(r.Arrival.RunTimeMicros)*time.Microsecond)
}

func (g *GroupStats) add(r Result) {
	g.Requests++
	switch {
	case r.Answered:
		if r.InTime() {
			g.InTime++
		} else {
			g.Late++
		}
		if r.Mismatched {
			g.Mismatched++
		}
		_ = g.waits.RecordValue(max(histMin, r.Wait().Microseconds()))
		return
	case r.Outcome == reason.NotRun:
		g.NotRun++
		_ = g.refusals.RecordValue(max(histMin, r.Latency.Microseconds()))
	case r.Outcome == reason.Failed:
		g.Failed++
	case r.Arrival.CancelAfterMicros > 0:
		// A caller that cancels its request gets no outcome.
	default:
		g.Unknown++
	}
	g.Reasons[r.Reason]++
}

func (g *GroupStats) computeQuantiles() {
	g.WaitP50 = float64(g.waits.ValueAtQuantile(50)) / microsPerMilli
	g.WaitP99 = float64(g.waits.ValueAtQuantile(99)) / microsPerMilli
	g.WaitMax = float64(g.waits.Max()) / microsPerMilli
	g.RefusalP99 = float64(g.refusals.ValueAtQuantile(99)) / microsPerMilli
}

func (b *Bucket) add(r Result, waits *hdrhistogram.Histogram) {
	b.Requests++
	switch {
	case r.InTime():
		b.InTime++
		_ = waits.RecordValue(max(histMin, r.Wait().Microseconds()))
	case r.Outcome == reason.NotRun:
		b.Refused++
	}
}

// Group returns the group of an owner's requests for a kind of work.
func (r Report) Group(owner, work string) (GroupStats, bool) {
	for _, g := range r.Groups {
		if g.Owner == owner && g.Work == work {
			return g, true
		}
	}
	return GroupStats{}, false
}

// Check returns an error if a report violates an expectation or an answer belongs to another request.
func (r Report) Check(expectations []Expectation) error {
	for _, g := range r.Groups {
		if g.Mismatched > 0 {
			return fmt.Errorf("%s: %d answers belong to other requests", g.Work, g.Mismatched)
		}
		for _, e := range expectations {
			if e.Work != g.Work {
				continue
			}
			if share := float64(g.InTime) / float64(max(1, g.Requests)); share < e.MinAnsweredShare {
				return fmt.Errorf("%s: %.3f of requests answered in time, %.3f expected", g.Work, share, e.MinAnsweredShare)
			}
			if g.Unknown > e.MaxUnknown {
				return fmt.Errorf("%s: %d outcomes unknown, at most %d expected", g.Work, g.Unknown, e.MaxUnknown)
			}
		}
	}
	return nil
}
