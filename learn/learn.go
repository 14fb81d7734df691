package learn

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cespare/xxhash/v2"

	"github.com/corianderdrift/corianderdrift/unit"
)

const (
	numShards         = 16
	minMicros         = 100
	maxMicros         = int64(24 * time.Hour / time.Microsecond)
	significantDigits = 1
	runsPerRefresh    = 16
	// windowRuns is the number of runs in a histogram; the current and the previous one are used.
	windowRuns        = 2000
	minRuns           = 8
	failureRateWeight = 0.1
	sizeHeadroomPct   = 10
)

// Estimate is the estimated run time of some work, and the number of runs that it is based on.
type Estimate struct {
	Mean time.Duration
	P90  time.Duration
	Runs int64
}

// Estimator holds the statistics of past runs, by work.
type Estimator struct {
	shards [numShards]shard
}

type shard struct {
	mu    sync.Mutex
	stats map[string]*workStats
}

type workStats struct {
	current          *hdrhistogram.Histogram
	previous         *hdrhistogram.Histogram
	estimate         Estimate
	runsSinceRefresh int
	numRuns          int64
	failureRate      float64
	peak             unit.Size
}

// NewEstimator returns an estimator without any runs.
func NewEstimator() *Estimator {
	e := &Estimator{}
	for i := range e.shards {
		e.shards[i].stats = map[string]*workStats{}
	}
	return e
}

func (e *Estimator) withStats(work string, use func(ws *workStats)) {
	s := &e.shards[xxhash.Sum64String(work)%numShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	ws, ok := s.stats[work]
	if !ok {
		ws = &workStats{
			current:  hdrhistogram.New(minMicros, maxMicros, significantDigits),
			previous: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		}
		s.stats[work] = ws
	}
	use(ws)
}

// RecordRun records the run time of a run and whether it failed; the run time counts only if it didn't.
func (e *Estimator) RecordRun(work string, runTime time.Duration, failed bool) {
	e.withStats(work, func(ws *workStats) {
		ws.numRuns++
		if failed {
			ws.failureRate += failureRateWeight * (1 - ws.failureRate)
			return
		}
		ws.failureRate -= failureRateWeight * ws.failureRate
		ws.recordRunTime(runTime)
	})
}

func (ws *workStats) recordRunTime(runTime time.Duration) {
	value := min(max(runTime.Microseconds(), minMicros), maxMicros)
	_ = ws.current.RecordValue(value)
	ws.runsSinceRefresh++
	if ws.current.TotalCount() >= windowRuns {
		ws.current, ws.previous = ws.previous, ws.current
		ws.current.Reset()
	}
	if ws.runsSinceRefresh >= runsPerRefresh || ws.estimate.Runs < minRuns {
		ws.refresh()
	}
}

func (ws *workStats) refresh() {
	ws.runsSinceRefresh = 0
	numCurrent, numPrevious := ws.current.TotalCount(), ws.previous.TotalCount()
	if numCurrent+numPrevious == 0 {
		return
	}
	mean := (ws.current.Mean()*float64(numCurrent) + ws.previous.Mean()*float64(numPrevious)) / float64(numCurrent+numPrevious)
	p90 := ws.current.ValueAtQuantile(90)
	if numPrevious > numCurrent {
		p90 = ws.previous.ValueAtQuantile(90)
	}
	ws.estimate = Estimate{
		Mean: time.Duration(mean) * time.Microsecond,
		P90:  time.Duration(p90) * time.Microsecond,
		Runs: numCurrent + numPrevious,
	}
}

// Estimate returns an estimate from past runs, or the declared run time while there are fewer than minRuns.
func (e *Estimator) Estimate(work string, declared time.Duration) Estimate {
	var estimate Estimate
	e.withStats(work, func(ws *workStats) { estimate = ws.estimate })
	if estimate.Runs < minRuns {
		return Estimate{Mean: declared, P90: declared, Runs: estimate.Runs}
	}
	return estimate
}

// FailureRate returns the moving average of failed runs, from 0 to 1, and the number of runs.
func (e *Estimator) FailureRate(work string) (rate float64, runs int64) {
	e.withStats(work, func(ws *workStats) { rate, runs = ws.failureRate, ws.numRuns })
	return rate, runs
}

// RecordSize records the measured size of a running task that uses more than it declared.
func (e *Estimator) RecordSize(work string, size unit.Size) {
	e.withStats(work, func(ws *workStats) { ws.peak = ws.peak.Max(size) })
}

// Size returns the declared size, with more memory if tasks were measured to use more: their peak plus sizeHeadroomPct.
func (e *Estimator) Size(work string, declared unit.Size) unit.Size {
	e.withStats(work, func(ws *workStats) {
		if ws.peak.MemoryMiB > declared.MemoryMiB {
			declared.MemoryMiB = ws.peak.MemoryMiB * (100 + sizeHeadroomPct) / 100
		}
	})
	return declared
}
