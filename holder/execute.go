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
	// silence is how long a worker may say nothing before its task is looked for on a new connection.
	silence = time.Second
	// slowestUpload is the rate, in bytes a second, at which a body may still be on its way to a worker.
	slowestUpload = 512 << 10
	// longestSilence bounds the pause between such looks.
	longestSilence = 5 * time.Second
	// settleTime is how long the fate of a task is looked for after its deadline.
	settleTime = 1500 * time.Millisecond
	// absences is how often a worker must not know a task before its start counts as lost.
	absences = 2
)

// execute runs a request on one worker after another until one answers or no other may be tried.
func (p *Pool) execute(ctx context.Context, call Call) (Answer, error) {
	base := call.Need.Task
	var ran error
	for attempt := 1; ; attempt++ {
		grant, err := p.Acquire(ctx, call.Need)
		if err != nil {
			return Answer{}, firstOf(ran, err)
		}
		answer, err := p.runOn(ctx, grant, call)
		if err == nil {
			p.budget.earn()
			return Answer{Answer: answer, Worker: grant.Held.name, held: grant.Held, task: grant.Task}, nil
		}
		if reason.From(err).Outcome != reason.NotRun {
			ran = err
		}
		if !p.mayRetry(ctx, call, grant.Held.name, err, attempt) {
			return Answer{Worker: grant.Held.name}, firstOf(ran, err)
		}
		call.Need.Avoid = append(call.Need.Avoid, grant.Held.name)
		call.Need.Task = fmt.Sprintf("%s.%d", base, attempt)
	}
}

// firstOf keeps a later refusal from saying "not run" of work of which an attempt ran.
func firstOf(ran, refused error) error {
	if ran != nil {
		return ran
	}
	return refused
}

func (p *Pool) mayRetry(ctx context.Context, call Call, tried string, err error, attempt int) bool {
	refusal := reason.From(err)
	work := call.Need.Work
	proven := refusal.Outcome == reason.NotRun || (refusal.Outcome == reason.Failed && refusal.Reason == reason.TaskFailed)
	if !proven || refusal.Reason == reason.BadRequest || attempt >= work.Attempts || ctx.Err() != nil {
		return false
	}
	neverLeft := refusal.Reason == reason.WorkerUnreachable || refusal.Reason == reason.LeaseLost
	if !work.Repeatable && !neverLeft {
		return false
	}
	if !p.hasOther(append(call.Need.Avoid, tried)) {
		return false
	}
	if !p.budget.spend() {
		p.stats.Retry(reason.RetryBudget)
		return false
	}
	p.stats.Retry(refusal.Reason)
	return true
}

func (p *Pool) hasOther(avoid []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.places {
		if h != nil && h.usable() && !slices.Contains(avoid, h.name) {
			return true
		}
	}
	return false
}

// runOn starts a granted request and waits for its whole answer.
func (p *Pool) runOn(ctx context.Context, g *Grant, call Call) (worker.Answer, error) {
	epoch, valid := g.Held.lease.Valid(time.Now())
	if !valid {
		p.Release(g)
		return worker.Answer{}, reason.Refuse(reason.LeaseLost, "the lease of worker %s ran out before the start", g.Held.name)
	}
	spec := p.spec(call.Need, g, epoch, call.Params)
	started := time.Now()
	p.stats.Started(string(call.Need.Work.Class))
	answer, err := p.converse(ctx, g.Held, g.Task, spec, call)
	if err != nil {
		answer, err = p.settle(ctx, g.Held, g.Task, call.Need.Work.Repeatable, err)
	}
	if err == nil {
		err = stateError(g.Held.name, answer)
	}
	p.conclude(g, call.Need.Work.Name, time.Since(started), err)
	return answer, err
}

func (p *Pool) spec(need Need, g *Grant, epoch uint64, params string) worker.Spec {
	return worker.Spec{
		Entry: need.Work.Name, Owner: need.Work.Owner, Size: g.Size, Holder: p.cfg.Holder, Epoch: epoch, Params: params,
	}
}

// conclude frees the room of a request whose end is proved, and notes how it went.
func (p *Pool) conclude(g *Grant, work string, took time.Duration, err error) {
	refusal := &reason.Refusal{}
	if err != nil {
		refusal = reason.From(err)
	}
	if err == nil || refusal.Outcome != reason.Unknown {
		p.Release(g)
	}
	ran := err == nil || refusal.Reason == reason.TaskFailed
	if ran {
		p.book.Ran(work, took, err != nil)
	}
	reached := refusal.Reason != reason.WorkerUnreachable && refusal.Reason != reason.WorkerSilent
	if ran || !reached {
		p.noteRun(g.Held, work, err != nil)
	}
}

