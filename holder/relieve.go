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

// Limits of taking long work off its worker for short work that waits.
const (
	preemptAfter  = 20 * time.Millisecond
	preemptMinRun = 2 * time.Second
	preemptMost   = 4
)

// Preempt takes long work off workers, now and then, while short or urgent work waits without room.
func (p *Pool) Preempt(ctx context.Context) error {
	ticker := time.NewTicker(preemptAfter)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			p.preemptOnce(ctx)
			p.resumeSome(ctx)
		}
	}
}

type victim struct {
	held *Held
	task string
}

func (p *Pool) preemptOnce(ctx context.Context) {
	for _, v := range p.victims(time.Now()) {
		if p.checkpoint(ctx, v.held, v.task) {
			p.stats.Preempted()
		}
	}
}

// victims chooses long tasks whose room short or urgent work needs now.
func (p *Pool) victims(now time.Time) []victim {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []victim
	if p.cfg.Plain {
		return nil
	}
	for lane := range p.lanes {
		p.lanes[lane].Scan(scanMisses, func(item *queue.Item[*waiter]) queue.Verdict {
			w := item.Value
			if len(chosen) >= preemptMost {
				return queue.Halt
			}
			if now.Sub(w.since) < preemptAfter || (w.long && !w.need.Work.Urgent) {
				return queue.Blocked
			}
			if v, ok := p.victimFor(w, now); ok {
				chosen = append(chosen, v)
			}
			return queue.Blocked
		})
	}
	return chosen
}

func (p *Pool) victimFor(w *waiter, now time.Time) (victim, bool) {
	var best victim
	var longest time.Duration
	for _, h := range p.places {
		if h == nil || !h.usable() {
			continue
		}
		for task, r := range h.running {
			age := now.Sub(r.since)
			if !r.checkpointable || r.suspended || age < preemptMinRun || age <= longest {
				continue
			}
			if w.size.Fits(h.ledger.Free(false).Add(r.size)) {
				best, longest = victim{h, task}, age
			}
		}
	}
	if best.held != nil {
		r := best.held.running[best.task]
		r.suspended = true
		best.held.running[best.task] = r
	}
	return best, best.held != nil
}

func (p *Pool) checkpoint(ctx context.Context, h *Held, task string) bool {
	err := h.client.Checkpoint(ctx, task)
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := h.running[task]
	if !ok {
		return err == nil
	}
	r.suspended = err == nil
	r.since = time.Now()
	h.running[task] = r
	if err != nil {
		return false
	}
	item, _ := h.ledger.Get(task)
	if item.Long && !item.Free {
		p.longUsed = p.longUsed.Sub(item.Size)
	}
	h.ledger.Suspend(task)
	p.reindex(h)
	p.dispatch()
	return true
}

// resumeSome lets checkpointed work go on where there is room that nobody waits for.
func (p *Pool) resumeSome(ctx context.Context) {
	for _, v := range p.resumable(time.Now()) {
		p.resume(ctx, v)
	}
}

func (p *Pool) resumable(now time.Time) []victim {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []victim
	if p.lanes[laneShort].Len() > 0 {
		return nil
	}
	for _, h := range p.places {
		if h == nil || !h.ready {
			continue
		}
		for task, r := range h.running {
			const rest = 500 * time.Millisecond
			if !r.suspended || now.Sub(r.since) < rest || len(chosen) >= preemptMost {
				continue
			}
			item, _ := h.ledger.Get(task)
			if !item.Free || h.ledger.Resume(task) != nil {
				continue
			}
			if item.Long {
				p.longUsed = p.longUsed.Add(item.Size)
			}
			p.reindex(h)
			chosen = append(chosen, victim{h, task})
		}
	}
	return chosen
}

func (p *Pool) resume(ctx context.Context, v victim) {
	epoch, valid := v.held.lease.Valid(time.Now())
	err := error(reason.Refuse(reason.LeaseLost, "worker %s", v.held.name))
	if valid {
		err = v.held.client.Resume(ctx, v.task, p.cfg.Holder, epoch)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := v.held.running[v.task]
	if !ok {
		return
	}
	if err == nil {
		r.suspended, r.since = false, time.Now()
		v.held.running[v.task] = r
		return
	}
	// Whether it goes on is not known, so its room stays taken until the worker tells.
	p.log.WithFields(map[string]any{fieldWorker: v.held.name, "task": v.task}).WithError(err).Warn("resume failed")
}
