package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/order"
)

// NextPoll is the next status poll of a worker.
type NextPoll struct {
	Worker order.Worker
	Order  order.Poll
	// Needed says that the worker has to be polled now.
	Needed bool
	// First says that this incarnation of the worker has not been polled yet, so that jobs may wait for its answer.
	First bool
	// Delay is the delay before the poll after a missed poll or a restart, or while ends can't be acknowledged.
	Delay time.Duration
	// Gone says that the worker is neither listed nor holds any runs.
	Gone bool
	// Timeout is how long the answer may take.
	Timeout time.Duration
	// IdleTimeout is how long to wait for Wake if no poll is needed.
	IdleTimeout time.Duration
	Wake        <-chan struct{}
	// ToFence lists the runs to fence on the worker.
	ToFence []order.Stop
}

// NextPoll returns the next poll of a worker.
func (c *Cell) NextPoll(id string, now time.Time) NextPoll {
	leaseAge := c.leaseAge()
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok {
		return NextPoll{Gone: true}
	}
	c.expireLeases(w, now, leaseAge)
	w.forgetUnanswered(now)
	next := NextPoll{Worker: w.info, Wake: w.wake, IdleTimeout: idleTimeout}
	left := w.hasLeft()
	if left && !w.expectsLateOrders(now) && len(w.pendingEnds) == 0 {
		delete(c.workers, id)
		c.workerList = nil
		c.forgetActivity(w)
		next.Gone = true
		return next
	}
	next.Needed = w.needsPoll()
	if delay := c.unackedPollDelay(leaseAge); w.polled && w.reportAwaited == nil && w.lastEndSeen > w.lastEndDurable &&
		now.Sub(w.lastResponseAt) < delay {
		// The worker would report the unacknowledged end again at once.
		next.Needed, next.IdleTimeout = false, delay
	}
	next.Order = order.Poll{Token: c.token}
	if w.lastEndDurable > w.lastAckSent {
		// Sent once, and never after a missed poll or while a start is unanswered.
		if w.canAck() {
			next.Order.Acked = w.lastEndDurable
		} else {
			next.Delay = ackPollDelay
		}
	}
	switch {
	case w.missedPolls == 1:
		next.Delay = max(next.Delay, repeatedPollDelay)
	case w.missedPolls > 1:
		next.Delay = max(next.Delay, missedPollDelay)
	}
	if !w.polled {
		next.First = true
		next.Delay = min(next.Delay, firstPollDelay)
	}
	if left || (!w.polled && !w.listed) {
		// A worker that has left is only remembered for its return.
		next.Needed = len(w.placements) > 0
	}
	unrenewed := c.unrenewedWorkers[id]
	if !w.silent && !unrenewed {
		next.Order.LeaseUntil = w.leaseEnd(now, c.settings.Lease)
	}
	wait, slack := c.pollTimes(w, now)
	switch {
	case !w.polled || w.missedPolls > 0:
	case unrenewed:
		next.Delay = max(next.Delay, unrenewedPollDelay)
	case w.lastEndDurable <= w.lastAckSent && w.isReportRecent(now):
		next.Order.Wait = wait
	}
	if maxWait, gap := c.pollTiming(w, leaseAge, now); w.polled {
		next.Order.Wait, next.Delay = min(next.Order.Wait, maxWait), max(next.Delay, gap)
	}
	if now.Sub(w.restartedAt) < 2*absenceGrace {
		next.Order.Wait, next.Delay = 0, absenceGrace
	}
	next.Timeout = next.Order.Wait + slack
	if next.First {
		next.Timeout = firstPollTimeout
	}
	next.ToFence = c.runsToFence(w)
	return next
}

// needsPoll reports whether a worker has to be polled now.
func (w *worker) needsPoll() bool {
	switch {
	case !w.polled || w.missedPolls > 0 || !w.suspectedAt.IsZero():
		return true
	case len(w.placements)+len(w.unknownRuns) > 0 || w.lastEndSeen > w.lastAckSent:
		return true
	default:
		// A restart has to be noticed soon, so that the new incarnation is fenced.
		return len(w.toFence)+len(w.unansweredStarts) > 0
	}
}

// Delays and timeouts of polls.
const (
	// missedPollDelay is the delay between polls of a worker that does not answer, and firstPollDelay that between first polls.
	missedPollDelay = 250 * time.Millisecond
	firstPollDelay  = 50 * time.Millisecond
	// firstPollTimeout limits the first poll of a worker: with hundreds of new connections some SYN packets are lost, and
	// another attempt succeeds sooner than their retransmission.
	firstPollTimeout = 400 * time.Millisecond
)

// PollSent records that a poll is about to be sent.
func (c *Cell) PollSent(id string, o order.Poll, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok {
		return
	}
	w.pollInFlight = sentPoll{at: now, renews: o.LeaseUntil > 0, acks: o.Acked > 0}
}

// PollMissed records that a poll got no answer.
func (c *Cell) PollMissed(id string, err error, now time.Time) {
	leaseAge := c.leaseAge()
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok {
		return
	}
	if provesNotExecuted(err) {
		w.pollInFlight = sentPoll{}
	} else {
		w.silent = true
	}
	w.recordUnansweredPoll()
	w.missedPolls++
	if w.missedPolls == missedPollLimit {
		w.unresponsiveSince = now
		c.log.WithError(err).WithFields(logrus.Fields{fieldWorker: id, fieldPlaced: len(w.placements)}).Warn("worker does not answer")
	}
	c.expireLeases(w, now, leaseAge)
}

