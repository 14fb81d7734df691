package cell

import (
	"iter"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// stopAgain is after how long a stop that did not bring an end is sent again.
const stopAgain = 900 * time.Millisecond

// StartOrder is a start to be sent.
type StartOrder struct {
	Worker order.Worker
	Order  order.Start
	p      *placement
}

// StopOrder is a stop to be sent.
type StopOrder struct {
	Worker order.Worker
	Order  order.Stop
	p      *placement
}

// Plan is what is to be done now.
type Plan struct {
	Starts []StartOrder
	Stops  []StopOrder
	Asks   []Ask
	Paces  []PaceOrder
	// Again is when to plan again at the latest; zero if only an event changes anything.
	Again time.Time
	desks Desks
	// busy holds the least costs of calls for which no host was free.
	busy map[time.Duration]bool
	// renewals are calls that come after all others.
	renewals []renewal
}

// free reports whether a host could call the advisor; once none could, none is asked again for this plan.
func (p *Plan) free(cost time.Duration) bool {
	if p.busy[cost] {
		return false
	}
	if p.desks.Free(cost) {
		return true
	}
	if p.busy == nil {
		p.busy = map[time.Duration]bool{}
	}
	p.busy[cost] = true
	return false
}

// Plan places waiting tasks and returns the orders and calls that follow; cfg may have changed since the last call.
func (c *Cell) Plan(cfg *queues.Config, desks Desks, now time.Time) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	plan := Plan{desks: desks}
	c.planDrains(&plan, now)
	c.planStops(&plan, now)
	c.planPaces(&plan)
	if len(c.open) == 0 && len(c.copyable) == 0 {
		return plan
	}
	c.rooms.build(c, now)
	for _, cand := range c.candidates(&plan, now) {
		c.planStep(&plan, cand.s, cfg, now)
	}
	c.planCopies(&plan, cfg, now)
	c.renew(&plan, now)
	return plan
}

func (p *Plan) again(t time.Time) {
	if p.Again.IsZero() || t.Before(p.Again) {
		p.Again = t
	}
}

func (c *Cell) planStops(plan *Plan, now time.Time) {
	for p := range c.unwanted {
		if p.w.misses >= missesUntilSuspect {
			continue
		}
		if !p.stopSent.IsZero() && now.Sub(p.stopSent) < stopAgain {
			plan.again(p.stopSent.Add(stopAgain))
			continue
		}
		p.stopSent = now
		plan.again(now.Add(stopAgain))
		plan.Stops = append(plan.Stops, StopOrder{p.w.info, order.Stop{Task: p.task.id, Run: p.run, Token: c.token}, p})
	}
}

// eligible reports whether a step's tasks may be started on a worker, room and permission apart.
func (c *Cell) eligible(w *worker, s *step, now time.Time) bool {
	if !c.rooms.has(w) || w.heldFromOthers(s, now) {
		return false
	}
	return s.doc.Label == "" || slices.Contains(w.info.Labels, s.doc.Label)
}

// options yields the workers on which a step's tasks may be started, with the tickets for that; workers with less than so
// many free processors are left out.
func (c *Cell) options(s *step, needsTicket bool, least int64, now time.Time) iter.Seq2[*worker, string] {
	return func(yield func(*worker, string) bool) {
		if !needsTicket {
			for w := range c.rooms.from(least) {
				if c.eligible(w, s, now) && !yield(w, "") {
					return
				}
			}
			return
		}
		for id := range s.permits {
			w, ok := c.workers[id]
			if !ok || w.freeCPU() < least || !c.eligible(w, s, now) {
				continue
			}
			if ticket, ok := s.usable(w, true, now); ok && !yield(w, ticket) {
				return
			}
		}
	}
}

// fits returns how many more tasks of a step a worker has room for.
func (c *Cell) fits(s *step, w *worker, size unit.Size) int { return s.fitsBeside(w, w.used, size) }

// fitsBeside returns how many more tasks of a step fit on a worker of which others use a part.
func (s *step) fitsBeside(w *worker, used, size unit.Size) int {
	most := s.doc.Count
	if s.doc.MaxPerWorker > 0 {
		most = min(most, s.doc.MaxPerWorker-s.perWorker[w])
	}
	return max(0, min(most, w.info.Capacity.Sub(used).Holds(size)))
}

