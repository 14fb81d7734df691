package cell

import (
	"iter"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/corianderdrift/corianderdrift/unit"
)

// anyFreeCPU is a minimum of free CPU that every worker meets.
const anyFreeCPU = math.MinInt64

// bucketCPU is the range of free CPU that a bucket of the index covers, in thousandths of a core, and numBuckets their number; the last
// one has no upper bound.
const (
	bucketCPU  = 1000
	numBuckets = 64
)

// candidateIndex lists the workers that may get work in one plan, those with most free CPU first, so that a backlog in a full
// group does not scan all workers for each step.
type candidateIndex struct {
	planNumber uint64
	workers    []*worker
	// buckets holds the workers by their free CPU at the start of the plan, which can only shrink during the plan.
	buckets [numBuckets][]*worker
	// capacity is that of all of them, free the part of it that is free, and headroom the part of that which is kept for latency-sensitive
	// work.
	capacity unit.Size
	free     unit.Size
	headroom unit.Size
	// withoutOldConn counts the workers that are left out because no connection to them is old enough.
	withoutOldConn int
}

func (idx *candidateIndex) rebuild(c *Cell, minConnAge time.Duration, now time.Time) {
	idx.planNumber++
	idx.workers = idx.workers[:0]
	for i := range idx.buckets {
		idx.buckets[i] = idx.buckets[i][:0]
	}
	idx.capacity, idx.free, idx.withoutOldConn = unit.Size{}, unit.Size{}, 0
	for _, w := range c.sortedWorkers() {
		if !c.mayGetWork(w, now) {
			continue
		}
		if !c.hasOldConn(w, minConnAge) {
			idx.withoutOldConn++
			continue
		}
		w.lastPlanNumber, w.plannedFreeCPU = idx.planNumber, w.freeCPU()
		bucket := bucketOf(w.plannedFreeCPU)
		idx.workers = append(idx.workers, w)
		idx.buckets[bucket] = append(idx.buckets[bucket], w)
		idx.capacity = idx.capacity.Add(w.info.Capacity)
		idx.free = idx.free.Add(w.info.Capacity.Sub(w.used).Max(unit.Size{}))
	}
	c.urgentDemand.decay(now)
	idx.headroom = c.urgentDemand.headroom(idx.capacity.Scale(maxHeadroomShare))
}

func bucketOf(freeCPU int64) int {
	return int(max(0, min(freeCPU/bucketCPU, numBuckets-1)))
}

// sortedWorkers returns the workers by id; the list must not be modified.
func (c *Cell) sortedWorkers() []*worker {
	if len(c.workerList) != len(c.workers) {
		c.workerList = slices.SortedFunc(maps.Values(c.workers), func(a, b *worker) int { return strings.Compare(a.info.ID, b.info.ID) })
	}
	return c.workerList
}

// mayGetWork reports whether a worker may get any work.
func (c *Cell) mayGetWork(w *worker, now time.Time) bool { return c.barred(w, now) == "" }

// barred returns why a worker may not get any work; empty if it may.
func (c *Cell) barred(w *worker, now time.Time) WorkerReason {
	switch {
	case !w.listed:
		return WorkerLeft
	case w.info.Draining:
		return WorkerDraining
	case !w.isEntryCurrent() || !w.polled:
		return WorkerUnpolled
	case !w.recorded || c.unrenewedWorkers[w.info.ID]:
		return WorkerUnrecorded
	case c.isSuspect(w):
		return WorkerSuspected
	case now.Before(w.quarantinedUntil):
		return WorkerQuarantined
	case len(w.unknownRuns) > 0 || len(w.toFence) > 0 || now.Before(w.lateAckUntil):
		// It must run nothing that is not known, and must not drop the ends of new runs for a late acknowledgement.
		return WorkerUnsettled
	default:
		return ""
	}
}

// contains reports whether a worker may get work in this plan.
func (idx *candidateIndex) contains(w *worker) bool { return w.lastPlanNumber == idx.planNumber }

// withFreeCPU yields the workers with at least minFreeCPU at the start of the plan, those with most first.
func (idx *candidateIndex) withFreeCPU(minFreeCPU int64) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for i := numBuckets - 1; i >= bucketOf(minFreeCPU); i-- {
			for _, w := range idx.buckets[i] {
				if w.plannedFreeCPU >= minFreeCPU && !yield(w) {
					return
				}
			}
		}
	}
}

func (w *worker) freeCPU() int64 { return w.info.Capacity.CPUMilli - w.used.CPUMilli }
