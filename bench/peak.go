package bench

import (
	"fmt"
	"time"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/loads"
	"github.com/corianderdrift/corianderdrift/local"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/unit"
)

const peakCatalogue = `
kind: owner
name: swinging
weight: 1
---
kind: owner
name: steady
weight: 1
---
kind: work
name: swing
owner: swinging
class: request
repeatable: true
size: {cpu-milli: 500, memory-mib: 128}
run-time: 50ms
timeout: 500ms
---
kind: work
name: stay
owner: steady
class: request
repeatable: true
size: {cpu-milli: 500, memory-mib: 128}
run-time: 50ms
timeout: 500ms
`

// The cell has 32 slots, so its capacity is 640 requests of 50 ms a second.
const (
	peakSlots    = 32
	peakRunTime  = 50 * time.Millisecond
	peakStart    = 4 * time.Second
	peakLength   = 6 * time.Second
	peakDuration = 15 * time.Second
	peakTimeout  = 500 * time.Millisecond
)

var peakCellConfig = local.CellConfig{
	DataCenters: []string{"local"}, Hosts: 2, Workers: 4,
	Capacity: unit.Size{CPUMilli: 16000, MemoryMiB: 32 << 10, Slots: 8, Connections: 64},
}

// peakProfile offers factor times the capacity during the peak. A steady owner, which stays below its share, sends a tenth of
// the capacity.
func peakProfile(factor float64, seed uint64) loads.Profile {
	capacity := peakSlots / peakRunTime.Seconds()
	steadyRate := 0.1 * capacity
	baseRate := 0.2 * capacity
	peakRate := factor*capacity - steadyRate
	return loads.Profile{
		Name: fmt.Sprintf("peak of %.1f times capacity", factor), Seed: seed, Duration: entry.Duration(peakDuration),
		Streams: []loads.Stream{
			{
				Work: "swing", Owner: "swinging", Rate: baseRate, RunTime: entry.Duration(peakRunTime), RunTimeSigma: 0.3,
				Timeout: entry.Duration(peakTimeout),
				Peak:    loads.Peak{StartAfter: entry.Duration(peakStart), Duration: entry.Duration(peakLength), RateFactor: peakRate / baseRate},
			},
			{
				Work: "stay", Owner: "steady", Rate: steadyRate, RunTime: entry.Duration(peakRunTime), RunTimeSigma: 0.3,
				Timeout: entry.Duration(peakTimeout),
			},
		},
	}
}

// goodput returns the rate of answers in time during the peak, as a share of the capacity.
func goodput(report loads.Report) float64 {
	bucketWidth := time.Duration(report.BucketMillis) * time.Millisecond
	// The first second of the peak is left out, since it fills the queue.
	from, to := int((peakStart+time.Second)/bucketWidth), int((peakStart+peakLength)/bucketWidth)
	answered := 0
	for _, b := range report.Buckets[from:min(to, len(report.Buckets))] {
		answered += b.InTime
	}
	seconds := (peakLength - time.Second).Seconds()
	// Run times have a mean of exp(0.3²/2) times the median.
	const meanFactor = 1.046
	return float64(answered) / seconds / (peakSlots / peakRunTime.Seconds() / meanFactor)
}

// recovery returns the time from the end of the peak to the first bucket from which on at least 99 % of the requests of every
// bucket are answered in time.
func recovery(report loads.Report) time.Duration {
	bucketWidth := time.Duration(report.BucketMillis) * time.Millisecond
	end := int((peakStart + peakLength) / bucketWidth)
	lastBad := end - 1
	for i := end; i < len(report.Buckets); i++ {
		b := report.Buckets[i]
		if b.Requests > 0 && b.InTime*100 < b.Requests*99 {
			lastBad = i
		}
	}
	return time.Duration(lastBad+1-end) * bucketWidth
}

// Peak measures the service of a cell during and after load peaks of half to four times its capacity. It plots the highest
// peak to plotFile, if that is set.
func Peak(seed uint64, plotFile string) ([]Row, error) {
	var rows []Row
	for _, factor := range []float64{0.5, 1, 2, 4} {
		profile := peakProfile(factor, seed)
		full, plain, results, err := runBoth(peakCellConfig, peakCatalogue, profile)
		if err != nil {
			return rows, err
		}
		name := fmt.Sprintf("%.1f times capacity", factor)
		goal := min(factor, 1) * 0.95
		// Arrivals are drawn at random, so below capacity goodput can reach only the offered share.
		rows = append(rows, Row{
			"crest: goodput / capacity", name, fmt.Sprintf("%.3f", goodput(full)), fmt.Sprintf("%.3f", goodput(plain)),
			fmt.Sprintf(">= %.3f", goal), goodput(full) >= goal,
		}, recoveryRow(name, full, plain), refusalRow(name, full, plain), steadyRow(name, full, plain), unexpectedRow(name, results))
		if factor == 4 && plotFile != "" {
			if err := full.Plot(plotFile); err != nil {
				return rows, err
			}
		}
	}
	return rows, nil
}

func recoveryRow(name string, full, plain loads.Report) Row {
	const goal = 2 * time.Second
	return Row{"crest: back to normal after", name, recovery(full).String(), recovery(plain).String(), "<= 2s", recovery(full) <= goal}
}

func refusalRow(name string, full, plain loads.Report) Row {
	const goal = 50
	f, _ := full.Group("swinging", "swing")
	p, _ := plain.Group("swinging", "swing")
	format := func(g loads.GroupStats) string { return fmt.Sprintf("%.1f ms of %d", g.RefusalP99, g.NotRun) }
	return Row{"crest: refusals sent within, p99", name, format(f), format(p), "<= 50 ms", f.NotRun == 0 || f.RefusalP99 <= goal}
}

func steadyRow(name string, full, plain loads.Report) Row {
	f, _ := full.Group("steady", "stay")
	p, _ := plain.Group("steady", "stay")
	share := func(g loads.GroupStats) float64 { return float64(g.InTime) / float64(max(1, g.Requests)) }
	return Row{
		"crest: steady owner answered", name, fmt.Sprintf("%.3f", share(f)), fmt.Sprintf("%.3f", share(p)), ">= 0.99", share(f) >= 0.99,
	}
}

// unexpectedRow counts outcomes that are neither an answer in time nor "not run".
func unexpectedRow(name string, results []loads.Result) Row {
	late, unknown := 0, 0
	for _, r := range results {
		switch {
		case r.InTime(), r.Outcome == reason.NotRun:
		case r.Answered:
			late++
		default:
			unknown++
		}
	}
	return Row{"crest: late + failed or unknown", name, fmt.Sprintf("%d + %d of %d", late, unknown, len(results)), "", "few", true}
}
