package cell

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// stopRetryInterval is after how long a stop is sent again if the run has not ended.
const stopRetryInterval = 900 * time.Millisecond

// StartOrder is a start order to be sent to a worker.
type StartOrder struct {
	Worker order.Worker
	Order  order.Start
	p      *placement
}

// StopOrder is a stop order to be sent to a worker.
type StopOrder struct {
	Worker order.Worker
	Order  order.Stop
	p      *placement
}

// Plan lists the orders and advice requests to be sent now.
type Plan struct {
	Starts         []StartOrder
	Stops          []StopOrder
	AdviceRequests []AdviceRequest
	Throttles      []ThrottleOrder
	// NextPlanAt is the latest time of the next plan; zero if only an event can change the result.
	NextPlanAt time.Time
	slots      AdvisorSlots
	// exclusive says that no other scheduler can have acquired the group's lease.
	exclusive bool
	// noSlot holds the minimum call durations for which no host had a free slot.
	noSlot map[time.Duration]bool
	// TeamsHeld says that the cap of a team holds back tasks.
	TeamsHeld bool
	// wanted are the requests for advice to be sent as far as hosts are free for them.
	wanted []wantedAdvice
	// ticketRenewals are the requests that come after all others.
	ticketRenewals []ticketRenewal
}

// hasSlot reports whether a host could call the advisor. Once none could, the hosts are not checked again for that duration
// in this plan.
func (p *Plan) hasSlot(cost time.Duration, now time.Time) bool {
	if p.noSlot[cost] {
		return false
	}
	if p.slots.HasSlot(cost) {
		return true
	}
	if p.noSlot == nil {
		p.noSlot = map[time.Duration]bool{}
	}
	p.noSlot[cost] = true
	// No event tells when a host is free that is busy with calls of other groups.
	p.replanAt(now.Add(slotRetryDelay))
	return false
}

// maxStartsPerPlan limits the tasks, but for those of gangs, that a plan starts, so that it doesn't take long.
const maxStartsPerPlan = 1024

// startRoom returns how many tasks of a step the plan may start. A step leaves half of what is left to those that come after it.
func (p *Plan) startRoom() int { return (max(0, maxStartsPerPlan-len(p.Starts)) + 1) / 2 }

// Plan places waiting tasks and returns the resulting orders and requests; cfg may have changed since the last call.
func (c *Cell) Plan(cfg *queues.Config, slots AdvisorSlots, now time.Time) Plan {
	leaseAge, taskLimit := c.leaseAge(), c.settings.taskLimit()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.taskLimit = taskLimit
	plan := Plan{slots: slots, exclusive: c.isExclusive(leaseAge)}
	c.planExpiries(&plan, now, leaseAge)
	c.planDrains(&plan, now)
	c.planStops(&plan, now)
	c.planThrottles(&plan)
	c.openDue(&plan, now)
	c.setTeams(cfg)
	c.updateTeams(plan.exclusive, now)
	c.beginHeld(now)
	if len(c.stepsToPlace) == 0 && len(c.speculativeSteps) == 0 && !c.hasUnresponsiveWorker() {
		return plan
	}
	minConnAge := c.minConnAge(leaseAge)
	c.candidateIndex.rebuild(c, minConnAge, now)
	c.updateStaleLease(minConnAge, now)
	c.fairness.chargeRates(cfg)
	c.admit(cfg, now)
	ranked, lateGroups := c.rankedSteps(&plan, cfg, now)
	for _, r := range ranked {
		numStarts := len(plan.Starts)
		c.planStep(&plan, r.s, cfg, now)
		if len(plan.Starts) == numStarts && c.teamRoom(r.s) > 0 {
			r.s.triedAt, r.s.retryAt = now, now.Add(retryInterval(r))
		}
	}
	c.unparkPlaced(&plan, ranked, now)
	c.scheduleRetries(&plan, lateGroups, now)
	c.planSpeculative(&plan, cfg, now)
	c.planReplacements(&plan, cfg, now)
	if c.openDue(&plan, now) {
		plan.replanAt(now)
	}
	c.sendRequests(&plan, now)
	c.renewTickets(&plan, now)
	return plan
}

func (p *Plan) replanAt(t time.Time) {
	if p.NextPlanAt.IsZero() || t.Before(p.NextPlanAt) {
		p.NextPlanAt = t
	}
}

