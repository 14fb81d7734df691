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

// blockCatalogue has short and long work; the declared run times are the given ones, right or wrong.
func blockCatalogue(short, long time.Duration, mixed bool) string {
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
`, mixed, short, long)
}

const (
	blockRun      = 10 * time.Millisecond
	blockLong     = 1000
	blockEvery    = 100
	blockLoad     = 0.8
	blockDuration = 40 * time.Second
)

// blockSlots is the number of slots of a worker; in a cell of one worker long work can take all of them.
const blockSlots = 8

func blockShape(workers int) local.Shape {
	return local.Shape{
		DataCenters: []string{"local"}, Hosts: 1, Workers: workers,
		Capacity: unit.Size{CPUMilli: 16000, MemoryMiB: 32 << 10, Slots: blockSlots, Connections: 64},
	}
}

// blockRate is the rate at which short and long work together keep the given share of the slots busy.
func blockRate(workers int) float64 {
	mean := blockRun.Seconds() * (1 - 1.0/blockEvery + float64(blockLong)/blockEvery)
	return blockLoad * blockSlots * float64(workers) / mean
}

func blockProfile(name string, seed uint64, workers int, longWork string, long bool) loads.Profile {
	s := loads.Stream{Work: "route", Owner: "skippers", Rate: blockRate(workers), Run: entry.Duration(blockRun), LongWork: longWork}
	if long {
		s.LongEvery, s.LongTimes = blockEvery, blockLong
	}
	return loads.Profile{Name: name, Seed: seed, Duration: entry.Duration(blockDuration), Streams: []loads.Stream{s}}
}

// shortWaits sums up only the short requests, also where long ones bear the same name.
func shortWaits(results []loads.Result) loads.Report {
	var short []loads.Result
	for _, r := range results {
		if r.Arrival.RunMicros <= blockRun.Microseconds() {
			short = append(short, r)
		}
	}
	return loads.Sum("short", 0, short)
}

// Blocking measures the wait of short work behind long work, in the first so many of three cases, in a cell of so many
// workers.
func Blocking(seed uint64, most, workers int) ([]Row, error) {
	cases := []struct {
		name     string
		declared [2]time.Duration
		longWork string
	}{
		{"long work is an entry of its own", [2]time.Duration{blockRun, blockLong * blockRun}, "scan"},
		{"and declared the wrong way round", [2]time.Duration{blockLong * blockRun, blockRun}, "scan"},
		{"long pieces hide in the same entry", [2]time.Duration{blockRun, blockLong * blockRun}, ""},
	}
	shape := blockShape(workers)
	catalogue := blockCatalogue(blockRun, blockLong*blockRun, false)
	alone, err := shortOf(conf.PolicyFull, shape, blockProfile("alone", seed, workers, "", false), catalogue)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, c := range cases[:min(most, len(cases))] {
		catalogue := blockCatalogue(c.declared[0], c.declared[1], c.longWork == "")
		profile := blockProfile(c.name, seed, workers, c.longWork, true)
		full, err := shortOf(conf.PolicyFull, shape, profile, catalogue)
		if err != nil {
			return rows, err
		}
		plain, err := shortOf(conf.PolicyPlain, shape, profile, catalogue)
		if err != nil {
			return rows, err
		}
		const goal = 1.5
		text := func(g loads.Group) string {
			return fmt.Sprintf("p99 %.1f ms, %.1f times alone (%.1f ms)", g.WaitP99, g.WaitP99/alone.WaitP99, alone.WaitP99)
		}
		rows = append(rows, Row{
			"blocking: wait of short work", fmt.Sprintf("%d slots, %s", workers*blockSlots, c.name), text(full), text(plain),
			"<= 1.5 times alone", full.WaitP99 <= goal*alone.WaitP99,
		})
	}
	return rows, nil
}

func shortOf(policy conf.Policy, shape local.Shape, profile loads.Profile, catalogue string) (loads.Group, error) {
	_, results, err := run(policy, shape, catalogue, profile)
	if err != nil {
		return loads.Group{}, err
	}
	g, _ := shortWaits(results).Group("skippers", "route")
	return g, nil
}
