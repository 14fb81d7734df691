package runner

import (
	"context"
	"errors"
	"time"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/order"
)

// Timeouts and limits of calls to workers.
const (
	// orderTimeout limits one attempt to send an order.
	orderTimeout = 700 * time.Millisecond
	// startTimeout limits the first attempt to send a start: orders may be lost on their way to workers that are alive, and a task should not wait
	// long for the next attempt. It is several times the round trip between data centres.
	startTimeout = 250 * time.Millisecond
	// suspectAfter is how long a reply that is due immediately may take before the worker gets no new work: several times the
	// round trip between data centres.
	suspectAfter = 250 * time.Millisecond
	// maxStartAttempts is how often a start is sent before its run is fenced.
	maxStartAttempts = 3
	// maxOrdersPerWorker limits the orders in flight to one worker, and with them its connections.
	maxOrdersPerWorker = 3
	// maxUncheckedDelay is how long after its permission was checked a start may be sent without another check.
	maxUncheckedDelay = 20 * time.Millisecond
	// startRecordTimeout is how long a start may wait for the record of its task's location, and startRecordInterval how often it looks.
	startRecordTimeout  = 1200 * time.Millisecond
	startRecordInterval = 2 * time.Millisecond
	// holdCheckInterval is how often a host that may not send orders checks whether it may again.
	holdCheckInterval = 50 * time.Millisecond
)

// errAbandoned is the cause of an order that the runner decided not to send.
var errAbandoned = errors.New("the order was abandoned")

// setWorkers replaces the workers of the group by those in the registry's list.
func (r *Runner) setWorkers(ctx context.Context, all []order.Worker) {
	own := make([]order.Worker, 0, len(all))
	for _, w := range all {
		if w.Service == r.cfg.Epoch.Group {
			own = append(own, w)
		}
	}
	r.cell.SetWorkers(own, time.Now())
	r.mu.Lock()
	r.registryListed = true
	r.mu.Unlock()
	for _, w := range own {
		r.startPolling(ctx, w.ID)
	}
	r.wakePlan()
}

func (r *Runner) setWorker(ctx context.Context, w order.Worker) {
	if w.Service != r.cfg.Epoch.Group {
		r.cell.Unlist(w.ID)
		return
	}
	r.cell.SetWorker(w, time.Now())
	r.startPolling(ctx, w.ID)
	r.wakePlan()
}

func (r *Runner) removeWorker(id string) {
	r.cell.Unlist(id)
	r.wakePlan()
}

// startPolling starts the poll loop of a worker unless it is running.
func (r *Runner) startPolling(ctx context.Context, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.polling[id] || ctx.Err() != nil {
		return
	}
	r.polling[id] = true
	r.ordersSent.Store(true)
	r.inFlight.Add(1)
	go func() {
		defer r.inFlight.Done()
		r.pollLoop(ctx, id)
		r.mu.Lock()
		delete(r.polling, id)
		r.mu.Unlock()
	}()
}

// pollLoop renews the leases of a worker and processes its reports until it is gone.
func (r *Runner) pollLoop(ctx context.Context, id string) {
	paused := false
	for ctx.Err() == nil {
		now, allowed := r.orderTime()
		if !allowed {
			clock.Pause(ctx, holdCheckInterval)
			continue
		}
		next := r.cell.NextPoll(id, now)
		if next.Gone {
			r.cfg.Workers.Forget(&next.Worker)
			return
		}
		r.fenceRuns(ctx, &next.Worker, next.ToFence)
		if !next.Needed {
			waitForWake(ctx, next.Wake, next.IdleTimeout)
			continue
		}
		if next.Delay > 0 && !paused {
			// After the delay, NextPoll decides again what may be acknowledged: that has to be current when the poll is sent.
			paused = clock.Pause(ctx, next.Delay)
			continue
		}
		paused = false
		r.pollOnce(ctx, id, next)
	}
}

// waitForWake waits for wake, maxWait or the end of ctx.
func waitForWake(ctx context.Context, wake <-chan struct{}, maxWait time.Duration) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-wake:
	case <-timer.C:
	}
}

func (r *Runner) pollOnce(ctx context.Context, id string, next cell.NextPoll) {
	call, cancel := context.WithTimeout(ctx, next.Timeout)
	defer cancel()
	sent := time.Now()
	r.cell.PollSent(id, next.Order, sent)
	stopTimer := r.watchResponse(id, next.Order.Wait, sent)
	report, err := r.cfg.Workers.Poll(call, &next.Worker, next.Order)
	stopTimer()
	now := time.Now()
	var gone *order.GoneError
	var busy *order.BusyError
	switch {
	case ctx.Err() != nil:
		return
	case err == nil:
		r.cell.Polled(id, report, next.Order.Acked, sent, now)
		r.wakePlan()
		r.wakeCommit()
	case errors.As(err, &gone):
		r.cell.Replaced(next.Worker, now)
		r.wakePlan()
		r.wakeCommit()
		clock.Pause(ctx, tableRetryDelay)
	case errors.As(err, &busy):
		r.cell.PollMissed(id, err, now)
	default:
		r.checkFenced(err)
		r.cell.PollMissed(id, err, now)
		r.wakePlan()
		r.wakeCommit()
	}
}

