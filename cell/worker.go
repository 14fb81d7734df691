package cell

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Timing of status polls.
const (
	// pollWait is how long a worker may delay its answer when no run ends.
	pollWait = 1000 * time.Millisecond
	// pollWaitServing is shorter, so that the gauges of serving tasks beside backfill tasks are recent.
	pollWaitServing = 400 * time.Millisecond
	// missedPollLimit is after how many consecutive missed polls a worker counts as unresponsive.
	missedPollLimit = 2
	// unknownRunGrace is how long an unknown run, one of a job that is not known here, is left running.
	unknownRunGrace = 1500 * time.Millisecond
	// maxClockDrift is the share of the elapsed time by which a worker's clock may lag.
	maxClockDrift = 0.02
	// idleTimeout is the maximum time between checks of a worker without runs.
	idleTimeout = 5 * time.Second
	// unackedPollDelay is the delay before a worker is polled again while an end that it reported is made durable.
	unackedPollDelay = 500 * time.Millisecond
	// unrenewedPollDelay is the delay between polls of a worker whose leases must not be renewed before that is recorded.
	unrenewedPollDelay = 100 * time.Millisecond
	// ackPollDelay is the delay between polls while ends can't be acknowledged yet, since the worker reports them again at
	// once.
	ackPollDelay = 30 * time.Millisecond
	// absenceGrace is the minimum age of a confirmed start at which a report without the run means that the run is gone.
	absenceGrace = 300 * time.Millisecond
)

// runKey identifies a run.
type runKey struct {
	task graph.TaskID
	run  int
}

// placement is a run that is, or may be, on a worker.
type placement struct {
	task   *task
	w      *worker
	run    int
	size   unit.Size
	sentAt time.Time
	// confirmedAt is when the worker confirmed the run; zero while the start may or may not have arrived.
	confirmedAt time.Time
	// adopted says that an earlier scheduler started the run, at a time that is not known here.
	adopted       bool
	stopRequested bool
	// stopSentAt is when a stop was last planned, and stopInFlight says that its outcome is not known yet.
	stopSentAt   time.Time
	stopInFlight bool
	// ticketed says that the start carries a ticket.
	ticketed bool
	// unansweredAt is when the last attempt to start the run was sent, if one was not answered.
	unansweredAt time.Time
	// revision is that of the job's progress that has to be durable before the start is sent.
	revision uint64
	// incarnation is the start of the worker's incarnation for which the run was placed.
	incarnation  time.Time
	stopAnswered bool
	checkpoint   string
	checkpointAt time.Time
	// reportedThrottle and throttle are the percentage of its CPU limit that the run may use, as last reported by the worker and
	// as wanted here.
	reportedThrottle int
	throttle         int
	// gauge is the last reported gauge; see order.Run.
	gauge float64
	// zeroThrottleSince is since when the run's throttle is 0.
	zeroThrottleSince time.Time
	// noCPUSince is since when the run has used almost no CPU.
	noCPUSince time.Time
	endedAt    time.Time
}

// confirm records that the worker has, or had, the run.
func (p *placement) confirm(now time.Time) {
	if p.confirmedAt.IsZero() {
		p.confirmedAt = now
	}
	p.task.step.job.started = true
}

// isCurrent reports whether the run has not ended.
func (p *placement) isCurrent() bool { return p.w.placements[runKey{p.task.id, p.run}] == p }

