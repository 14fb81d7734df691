package runner

import (
	"context"
	"errors"
	"time"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/order"
)

// Times of calls to workers.
const (
	// orderTimeout bounds one try of an order.
	orderTimeout = 700 * time.Millisecond
	// doubtAfter is how long an answer that should come at once may take before the worker gets no new work: several times
	// the way between data centres and back.
	doubtAfter = 250 * time.Millisecond
	// lookSlack is added to a look's wait before it is given up.
	lookSlack = 700 * time.Millisecond
	// firstLookTime bounds a first look: with hundreds of new connections some opening packets are lost, and another try is
	// answered sooner than they are sent again.
	firstLookTime = 400 * time.Millisecond
	// startTries is how often a start is sent before its run is closed off.
	startTries = 3
	// sendsPerWorker bounds the orders on their way to one worker, and with them its connections.
	sendsPerWorker = 3
	// idleCheck is how soon a host that may give no orders looks whether it may again.
	idleCheck = 50 * time.Millisecond
)

func (r *Runner) list(ctx context.Context, all []order.Worker) {
	mine := make([]order.Worker, 0, len(all))
	for _, w := range all {
		if w.Service == r.cfg.Epoch.Part {
			mine = append(mine, w)
		}
	}
	r.cell.SetWorkers(mine, time.Now())
	r.mu.Lock()
	r.listed = true
	r.mu.Unlock()
	for _, w := range mine {
		r.watch(ctx, w.ID)
	}
	r.kickPlan()
}

func (r *Runner) changed(ctx context.Context, w order.Worker) {
	if w.Service != r.cfg.Epoch.Part {
		r.cell.Unlist(w.ID)
		return
	}
	r.cell.SetWorker(w, time.Now())
	r.watch(ctx, w.ID)
	r.kickPlan()
}

func (r *Runner) gone(id string) {
	r.cell.Unlist(id)
	r.kickPlan()
}

// watch starts the loop that looks at a worker, unless there is one.
func (r *Runner) watch(ctx context.Context, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.workers[id] || ctx.Err() != nil {
		return
	}
	r.workers[id] = true
	r.sends.Add(1)
	go func() {
		defer r.sends.Done()
		r.look(ctx, id)
		r.mu.Lock()
		delete(r.workers, id)
		r.mu.Unlock()
	}()
}

// look keeps the leases of a worker and takes its reports until it is gone.
func (r *Runner) look(ctx context.Context, id string) {
	paused := false
	for ctx.Err() == nil {
		if !r.holds() {
			clock.Pause(ctx, idleCheck)
			continue
		}
		next := r.cell.Next(id, time.Now())
		if next.Gone {
			r.cfg.Workers.Forget(&next.Worker)
			return
		}
		r.closeOff(ctx, &next.Worker, next.Stop)
		if !next.Needed {
			wait(ctx, next.Wake, next.Idle)
			continue
		}
		if next.Pause > 0 && !paused {
			// What may be acknowledged is decided when the look is sent.
			paused = clock.Pause(ctx, next.Pause)
			continue
		}
		paused = false
		r.lookOnce(ctx, id, next)
	}
}

func wait(ctx context.Context, wake <-chan struct{}, most time.Duration) {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

func (r *Runner) lookOnce(ctx context.Context, id string, next cell.NextLook) {
	most := next.Order.Wait + lookSlack
	if next.First {
		most = firstLookTime
	}
	call, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	sent := time.Now()
	if next.Order.Until > 0 {
		r.cell.Sending(id, sent)
	}
	stop := r.watchSilence(id, next.Order.Wait, sent)
	rep, err := r.cfg.Workers.Look(call, &next.Worker, next.Order)
	stop()
	now := time.Now()
	var gone *order.GoneError
	var busy *order.BusyError
	switch {
	case ctx.Err() != nil:
		return
	case err == nil:
		r.cell.Looked(id, rep, next.Order.Acked, sent, now)
		r.kickPlan()
		r.kickCommit()
	case errors.As(err, &gone):
		r.cell.Replaced(id, now)
		r.kickPlan()
		r.kickCommit()
		clock.Pause(ctx, tableRetry)
	case errors.As(err, &busy):
		r.cell.Missed(id, err, now)
	default:
		r.fenced(err)
		r.cell.Missed(id, err, now)
		r.kickPlan()
		r.kickCommit()
	}
}

// watchSilence casts doubt on a worker whose answer takes longer than it may hold it back, until the returned function is
// called.
func (r *Runner) watchSilence(id string, mayWait time.Duration, sent time.Time) (stop func()) {
	timer := time.AfterFunc(mayWait+doubtAfter, func() {
		r.cell.Doubt(id, sent.Add(mayWait), time.Now())
		r.kickPlan()
	})
	return func() { timer.Stop() }
}

// closeOff makes a worker refuse starts that may still be on their way to an earlier life of it.
func (r *Runner) closeOff(ctx context.Context, w *order.Worker, stops []order.Stop) {
	for _, s := range stops {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := r.cfg.Workers.Stop(call, w, s)
		cancel()
		if err != nil {
			r.log.WithError(err).WithField("task", s.Task.String()).Warn("a run that may still arrive can't be closed off")
		}
	}
}

// slot waits for a turn to send an order to a worker.
func (r *Runner) slot(id string) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	ch, ok := r.sending[id]
	if !ok {
		ch = make(chan struct{}, sendsPerWorker)
		r.sending[id] = ch
	}
	return ch
}

func (r *Runner) sendStart(ctx context.Context, o cell.StartOrder) {
	slot := r.slot(o.Worker.ID)
	slot <- struct{}{}
	defer func() { <-slot }()
	var res cell.StartResult
	for range startTries {
		if ctx.Err() != nil || !r.holds() || r.cell.Abandoned(o) {
			break
		}
		res.Sent = time.Now()
		o.Order.Until = r.cell.Until(o.Worker.ID, res.Sent)
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		stop := r.watchSilence(o.Worker.ID, 0, res.Sent)
		res.Clock, res.Err = r.cfg.Workers.Start(call, &o.Worker, o.Order)
		stop()
		cancel()
		var unanswered *order.UnansweredError
		if !errors.As(res.Err, &unanswered) {
			break
		}
	}
	if res.Sent.IsZero() {
		res = cell.StartResult{Sent: time.Now(), Err: &order.BusyError{Worker: o.Worker.ID}}
	}
	r.fenced(res.Err)
	r.cell.Started(o, res, time.Now())
	if res.Err != nil {
		r.kickPlan()
	}
}

func (r *Runner) sendStop(ctx context.Context, o cell.StopOrder) {
	slot := r.slot(o.Worker.ID)
	slot <- struct{}{}
	defer func() { <-slot }()
	if ctx.Err() != nil || !r.holds() {
		return
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	at, err := r.cfg.Workers.Stop(call, &o.Worker, o.Order)
	r.fenced(err)
	r.cell.Stopped(o, at, err, time.Now())
}

func (r *Runner) sendPace(ctx context.Context, o cell.PaceOrder) {
	slot := r.slot(o.Worker.ID)
	slot <- struct{}{}
	defer func() { <-slot }()
	if ctx.Err() != nil || !r.holds() {
		return
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := r.cfg.Workers.Pace(call, &o.Worker, o.Order)
	r.fenced(err)
	r.cell.Paced(o, err)
}
