package holder

import (
	"context"
	"errors"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/queue"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

// Timing and limits of preemption.
const (
	preemptDelay        = 20 * time.Millisecond
	preemptIdleInterval = 500 * time.Millisecond
	preemptMinRunTime   = 2 * time.Second
	maxVictims          = 4
)

// Preempt checkpoints tasks for short or urgent work that waits for capacity, and later resumes them, until ctx is done.
func (p *Pool) Preempt(ctx context.Context) error {
	for {
		pause := preemptIdleInterval
		if p.Waiting() > 0 {
			pause = preemptDelay
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-p.waitSignal:
			timer.Stop()
			clock.Pause(ctx, preemptDelay)
		case <-timer.C:
		}
		p.preemptOnce(ctx)
		p.resumeSuspended(ctx)
	}
}

// taskRef identifies a task on a worker.
type taskRef struct {
	worker *HeldWorker
	task   string
}

func (p *Pool) preemptOnce(ctx context.Context) {
	for _, v := range p.chooseVictims(time.Now()) {
		if p.checkpoint(ctx, v.worker, v.task) {
			p.stats.Preempted()
		}
	}
}

// chooseVictims chooses checkpointable tasks to preempt for waiting short or urgent work, and marks them suspended.
func (p *Pool) chooseVictims(now time.Time) []taskRef {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []taskRef
	if p.cfg.Plain {
		return nil
	}
	for lane := range p.lanes {
		p.lanes[lane].Scan(maxBlockedOwners, func(item *queue.Item[*waiter]) queue.Verdict {
			w := item.Value
			if len(chosen) >= maxVictims {
				return queue.EndScan
			}
			if now.Sub(w.waitingSince) < preemptDelay || (w.long && !w.need.Work.Urgent) {
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

// victimFor chooses the task that has run longest among those whose preemption lets w start, and marks it suspended.
func (p *Pool) victimFor(w *waiter, now time.Time) (taskRef, bool) {
	var best taskRef
	var longestAge time.Duration
	for _, h := range p.indexedWorkers {
		if h == nil || !h.usable() {
			continue
		}
		for task, r := range h.running {
			age := now.Sub(r.stateSince)
			if !r.checkpointable || r.suspended || age < preemptMinRunTime || age <= longestAge {
				continue
			}
			if w.size.Fits(h.ledger.Free(false).Add(r.size)) {
				best, longestAge = taskRef{h, task}, age
			}
		}
	}
	if best.worker != nil {
		r := best.worker.running[best.task]
		r.suspended = true
		best.worker.running[best.task] = r
	}
	return best, best.worker != nil
}

// underLease returns a context for a call to the worker that must not be sent after the lease has expired, because the worker doesn't check
// who sends it; it reports false if the lease isn't valid.
func (h *HeldWorker) underLease(ctx context.Context) (context.Context, context.CancelFunc, bool) {
	remaining := h.lease.Remaining(h.pool.cfg.SinceBoot())
	ctx, cancel := context.WithTimeout(ctx, remaining)
	return ctx, cancel, remaining > 0
}

func (p *Pool) checkpoint(ctx context.Context, h *HeldWorker, task string) bool {
	err := error(reason.Refuse(reason.LeaseLost, "worker %s", h.name))
	callCtx, cancel, valid := h.underLease(ctx)
	defer cancel()
	noEffect := true
	if valid {
		err = h.client.Checkpoint(callCtx, task)
		noEffect = err != nil && hadNoEffect(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := h.running[task]
	if !ok {
		return err == nil
	}
	r.uncertain = err != nil && !noEffect
	r.suspended = err == nil || r.uncertain
	r.stateSince = time.Now()
	h.running[task] = r
	if err != nil {
		return false
	}
	item, _ := h.ledger.Get(task)
	if item.Long && !item.Suspended {
		p.longUsed = p.longUsed.Sub(item.Size)
	}
	h.ledger.Suspend(task)
	// The size may be a prediction that no worker could hold; while the task is suspended no report corrects it.
	size := item.Size
	size.MemoryMiB = min(r.measuredMemory(), h.ledger.Capacity().MemoryMiB)
	h.ledger.Resize(task, size)
	p.updateIndexes(h)
	p.dispatch()
	return true
}

// resumeSuspended resumes checkpointed tasks where capacity is free and no short work waits.
func (p *Pool) resumeSuspended(ctx context.Context) {
	for _, v := range p.allocateResumable(time.Now()) {
		p.resume(ctx, v)
	}
}

// allocateResumable returns suspended tasks that can be resumed, after it has allocated capacity for them again.
func (p *Pool) allocateResumable(now time.Time) []taskRef {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []taskRef
	if p.lanes[laneShort].Len() > 0 {
		return nil
	}
	for _, h := range p.indexedWorkers {
		if h == nil || !h.ready {
			continue
		}
		for task, r := range h.running {
			const minSuspension = 500 * time.Millisecond
			if !r.suspended || now.Sub(r.stateSince) < minSuspension || len(chosen) >= maxVictims {
				continue
			}
			if r.uncertain {
				chosen = append(chosen, taskRef{h, task})
				continue
			}
			item, _ := h.ledger.Get(task)
			if !item.Suspended || h.ledger.Resume(task) != nil {
				continue
			}
			if item.Long {
				p.longUsed = p.longUsed.Add(item.Size)
			}
			p.updateIndexes(h)
			chosen = append(chosen, taskRef{h, task})
		}
	}
	return chosen
}

func (p *Pool) resume(ctx context.Context, v taskRef) {
	h := v.worker
	p.mu.Lock()
	wasUncertain, heldEpoch := h.running[v.task].uncertain, h.epoch
	p.mu.Unlock()
	epoch, valid := h.validLease()
	err := error(reason.Refuse(reason.LeaseLost, "worker %s", h.name))
	noEffect := true
	if valid && epoch == heldEpoch {
		err = h.client.Resume(ctx, v.task, p.cfg.Holder, epoch)
		noEffect = err != nil && hadNoEffect(err)
	}
	if noEffect && wasUncertain && h.runs(ctx, v.task) {
		err = nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := h.running[v.task]
	if !ok || h.epoch != heldEpoch {
		return
	}
	r.stateSince = time.Now()
	r.suspended = err != nil
	r.uncertain = err != nil && (wasUncertain || !noEffect)
	h.running[v.task] = r
	if err == nil {
		return
	}
	p.log.WithFields(map[string]any{fieldWorker: h.name, "task": v.task}).WithError(err).Warn("could not resume the task")
	if r.uncertain {
		return
	}
	item, _ := h.ledger.Get(v.task)
	if item.Long && !item.Suspended {
		p.longUsed = p.longUsed.Sub(item.Size)
	}
	h.ledger.Suspend(v.task)
	p.updateIndexes(h)
	p.dispatch()
}

// runs reports whether the worker answers that it runs a task.
func (h *HeldWorker) runs(ctx context.Context, task string) bool {
	ctx, cancel := context.WithTimeout(ctx, responseTimeout)
	defer cancel()
	answer, err := h.client.Attach(ctx, task, 0)
	return err == nil && answer.State == worker.Running
}

// hadNoEffect reports whether a failed call to a worker provably had no effect.
func hadNoEffect(err error) bool {
	var unreachable *worker.UnreachableError
	var notConnected *worker.NotConnectedError
	var refused *worker.RefusedError
	return errors.As(err, &unreachable) || errors.As(err, &notConnected) || errors.As(err, &refused)
}