func (c *Cell) planStops(plan *Plan, now time.Time) {
	requested := slices.SortedFunc(maps.Keys(c.stopRequested), func(a, b *placement) int {
		return cmp.Or(a.task.id.Compare(b.task.id), cmp.Compare(a.run, b.run))
	})
	for _, p := range requested {
		if p.w.missedPolls >= missedPollLimit || p.stopInFlight {
			continue
		}
		if !p.stopSentAt.IsZero() && now.Sub(p.stopSentAt) < stopRetryInterval {
			plan.replanAt(p.stopSentAt.Add(stopRetryInterval))
			continue
		}
		p.stopSentAt, p.stopInFlight = now, true
		plan.replanAt(now.Add(stopRetryInterval))
		plan.Stops = append(plan.Stops, StopOrder{p.w.info, order.Stop{Task: p.task.id, Run: p.run, Token: c.token}, p})
	}
}

// eligible reports whether a step's tasks may be started on a worker, regardless of capacity and permits.
func (c *Cell) eligible(w *worker, s *step, now time.Time) bool {
	if !c.candidateIndex.contains(w) || c.heldForOther(w, s, now) {
		return false
	}
	return w.hasLabel(s.doc.Label)
}

// eligibleWorkers yields the workers on which a step's tasks may be started, with the tickets for that. Workers with less
// than minFreeCPU are left out.
func (c *Cell) eligibleWorkers(s *step, needsTicket bool, minFreeCPU int64, now time.Time) iter.Seq2[*worker, string] {
	return func(yield func(*worker, string) bool) {
		if !needsTicket {
			for w := range c.candidateIndex.withFreeCPU(minFreeCPU) {
				if c.eligible(w, s, now) && !yield(w, "") {
					return
				}
			}
			return
		}
		for _, p := range s.granted {
			if p.w.freeCPU() < minFreeCPU || !c.eligible(p.w, s, now) || !p.usable(now) {
				continue
			}
			if !yield(p.w, p.ticket) {
				return
			}
		}
	}
}

// fits returns how many more tasks of a step fit on a worker.
func (c *Cell) fits(s *step, w *worker, size unit.Size) int { return s.fitsWithUsed(w, w.used, size) }

// fitsWithUsed returns how many more tasks of a step fit on a worker if the given part of its capacity is used.
func (s *step) fitsWithUsed(w *worker, used, size unit.Size) int {
	maxTasks := s.doc.Count
	if s.doc.MaxPerWorker > 0 {
		maxTasks = min(maxTasks, s.doc.MaxPerWorker-s.numPerWorker[w])
	}
	return max(0, min(maxTasks, w.info.Capacity.Sub(used).NumFitting(size)))
}

// awaitsReports reports whether an earlier scheduler may have started tasks of a step on any worker that has not reported yet.
func (c *Cell) awaitsReports(s *step) bool {
	return s.job.restored && c.awaitingReports && !s.recordsLocations()
}

func (c *Cell) planStep(plan *Plan, s *step, cfg *queues.Config, now time.Time) {
	advice := s.job.advice(cfg)
	room := c.teamRoom(s)
	if room == 0 {
		// Steps that come first have taken the rest of the team's share.
		return
	}
	if s.job.version == 0 {
		// Without a durable record a later scheduler would assume that no task of the job was ever started.
		if _, ok := c.dirty[s.job.doc.ID]; !ok {
			c.markDirty(s.job)
		}
		if !s.hasTickets(now) {
			c.requestAdviceInRoom(plan, s, advice, min(s.numWaiting, room), now)
		}
		return
	}
	if s.doc.Gang {
		if c.needsHeadroom(s) {
			plan.replanAt(now.Add(headroomRetryDelay))
			return
		}
		c.planGang(plan, s, advice, now)
		return
	}
	waiting, newRoom := 0, c.taskRoom(s.job)
	numStarts, startRoom := len(plan.Starts), plan.startRoom()
	room = min(room, startRoom)
	var w *worker
	var ticket string
	for i, t := range s.tasks {
		if t == nil {
			if newRoom == 0 {
				continue
			}
			newRoom--
		}
		// Nothing is known of a nil task, which waits.
		if t != nil && (!t.isWaiting() || c.mayRunElsewhere(t, plan.exclusive, now)) {
			continue
		}
		if t != nil && now.Before(t.notBefore) {
			plan.replanAt(t.notBefore)
			continue
		}
		if waiting > 0 {
			// The tasks of a step are equal: if one finds no worker, the others find none either.
			waiting++
			continue
		}
		if room == 0 {
			if len(plan.Starts)-numStarts == startRoom {
				plan.replanAt(now)
			}
			break
		}
		if c.needsHeadroom(s) {
			plan.replanAt(now.Add(headroomRetryDelay))
			if !c.mayPreemptTeams(s) {
				return
			}
			waiting++
			continue
		}
		if w == nil || t.avoids(w) || c.fits(s, w, allocationOf(s.doc)) == 0 {
			// The best worker remains the best with each task that it gets, since fuller workers are preferred.
			w, ticket = c.bestWorker(s, t, nil, advice != nil, now)
		}
		if w == nil {
			waiting++
			continue
		}
		if t.avoids(w) && c.requestAdviceInRoom(plan, s, advice, 1, now) {
			// The task has failed there; advice about other workers is being requested.
			continue
		}
		t = s.task(i)
		c.start(plan, t, w, ticket, c.nextRun(t), now)
		room--
	}
	waiting = min(waiting, room)
	if waiting == 0 || c.requestAdviceInRoom(plan, s, advice, waiting, now) {
		return
	}
	if c.mayPreempt(s, now) && c.preempt(plan, s, advice != nil, waiting, now) == 0 {
		c.requestAdviceToPreempt(plan, s, advice, waiting, now)
	}
	c.scheduleTicketRenewal(plan, s, advice, now)
}

