package holder

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/ledger"
	"github.com/corianderdrift/corianderdrift/worker"
)

// keep takes, renews and hands over the worker's lease until ctx is done.
func (h *Held) keep(ctx context.Context) {
	defer h.client.Close()
	for {
		pause := h.step(ctx)
		timer := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-h.wake:
			timer.Stop()
		case <-timer.C:
		}
	}
}

func (h *Held) step(ctx context.Context) time.Duration {
	p := h.pool
	p.mu.Lock()
	wanted, ready, stopping := h.info.Wanted, h.ready, p.stopping
	p.mu.Unlock()
	pause := p.cfg.LeaseTTL / renewalsPerTTL
	switch {
	case ready && !wanted:
		h.handOver(ctx)
	case ready:
		if h.renew(ctx) {
			pause = min(pause, fastRenewal)
		}
	case wanted && !stopping:
		return h.take(ctx)
	}
	return jitter(pause)
}

func jitter(d time.Duration) time.Duration {
	const part = 10
	return d - d/part + rand.N(d/part+1)
}

// take asks for the lease, reads what runs on the worker, and only then lets work start there.
func (h *Held) take(ctx context.Context) time.Duration {
	p := h.pool
	pause := jitter(p.cfg.LeaseTTL / renewalsPerTTL)
	p.mu.Lock()
	epoch := h.epoch + 1
	p.mu.Unlock()
	sent := time.Now()
	reply, err := h.client.Lease(ctx, h.request(epoch, 0))
	if err != nil {
		return pause
	}
	if !reply.Granted {
		p.mu.Lock()
		h.epoch, h.lastHolder = max(h.epoch, reply.Epoch), reply.Holder
		p.mu.Unlock()
		remaining := time.Duration(reply.RemainingMillis) * time.Millisecond
		return min(pause, remaining+time.Millisecond)
	}
	h.lease.Granted(epoch, sent, p.cfg.LeaseTTL)
	state, err := h.client.State(ctx)
	if err != nil || state.Epoch != epoch {
		_ = h.client.Unlease(ctx, p.cfg.Holder, epoch)
		h.lease.Lost()
		return pause
	}
	h.adopt(epoch, sent, state, reply.Leaving)
	return pause
}

func (h *Held) request(epoch, acked uint64) worker.LeaseRequest {
	cfg := h.pool.cfg
	return worker.LeaseRequest{
		Holder: cfg.Holder, Epoch: epoch, Acked: acked,
		TTLMillis: cfg.LeaseTTL.Milliseconds(), TaskTTLMillis: cfg.TaskTTL.Milliseconds(),
	}
}

func (h *Held) adopt(epoch uint64, sent time.Time, state worker.State, leaving bool) {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	h.epoch, h.acked, h.renewed, h.selfLeaves = epoch, state.EndSequence, sent, leaving || state.Leaving
	h.info.Rack = state.Rack
	h.ledger = ledger.New(state.Capacity)
	h.ledger.SetReserve(p.reserveOf(state.Capacity))
	h.running = map[string]run{}
	h.health = health{}
	now := time.Now()
	for _, t := range state.Tasks {
		since := now.Add(-time.Duration(t.AgeMillis) * time.Millisecond)
		long := t.Service || now.Sub(since) > p.cfg.ShortLimit
		suspended := t.State == worker.Checkpointed
		h.ledger.Adopt(ledger.Item{Task: t.ID, Size: t.Size, Long: long, Free: suspended})
		h.running[t.ID] = run{
			work: t.Entry, owner: t.Owner, since: since, size: t.Size, suspended: suspended, quota: p.cfg.Quotas != nil,
		}
		if p.cfg.Quotas != nil {
			p.cfg.Quotas.Adopt(t.Owner, t.Size)
		}
		if long && !suspended {
			p.longUsed = p.longUsed.Add(t.Size)
		}
	}
	h.ready = true
	p.enter(h)
	p.stats.WorkerEvent("held")
	p.log.WithFields(map[string]any{fieldWorker: h.name, "epoch": epoch, "tasks": len(state.Tasks)}).Info("worker held")
	p.dispatch()
}

