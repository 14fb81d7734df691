package learn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"github.com/corianderdrift/corianderdrift/unit"
)

const (
	shards          = 16
	lowest          = 100
	highest         = int64(24 * time.Hour / time.Microsecond)
	digits          = 1
	refreshEvery    = 16
	windowRuns      = 2000
	enoughRuns      = 8
	failureStep     = 0.1
	sizeHeadroomPct = 10
)

// Estimate is what is known of the next run of some work.
type Estimate struct {
	Mean time.Duration
	P90  time.Duration
	Runs int64
}

// Book holds the estimates of all work.
type Book struct {
	shards [shards]shard
}

type shard struct {
	mu    sync.Mutex
	works map[string]*record
}

type record struct {
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	estimate Estimate
	unread   int
	runs     int64
	failures float64
	peak     unit.Size
}

// NewBook returns an empty book.
func NewBook() *Book {
	b := &Book{}
	for i := range b.shards {
		b.shards[i].works = map[string]*record{}
	}
	return b
}

func (b *Book) with(work string, use func(r *record)) {
	s := &b.shards[xxhash.Sum64String(work)%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.works[work]
	if !ok {
		r = &record{current: hdrhistogram.New(lowest, highest, digits), previous: hdrhistogram.New(lowest, highest, digits)}
		s.works[work] = r
	}
	use(r)
}

// Ran records how long a run took and whether it failed.
func (b *Book) Ran(work string, took time.Duration, failed bool) {
	b.with(work, func(r *record) {
		r.runs++
		if failed {
			r.failures += failureStep * (1 - r.failures)
			return
		}
		r.failures -= failureStep * r.failures
		r.record(took)
	})
}

func (r *record) record(took time.Duration) {
	value := min(max(took.Microseconds(), lowest), highest)
	_ = r.current.RecordValue(value)
	r.unread++
	if r.current.TotalCount() >= windowRuns {
		r.current, r.previous = r.previous, r.current
		r.current.Reset()
	}
	if r.unread >= refreshEvery || r.estimate.Runs < enoughRuns {
		r.refresh()
	}
}

func (r *record) refresh() {
	r.unread = 0
	a, b := r.current.TotalCount(), r.previous.TotalCount()
	if a+b == 0 {
		return
	}
	mean := (r.current.Mean()*float64(a) + r.previous.Mean()*float64(b)) / float64(a+b)
	p90 := r.current.ValueAtQuantile(90)
	if b > a {
		p90 = r.previous.ValueAtQuantile(90)
	}
	r.estimate = Estimate{
		Mean: time.Duration(mean) * time.Microsecond,
		P90:  time.Duration(p90) * time.Microsecond,
		Runs: a + b,
	}
}

// Estimate returns what past runs tell, or the declared run time while there are too few of them.
func (b *Book) Estimate(work string, declared time.Duration) Estimate {
	var estimate Estimate
	b.with(work, func(r *record) { estimate = r.estimate })
	if estimate.Runs < enoughRuns {
		return Estimate{Mean: declared, P90: declared, Runs: estimate.Runs}
	}
	return estimate
}

// FailureShare returns the recent share of failed runs, from 0 to 1, and the number of runs.
func (b *Book) FailureShare(work string) (share float64, runs int64) {
	b.with(work, func(r *record) { share, runs = r.failures, r.runs })
	return share, runs
}

// Took records the measured size of a running task that takes more than it declared.
func (b *Book) Took(work string, size unit.Size) {
	b.with(work, func(r *record) { r.peak = r.peak.Max(size) })
}

// Size returns the declared size, or more where tasks were seen to take more.
func (b *Book) Size(work string, declared unit.Size) unit.Size {
	b.with(work, func(r *record) {
		if r.peak.MemoryMiB > declared.MemoryMiB {
			declared.MemoryMiB = r.peak.MemoryMiB * (100 + sizeHeadroomPct) / 100
		}
	})
	return declared
}
