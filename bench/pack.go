package bench

import (
	"fmt"
	"math/rand/v2"

	"github.com/corianderdrift/corianderdrift/ledger"
	"github.com/corianderdrift/corianderdrift/place"
	"github.com/corianderdrift/corianderdrift/unit"
)

const numMixes = 100

// deployment describes the workers in the data centres of one user and the sizes of its tasks.
type deployment struct {
	name      string
	pools     []workerPool
	taskSizes []unit.Size
}

type workerPool struct {
	numWorkers int
	capacity   unit.Size
}

// deployments returns the cells of the two users at their present sizes. Slots are left out of the measurement, since they
// limit the number of tasks and not how tightly they are packed.
func deployments() []deployment {
	const slots, connections = 64, 64
	return []deployment{
		{
			"Trust",
			[]workerPool{
				{35, unit.Size{CPUMilli: 16000, MemoryMiB: 32 << 10, Slots: slots, Connections: connections}},
				{13, unit.Size{CPUMilli: 32000, MemoryMiB: 128 << 10, Accelerators: 8, Slots: slots, Connections: connections}},
			},
			[]unit.Size{
				{CPUMilli: 500, MemoryMiB: 512, Slots: 1},
				{CPUMilli: 2000, MemoryMiB: 2048, Slots: 1},
				{CPUMilli: 1000, MemoryMiB: 6144, Slots: 1},
				{CPUMilli: 4000, MemoryMiB: 4096, Slots: 1},
				{CPUMilli: 2000, MemoryMiB: 8192, Accelerators: 1, Slots: 1},
				{CPUMilli: 6000, MemoryMiB: 24576, Accelerators: 2, Slots: 1},
			},
		},
		{
			"Cedeño",
			[]workerPool{
				{35, unit.Size{CPUMilli: 16000, MemoryMiB: 32 << 10, Slots: slots, Connections: connections}},
				{13, unit.Size{CPUMilli: 64000, MemoryMiB: 256 << 10, Accelerators: 8, Slots: slots, Connections: connections}},
			},
			[]unit.Size{
				{CPUMilli: 1000, MemoryMiB: 1024, Slots: 1},
				{CPUMilli: 4000, MemoryMiB: 6144, Slots: 1},
				{CPUMilli: 8000, MemoryMiB: 8192, Slots: 1},
				{CPUMilli: 4000, MemoryMiB: 16384, Accelerators: 1, Slots: 1},
				{CPUMilli: 16000, MemoryMiB: 65536, Accelerators: 4, Slots: 1},
			},
		},
	}
}

// pack places random tasks until one does not fit and returns the used share of the fullest dimension.
func pack(d deployment, rng *rand.Rand, score func(size, free, capacity unit.Size) float64) float64 {
	var ledgers []*ledger.Ledger
	var total, used unit.Size
	for _, p := range d.pools {
		for range p.numWorkers {
			ledgers = append(ledgers, ledger.New(p.capacity))
			total = total.Add(p.capacity)
		}
	}
	index := place.NewIndex(len(ledgers))
	for i, l := range ledgers {
		index.Set(i, l.Free(false))
	}
	weights := make([]int, len(d.taskSizes))
	totalWeight := 0
	for i := range weights {
		weights[i] = 1 + rng.IntN(10)
		totalWeight += weights[i]
	}
	for n := 0; ; n++ {
		size := d.taskSizes[pickWeighted(weights, rng.IntN(totalWeight))]
		best := index.Best(size, func(i int, free unit.Size) float64 { return score(size, free, ledgers[i].Capacity()) })
		if best < 0 {
			total.Slots, total.Connections = 0, 0
			return used.Share(total)
		}
		_ = ledgers[best].Reserve(ledger.Item{Task: fmt.Sprint(n), Size: size})
		index.Set(best, ledgers[best].Free(false))
		used = used.Add(size)
	}
}

func pickWeighted(weights []int, n int) int {
	for i, w := range weights {
		if n < w {
			return i
		}
		n -= w
	}
	return len(weights) - 1
}

// Packing measures how full a cell is when the first task does not fit any more.
func Packing(seed uint64) []Row {
	var rows []Row
	spread := func(size, free, capacity unit.Size) float64 { return place.SpreadScore(size, free, capacity, 0) }
	for _, d := range deployments() {
		full, plain, minShare := 0.0, 0.0, 1.0
		for mix := range numMixes {
			share := pack(d, rand.New(rand.NewPCG(seed, uint64(mix))), place.PackScore)
			full += share / numMixes
			minShare = min(minShare, share)
			plain += pack(d, rand.New(rand.NewPCG(seed, uint64(mix))), spread) / numMixes
		}
		// The upper bound is 1, where the fullest dimension is used up; no order of tasks can exceed it.
		rows = append(rows, Row{
			"packing: fullest dimension in use", fmt.Sprintf("%s, mean of %d mixes", d.name, numMixes),
			fmt.Sprintf("%.3f (min %.3f)", full, minShare), fmt.Sprintf("%.3f", plain), ">= 0.950 of 1", full >= 0.95,
		})
	}
	return rows
}