// worker is a worker of the group, with its placements.
type worker struct {
	// info is the registry's entry, with the start of the newest incarnation that is known.
	info   order.Worker
	center *dataCenter
	listed bool
	// recorded says that the worker is in the durable record.
	recorded bool
	// listedStart is the start of the incarnation that the registry's entry describes; zero if there was no entry.
	listedStart time.Time
	used        unit.Size
	// preemptible is the part of it that runs which may be preempted use, by priority, and numStopping the number of runs that are being
	// stopped.
	preemptible []unit.Size
	numStopping int
	placements  map[runKey]*placement
	// maxPlacements is the largest number of placements since the map was made.
	maxPlacements int
	// toFence holds the runs whose start may still arrive and has to be refused by the worker, which has not confirmed that.
	toFence map[runKey]struct{}
	// unansweredStarts holds the starts without a ticket of which an attempt was not answered, and when that was sent.
	unansweredStarts map[runKey]time.Time
	// pollInFlight is the poll that has been sent; zero if it has been answered or missed.
	pollInFlight sentPoll
	// unansweredAckAt and unansweredRenewalAt are when the last unanswered polls were sent that acknowledge ends and renew leases.
	unansweredAckAt     time.Time
	unansweredRenewalAt time.Time
	// lateAckUntil and lateRenewalUntil are until when orders sent to earlier incarnations may still acknowledge ends and renew
	// leases.
	lateAckUntil     time.Time
	lateRenewalUntil time.Time
	unknownRuns      map[runKey]time.Time
	// hasDroppedRuns says that runs of jobs that are not known here were handed over; the next report lists those that are left.
	hasDroppedRuns bool
	// lastEndSeen is the number of the last end received, lastEndDurable that of the last end that is durable here, and
	// lastAckSent that of the last acknowledged one.
	lastEndSeen    uint64
	lastEndDurable uint64
	lastAckSent    uint64
	// pendingEnds holds the received ends that are not durable, the oldest first.
	pendingEnds []pendingEnd
	clock       time.Duration
	clockAt     time.Time
	// mayHaveRestarted says that an answer may have come from another incarnation; the next report settles it.
	mayHaveRestarted bool
	// polled says that this incarnation has answered a poll under this scheduler's token.
	polled bool
	// reported says that it has also listed all its runs and ends.
	reported    bool
	renewedAt   time.Time
	restartedAt time.Time
	// lastReportAt is when the worker last answered a poll, and reportAwaited is closed at its next answer.
	lastReportAt  time.Time
	reportAwaited chan struct{}
	// lastResponseAt is when the worker last answered an order.
	lastResponseAt time.Time
	// suspectedAt is since when an order has been unanswered for unusually long.
	suspectedAt time.Time
	missedPolls int
	// silent says that the last poll that may have been carried out got no answer. The leases of a silent worker are not renewed, so
	// that they end as soon as possible if it is dead.
	silent              bool
	unresponsiveSince   time.Time
	consecutiveFailures int
	// lastFailedJob is the job that failed here last.
	lastFailedJob    string
	quarantinedUntil time.Time
	// stalledUntil is quarantinedUntil if the worker is quarantined after a stalled run.
	stalledUntil time.Time
	// throttledAt is when the throttle of backfill tasks was last reviewed.
	throttledAt   time.Time
	slowRuns      int
	lastSlowRunAt time.Time
	// relativeSlowness is by which share runs take longer here than on other workers; negative on a fast worker.
	relativeSlowness float64
	// leavesAt is when a draining worker may be gone.
	leavesAt time.Time
	// lastPlanNumber is the number of the last plan in which the worker may get work, and plannedFreeCPU its free CPU at the start of that.
	lastPlanNumber uint64
	plannedFreeCPU int64
	// overcommitted says that the runs on the worker exceed its capacity.
	overcommitted bool
	// heldFor is the gang for which the worker is held until heldUntil, and heldStart when that is expected to start.
	heldFor       *step
	heldUntil     time.Time
	heldStart     time.Time
	wake          chan struct{}
	firstListedAt time.Time
}

// hasLabel reports whether the worker has a label, or none is wanted.
func (w *worker) hasLabel(label string) bool {
	return label == "" || slices.Contains(w.info.Labels, label)
}

func (w *worker) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// SetWorkers replaces the list of workers by that of the registry and returns the ids of new ones.
func (c *Cell) SetWorkers(list []order.Worker, now time.Time) (added []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := map[string]bool{}
	for i := range list {
		listed[list[i].ID] = true
		if c.setWorker(list[i], now) {
			added = append(added, list[i].ID)
		}
	}
	for id, w := range c.workers {
		if !listed[id] {
			c.unlist(w)
		}
	}
	return added
}

// SetWorker applies one changed entry of the registry and reports whether the worker is new here.
func (c *Cell) SetWorker(info order.Worker, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setWorker(info, now)
}

// Unlist excludes a worker from new work.
func (c *Cell) Unlist(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.workers[id]; ok {
		c.unlist(w)
	}
}

func (c *Cell) unlist(w *worker) {
	if w.listed {
		c.log.WithFields(logrus.Fields{fieldWorker: w.info.ID, fieldPlaced: len(w.placements)}).Info("worker left the registry")
	}
	w.listed = false
	w.wakeUp()
}

func (c *Cell) setWorker(info order.Worker, now time.Time) bool {
	w, ok := c.workers[info.ID]
	if !ok {
		w = &worker{
			info: info, placements: map[runKey]*placement{}, unknownRuns: map[runKey]time.Time{}, wake: make(chan struct{}, 1),
			listed: true, listedStart: info.StartedAt, firstListedAt: now,
		}
		w.updateDrain(now)
		c.workers[info.ID], c.workerList = w, nil
		w.recorded, w.center = c.recordedWorkers[info.ID], c.dataCenter(w)
		c.log.WithFields(logrus.Fields{fieldWorker: info.ID, "rack": info.Rack, "draining": info.Draining}).Info("worker listed")
		return true
	}
	if !info.StartedAt.Equal(w.info.StartedAt) {
		if info.StartedAt.Before(w.info.StartedAt) {
			// The entry is old, or of an incarnation that started after the time of day was set back: a report will tell.
			w.listed, w.polled, w.reported = true, false, false
			w.wakeUp()
			return false
		}
		c.handleRestart(w, info.StartedAt, now)
	}
	if info.Draining != w.info.Draining {
		c.log.WithFields(logrus.Fields{
			fieldWorker: info.ID, "draining": info.Draining, "remaining": info.Remaining.String(), fieldPlaced: len(w.placements),
		}).Info("worker's drain state changed")
	}
	if info.Kind != w.info.Kind || info.Capacity != w.info.Capacity {
		w.relativeSlowness, w.slowRuns = 0, 0
	}
	w.info, w.listed, w.listedStart = info, true, info.StartedAt
	w.center = c.dataCenter(w)
	w.updateDrain(now)
	w.wakeUp()
	return false
}

