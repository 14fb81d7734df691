package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/corianderdrift/corianderdrift/place"
	"github.com/corianderdrift/corianderdrift/unit"
)

func drawSize(t *rapid.T, maxValue int64) unit.Size {
	draw := func(name string) int64 { return rapid.Int64Range(0, maxValue).Draw(t, name) }
	return unit.Size{CPUMilli: draw("cpu"), MemoryMiB: draw("memory"), Accelerators: draw("accelerators"), Slots: draw("slots")}
}

func TestIndexFindsExactlyWhatFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "workers")
		index := place.NewIndex(n)
		free := map[int]unit.Size{}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "worker")
				free[i] = drawSize(t, 10)
				index.Set(i, free[i])
			},
			"clear": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "worker")
				delete(free, i)
				index.Clear(i)
			},
			"": func(t *rapid.T) {
				size := drawSize(t, 10)
				found := map[int]bool{}
				index.Each(size, func(i int, f unit.Size) bool {
					if f != free[i] || found[i] {
						t.Fatalf("worker %d visited twice or with the wrong free capacity", i)
					}
					found[i] = true
					return true
				})
				for i, f := range free {
					if size.Fits(f) != found[i] {
						t.Fatalf("worker %d with %v free, %v needed: visited %v", i, f, size, found[i])
					}
				}
			},
		})
	})
}

func TestWorkWithoutAcceleratorsLeavesThemFree(t *testing.T) {
	c := qt.New(t)
	capacities := []unit.Size{
		{CPUMilli: 32000, MemoryMiB: 128000, Accelerators: 8, Slots: 8},
		{CPUMilli: 16000, MemoryMiB: 32000, Slots: 8},
	}
	index := place.NewIndex(len(capacities))
	for i, capacity := range capacities {
		index.Set(i, capacity)
	}
	size := unit.Size{CPUMilli: 1000, MemoryMiB: 1000, Slots: 1}
	for _, score := range []func(int, unit.Size) float64{
		func(i int, free unit.Size) float64 { return place.PackScore(size, free, capacities[i]) },
		func(i int, free unit.Size) float64 { return place.SpreadScore(size, free, capacities[i], 0) },
	} {
		c.Check(index.Best(size, score), qt.Equals, 1)
	}
}

func BenchmarkPlacement(b *testing.B) {
	for _, workers := range []int{10, 81, 810, 8100} {
		b.Run(fmt.Sprintf("%d workers", workers), func(b *testing.B) {
			capacity := unit.Size{CPUMilli: 64000, MemoryMiB: 256000, Accelerators: 8, Slots: 64, Connections: 64}
			index := place.NewIndex(workers)
			rng := rand.New(rand.NewPCG(1, 1))
			// Each worker carries about 25 tasks, as at the target size.
			for i := range workers {
				used := unit.Size{CPUMilli: 40000 + rng.Int64N(24000), MemoryMiB: 200000, Slots: 25}
				index.Set(i, capacity.Sub(used))
			}
			size := unit.Size{CPUMilli: 1000, MemoryMiB: 1000, Slots: 1}
			b.ReportAllocs()
			for b.Loop() {
				i := index.Best(size, func(_ int, free unit.Size) float64 { return place.PackScore(size, free, capacity) })
				free := index.Free(i)
				index.Set(i, free.Sub(size))
				index.Set(i, free)
			}
		})
	}
}
