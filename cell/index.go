package cell

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/unit"
)

// anyFreeCPU is a minimum of free CPU that every worker meets.
const anyFreeCPU = math.MinInt64

// candidateIndex lists the workers that may get work in one plan, those with most free CPU first, so that a backlog in a full
// group does not scan all workers for each step.
type candidateIndex struct {
	planNumber uint64
	entries    []indexEntry
	// free is the free capacity of all of them, and headroom the part of it that is kept for urgent work.
	free     unit.Size
	headroom unit.Size
}

// indexEntry is a worker with its free CPU at the start of the plan, which can only shrink during the plan.
type indexEntry struct {
	w       *worker
	freeCPU int64
}

func (idx *candidateIndex) rebuild(c *Cell, now time.Time) {
	idx.planNumber++
	idx.entries = idx.entries[:0]
	idx.free = unit.Size{}
	var capacity unit.Size
	for _, w := range c.workers {
		if !c.mayGetWork(w, now) {
			continue
		}
		w.lastPlanNumber = idx.planNumber
		idx.entries = append(idx.entries, indexEntry{w, w.freeCPU()})
		capacity = capacity.Add(w.info.Capacity)
		idx.free = idx.free.Add(w.info.Capacity.Sub(w.used).Max(unit.Size{}))
	}
	c.urgentDemand.decay(now)
	idx.headroom = c.urgentDemand.headroom(capacity)
	slices.SortFunc(idx.entries, func(a, b indexEntry) int {
		switch {
		case a.freeCPU != b.freeCPU:
			return int(b.freeCPU - a.freeCPU)
		case a.w.info.ID < b.w.info.ID:
			return -1
		default:
			return 1
		}
	})
}

// mayGetWork reports whether a worker may get any work.
func (c *Cell) mayGetWork(w *worker, now time.Time) bool {
	switch {
	case !w.listed || !w.isEntryCurrent() || w.info.Draining || !c.recordedWorkers[w.info.ID]:
		return false
	case !w.polled || c.isSuspect(w) || now.Before(w.quarantinedUntil):
		return false
	default:
		// It must run nothing that is not known, and must not drop the ends of new runs for a late acknowledgement.
		return len(w.unknownRuns) == 0 && len(w.toFence) == 0 && !now.Before(w.lateAckUntil)
	}
}

// contains reports whether a worker may get work in this plan.
func (idx *candidateIndex) contains(w *worker) bool { return w.lastPlanNumber == idx.planNumber }

// withFreeCPU yields the workers with at least minFreeCPU at the start of the plan.
func (idx *candidateIndex) withFreeCPU(minFreeCPU int64) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, entry := range idx.entries {
			if entry.freeCPU < minFreeCPU || !yield(entry.w) {
				return
			}
		}
	}
}

func (w *worker) freeCPU() int64 { return w.info.Capacity.CPUMilli - w.used.CPUMilli }
