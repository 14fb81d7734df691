package place

import "github.com/corianderdrift/corianderdrift/unit"

// Index is a tree over workers in which each node holds the maximum free capacity below it, dimension by dimension.
type Index struct {
	leaves int
	nodes  []unit.Size
}

// unavailable is less than any task needs.
var unavailable = unit.Size{CPUMilli: -1, MemoryMiB: -1, Accelerators: -1, Slots: -1, Connections: -1}

// NewIndex returns an index of at least n workers, all unavailable.
func NewIndex(n int) *Index {
	leaves := 1
	for leaves < n {
		leaves *= 2
	}
	x := &Index{leaves: leaves, nodes: make([]unit.Size, 2*leaves)}
	for i := range x.nodes {
		x.nodes[i] = unavailable
	}
	return x
}

// Len returns the number of workers that fit into the index.
func (x *Index) Len() int { return x.leaves }

// Set sets the free capacity of worker i.
func (x *Index) Set(i int, free unit.Size) {
	n := x.leaves + i
	x.nodes[n] = free
	for n > 1 {
		n /= 2
		maxFree := x.nodes[2*n].Max(x.nodes[2*n+1])
		if x.nodes[n] == maxFree {
			return
		}
		x.nodes[n] = maxFree
	}
}

// Clear makes worker i unavailable.
func (x *Index) Clear(i int) { x.Set(i, unavailable) }

// Free returns the free capacity of worker i.
func (x *Index) Free(i int) unit.Size { return x.nodes[x.leaves+i] }

// MayFit reports whether size may fit on some worker; if false, it fits on none.
func (x *Index) MayFit(size unit.Size) bool { return size.Fits(x.nodes[1]) }

// Each calls visit for the workers on which size fits, until visit returns false. It descends first into the half of the
// tree with less free CPU.
func (x *Index) Each(size unit.Size, visit func(i int, free unit.Size) bool) {
	x.each(1, size, visit)
}

func (x *Index) each(n int, size unit.Size, visit func(i int, free unit.Size) bool) bool {
	if !size.Fits(x.nodes[n]) {
		return true
	}
	if n >= x.leaves {
		return visit(n-x.leaves, x.nodes[n])
	}
	first, second := 2*n, 2*n+1
	if x.nodes[second].CPUMilli < x.nodes[first].CPUMilli {
		first, second = second, first
	}
	return x.each(first, size, visit) && x.each(second, size, visit)
}

// maxCandidates is how many fitting workers are compared for one task.
const maxCandidates = 12

// Best returns the worker with the lowest score among the first maxCandidates that fit, or -1 if there is none. A negative
// score excludes a worker.
func (x *Index) Best(size unit.Size, score func(i int, free unit.Size) float64) int {
	best, bestScore, numScored := -1, 0.0, 0
	x.Each(size, func(i int, free unit.Size) bool {
		s := score(i, free)
		if s < 0 {
			return true
		}
		if best < 0 || s < bestScore {
			best, bestScore = i, s
		}
		numScored++
		return numScored < maxCandidates
	})
	return best
}
