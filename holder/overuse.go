package holder

import (
	"context"
	"time"

	"github.com/corianderdrift/corianderdrift/queue"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

const (
	// evictMemoryPct is the share of a worker's memory in use above which a task that uses more than it declared is evicted.
	evictMemoryPct = 85
	// usageReportLag is the age of the usage that workers report.
	usageReportLag = 500 * time.Millisecond
	// memoryPredictionTime is how far ahead a task's memory is predicted: the lag, the time to the next report, and the call.
	memoryPredictionTime = usageReportLag + fastRenewInterval + 250*time.Millisecond
	// fastRenewInterval is the time between renewals while a task uses more than it declared.
	fastRenewInterval = 150 * time.Millisecond
)

// limitOveruse throttles or evicts tasks that use more than they declared, before the worker runs out of memory.
func (h *HeldWorker) limitOveruse(ctx context.Context, usage []worker.Usage) {
	for _, u := range usage {
		declared, memoryTight, known := h.pool.recordUsage(h, u)
		if !known {
			continue
		}
		if u.CPUMilli > declared.CPUMilli {
			h.throttle(ctx, u.Task, declared.CPUMilli)
		}
		if memoryTight && u.MemoryMiB > declared.MemoryMiB {
			h.evict(ctx, u.Task)
		}
	}
}

func (h *HeldWorker) throttle(ctx context.Context, task string, cpuMilli int64) {
	ctx, cancel, valid := h.underLease(ctx)
	defer cancel()
	if valid && h.client.Throttle(ctx, task, cpuMilli) == nil {
		h.pool.stats.WorkerEvent("throttled")
	}
}

func (p *Pool) recordUsage(h *HeldWorker, u worker.Usage) (declared unitSize, memoryTight, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	item, ok := h.ledgerItem(u.Task)
	if !ok {
		return unitSize{}, false, false
	}
	r := h.running[u.Task]
	r.peakMemoryMiB = max(r.peakMemoryMiB, u.MemoryMiB)
	measured := item.Size
	measured.MemoryMiB = r.measuredMemory()
	p.estimator.RecordSize(r.work, measured)
	measured.MemoryMiB = max(measured.MemoryMiB, r.predictMemory(u.MemoryMiB, time.Now()))
	h.ledger.Resize(u.Task, measured)
	h.running[u.Task] = r
	p.updateIndexes(h)
	used, capacity := h.ledger.Used().MemoryMiB, h.ledger.Capacity().MemoryMiB
	return r.size, used*100 > capacity*evictMemoryPct, true
}

// measuredMemory returns the most memory that the worker has reported for a task, or the declared amount if that is more.
func (r *run) measuredMemory() int64 { return max(r.size.MemoryMiB, r.peakMemoryMiB) }

// predictMemory predicts the memory that a task uses by the time that an eviction could take effect.
func (r *run) predictMemory(current int64, at time.Time) int64 {
	previous, since := r.size.MemoryMiB, r.stateSince.Add(usageReportLag)
	if !r.reportedAt.IsZero() {
		previous, since = r.reportedMemoryMiB, r.reportedAt
	}
	const minInterval = 50 * time.Millisecond
	growthRate := float64(current-previous) / max(minInterval, at.Sub(since)).Seconds()
	r.reportedMemoryMiB, r.reportedAt = current, at
	return current + int64(growthRate*memoryPredictionTime.Seconds())
}

func (h *HeldWorker) ledgerItem(task string) (item struct{ Size unitSize }, ok bool) {
	if h.ledger == nil {
		return item, false
	}
	found, ok := h.ledger.Get(task)
	item.Size = found.Size
	return item, ok && !found.Suspended
}

// evict checkpoints a task if possible, and stops it otherwise.
func (h *HeldWorker) evict(ctx context.Context, task string) {
	p := h.pool
	p.mu.Lock()
	checkpointable := h.running[task].checkpointable
	p.mu.Unlock()
	if checkpointable && p.checkpoint(ctx, h, task) {
		return
	}
	ctx, cancel, valid := h.underLease(ctx)
	defer cancel()
	if !valid {
		return
	}
	if state, err := h.client.Stop(ctx, task); err == nil && state.Terminal() {
		p.stats.WorkerEvent("stopped-over-size")
		p.log.WithFields(map[string]any{fieldWorker: h.name, "task": task}).Warn("task stopped: it used more memory than it declared")
		p.mu.Lock()
		p.releaseTask(h, task)
		p.mu.Unlock()
	}
}

// refuseLane refuses all tasks that wait in a lane; p.mu is held.
func (p *Pool) refuseLane(q *queue.Queue[*waiter]) {
	q.Scan(1, func(item *queue.Item[*waiter]) queue.Verdict {
		item.Value.result <- outcome{err: reason.Refuse(reason.NoWorkers, "this entry host lost its last worker")}
		return queue.Dropped
	})
}