// place records a run on a worker and allocates its resources.
func (c *Cell) place(t *task, w *worker, run int, now time.Time) *placement {
	p := &placement{
		task: t, w: w, run: run, size: allocationOf(t.step.doc), sentAt: now, incarnation: w.info.StartedAt,
		reportedThrottle: unthrottled, throttle: unthrottled,
	}
	if t.isWaiting() {
		t.step.countWaiting(-1)
	}
	if t.placements = append(t.placements, p); len(t.placements) > 1 {
		t.step.countKnown(1)
	}
	t.lastRun = max(t.lastRun, run)
	t.step.numPerWorker[w]++
	t.step.job.numPlaced++
	t.step.occ.numPlaced++
	w.used = w.used.Add(p.size)
	w.placements[runKey{t.id, run}] = p
	w.maxPlacements = max(w.maxPlacements, len(w.placements))
	c.countPlaced(p)
	if t.step.doc.Speculative && !t.step.doc.Gang && !t.step.doc.LongRunning {
		c.speculativeSteps[t.step.id] = t.step
	}
	c.countPreemptible(p, 1)
	c.fairness.countRun(p, 1)
	if t.step.job.sensitive {
		c.urgentDemand.record(p.size, 1)
	}
	c.refresh(t.step, now)
	w.wakeUp()
	return p
}

// minDroppedPlacements is from how many placements on a map is made anew once it is empty: maps don't shrink.
const minDroppedPlacements = 256

func (w *worker) removePlacement(key runKey) {
	delete(w.placements, key)
	if len(w.placements) == 0 && w.maxPlacements >= minDroppedPlacements {
		w.placements, w.maxPlacements = map[runKey]*placement{}, 0
	}
}

// allocationOf returns the resources that a task allocates on a worker; backfill tasks allocate no CPU.
func allocationOf(s *graph.Step) unit.Size {
	size := s.Size
	if s.Backfill {
		size.CPUMilli = 0
	}
	return size
}

// release frees a run's allocation and applies its end.
func (c *Cell) release(p *placement, kind order.EndKind, checkpoint string, now time.Time) {
	t, w, s := p.task, p.w, p.task.step
	j := s.job
	w.removePlacement(runKey{t.id, p.run})
	delete(c.stopRequested, p)
	delete(c.throttlesToSend, p)
	w.used = w.used.Sub(p.size)
	c.countReleased(p)
	c.countPreemptible(p, -1)
	c.fairness.countRun(p, -1)
	if p.stopRequested {
		w.numStopping--
	}
	if j.sensitive {
		c.urgentDemand.record(p.size, -1)
	}
	if s.numPerWorker[w]--; s.numPerWorker[w] <= 0 {
		delete(s.numPerWorker, w)
	}
	if t.placements = slices.DeleteFunc(t.placements, func(other *placement) bool { return other == p }); len(t.placements) > 0 {
		s.countKnown(-1)
	}
	j.numPlaced--
	s.occ.numPlaced--
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	if t.isWaiting() {
		s.countWaiting(1)
		if !p.confirmedAt.IsZero() {
			t.idleSince = now
		}
	}
	c.markDirty(j)
	c.applyEnd(p, kind, now)
	if t.isWaiting() && s.doc.Gang {
		c.stopGangRun(s, p.run)
	}
	c.refresh(s, now)
	for _, dependent := range s.dependents {
		c.refresh(dependent, now)
	}
	t.dropIfDone()
	c.closeIfDone(s.occ)
	if j.state.Terminal() && j.numPlaced == 0 {
		if _, durable := c.finished[j.doc.ID]; durable {
			c.dropJob(j)
		}
	}
}

// stopGangRun requests a stop of the other members of a gang run that can no longer succeed.
func (c *Cell) stopGangRun(s *step, run int) {
	for t := range s.known {
		for _, p := range t.placements {
			if p.run <= run {
				c.requestStop(p)
			}
		}
	}
}
