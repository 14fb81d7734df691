package holder

import (
	"context"
	"time"

	"github.com/corianderdrift/corianderdrift/queue"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

const (
	// relievePct is the share of a worker's memory above which a task that takes more than it declared is taken off.
	relievePct = 85
	// usageLag is how old the workers' reports of usage are.
	usageLag = 500 * time.Millisecond
	// usageHorizon is how far ahead the growth of a task is reckoned: the lag, the time to the next report, and the call.
	usageHorizon = usageLag + fastRenewal + 250*time.Millisecond
	// fastRenewal is the time between renewals while a task takes more than it declared.
	fastRenewal = 150 * time.Millisecond
)

// relieve acts on tasks that take more than they declared, before the worker is over.
func (h *Held) relieve(ctx context.Context, usage []worker.Usage) {
	for _, u := range usage {
		declared, tight, known := h.pool.noteUsage(h, u)
		if !known {
			continue
		}
		if u.CPUMilli > declared.CPUMilli {
			if err := h.client.Throttle(ctx, u.Task, declared.CPUMilli); err == nil {
				h.pool.stats.WorkerEvent("throttled")
			}
		}
		if tight && u.MemoryMiB > declared.MemoryMiB {
			h.takeOff(ctx, u.Task)
		}
	}
}

func (p *Pool) noteUsage(h *Held, u worker.Usage) (declared unitSize, tight, known bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	item, ok := h.ledgerItem(u.Task)
	if !ok {
		return unitSize{}, false, false
	}
	r := h.running[u.Task]
	measured := item.Size
	measured.MemoryMiB = max(measured.MemoryMiB, u.MemoryMiB)
	p.book.Took(r.work, measured)
	measured.MemoryMiB = max(measured.MemoryMiB, r.foretold(u.MemoryMiB, time.Now()))
	h.ledger.Resize(u.Task, measured)
	h.running[u.Task] = r
	p.reindex(h)
	used, capacity := h.ledger.Used().MemoryMiB, h.ledger.Capacity().MemoryMiB
	return r.size, used*100 > capacity*relievePct, true
}

// foretold returns the memory that a task will have by the time that something can be done about it.
func (r *run) foretold(now int64, at time.Time) int64 {
	before, since := r.size.MemoryMiB, r.since.Add(usageLag)
	if !r.seenAt.IsZero() {
		before, since = r.seen, r.seenAt
	}
	const least = 50 * time.Millisecond
	grown := float64(now-before) / max(least, at.Sub(since)).Seconds()
	r.seen, r.seenAt = now, at
	return now + int64(grown*usageHorizon.Seconds())
}

func (h *Held) ledgerItem(task string) (item struct{ Size unitSize }, ok bool) {
	if h.ledger == nil {
		return item, false
	}
	found, ok := h.ledger.Get(task)
	item.Size = found.Size
	return item, ok && !found.Free
}

// takeOff checkpoints a task that may be, and stops it otherwise.
func (h *Held) takeOff(ctx context.Context, task string) {
	p := h.pool
	p.mu.Lock()
	checkpointable := h.running[task].checkpointable
	p.mu.Unlock()
	if checkpointable && p.checkpoint(ctx, h, task) {
		return
	}
	if state, err := h.client.Stop(ctx, task); err == nil && state.Over() {
		p.stats.WorkerEvent("stopped-over-size")
		p.log.WithFields(map[string]any{fieldWorker: h.name, "task": task}).Warn("task stopped: it took more than it declared")
		p.mu.Lock()
		p.releaseTask(h, task)
		p.mu.Unlock()
	}
}

// drainQueue refuses all that waits in a lane; p.mu is held.
func (p *Pool) drainQueue(q *queue.Queue[*waiter]) {
	q.Scan(1, func(item *queue.Item[*waiter]) queue.Verdict {
		item.Value.ready <- outcome{err: reason.Refuse(reason.NoWorkers, "this entry host lost its last worker")}
		return queue.Dropped
	})
}
