package bench

import (
	"fmt"
	"time"

	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/loads"
	"github.com/corianderdrift/corianderdrift/local"
	"github.com/corianderdrift/corianderdrift/unit"
)

// blockCatalogue has an entry for short and one for long work, with the given declared run times, right or wrong.
// The entry of the short work is checkpointable if long requests are sent under it too.
func blockCatalogue(shortRunTime, longRunTime time.Duration, longUnderShort bool) string {
	return fmt.Sprintf(`
kind: owner
name: skippers
---
kind: owner
name: imagery
---
kind: work
name: route
owner: skippers
class: request
repeatable: true
checkpointable: %t
size: {cpu-milli: 500, memory-mib: 128}
run-time: %s
timeout: 10m
---
kind: work
name: scan
owner: imagery
class: request
repeatable: true
checkpointable: true
size: {cpu-milli: 500, memory-mib: 128}
run-time: %s
timeout: 10m
`, longUnderShort, shortRunTime, longRunTime)
}

// One request in blockLongEvery runs blockLongFactor times as long as the others, which run blockRunTime.
const (
	blockRunTime     = 10 * time.Millisecond
	blockLongFactor  = 1000
	blockLongEvery   = 100
	blockUtilization = 0.8
	blockDuration    = 40 * time.Second
)

// blockSlotsPerWorker is the number of slots of a worker; in a cell of one worker long work can occupy all of them.
const blockSlotsPerWorker = 8

func blockCellConfig(workers int) local.CellConfig {
	return local.CellConfig{
		DataCenters: []string{"local"}, Hosts: 1, Workers: workers,
		Capacity: unit.Size{CPUMilli: 16000, MemoryMiB: 32 << 10, Slots: blockSlotsPerWorker, Connections: 64},
	}
}

// blockRate is the rate, in requests a second, at which short and long work together keep blockUtilization of the slots busy.
func blockRate(workers int) float64 {
	meanRunTime := blockRunTime.Seconds() * (1 - 1.0/blockLongEvery + float64(blockLongFactor)/blockLongEvery)
	return blockUtilization * blockSlotsPerWorker * float64(workers) / meanRunTime
}

func blockProfile(name string, seed uint64, workers int, longWork string, withLong bool) loads.Profile {
	stream := loads.Stream{Work: "route", Owner: "skippers", Rate: blockRate(workers), RunTime: entry.Duration(blockRunTime), LongWork: longWork}
	if withLong {
		stream.LongEvery, stream.LongFactor = blockLongEvery, blockLongFactor
	}
	return loads.Profile{Name: name, Seed: seed, Duration: entry.Duration(blockDuration), Streams: []loads.Stream{stream}}
}

// summarizeShort reports only the short requests, also where long ones are sent as the same work.
func summarizeShort(results []loads.Result) loads.Report {
	var short []loads.Result
	for _, r := range results {
		if r.Arrival.RunTimeMicros <= blockRunTime.Microseconds() {
			short = append(short, r)
		}
	}
	return loads.NewReport("short", 0, short)
}

// Blocking measures how long short work waits behind long work, in the first maxCases of three cases, in a cell with the
// given number of workers.
func Blocking(seed uint64, maxCases, workers int) ([]Row, error) {
	cases := []struct {
		name string
		// declared holds the declared run times of short and of long work.
		declared [2]time.Duration
		longWork string
	}{
		{"long work has its own entry", [2]time.Duration{blockRunTime, blockLongFactor * blockRunTime}, "scan"},
		{"own entry, declared run times swapped", [2]time.Duration{blockLongFactor * blockRunTime, blockRunTime}, "scan"},
		{"long work shares the entry of short work", [2]time.Duration{blockRunTime, blockLongFactor * blockRunTime}, ""},
	}
	cellCfg := blockCellConfig(workers)
	catalogue := blockCatalogue(blockRunTime, blockLongFactor*blockRunTime, false)
	shortOnly, err := measureShort(conf.PolicyFull, cellCfg, blockProfile("alone", seed, workers, "", false), catalogue)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, c := range cases[:min(maxCases, len(cases))] {
		catalogue := blockCatalogue(c.declared[0], c.declared[1], c.longWork == "")
		profile := blockProfile(c.name, seed, workers, c.longWork, true)
		full, err := measureShort(conf.PolicyFull, cellCfg, profile, catalogue)
		if err != nil {
			return rows, err
		}
		plain, err := measureShort(conf.PolicyPlain, cellCfg, profile, catalogue)
		if err != nil {
			return rows, err
		}
		const maxRatio = 1.5
		format := func(g loads.GroupStats) string {
			return fmt.Sprintf("p99 %.1f ms, %.1f times short work alone (%.1f ms)", g.WaitP99, g.WaitP99/shortOnly.WaitP99, shortOnly.WaitP99)
		}
		rows = append(rows, Row{
			"blocking: wait of short work", fmt.Sprintf("%d slots, %s", workers*blockSlotsPerWorker, c.name), format(full), format(plain),
			"<= 1.5 times short work alone", full.WaitP99 <= maxRatio*shortOnly.WaitP99,
		})
	}
	return rows, nil
}

func measureShort(policy conf.Policy, cellCfg local.CellConfig, profile loads.Profile, catalogue string) (loads.GroupStats, error) {
	_, results, err := runProfile(policy, cellCfg, catalogue, profile)
	if err != nil {
		return loads.GroupStats{}, err
	}
	g, _ := summarizeShort(results).Group("skippers", "route")
	return g, nil
}