// renew renews the lease; it reports whether a task takes more than it declared.
func (h *Held) renew(ctx context.Context) bool {
	p := h.pool
	p.mu.Lock()
	epoch, acked := h.epoch, h.acked
	p.mu.Unlock()
	sent := time.Now()
	reply, err := h.client.Lease(ctx, h.request(epoch, acked))
	if err != nil {
		h.renewFailed(ctx, err)
		return false
	}
	if !reply.Granted {
		h.lose("another holder has the lease")
		return false
	}
	h.lease.Granted(epoch, sent, p.cfg.LeaseTTL)
	h.settleRenewal(sent, reply)
	h.relieve(ctx, reply.Usage)
	return len(reply.Usage) > 0
}

func (h *Held) renewFailed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if _, ok := h.lease.Valid(time.Now()); ok {
		return
	}
	var refused *worker.RefusedError
	if errors.As(err, &refused) {
		h.lose(string(refused.Fault))
		return
	}
	h.lose("the lease ran out without an answer")
}

func (h *Held) lose(why string) {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !h.ready {
		return
	}
	p.drop(h)
	p.stats.WorkerEvent("lost")
	p.log.WithFields(map[string]any{fieldWorker: h.name, "why": why}).Warn("worker's lease lost")
	p.dispatch()
}

func (h *Held) settleRenewal(sent time.Time, reply worker.LeaseReply) {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	h.renewed = sent
	if h.selfLeaves != reply.Leaving {
		h.selfLeaves = reply.Leaving
		p.log.WithFields(map[string]any{fieldWorker: h.name, "leaving": reply.Leaving}).Info("worker's own word on leaving")
	}
	for _, end := range reply.Ended {
		h.acked = max(h.acked, end.Sequence)
		if r, ok := h.running[end.Task]; ok && r.class != entry.Request {
			p.book.Ran(r.work, time.Since(r.since), end.State == worker.TaskFailed)
		}
		p.releaseTask(h, end.Task)
	}
	p.reclassify(h)
	p.reindex(h)
	p.dispatch()
}

// reclassify counts work that outran the limit for short work as long; p.mu is held.
func (p *Pool) reclassify(h *Held) {
	now := time.Now()
	for task, r := range h.running {
		item, ok := h.ledger.Get(task)
		if !ok || item.Long || item.Free || now.Sub(r.since) <= p.cfg.ShortLimit {
			continue
		}
		h.ledger.MarkLong(task)
		p.longUsed = p.longUsed.Add(item.Size)
	}
}

// handOver gives the lease back; running tasks stay for the next holder to adopt.
func (h *Held) handOver(ctx context.Context) {
	p := h.pool
	p.mu.Lock()
	epoch := h.epoch
	h.info.Wanted = false
	h.handing = true
	p.reindex(h)
	p.mu.Unlock()
	// Starts that were sent under the lease reach the worker before the lease is given back.
	clock.Pause(ctx, startGrace)
	p.mu.Lock()
	h.handing = false
	p.drop(h)
	p.mu.Unlock()
	p.stats.WorkerEvent("handed-over")
	if err := h.client.Unlease(ctx, p.cfg.Holder, epoch); err == nil {
		p.log.WithField(fieldWorker, h.name).Info("worker handed over")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch()
}

// HandOverAll gives all leases back, for a planned stop.
func (p *Pool) HandOverAll(ctx context.Context) {
	p.mu.Lock()
	var held []*Held
	for _, h := range p.workers {
		if h.ready {
			held = append(held, h)
		}
		h.info.Wanted = false
	}
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range held {
		wg.Go(func() { h.handOver(ctx) })
	}
	wg.Wait()
}
