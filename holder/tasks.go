package holder

import (
	"context"
	"errors"
	"time"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/ledger"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

// Reserve waits for an allocation for a task of a job; it is freed if Start isn't called within holdTime.
func (p *Pool) Reserve(ctx context.Context, need Need, holdTime time.Duration) (*Grant, error) {
	if g, ok := p.reservations.Get(need.Task); ok {
		return g, nil
	}
	g, err := p.Acquire(ctx, need)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing, ok := p.reservations.Get(need.Task); ok {
		p.cancel(g)
		return existing, nil
	}
	g.timer = time.AfterFunc(holdTime, func() { p.Unreserve(need.Task) })
	p.reservations.Put(need.Task, g)
	return g, nil
}

// Unreserve frees a reservation that no start has used; it reports whether there was one.
func (p *Pool) Unreserve(task string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	g, ok := p.reservations.Delete(task)
	if ok {
		g.timer.Stop()
		p.cancel(g)
	}
	return ok
}

// Start starts a task of a job on the named worker, in its reservation there or, if that has expired, in a new one.
func (p *Pool) Start(ctx context.Context, need Need, workerName string, call Call) (worker.TaskState, error) {
	g, err := p.takeReservation(need, workerName)
	if err != nil {
		return "", err
	}
	epoch, valid := g.leaseEpoch()
	if !valid {
		return "", p.notStarted(g, reason.Refuse(reason.LeaseLost, "the lease of worker %s ran out before the start", workerName))
	}
	spec := p.newSpec(need, g, epoch, call.Params)
	spec.Service = need.Work.Class == entry.Service
	p.stats.Started(string(need.Work.Class))
	state, err := g.Worker.client.Start(ctx, need.Task, spec, call.ContentType, call.Body)
	if err == nil {
		if state.Terminal() {
			p.Release(g)
		} else {
			p.confirm(g.Worker, need.Task)
		}
		return state, nil
	}
	return "", p.startFailed(g, err)
}

func (p *Pool) startFailed(g *Grant, err error) error {
	var unreachable *worker.UnreachableError
	var refused *worker.RefusedError
	switch {
	case errors.As(err, &unreachable):
		return p.notStarted(g, &reason.Refusal{Outcome: reason.NotRun, Reason: reason.WorkerUnreachable, Err: err})
	case errors.As(err, &refused):
		return p.notStarted(g, refusedReason(refused))
	}
	return &reason.Refusal{Outcome: reason.Unknown, Reason: reason.WorkerSilent, Err: err}
}

// notStarted frees the allocation of a task whose start had no effect, unless another start of it may have had one.
func (p *Pool) notStarted(g *Grant, cause *reason.Refusal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	uncertain := &reason.Refusal{Outcome: reason.Unknown, Reason: cause.Reason, Err: cause}
	r, ok := g.Worker.running[g.Task]
	if !ok || g.Worker.epoch != g.epoch {
		// The allocation was freed with the lease, or because the worker reported the end of another start's run.
		if g.repeated || g.Worker.epoch == g.epoch && g.Worker.ready {
			return uncertain
		}
		return cause
	}
	r.maybeStarted--
	g.Worker.running[g.Task] = r
	if r.maybeStarted > 0 {
		return uncertain
	}
	p.releaseTask(g.Worker, g.Task)
	p.dispatch()
	return cause
}

// takeReservation removes and returns the task's reservation on the named worker, or makes a new allocation if there is none.
func (p *Pool) takeReservation(need Need, workerName string) (*Grant, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reservation, ok := p.reservations.Delete(need.Task); ok {
		reservation.timer.Stop()
		if reservation.Worker.name == workerName && reservation.epoch == reservation.Worker.epoch {
			p.countStart(reservation)
			return reservation, nil
		}
		p.cancel(reservation)
	}
	h, ok := p.workers[workerName]
	if !ok || !h.ready {
		return nil, reason.Refuse(reason.LeaseLost, "this entry host does not hold worker %s", workerName)
	}
	g := &Grant{Worker: h, Task: need.Task, Size: h.running[need.Task].size, Rack: h.info.Rack, Owner: need.Work.Owner, epoch: h.epoch}
	if _, isRunning := h.running[need.Task]; !isRunning {
		if err := p.allocateOn(h, need, g); err != nil {
			return nil, err
		}
	}
	p.countStart(g)
	return g, nil
}

// countStart counts a start that is about to be sent in a grant; p.mu is held.
func (p *Pool) countStart(g *Grant) {
	r, ok := g.Worker.running[g.Task]
	if !ok {
		return
	}
	g.repeated = r.maybeStarted > 0
	r.maybeStarted++
	g.Worker.running[g.Task] = r
}

// allocateOn allocates capacity on a worker for a task that has none there; p.mu is held.
func (p *Pool) allocateOn(h *HeldWorker, need Need, g *Grant) error {
	if !h.usable() {
		return reason.Refuse(reason.LeaseLost, "worker %s takes no new work from this entry host", h.name)
	}
	w := p.newWaiter(need)
	if p.cfg.Quotas != nil && !p.cfg.Quotas.Reserve(need.Work.Owner, w.size) {
		return reason.Refuse(reason.OverQuota, "owner %s has no quota left here", need.Work.Owner)
	}
	if err := h.ledger.Reserve(ledger.Item{Task: need.Task, Size: w.size, Long: w.long}); err != nil {
		if p.cfg.Quotas != nil {
			p.cfg.Quotas.Release(need.Work.Owner, w.size)
		}
		return reason.Refuse(reason.WorkerRefused, "worker %s has no room any more", h.name)
	}
	h.running[need.Task] = run{
		work: need.Work.Name, owner: need.Work.Owner, stateSince: time.Now(), size: w.size, usesQuota: true,
		checkpointable: need.Work.Checkpointable, class: need.Work.Class,
	}
	if w.long {
		p.longUsed = p.longUsed.Add(w.size)
	}
	p.updateIndexes(h)
	g.Size = w.size
	return nil
}

// Inspect returns the state of a task on a worker that this host holds.
func (p *Pool) Inspect(ctx context.Context, task, workerName string) (worker.Answer, error) {
	h, err := p.heldWorker(workerName)
	if err != nil {
		return worker.Answer{}, err
	}
	if p.knownRunning(h, task) {
		return worker.Answer{State: worker.Running}, nil
	}
	answer, err := h.client.Attach(ctx, task, 0)
	var refused *worker.RefusedError
	if errors.As(err, &refused) && refused.Fault == worker.FaultAbsent {
		return worker.Answer{State: worker.Absent}, nil
	}
	if err == nil && !answer.State.Terminal() {
		p.confirm(h, task)
	}
	return p.taskAnswer(h, task, answer, err)
}

// confirm records that a task's worker has answered that it runs.
func (p *Pool) confirm(h *HeldWorker, task string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := h.running[task]; ok {
		r.confirmed = true
		h.running[task] = r
	}
}

// knownRunning reports whether a task is known from lease renewals to run, so that its worker need not be polled.
func (p *Pool) knownRunning(h *HeldWorker, task string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := h.running[task]
	return ok && r.confirmed && h.renewedAt.Sub(r.stateSince) > p.cfg.LeaseTTL
}

// StopTask stops a task, or makes sure that it never starts.
func (p *Pool) StopTask(ctx context.Context, task, workerName string) (worker.Answer, error) {
	p.Unreserve(task)
	h, err := p.heldWorker(workerName)
	if err != nil {
		return worker.Answer{}, err
	}
	state, err := h.client.Stop(ctx, task)
	return p.taskAnswer(h, task, worker.Answer{State: state}, err)
}

func (p *Pool) taskAnswer(h *HeldWorker, task string, answer worker.Answer, err error) (worker.Answer, error) {
	var refused *worker.RefusedError
	switch {
	case errors.As(err, &refused):
		return worker.Answer{}, &reason.Refusal{Outcome: reason.Unknown, Reason: reason.WorkerRefused, Err: err}
	case err != nil:
		return worker.Answer{}, reason.Uncertain(reason.WorkerUnreachable, "worker %s does not answer", h.name)
	}
	if answer.State.Terminal() {
		p.mu.Lock()
		p.releaseTask(h, task)
		p.dispatch()
		p.mu.Unlock()
	}
	return answer, nil
}

func (p *Pool) heldWorker(workerName string) (*HeldWorker, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.workers[workerName]
	if !ok || !h.ready {
		return nil, reason.Refuse(reason.LeaseLost, "this entry host does not hold worker %s", workerName)
	}
	return h, nil
}

// LastRenewal returns when a request of this host last renewed a worker's lease or may have, which is in the future if one without an answer may
// still be carried out; ok is false if there was none.
func (p *Pool) LastRenewal(workerName string) (at time.Time, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	at = p.formerRenewals[workerName]
	if h, ok := p.workers[workerName]; ok && h.maybeRenewedAt.After(at) {
		at = h.maybeRenewedAt
	}
	return at, !at.IsZero()
}

// TaskTTL returns how long tasks go on running after the last renewal of their worker's lease.
func (p *Pool) TaskTTL() time.Duration { return p.cfg.TaskTTL }