func stateError(name string, answer worker.Answer) error {
	switch answer.State {
	case worker.Finished:
		return nil
	case worker.TaskFailed:
		return reason.Fail(reason.TaskFailed, "on worker %s: %s", name, answer.Body)
	case worker.Stopped:
		return reason.Fail(reason.TaskStopped, "on worker %s: %s", name, answer.Body)
	case worker.NeverStarted:
		return reason.Refuse(reason.WorkerSilent, "the start did not reach worker %s", name)
	default:
		return reason.Uncertain(reason.WorkerSilent, "worker %s answered with state %q", name, answer.State)
	}
}

// watch looks for a task on new connections while the connection that started it is silent.
type watch struct {
	mu     sync.Mutex
	timer  *time.Timer
	pause  time.Duration
	absent int
	found  *worker.Answer
	closed bool
}

// converse starts the task and waits; a connection that has gone silent is given up for one that has not.
func (p *Pool) converse(ctx context.Context, h *Held, task string, spec worker.Spec, call Call) (worker.Answer, error) {
	callCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &watch{pause: silence + time.Duration(len(call.Body))*time.Second/slowestUpload}
	s.timer = time.AfterFunc(s.pause, func() { s.look(callCtx, cancel, h, task) })
	answer, err := h.client.Run(callCtx, task, spec, call.ContentType, call.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.timer.Stop()
	if s.found != nil {
		return *s.found, nil
	}
	return answer, err
}

func (s *watch) look(ctx context.Context, cancel context.CancelFunc, h *Held, task string) {
	lookCtx, done := context.WithTimeout(ctx, silence)
	defer done()
	answer, err := h.client.Attach(lookCtx, task, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return
	}
	var refused *worker.RefusedError
	switch {
	case err == nil && answer.State.Over():
		s.found = &answer
		cancel()
		return
	case errors.As(err, &refused):
		s.absent++
		if s.absent >= absences {
			cancel()
			return
		}
	default:
		s.absent = 0
	}
	s.pause = min(max(s.pause, longestSilence), s.pause*3/2)
	s.timer.Reset(s.pause)
}

// settle finds out what became of a task whose answer did not come.
func (p *Pool) settle(
	ctx context.Context, h *Held, task string, repeatable bool, cause error,
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
		answer, err := h.client.Attach(ctx, task, longestSilence)
		if errors.As(err, &refused) {
			break
		}
		if err == nil && answer.State.Over() {
			return answer, nil
		}
		if err != nil && !clock.Pause(ctx, silence/4) {
			break
		}
	}
	return h.closeOff(task, repeatable)
}

func refusedReason(refused *worker.RefusedError) error {
	why := reason.WorkerRefused
	switch refused.Fault {
	case worker.FaultStaleEpoch:
		why = reason.LeaseLost
	case worker.FaultLeaving:
		why = reason.WorkerLeaving
	case worker.FaultBad:
		return &reason.Refusal{Outcome: reason.NotRun, Reason: reason.BadRequest, Detail: refused.Detail}
	default:
	}
	return &reason.Refusal{Outcome: reason.NotRun, Reason: why, Err: refused}
}

// closeOff makes sure that a task does not start any more, and stops it if it may be run again.
func (h *Held) closeOff(task string, repeatable bool) (worker.Answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTime)
	defer cancel()
	for {
		answer, err := h.closeOnce(ctx, task, repeatable)
		var refusal *reason.Refusal
		if err == nil || errors.As(err, &refusal) {
			return answer, err
		}
		if !clock.Pause(ctx, silence/4) {
			return worker.Answer{}, reason.Uncertain(reason.WorkerSilent, "worker %s does not tell what became of the work", h.name)
		}
	}
}

func (h *Held) closeOnce(ctx context.Context, task string, repeatable bool) (worker.Answer, error) {
	answer, err := h.client.Attach(ctx, task, 0)
	var refused *worker.RefusedError
	absent := errors.As(err, &refused)
	switch {
	case err != nil && !absent:
		return worker.Answer{}, err
	case !absent && answer.State.Over():
		return answer, nil
	case !absent && !repeatable:
		return worker.Answer{}, reason.Uncertain(reason.DeadlinePassed, "the work still runs on worker %s", h.name)
	}
	state, err := h.client.Stop(ctx, task)
	if err != nil {
		return worker.Answer{}, err
	}
	switch state {
	case worker.NeverStarted:
		return worker.Answer{}, reason.Refuse(reason.WorkerSilent, "the start did not reach worker %s", h.name)
	case worker.Stopped:
		return worker.Answer{}, reason.Fail(reason.DeadlinePassed, "the work was stopped on worker %s", h.name)
	default:
		return h.client.Attach(ctx, task, 0)
	}
}
