package holder

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/worker"
)

const (
	// responseTimeout is how long a worker may send nothing before its task is polled on a new connection.
	responseTimeout = time.Second
	// minUploadRate is the slowest rate, in bytes a second, at which a body is expected to reach a worker.
	minUploadRate = 512 << 10
	// maxPollInterval bounds the growing interval between the polls of a task.
	maxPollInterval = 5 * time.Second
	// fenceTimeout bounds the attempts to fence a task and learn its outcome after its deadline.
	fenceTimeout = 1500 * time.Millisecond
	// maxUnknownReplies is the number of consecutive replies that the task is unknown after which its start counts as lost.
	maxUnknownReplies = 2
)

// execute runs a request, retrying on other workers until one answers or no retry is allowed.
func (p *Pool) execute(ctx context.Context, call Call) (Answer, error) {
	baseTask := call.Need.Task
	var runErr error
	for attempt := 1; ; attempt++ {
		grant, err := p.Acquire(ctx, call.Need)
		if err != nil {
			return Answer{}, preferRunError(runErr, err)
		}
		answer, err := p.runOn(ctx, grant, call)
		if err == nil {
			p.retryBudget.deposit()
			return Answer{Answer: answer, Worker: grant.Worker.name, heldWorker: grant.Worker, task: grant.Task}, nil
		}
		if reason.From(err).Outcome != reason.NotRun {
			runErr = err
		}
		if !p.mayRetry(ctx, call, grant.Worker.name, err, attempt) {
			return Answer{Worker: grant.Worker.name}, preferRunError(runErr, err)
		}
		call.Need.Avoid = append(call.Need.Avoid, grant.Worker.name)
		call.Need.Task = fmt.Sprintf("%s.%d", baseTask, attempt)
	}
}

// preferRunError returns runErr if there is one, so that a later refusal doesn't report work as not run after an attempt ran.
func preferRunError(runErr, refusal error) error {
	if runErr != nil {
		return runErr
	}
	return refusal
}

func (p *Pool) mayRetry(ctx context.Context, call Call, tried string, err error, attempt int) bool {
	refusal := reason.From(err)
	work := call.Need.Work
	outcomeKnown := refusal.Outcome == reason.NotRun || (refusal.Outcome == reason.Failed && refusal.Reason == reason.TaskFailed)
	if !outcomeKnown || refusal.Reason == reason.BadRequest || attempt >= work.Attempts || ctx.Err() != nil {
		return false
	}
	neverStarted := refusal.Reason == reason.WorkerUnreachable || refusal.Reason == reason.LeaseLost
	if !work.Repeatable && !neverStarted {
		return false
	}
	if !p.hasOtherWorker(append(call.Need.Avoid, tried)) {
		return false
	}
	if !p.retryBudget.tryWithdraw() {
		p.stats.Retry(reason.RetryBudget)
		return false
	}
	p.stats.Retry(refusal.Reason)
	return true
}

func (p *Pool) hasOtherWorker(avoid []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.indexedWorkers {
		if h != nil && h.usable() && !slices.Contains(avoid, h.name) {
			return true
		}
	}
	return false
}

// runOn starts a request on the granted worker and waits for its whole answer.
func (p *Pool) runOn(ctx context.Context, g *Grant, call Call) (worker.Answer, error) {
	epoch, valid := g.leaseEpoch()
	if !valid {
		p.mu.Lock()
		p.cancel(g)
		p.mu.Unlock()
		return worker.Answer{}, reason.Refuse(reason.LeaseLost, "the lease of worker %s ran out before the start", g.Worker.name)
	}
	if !call.inFlight.beginSend() {
		p.mu.Lock()
		p.cancel(g)
		p.mu.Unlock()
		return worker.Answer{}, unsentRefusal(call.Need)
	}
	spec := p.newSpec(call.Need, g, epoch, call.Params)
	started := time.Now()
	p.stats.Started(string(call.Need.Work.Class))
	answer, err := p.runTask(ctx, g.Worker, g.Task, spec, call)
	if err != nil {
		answer, err = p.resolveOutcome(ctx, g.Worker, g.Task, call.Need.Work.Repeatable, err)
	}
	switch {
	case err == nil && answer.State == worker.NeverStarted:
		err = g.neverStartedError(call.Need.Work.Repeatable)
	case err == nil:
		err = stateError(g.Worker.name, answer)
	}
	p.finish(g, call.Need.Work.Name, time.Since(started), err)
	if err != nil && reason.From(err).Outcome == reason.Unknown {
		go p.settle(g, call.Need.Work.Repeatable)
	}
	return answer, err
}

