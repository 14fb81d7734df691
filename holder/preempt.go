package holder

import (
	"context"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/queue"
	"github.com/corianderdrift/corianderdrift/reason"
)

// Limits of taking long work off its worker for short work that waits.
const (
	preemptAfter  = 20 * time.Millisecond
	preemptIdle   = 500 * time.Millisecond
	preemptMinRun = 2 * time.Second
	preemptMost   = 4
)

// Preempt takes long work off workers, now and then, while short or urgent work waits without room.
func (p *Pool) Preempt(ctx context.Context) error {
	for {
		pause := preemptIdle
		if p.Waiting() > 0 {
			pause = preemptAfter
		}
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-p.waits:
			timer.Stop()
			clock.Pause(ctx, preemptAfter)
		case <-timer.C:
		}
		p.preemptOnce(ctx)
		p.resumeSome(ctx)
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
