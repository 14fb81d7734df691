package bench

import (
	"fmt"
	"math/rand/v2"

	"github.com/corianderdrift/corianderdrift/ledger"
	"github.com/corianderdrift/corianderdrift/place"
	"github.com/corianderdrift/corianderdrift/unit"
)

const packMixes = 100

// deployment is the workers of one user's data centres and the sizes of its work.
type deployment struct {
	name  string
	parts []part
	sizes []unit.Size
}

type part struct {
	workers  int
	capacity unit.Size
}

// Deployments are the two users' cells at their present sizes; slots are left out of the mix, since they bound the
// number of tasks and not their packing.
func deployments() []deployment {
	const slots, connections = 64, 64
	return []deployment{
		{
			"Trust",
			[]part{
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
			[]part{
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

// pack places random tasks until one does not fit and returns the share of the fullest dimension in use.
func pack(d deployment, rng *rand.Rand, score func(size, free, capacity unit.Size) float64) float64 {
	var ledgers []*ledger.Ledger
	var total, used unit.Size
	for _, p := range d.parts {
		for range p.workers {
			ledgers = append(ledgers, ledger.New(p.capacity))
			total = total.Add(p.capacity)
		}
	}
	index := place.NewIndex(len(ledgers))
	for i, l := range ledgers {
		index.Set(i, l.Free(false))
	}
	weights := make([]int, len(d.sizes))
	sum := 0
	for i := range weights {
		weights[i] = 1 + rng.IntN(10)
		sum += weights[i]
	}
	for n := 0; ; n++ {
		size := d.sizes[drawn(weights, rng.IntN(sum))]
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

func drawn(weights []int, at int) int {
	for i, w := range weights {
		if at < w {
			return i
		}
		at -= w
	}
	return len(weights) - 1
}

// Packing measures how full the cell is when the first fitting task is refused.
func Packing(seed uint64) []Row {
	var rows []Row
	spread := func(size, free, capacity unit.Size) float64 { return place.Spread(size, free, capacity, 0) }
	for _, d := range deployments() {
		full, plain, least := 0.0, 0.0, 1.0
		for mix := range packMixes {
			share := pack(d, rand.New(rand.NewPCG(seed, uint64(mix))), place.Tight)
			full += share / packMixes
			least = min(least, share)
			plain += pack(d, rand.New(rand.NewPCG(seed, uint64(mix))), spread) / packMixes
		}
		// The bound is a cell whose fullest dimension is used up, which no order of tasks can pass.
		rows = append(rows, Row{
			"packing: fullest dimension in use", fmt.Sprintf("%s, mean of %d mixes", d.name, packMixes),
			fmt.Sprintf("%.3f (least %.3f)", full, least), fmt.Sprintf("%.3f", plain), ">= 0.950 of 1", full >= 0.95,
		})
	}
	return rows
}