// Replaced records that another worker has answered an order to the given incarnation of a worker.
func (c *Cell) Replaced(polled order.Worker, now time.Time) {
	leaseAge := c.leaseAge()
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[polled.ID]
	if !ok || w.info.Address != polled.Address || !w.info.StartedAt.Equal(polled.StartedAt) {
		return
	}
	w.listed = false
	if !c.isExclusive(leaseAge) {
		// The next scheduler may have acknowledged ends of these runs.
		return
	}
	c.loseRuns(w, "another worker has its address", now, leaseAge, func(*placement) bool { return false })
	w.forgetOrders()
	clear(w.unknownRuns)
	w.polled, w.reported = false, false
}

// Polled handles a worker's report; sent is when the poll was sent and acked the number of the last end that it acknowledged.
func (c *Cell) Polled(id string, report order.Report, acked uint64, sent, now time.Time) {
	exclusive := c.isExclusive(c.leaseAge())
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok {
		return
	}
	w.closePoll()
	if !report.StartedAt.IsZero() && !report.StartedAt.Equal(w.info.StartedAt) {
		if sent.Before(w.restartedAt) {
			// The incarnation before the present one has answered.
			return
		}
		c.handleRestart(w, report.StartedAt, now)
		acked = 0
	}
	if w.missedPolls >= missedPollLimit {
		c.log.WithFields(logrus.Fields{fieldWorker: id, "away": now.Sub(w.unresponsiveSince).Round(time.Millisecond).String()}).Info("worker answers again")
	}
	w.updateClock(report.Clock, sent, now)
	if w.missedPolls > 0 && w.silent {
		c.losses.record(now)
	}
	w.missedPolls, w.silent, w.mayHaveRestarted = 0, false, false
	w.recordReport(now)
	c.recordResponse(w, now)
	w.lastAckSent = max(w.lastAckSent, acked)
	if len(report.Ended) > 0 && report.Ended[0].Number <= w.lastEndDurable && acked == 0 {
		// It still lists acknowledged ends: the poll that acknowledged them was lost.
		w.lastAckSent = 0
	}
	if !w.polled {
		c.retryAll()
	}
	w.polled, w.hasDroppedRuns = true, false
	w.reported = w.reported || !report.MoreEnds
	running := make(map[runKey]bool, len(report.Running))
	for i := range report.Running {
		running[runKey{report.Running[i].Task, report.Running[i].Run}] = true
		c.handleRun(w, &report.Running[i], now)
	}
	for i := range report.Ended {
		c.handleEnd(w, &report.Ended[i], now)
	}
	c.checkStalled(w, now)
	w.updateDurableEnds()
	c.throttleBackfill(w, now)
	for key, p := range w.placements {
		if running[key] || report.MoreEnds || !w.absenceProvesEnd(key, p, sent, now) {
			continue
		}
		if !exclusive && !p.incarnation.Equal(w.info.StartedAt) {
			// The next scheduler may have acknowledged its end before the worker restarted.
			continue
		}
		c.log.WithFields(logrus.Fields{fieldTask: key.task.String(), fieldRun: key.run, fieldWorker: id, "stopped": p.stopAnswered}).
			Info("run is no longer on its worker")
		c.release(p, order.EndExpired, p.checkpoint, now)
	}
	for key := range w.unknownRuns {
		if !running[key] {
			delete(w.unknownRuns, key)
		}
	}
	c.checkOvercommit(w)
}

// absenceProvesEnd reports whether a run is over because it is not in a complete report to a poll that was sent at the given time.
func (w *worker) absenceProvesEnd(key runKey, p *placement, sent, now time.Time) bool {
	if p.confirmedAt.IsZero() || sent.Sub(p.confirmedAt) < absenceGrace {
		return false
	}
	if _, unfenced := w.toFence[key]; unfenced {
		return false
	}
	// A worker that has restarted may restart again before it carries out a late start.
	return p.incarnation.Equal(w.info.StartedAt) || !now.Before(p.lateUntil())
}

func (c *Cell) handleRun(w *worker, r *order.Run, now time.Time) {
	key := runKey{r.Task, r.Run}
	p, ok := w.placements[key]
	if !ok {
		if p = c.adopt(w, r, now); p == nil {
			return
		}
	}
	p.confirm(now)
	if r.Checkpoint != p.checkpoint {
		p.checkpoint, p.checkpointAt = r.Checkpoint, now
	}
	p.reportedThrottle, p.gauge = r.CPUPercent, r.Gauge
	c.updateIdle(p, now)
}

// adopt takes over a run that an earlier scheduler started.
func (c *Cell) adopt(w *worker, r *order.Run, now time.Time) *placement {
	key := runKey{r.Task, r.Run}
	j := c.jobs[r.Task.Job]
	var t *task
	if j != nil {
		t = c.task(j, r.Task, now)
	}
	if t == nil {
		firstSeen, ok := w.unknownRuns[key]
		if !ok {
			w.unknownRuns[key] = now
		} else if now.Sub(firstSeen) > unknownRunGrace {
			w.fence(key)
		}
		return nil
	}
	delete(w.unknownRuns, key)
	if t.lastRun >= r.Run && !t.done && len(t.placements) == 0 && t.lastRun > r.Run {
		c.log.WithFields(logrus.Fields{fieldTask: r.Task.String(), fieldRun: r.Run, fieldWorker: w.info.ID}).Warn("worker reports an older run of a task")
	}
	c.checkResurfaced(w, r)
	t.locateAdopted(w, r.Run)
	p := c.place(t, w, r.Run, now)
	p.confirm(now)
	p.adopted = true
	if t.done || j.state.Terminal() || len(t.placements) > 1 {
		c.requestStop(p)
	}
	c.log.WithFields(logrus.Fields{
		fieldJob: r.Task.Job, fieldTask: r.Task.String(), fieldRun: r.Run, fieldWorker: w.info.ID, "unwanted": p.stopRequested,
	}).Info("run adopted")
	return p
}
