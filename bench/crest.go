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

const crestCatalogue = `
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

// The crest's cell has 32 slots, so work of 50 ms has a capacity of 640 a second.
const (
	crestSlots    = 32
	crestRun      = 50 * time.Millisecond
	crestAt       = 4 * time.Second
	crestLength   = 6 * time.Second
	crestDuration = 15 * time.Second
	crestTimeout  = 500 * time.Millisecond
)

var crestShape = local.Shape{
	DataCenters: []string{"local"}, Hosts: 2, Workers: 4,
	Capacity: unit.Size{CPUMilli: 16000, MemoryMiB: 32 << 10, Slots: 8, Connections: 64},
}

// crestProfile offers times the capacity during the crest, a tenth of which comes from an owner that stays below its share.
func crestProfile(times float64, seed uint64) loads.Profile {
	capacity := crestSlots / crestRun.Seconds()
	steady := 0.1 * capacity
	base := 0.2 * capacity
	peak := times*capacity - steady
	return loads.Profile{
		Name: fmt.Sprintf("crest of %.1f times capacity", times), Seed: seed, Duration: entry.Duration(crestDuration),
		Streams: []loads.Stream{
			{
				Work: "swing", Owner: "swinging", Rate: base, Run: entry.Duration(crestRun), Spread: 0.3,
				Timeout: entry.Duration(crestTimeout),
				Crest:   loads.Crest{At: entry.Duration(crestAt), Length: entry.Duration(crestLength), Times: peak / base},
			},
			{
				Work: "stay", Owner: "steady", Rate: steady, Run: entry.Duration(crestRun), Spread: 0.3,
				Timeout: entry.Duration(crestTimeout),
			},
		},
	}
}

// goodput returns answers in time per second through the crest, as a share of the capacity.
func goodput(report loads.Report) float64 {
	width := time.Duration(report.BucketMillis) * time.Millisecond
	// The first second of the crest fills the queue.
	from, to := int((crestAt+time.Second)/width), int((crestAt+crestLength)/width)
	sum := 0
	for _, b := range report.Buckets[from:min(to, len(report.Buckets))] {
		sum += b.InTime
	}
	seconds := (crestLength - time.Second).Seconds()
	// Run times have a mean of exp(0.3²/2) times the median.
	const spreadMean = 1.046
	return float64(sum) / seconds / (crestSlots / crestRun.Seconds() / spreadMean)
}

// recovery returns how long after the crest the first bucket came from which on 99 of 100 were answered in time.
func recovery(report loads.Report) time.Duration {
	width := time.Duration(report.BucketMillis) * time.Millisecond
	end := int((crestAt + crestLength) / width)
	last := end - 1
	for i := end; i < len(report.Buckets); i++ {
		b := report.Buckets[i]
		if b.Asked > 0 && b.InTime*100 < b.Asked*99 {
			last = i
		}
	}
	return time.Duration(last+1-end) * width
}

// Crest measures service at and after the crest of a swing.
func Crest(seed uint64, plotTo string) ([]Row, error) {
	var rows []Row
	for _, times := range []float64{0.5, 1, 2, 4} {
		profile := crestProfile(times, seed)
		full, plain, results, err := both(crestShape, crestCatalogue, profile)
		if err != nil {
			return rows, err
		}
		name := fmt.Sprintf("%.1f times capacity", times)
		goal := min(times, 1) * 0.95
		// The load itself is drawn, so below capacity it is the offered share that can be reached.
		rows = append(rows, Row{
			"crest: goodput / capacity", name, fmt.Sprintf("%.3f", goodput(full)), fmt.Sprintf("%.3f", goodput(plain)),
			fmt.Sprintf(">= %.3f", goal), goodput(full) >= goal,
		}, recoveryRow(name, full, plain), refusalRow(name, full, plain), steadyRow(name, full, plain), honestRow(name, results))
		if times == 4 && plotTo != "" {
			if err := full.Plot(plotTo); err != nil {
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
	text := func(g loads.Group) string { return fmt.Sprintf("%.1f ms of %d", g.RefuseP9, g.NotRun) }
	return Row{"crest: refusals sent within, p99", name, text(f), text(p), "<= 50 ms", f.NotRun == 0 || f.RefuseP9 <= goal}
}

func steadyRow(name string, full, plain loads.Report) Row {
	f, _ := full.Group("steady", "stay")
	p, _ := plain.Group("steady", "stay")
	share := func(g loads.Group) float64 { return float64(g.InTime) / float64(max(1, g.Asked)) }
	return Row{
		"crest: steady owner answered", name, fmt.Sprintf("%.3f", share(f)), fmt.Sprintf("%.3f", share(p)), ">= 0.99", share(f) >= 0.99,
	}
}

// honestRow counts outcomes that are neither an answer in time nor a "not run".
func honestRow(name string, results []loads.Result) Row {
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