// settle frees the allocation of a request with an unknown outcome once it is proved that it has ended or can't start. The end of
// one that runs is reported with a renewal of the lease.
func (p *Pool) settle(g *Grant, repeatable bool) {
	h := g.Worker
	for p.hasAllocation(g) {
		ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
		answer, err := h.fenceOnce(ctx, g.Task, repeatable)
		cancel()
		var refusal *reason.Refusal
		switch {
		case errors.As(err, &refusal) && refusal.Outcome == reason.Unknown:
			return
		case errors.As(err, &refusal), err == nil && answer.State.Terminal():
			p.Release(g)
			return
		}
		clock.Pause(context.Background(), responseTimeout)
	}
}

// hasAllocation reports whether a grant's task still has its allocation under the lease under which it was made.
func (p *Pool) hasAllocation(g *Grant) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := g.Worker.running[g.Task]
	return ok && g.Worker.ready && g.Worker.epoch == g.epoch
}

func (p *Pool) newSpec(need Need, g *Grant, epoch uint64, params string) worker.Spec {
	return worker.Spec{
		Entry: need.Work.Name, Owner: need.Work.Owner, Size: g.Size, Holder: p.cfg.Holder, Epoch: epoch, Params: params,
	}
}

// finish frees the allocation of a request that is known to have ended, and records its outcome.
func (p *Pool) finish(g *Grant, work string, runTime time.Duration, err error) {
	refusal := &reason.Refusal{}
	if err != nil {
		refusal = reason.From(err)
	}
	if err == nil || refusal.Outcome != reason.Unknown {
		p.Release(g)
	}
	ran := err == nil || refusal.Reason == reason.TaskFailed
	if ran {
		p.estimator.RecordRun(work, runTime, err != nil)
	}
	reachable := refusal.Reason != reason.WorkerUnreachable && refusal.Reason != reason.WorkerSilent
	if ran || !reachable {
		p.recordRun(g.Worker, work, err != nil)
	}
}

func stateError(workerName string, answer worker.Answer) error {
	switch answer.State {
	case worker.Finished:
		return nil
	case worker.TaskFailed:
		return reason.Fail(reason.TaskFailed, "on worker %s: %s", workerName, answer.Body)
	case worker.Stopped:
		return reason.Fail(reason.TaskStopped, "on worker %s: %s", workerName, answer.Body)
	default:
		return reason.Uncertain(reason.WorkerSilent, "worker %s answered with state %q", workerName, answer.State)
	}
}

// taskPoller polls a task on new connections while the connection that started it receives nothing.
type taskPoller struct {
	mu             sync.Mutex
	timer          *time.Timer
	interval       time.Duration
	unknownReplies int
	answer         *worker.Answer
	closed         bool
}

// runTask starts the task and waits for its answer, on a new connection if the first one stops responding.
func (p *Pool) runTask(ctx context.Context, h *HeldWorker, task string, spec worker.Spec, call Call) (worker.Answer, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	poller := &taskPoller{interval: responseTimeout + time.Duration(len(call.Body))*time.Second/minUploadRate}
	poller.mu.Lock()
	poller.timer = time.AfterFunc(poller.interval, func() { poller.poll(callCtx, cancel, h, task) })
	poller.mu.Unlock()
	answer, err := h.client.Run(callCtx, task, spec, call.ContentType, call.Body)
	poller.mu.Lock()
	defer poller.mu.Unlock()
	poller.closed = true
	poller.timer.Stop()
	if poller.answer != nil {
		return *poller.answer, nil
	}
	return answer, err
}

func (tp *taskPoller) poll(ctx context.Context, cancel context.CancelFunc, h *HeldWorker, task string) {
	pollCtx, cancelPoll := context.WithTimeout(ctx, responseTimeout)
	defer cancelPoll()
	answer, err := h.client.Attach(pollCtx, task, 0)
	tp.mu.Lock()
	defer tp.mu.Unlock()
	if tp.closed {
		return
	}
	var refused *worker.RefusedError
	switch {
	case err == nil && answer.State.Terminal():
		tp.answer = &answer
		cancel()
		return
	case errors.As(err, &refused):
		tp.unknownReplies++
		if tp.unknownReplies >= maxUnknownReplies {
			cancel()
			return
		}
	default:
		tp.unknownReplies = 0
	}
	tp.interval = min(max(tp.interval, maxPollInterval), tp.interval*3/2)
	tp.timer.Reset(tp.interval)
}

