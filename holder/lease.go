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

// manageLease acquires, renews and hands over the worker's lease until ctx is done.
func (h *HeldWorker) manageLease(ctx context.Context) {
	defer h.client.Close()
	for {
		pause := h.leaseStep(ctx)
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

func (h *HeldWorker) leaseStep(ctx context.Context) time.Duration {
	p := h.pool
	p.mu.Lock()
	shouldHold, ready, stopping := h.info.ShouldHold, h.ready, p.stopping
	p.mu.Unlock()
	pause := p.cfg.LeaseTTL / renewalsPerTTL
	switch {
	case ready && !shouldHold:
		h.handOver(ctx)
	case ready:
		if h.renew(ctx) {
			pause = min(pause, fastRenewInterval)
		}
	case shouldHold && !stopping:
		return h.acquire(ctx)
	}
	return jitter(pause)
}

func jitter(d time.Duration) time.Duration {
	const divisor = 10
	return d - d/divisor + rand.N(d/divisor+1)
}

// acquire requests the lease and adopts the worker's running tasks; only then may new tasks start there.
func (h *HeldWorker) acquire(ctx context.Context) time.Duration {
	p := h.pool
	pause := jitter(p.cfg.LeaseTTL / renewalsPerTTL)
	p.mu.Lock()
	epoch, unanswered := h.epoch+1, h.unanswered
	p.mu.Unlock()
	if unanswered {
		// A request that is carried out without an answer prolongs the worker's tasks, and none would ever be known to have expired.
		if _, err := h.client.State(ctx); err != nil {
			return pause
		}
	}
	sentAt, sentAtBoot := time.Now(), p.cfg.SinceBoot()
	// A free lease may be granted by a request that is carried out late, for as long as tasks live that it would prolong.
	reply, err := h.requestLease(sentAt, p.cfg.TaskTTL, func() (worker.LeaseReply, error) {
		return h.client.Lease(ctx, h.leaseRequest(epoch, 0))
	})
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
	h.lease.Granted(epoch, sentAtBoot, p.cfg.LeaseTTL)
	state, err := h.client.State(ctx)
	if err != nil || state.Epoch != epoch {
		_ = h.client.ReleaseLease(ctx, p.cfg.Holder, epoch)
		h.lease.Lost()
		return pause
	}
	h.adopt(epoch, sentAt, state, reply.Leaving)
	return pause
}

// requestLease requests or renews the lease; without an answer the request counts as one that took effect maxDelay after it was sent.
func (h *HeldWorker) requestLease(
	sentAt time.Time, maxDelay time.Duration, request func() (worker.LeaseReply, error),
) (worker.LeaseReply, error) {
	p := h.pool
	p.mu.Lock()
	previous := h.maybeRenewedAt
	if effectUntil := sentAt.Add(maxDelay); effectUntil.After(previous) {
		h.maybeRenewedAt = effectUntil
	}
	p.mu.Unlock()
	reply, err := request()
	var unreachable *worker.UnreachableError
	var notConnected *worker.NotConnectedError
	noEffect := (err == nil && !reply.Granted) || (err != nil && hadNoEffect(err))
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case noEffect:
		h.maybeRenewedAt = previous
	case err == nil:
		// Earlier requests have no effect any more, since each epoch is granted once.
		h.maybeRenewedAt = sentAt
	}
	if !errors.As(err, &unreachable) && !errors.As(err, &notConnected) {
		h.unanswered = err != nil && !noEffect
	}
	return reply, err
}

func (h *HeldWorker) leaseRequest(epoch, acked uint64) worker.LeaseRequest {
	cfg := h.pool.cfg
	return worker.LeaseRequest{
		Holder: cfg.Holder, Epoch: epoch, Acked: acked,
		TTLMillis: cfg.LeaseTTL.Milliseconds(), TaskTTLMillis: cfg.TaskTTL.Milliseconds(),
	}
}

func (h *HeldWorker) adopt(epoch uint64, sentAt time.Time, state worker.State, leaving bool) {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	h.epoch, h.ackedEnd, h.renewedAt, h.selfLeaving = epoch, state.EndSequence, sentAt, leaving || state.Leaving
	h.info.Rack = state.Rack
	h.ledger = ledger.New(state.Capacity)
	h.ledger.SetHeadroom(p.headroomOf(state.Capacity))
	h.running = map[string]run{}
	p.forgetLeftTasks(h.name)
	h.health = health{}
	now := time.Now()
	for _, t := range state.Tasks {
		since := now.Add(-time.Duration(t.AgeMillis) * time.Millisecond)
		long := t.Service || now.Sub(since) > p.cfg.ShortLimit
		suspended := t.State == worker.Checkpointed
		h.ledger.Adopt(ledger.Item{Task: t.ID, Size: t.Size, Long: long, Suspended: suspended})
		h.running[t.ID] = run{
			work: t.Entry, owner: t.Owner, stateSince: since, size: t.Size, suspended: suspended, usesQuota: p.cfg.Quotas != nil,
			maybeStarted: 1, confirmed: true,
		}
		if p.cfg.Quotas != nil {
			p.cfg.Quotas.Adopt(t.Owner, t.Size)
		}
		if long && !suspended {
			p.longUsed = p.longUsed.Add(t.Size)
		}
	}
	h.ready = true
	p.addToIndex(h)
	p.stats.WorkerEvent("held")
	p.log.WithFields(map[string]any{fieldWorker: h.name, "epoch": epoch, "tasks": len(state.Tasks)}).
		Info("acquired the worker's lease")
	p.dispatch()
}

// renew renews the lease; it reports whether a task uses more than it declared.
func (h *HeldWorker) renew(ctx context.Context) bool {
	p := h.pool
	p.mu.Lock()
	epoch, acked := h.epoch, h.ackedEnd
	p.mu.Unlock()
	sentAt, sentAtBoot := time.Now(), p.cfg.SinceBoot()
	// A renewal that is carried out after the lease has expired has no effect.
	reply, err := h.requestLease(sentAt, 0, func() (worker.LeaseReply, error) {
		reply, err := h.client.Renew(ctx, h.leaseRequest(epoch, acked))
		var notConnected *worker.NotConnectedError
		if errors.As(err, &notConnected) && h.reconnect(ctx, epoch) {
			return h.client.Renew(ctx, h.leaseRequest(epoch, acked))
		}
		return reply, err
	})
	if err != nil {
		h.handleRenewError(ctx, err)
		return false
	}
	if !reply.Granted {
		h.loseLease("another holder has the lease")
		return false
	}
	h.lease.Granted(epoch, sentAtBoot, p.cfg.LeaseTTL)
	h.applyRenewal(sentAt, reply)
	h.limitOveruse(ctx, reply.Usage)
	return len(reply.Usage) > 0
}

// reconnect opens a connection for renewals, and loses the lease if the worker has restarted: a new process would grant the same epoch again, but
// knows none of the tasks.
func (h *HeldWorker) reconnect(ctx context.Context, epoch uint64) bool {
	state, err := h.client.State(ctx)
	if err != nil {
		return false
	}
	if state.Epoch != epoch || state.Holder != h.pool.cfg.Holder {
		h.loseLease("the worker has restarted or has another holder")
		return false
	}
	return true
}

func (h *HeldWorker) handleRenewError(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if _, ok := h.validLease(); ok {
		return
	}
	var refused *worker.RefusedError
	if errors.As(err, &refused) {
		h.loseLease(string(refused.Fault))
		return
	}
	h.loseLease("the lease expired before a renewal was answered")
}

func (h *HeldWorker) loseLease(cause string) {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if !h.ready {
		return
	}
	p.detach(h)
	p.stats.WorkerEvent("lost")
	p.log.WithFields(map[string]any{fieldWorker: h.name, "why": cause}).Warn("lost the worker's lease")
	p.dispatch()
}

func (h *HeldWorker) applyRenewal(sentAt time.Time, reply worker.LeaseReply) {
	p := h.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	h.renewedAt = sentAt
	if h.selfLeaving != reply.Leaving {
		h.selfLeaving = reply.Leaving
		p.log.WithFields(map[string]any{fieldWorker: h.name, "leaving": reply.Leaving}).Info("worker changed its own leaving state")
	}
	for _, end := range reply.Ended {
		h.ackedEnd = max(h.ackedEnd, end.Sequence)
		if r, ok := h.running[end.Task]; ok && r.class != entry.Request {
			p.estimator.RecordRun(r.work, time.Since(r.stateSince), end.State == worker.TaskFailed)
		}
		p.releaseTask(h, end.Task)
	}
	p.reclassify(h)
	p.updateIndexes(h)
	p.dispatch()
}

// reclassify marks tasks that have run longer than the limit for short work as long; p.mu is held.
func (p *Pool) reclassify(h *HeldWorker) {
	now := time.Now()
	for task, r := range h.running {
		item, ok := h.ledger.Get(task)
		if !ok || item.Long || item.Suspended || now.Sub(r.stateSince) <= p.cfg.ShortLimit {
			continue
		}
		h.ledger.MarkLong(task)
		p.longUsed = p.longUsed.Add(item.Size)
	}
}

// handOver releases the lease; running tasks stay for the next holder to adopt.
func (h *HeldWorker) handOver(ctx context.Context) {
	p := h.pool
	p.mu.Lock()
	epoch := h.epoch
	h.info.ShouldHold = false
	h.handingOver = true
	p.updateIndexes(h)
	p.mu.Unlock()
	// Lets starts that were sent under the lease reach the worker before the lease is released.
	clock.Pause(ctx, startDrainTime)
	p.mu.Lock()
	h.handingOver = false
	p.detach(h)
	p.mu.Unlock()
	p.stats.WorkerEvent("handed-over")
	if err := h.client.ReleaseLease(ctx, p.cfg.Holder, epoch); err == nil {
		p.log.WithField(fieldWorker, h.name).Info("worker handed over")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dispatch()
}

// HandOverAll releases all leases, for a planned stop.
func (p *Pool) HandOverAll(ctx context.Context) {
	p.mu.Lock()
	var held []*HeldWorker
	for _, h := range p.workers {
		if h.ready {
			held = append(held, h)
		}
		h.info.ShouldHold = false
	}
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, h := range held {
		wg.Go(func() { h.handOver(ctx) })
	}
	wg.Wait()
}