func (c *Cell) planStep(plan *Plan, s *step, cfg *queues.Config, now time.Time) {
	var advice *queues.Advice
	if q := cfg.Queue(s.job.doc.Queue); q != nil {
		advice = q.Advice
	}
	if c.mayRunElsewhere(s, now) {
		plan.again(c.unknownUntil)
		return
	}
	if s.job.version == 0 {
		// Without a durable record a later scheduler would take it that nothing of the job was ever started.
		if _, ok := c.dirty[s.job.doc.ID]; !ok {
			c.touch(s.job)
		}
		c.askFor(plan, s, advice, s.free, now)
		return
	}
	if s.doc.Gang {
		c.planGang(plan, s, advice, now)
		return
	}
	waiting := 0
	var w *worker
	var ticket string
	for _, t := range s.tasks {
		if !t.waits() {
			continue
		}
		if now.Before(t.notBefore) {
			plan.again(t.notBefore)
			continue
		}
		if waiting > 0 {
			// The tasks of a step are equal: where one found no worker the others find none.
			waiting++
			continue
		}
		if c.kept(s) {
			plan.again(now.Add(keptPause))
			return
		}
		if w == nil || t.avoid[w.info.ID] || c.fits(s, w, roomOf(s.doc)) == 0 {
			// The worker that is fullest stays so with each task that it gets.
			w, ticket = c.best(s, t, advice != nil, now)
		}
		if w == nil {
			waiting++
			continue
		}
		if t.avoid[w.info.ID] && c.askFor(plan, s, advice, 1, now) {
			// It failed there; other workers are being asked about.
			continue
		}
		c.start(plan, t, w, ticket, c.nextRun(t), now)
	}
	if waiting == 0 || c.askFor(plan, s, advice, waiting, now) {
		return
	}
	if c.mayPreempt(s, now) && c.preempt(plan, s, advice != nil, waiting, now) == 0 {
		c.askAboutFull(plan, s, advice, waiting, now)
	}
	c.keepTickets(plan, s, advice, now)
}

// mayRunElsewhere reports whether an earlier scheduler may have started a step's tasks on a worker not yet heard of; it did
// not if it left no record of the job's progress.
func (c *Cell) mayRunElsewhere(s *step, now time.Time) bool {
	return s.job.recorded && now.Before(c.unknownUntil)
}

// keptPause is when a step is looked at again that has to leave the room to urgent work.
const keptPause = 100 * time.Millisecond

func (c *Cell) best(s *step, t *task, needsTicket bool, now time.Time) (*worker, string) {
	size := roomOf(s.doc)
	var found *worker
	var foundTicket string
	var foundScore float64
	for w, ticket := range c.options(s, needsTicket, size.CPUMilli, now) {
		if c.fits(s, w, size) == 0 {
			continue
		}
		score := c.score(s, w, size, now)
		if t.avoid[w.info.ID] {
			score += avoidPenalty
		}
		if found == nil || score < foundScore || (score == foundScore && w.info.ID < found.info.ID) {
			found, foundTicket, foundScore = w, ticket, score
		}
	}
	return found, foundTicket
}

func (c *Cell) nextRun(t *task) int { return max(t.run+1, c.firstRun) }

func (c *Cell) start(plan *Plan, t *task, w *worker, ticket string, run int, now time.Time) {
	p := c.place(t, w, run, now)
	c.rooms.free = c.rooms.free.Sub(p.size)
	c.stats.Starts++
	plan.Starts = append(plan.Starts, StartOrder{
		Worker: w.info, p: p,
		Order: order.Start{Task: t.id, Run: run, Spec: t.step.job.doc.Spec, Saved: t.saved, Ticket: ticket, Token: c.token},
	})
	c.log.WithFields(logrus.Fields{
		fieldJob: t.id.Job, fieldTask: t.id.String(), fieldRun: run, fieldWorker: w.info.ID, "free-cpu": w.info.Capacity.CPUMilli - w.used.CPUMilli,
		"waited": now.Sub(t.step.readyAt).Round(time.Millisecond).String(), "saved": t.saved != "",
	}).Info("run placed")
}