// resolveOutcome determines the outcome of a task whose answer did not arrive.
func (p *Pool) resolveOutcome(
	ctx context.Context, h *HeldWorker, task string, repeatable bool, cause error,
) (worker.Answer, error) {
	var unreachable *worker.UnreachableError
	var refused *worker.RefusedError
	switch {
	case errors.As(cause, &unreachable):
		return worker.Answer{}, &reason.Refusal{Outcome: reason.NotRun, Reason: reason.WorkerUnreachable, Err: cause}
	case errors.As(cause, &refused):
		return worker.Answer{}, refusedReason(refused)
	}
	for ctx.Err() == nil {
		answer, err := h.client.Attach(ctx, task, maxPollInterval)
		if errors.As(err, &refused) {
			break
		}
		if err == nil && answer.State.Terminal() {
			return answer, nil
		}
		if err != nil && !clock.Pause(ctx, responseTimeout/4) {
			break
		}
	}
	return h.fence(task, repeatable)
}

func refusedReason(refused *worker.RefusedError) *reason.Refusal {
	code := reason.WorkerRefused
	switch refused.Fault {
	case worker.FaultStaleEpoch:
		code = reason.LeaseLost
	case worker.FaultLeaving:
		code = reason.WorkerLeaving
	case worker.FaultBadRequest:
		return &reason.Refusal{Outcome: reason.NotRun, Reason: reason.BadRequest, Detail: refused.Detail}
	default:
	}
	return &reason.Refusal{Outcome: reason.NotRun, Reason: code, Err: refused}
}

// fence makes sure that a task can't start any more, and stops it if it is repeatable.
func (h *HeldWorker) fence(task string, repeatable bool) (worker.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	for {
		answer, err := h.fenceOnce(ctx, task, repeatable)
		var refusal *reason.Refusal
		if err == nil || errors.As(err, &refusal) {
			return answer, err
		}
		if !clock.Pause(ctx, responseTimeout/4) {
			return worker.Answer{}, reason.Uncertain(reason.WorkerSilent, "worker %s does not tell what became of the work", h.name)
		}
	}
}

// neverStartedError returns the outcome of a request that its worker does not know. It is proved not to have run only if the worker still shows the
// lease under which it was sent: a process that has restarted does not know what ran before, and does not get that epoch again.
func (g *Grant) neverStartedError(repeatable bool) error {
	h := g.Worker
	ctx, cancel := context.WithTimeout(context.Background(), fenceTimeout)
	defer cancel()
	state, err := h.client.CurrentState(ctx)
	switch {
	case err == nil && state.Epoch == g.epoch && state.Holder == h.pool.cfg.Holder:
		return reason.Refuse(reason.WorkerSilent, "the start did not reach worker %s", h.name)
	case err == nil && repeatable:
		return reason.Fail(reason.TaskFailed, "worker %s does not know the work any more", h.name)
	default:
		return reason.Uncertain(reason.WorkerSilent, "worker %s does not know the work and may have restarted since its start", h.name)
	}
}

func (h *HeldWorker) fenceOnce(ctx context.Context, task string, repeatable bool) (worker.Answer, error) {
	answer, err := h.client.Attach(ctx, task, 0)
	var refused *worker.RefusedError
	unknownTask := errors.As(err, &refused)
	switch {
	case err != nil && !unknownTask:
		return worker.Answer{}, err
	case !unknownTask && answer.State.Terminal():
		return answer, nil
	case !unknownTask && !repeatable:
		return worker.Answer{}, reason.Uncertain(reason.DeadlinePassed, "the work still runs on worker %s", h.name)
	}
	state, err := h.client.Stop(ctx, task)
	if err != nil {
		return worker.Answer{}, err
	}
	switch state {
	case worker.NeverStarted:
		return worker.Answer{State: state}, nil
	case worker.Stopped:
		return worker.Answer{}, reason.Fail(reason.DeadlinePassed, "the work was stopped on worker %s", h.name)
	default:
		return h.client.Attach(ctx, task, 0)
	}
}