// Intervals between attempts to place a step's tasks.
const (
	// slotRetryDelay is the delay until the next plan if no host was free for a request for advice.
	slotRetryDelay = 50 * time.Millisecond
	// headroomRetryDelay is the delay until the next plan if a step would use the headroom for urgent work.
	headroomRetryDelay = 100 * time.Millisecond
	// blockedRetryDelay is the delay after an attempt that has placed nothing, if the step has time: in a backlog, hundreds of
	// steps would be tried in vain whenever a run ends.
	blockedRetryDelay = 15 * time.Millisecond
)

// retryInterval returns how long a step that could not be placed is left out of plans.
func retryInterval(r rankedStep) time.Duration {
	switch {
	case r.urgency != onTime:
		return lateRetryDelay
	case r.s.job.sensitive:
		return 0
	default:
		return blockedRetryDelay
	}
}

// bestWorker returns the best worker for a task, which is nil if nothing is known of it, except one on which a copy of it runs; nil excepts none.
func (c *Cell) bestWorker(s *step, t *task, except *worker, needsTicket bool, now time.Time) (*worker, string) {
	size := allocationOf(s.doc)
	var best *worker
	var bestTicket string
	var bestScore float64
	for w, ticket := range c.eligibleWorkers(s, needsTicket, size.CPUMilli, now) {
		if w == except || c.fits(s, w, size) == 0 {
			continue
		}
		score := c.score(s, w, size, now)
		if t.avoids(w) {
			score += failedHerePenalty
		}
		if best == nil || score < bestScore || (score == bestScore && w.info.ID < best.info.ID) {
			best, bestTicket, bestScore = w, ticket, score
		}
	}
	return best, bestTicket
}

func (c *Cell) nextRun(t *task) int { return max(t.lastRun+1, c.firstRun) }

func (c *Cell) start(plan *Plan, t *task, w *worker, ticket string, run int, now time.Time) {
	p := c.place(t, w, run, now)
	p.ticketed = ticket != ""
	t.locate(w)
	c.recordLocation(p)
	c.candidateIndex.free = c.candidateIndex.free.Sub(p.size)
	c.stats.Starts++
	plan.Starts = append(plan.Starts, StartOrder{
		Worker: w.info, p: p,
		Order: order.Start{Task: t.id, Run: run, Spec: t.step.job.doc.Spec, Checkpoint: t.checkpoint, Ticket: ticket, Token: c.token},
	})
	c.logPlaced(t, w, run, now)
	t.step.numFailedRequests = 0
}

func (c *Cell) logPlaced(t *task, w *worker, run int, now time.Time) {
	fields := logrus.Fields{
		fieldJob: t.id.Job, fieldTask: t.id.String(), fieldRun: run, fieldWorker: w.info.ID, "free-cpu": w.info.Capacity.CPUMilli - w.used.CPUMilli,
		"waited": now.Sub(t.step.readyAt).Round(time.Millisecond).String(), "saved": t.checkpoint != "",
	}
	if !t.idleSince.IsZero() {
		fields["idle"] = now.Sub(t.idleSince).Round(time.Millisecond).String()
	}
	if t.step.numFailedRequests > 0 {
		fields["failed-requests"] = t.step.numFailedRequests
	}
	c.log.WithFields(fields).Info("run placed")
}
