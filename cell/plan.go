package cell

import (
	"cmp"
	"errors"
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

// score orders workers for a step, lower first: the worker that is left fullest, near the data, without disturbance.
func (c *Cell) score(s *step, w *worker, size unit.Size, now time.Time) float64 {
	left := w.info.Capacity.Sub(w.used).Sub(size)
	score := left.Share(w.info.Capacity)
	if s.doc.DataRack != "" && w.info.Rack != s.doc.DataRack {
		score += 2
	}
	if s.doc.Target > 0 || s.doc.Fills {
		score += c.disturbance(s, w)
	}
	if c.settings.DataCenter != "" && !s.doc.Lasting {
		score += c.distance(s, w)
	}
	if s.urgent() {
		score += speedUrgent * w.ratio
	} else {
		score -= speedOther * w.ratio
	}
	return score + float64(w.strikes) + w.slowness(now)
}

// Weights of where work goes, against the share of a worker that is left free.
const (
	// awayFromHome keeps urgent jobs together in the scheduler's data centre: of the cuts between data centres only those
	// that also cut the scheduler off then hit them, while a job that is spread is hit by every cut.
	awayFromHome = 0.6
	// awayFromUrgent keeps other work out of that data centre while there is room elsewhere.
	awayFromUrgent = 0.3
	// speedUrgent and speedOther weigh by which share a worker is slower than others: urgent work goes to fast workers, and
	// other work leaves these to it.
	speedUrgent = 1.5
	speedOther  = 0.7
	// urgentPriority is the last priority that counts as urgent.
	urgentPriority = 1
)

func (s *step) urgent() bool { return s.job.doc.Priority <= urgentPriority }

func (c *Cell) distance(s *step, w *worker) float64 {
	home := w.info.DataCenter == c.settings.DataCenter
	switch {
	case s.urgent() && !home:
		return awayFromHome
	case !s.urgent() && home:
		return awayFromUrgent
	default:
		return 0
	}
}

// disturbance counts the tasks on a worker beside which a filling or a serving task would do harm.
func (c *Cell) disturbance(s *step, w *worker) float64 {
	n := 0.0
	for _, p := range w.placed {
		other := p.task.step.doc
		if (s.doc.Fills && other.Target > 0) || (s.doc.Target > 0 && other.Fills) {
			n++
		}
	}
	return n
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

// ticketCheck spaces the looks for tickets that have to be renewed.
const ticketCheck = 30 * time.Millisecond

// askFor asks the advisor about more workers, and reports whether there are any with room to ask about.
func (c *Cell) askFor(plan *Plan, s *step, advice *queues.Advice, waiting int, now time.Time) bool {
	return c.askWhere(plan, s, advice, waiting, roomOf(s.doc).CPUMilli, now, c.fits)
}

// askAboutFull asks the advisor about workers on which less urgent runs could make room.
func (c *Cell) askAboutFull(plan *Plan, s *step, advice *queues.Advice, waiting int, now time.Time) {
	if c.rank(s, now).urgency == overdue {
		return
	}
	c.askWhere(plan, s, advice, waiting, anyFree, now, func(s *step, w *worker, size unit.Size) int {
		return c.fitsAfter(s, w, size, now)
	})
}

// keepTickets renews the tickets of a step that waits for room, so that it can start at once where room comes free.
func (c *Cell) keepTickets(plan *Plan, s *step, advice *queues.Advice, now time.Time) {
	if advice == nil || s.asking {
		return
	}
	if now.Before(s.ticketsUntil) {
		plan.again(s.ticketsUntil)
		return
	}
	c.askWhere(plan, s, advice, maxAsked, anyFree, now, knownAllowed)
	s.ticketsUntil = now.Add(ticketCheck)
}

// askWhere asks about workers that have room for a step by a measure of it.
func (c *Cell) askWhere(
	plan *Plan, s *step, advice *queues.Advice, waiting int, least int64, now time.Time, room roomFunc,
) bool {
	if advice == nil {
		return false
	}
	if s.asking || !plan.free(advice.Cost(1)) {
		return true
	}
	if now.Before(s.askAfter) {
		plan.again(s.askAfter)
		return true
	}
	a, ok := c.ask(s, advice, waiting, least, now, room)
	if !ok {
		return false
	}
	if a.Host, ok = plan.desks.Reserve(a.Cost); ok {
		s.asking = true
		plan.Asks = append(plan.Asks, a)
	}
	return true
}

// avoidPenalty puts a worker on which a task has failed behind all others.
const avoidPenalty = 100

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

// planGang places all tasks of a gang at once, or none.
func (c *Cell) planGang(plan *Plan, s *step, advice *queues.Advice, now time.Time) {
	run := 0
	for _, t := range s.tasks {
		if len(t.placed) > 0 {
			return
		}
		if now.Before(t.notBefore) {
			plan.again(t.notBefore)
			return
		}
		run = max(run, c.nextRun(t))
	}
	saved := ""
	for _, t := range s.tasks {
		if t.saved > saved {
			saved = t.saved
		}
	}
	size := roomOf(s.doc)
	seats := c.seats(s, advice != nil, now, func(w *worker) int { return c.fits(s, w, size) })
	if len(seats) < len(s.tasks) {
		if !c.askFor(plan, s, advice, len(s.tasks), now) && c.mayPreempt(s, now) && !c.preemptGang(plan, s, advice != nil, now) {
			c.askAboutFull(plan, s, advice, len(s.tasks), now)
		}
		c.keepTickets(plan, s, advice, now)
		return
	}
	for i, t := range s.tasks {
		t.saved = saved
		c.start(plan, t, seats[i].w, seats[i].ticket, run, now)
	}
}

type seat struct {
	w      *worker
	ticket string
}

// seats finds a worker for each member of a gang, one rack first if the members belong together.
func (c *Cell) seats(s *step, needsTicket bool, now time.Time, room func(w *worker) int) []seat {
	size := roomOf(s.doc)
	type option struct {
		seat
		fits  int
		score float64
	}
	var options []option
	rackRoom := map[string]int{}
	for w, ticket := range c.options(s, needsTicket, anyFree, now) {
		if n := room(w); n > 0 {
			options = append(options, option{seat{w, ticket}, n, c.score(s, w, size, now)})
			rackRoom[w.info.Rack] += n
		}
	}
	slices.SortFunc(options, func(a, b option) int {
		if s.doc.Colocate {
			ra, rb := rackRoom[a.w.info.Rack] >= s.doc.Count, rackRoom[b.w.info.Rack] >= s.doc.Count
			if ra != rb {
				if ra {
					return -1
				}
				return 1
			}
			if o := cmp.Compare(a.w.info.Rack, b.w.info.Rack); o != 0 {
				return o
			}
		}
		if o := cmp.Compare(a.score, b.score); o != 0 {
			return o
		}
		return cmp.Compare(a.w.info.ID, b.w.info.ID)
	})
	var out []seat
	for _, o := range options {
		for range o.fits {
			if len(out) == s.doc.Count {
				return out
			}
			out = append(out, o.seat)
		}
	}
	return out
}

// Abandoned reports whether a start is no longer wanted, so that it must not be sent, or sent again.
func (c *Cell) Abandoned(o StartOrder) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return o.p.unwanted
}

// StartResult is what came of a start.
type StartResult struct {
	Sent  time.Time
	Clock time.Duration
	Err   error
}

// Started takes the outcome of a start; a run that surely did not start gives its room back.
func (c *Cell) Started(o StartOrder, res StartResult, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := o.p
	w := p.w
	if w.placed[runKey{p.task.id, p.run}] != p {
		return
	}
	p.sent = res.Sent
	if res.Err == nil {
		w.heard(res.Clock, res.Sent, now)
		c.heardOf(w, now)
		if p.confirmed.IsZero() {
			p.confirmed = now
		}
		return
	}
	c.log.WithError(res.Err).WithFields(logrus.Fields{
		fieldJob: p.task.id.Job, fieldTask: p.task.id.String(), fieldRun: p.run, fieldWorker: w.info.ID,
	}).Warn("start failed")
	if !certain(res.Err) {
		// The start may still be carried out: the run is closed off on the worker before the task goes elsewhere.
		c.unwant(p)
		return
	}
	if rejectedAs(res.Err, order.RejectStale) {
		// The run was there before; the worker lists its end, unless that was told already.
		if p.confirmed.IsZero() {
			p.confirmed = now
		}
		return
	}
	if rejectedAs(res.Err, order.RejectTicket) {
		delete(p.task.step.permits, w.info.ID)
	}
	if rejectedAs(res.Err, order.RejectRoom) {
		p.task.step.askAfter = now.Add(askPause)
	}
	p.task.notBefore = now.Add(failPause)
	c.release(p, order.EndStopped, "", now)
}

// Stopped takes the outcome of a stop: after it the run is either listed as ended or will never start.
func (c *Cell) Stopped(o StopOrder, clock time.Duration, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := o.p
	w := p.w
	var rejected *order.RejectedError
	if w.placed[runKey{p.task.id, p.run}] != p || (err != nil && !errors.As(err, &rejected)) {
		return
	}
	w.heard(clock, p.stopSent, now)
	c.heardOf(w, now)
	p.stopped = true
	if p.confirmed.IsZero() {
		p.confirmed = now
	}
	w.kick()
}