// watchResponse marks a worker as suspected if it has not replied suspectAfter after maxWait, the time for which it may hold
// back the reply; stop ends the watch.
func (r *Runner) watchResponse(id string, maxWait time.Duration, sent time.Time) (stop func()) {
	timer := time.AfterFunc(maxWait+suspectAfter, func() {
		r.cell.Suspect(id, sent.Add(maxWait), time.Now())
		r.wakePlan()
	})
	return func() { timer.Stop() }
}

// fenceRuns makes a worker reject starts that may still arrive. A stop without an answer is sent again after the next poll.
func (r *Runner) fenceRuns(ctx context.Context, w *order.Worker, stops []order.Stop) {
	for _, s := range stops {
		call, cancel := context.WithTimeout(ctx, orderTimeout)
		_, err := r.cfg.Workers.Stop(call, w, s)
		cancel()
		r.checkFenced(err)
		if cell.FencesRun(err) {
			r.cell.RunFenced(*w, s)
			continue
		}
		r.log.WithError(err).WithField("task", s.Task.String()).Warn("can't fence a run whose start may still arrive")
		return
	}
}

// orderSlot returns the semaphore that limits the orders in flight to a worker.
func (r *Runner) orderSlot(id string) chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	ch, ok := r.orderSlots[id]
	if !ok {
		ch = make(chan struct{}, maxOrdersPerWorker)
		r.orderSlots[id] = ch
	}
	return ch
}

// awaitReport waits for a report of a start's worker if its last one is old, and reports whether the worker has answered in time.
func (r *Runner) awaitReport(ctx context.Context, o cell.StartOrder) bool {
	awaited := r.cell.ReportToAwait(o, time.Now())
	if awaited == nil {
		return true
	}
	timer := time.NewTimer(suspectAfter)
	defer timer.Stop()
	select {
	case <-awaited:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// awaitRecord waits until the location of a start's task is durable, and reports whether it is.
func (r *Runner) awaitRecord(ctx context.Context, o cell.StartOrder) bool {
	for deadline := time.Now().Add(startRecordTimeout); !r.cell.StartRecorded(o); {
		if time.Now().After(deadline) || !clock.Pause(ctx, startRecordInterval) {
			return false
		}
	}
	return true
}

// sendStart sends a start up to maxStartAttempts times until there is a reply, and passes the result to the cell.
func (r *Runner) sendStart(ctx context.Context, o cell.StartOrder) {
	ready := r.awaitReport(ctx, o) && r.awaitRecord(ctx, o)
	slot := r.orderSlot(o.Worker.ID)
	slot <- struct{}{}
	defer func() { <-slot }()
	var res cell.StartResult
	for range maxStartAttempts {
		if !ready || ctx.Err() != nil || !r.attemptStart(ctx, o, &res) {
			break
		}
		res.Unanswered++
	}
	if res.Sent.IsZero() {
		res = cell.StartResult{Sent: time.Now(), Err: &order.NotSentError{Worker: o.Worker.ID, Err: errAbandoned}}
	}
	r.checkFenced(res.Err)
	r.cell.Started(o, res, time.Now())
	if res.Err != nil {
		r.wakePlan()
	}
}

// attemptStart sends a start once, if it may be sent, and reports whether it got no answer. A start that may only use old connections may wait
// for one: that doesn't count as time without an answer, and what permits the start is checked again after it.
func (r *Runner) attemptStart(ctx context.Context, o cell.StartOrder, res *cell.StartResult) (unanswered bool) {
	now, allowed := r.orderTime()
	if !allowed {
		return false
	}
	until, ok := r.cell.StartLease(o, now)
	if !ok {
		return false
	}
	timeout := orderTimeout
	if res.Unanswered == 0 && r.minConnAge() == 0 {
		timeout = startTimeout
	}
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	res.Sent = time.Now()
	stopWatch := func() {}
	if r.minConnAge() == 0 {
		stopWatch = r.watchResponse(o.Worker.ID, 0, res.Sent)
	}
	o.Order.LeaseUntil, o.Order.MinConnAge = until, r.minConnAge
	o.Order.BeforeSend = func() bool {
		if r.minConnAge() == 0 && time.Since(now) < maxUncheckedDelay {
			return true
		}
		if sentAt, allowed := r.orderTime(); !allowed || !r.cell.MaySendStart(o, sentAt) {
			return false
		}
		stopWatch()
		res.Sent = time.Now()
		stopWatch = r.watchResponse(o.Worker.ID, 0, res.Sent)
		return true
	}
	res.Clock, res.Err = r.cfg.Workers.Start(call, &o.Worker, o.Order)
	stopWatch()
	var noAnswer *order.UnansweredError
	return errors.As(res.Err, &noAnswer)
}

func (r *Runner) sendStop(ctx context.Context, o cell.StopOrder) {
	slot := r.orderSlot(o.Worker.ID)
	slot <- struct{}{}
	defer func() { <-slot }()
	if ctx.Err() != nil || !r.holds() {
		r.cell.Stopped(o, 0, errAbandoned, time.Now())
		return
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	workerClock, err := r.cfg.Workers.Stop(call, &o.Worker, o.Order)
	r.checkFenced(err)
	r.cell.Stopped(o, workerClock, err, time.Now())
}

func (r *Runner) sendThrottle(ctx context.Context, o cell.ThrottleOrder) {
	slot := r.orderSlot(o.Worker.ID)
	slot <- struct{}{}
	defer func() { <-slot }()
	if ctx.Err() != nil || !r.holds() {
		return
	}
	call, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := r.cfg.Workers.Throttle(call, &o.Worker, o.Order)
	r.checkFenced(err)
	r.cell.Throttled(o, err)
}
