package cell

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Times of looking at workers.
const (
	// lookWait is how long a worker may hold its answer back when nothing ends.
	lookWait = 1000 * time.Millisecond
	// lookWaitServing is shorter, so that the gauges of serving tasks beside filling ones are fresh.
	lookWaitServing = 400 * time.Millisecond
	// missesUntilSuspect is how many looks may fail before a worker's leases are no longer renewed.
	missesUntilSuspect = 2
	// foreignGrace is how long a run of a job that is not known here is left alone.
	foreignGrace = 1500 * time.Millisecond
	// clockDrift is by how much of the time passed a worker's clock may be behind.
	clockDrift = 0.02
	// idlePause is how long a worker with nothing on it is left alone at most.
	idlePause = 5 * time.Second
	// unackedPause is how long a worker is left alone while an end that it told is made durable.
	unackedPause = 500 * time.Millisecond
	// ackPause spaces looks that may not acknowledge yet, since the worker tells its ends again at once.
	ackPause = 30 * time.Millisecond
	// confirmAfter is how old a confirmed start must be before its absence from a report means that the run is gone.
	confirmAfter = 300 * time.Millisecond
)

// runKey names a run.
type runKey struct {
	task graph.TaskID
	run  int
}

// placement is a run that is on a worker, or may be.
type placement struct {
	task *task
	w    *worker
	run  int
	size unit.Size
	sent time.Time
	// confirmed is when the worker answered for the run; zero while it may or may not have arrived.
	confirmed time.Time
	// adopted says that an earlier scheduler started the run, at a time that is not known here.
	adopted  bool
	unwanted bool
	stopSent time.Time
	stopped  bool
	saved    string
	savedAt  time.Time
	percent  int
	paced    int
	gauge    float64
	// zeroSince is since when the run's pace is 0.
	zeroSince time.Time
	// stillSince is since when the run has used no processor.
	stillSince time.Time
	over       time.Time
}

// worker is a worker of the group, with what is on it.
type worker struct {
	info   order.Worker
	listed bool
	used   unit.Size
	placed map[runKey]*placement
	// closeOff are runs whose start may still arrive and has to be refused.
	closeOff []order.Stop
	foreign  map[runKey]time.Time
	seen     uint64
	acked    uint64
	ackSent  uint64
	clock    time.Duration
	clockAt  time.Time
	// lifeInDoubt says that an answer may have come from another life; the next report tells.
	lifeInDoubt bool
	// known says that this life was looked at under this scheduler's token.
	known    bool
	renewed  time.Time
	rebornAt time.Time
	// heardAt is when the last report came.
	heardAt time.Time
	// doubted is since when an order has had no answer for unusually long.
	doubted time.Time
	misses  int
	missed  time.Time
	strikes int
	// struckBy is the job that failed here last.
	struckBy string
	benched  time.Time
	// pacedAt is when the pace of filling tasks was last considered.
	pacedAt time.Time
	slow    int
	slowAt  time.Time
	// ratio is by which share runs take longer here than on the other workers; negative on a fast one.
	ratio float64
	// leaves is when a draining worker may be gone.
	leaves time.Time
	// plan is the number of the last plan in which the worker may get work.
	plan uint64
	// heldFor is the gang for which the worker is kept until heldUntil.
	heldFor   *step
	heldUntil time.Time
	wake      chan struct{}
	first     time.Time
}

func (w *worker) kick() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// clockNow returns a time that the worker's clock has surely reached.
func (w *worker) clockNow(now time.Time) time.Duration {
	passed := max(0, now.Sub(w.clockAt))
	return w.clock + passed - time.Duration(clockDrift*float64(passed))
}

// heard takes the worker's clock from an answer; one that is behind what it had surely reached when the order was sent is that
// of a new life.
func (w *worker) heard(clock time.Duration, sent, now time.Time) {
	if clock <= 0 {
		return
	}
	if !w.clockAt.IsZero() && clock < w.clockNow(sent).Truncate(time.Millisecond) {
		w.lifeInDoubt = true
	}
	w.clock, w.clockAt = clock, now
}

// mayAck reports whether an acknowledgement surely reaches the life that told the ends: a new life may have carried out what
// was sent since the last report, and would forget ends that nobody has seen.
func (w *worker) mayAck() bool {
	if w.misses > 0 || w.lifeInDoubt {
		return false
	}
	for _, p := range w.placed {
		if p.confirmed.IsZero() {
			return false
		}
	}
	return true
}

// SetWorkers replaces the list of the registry.
func (c *Cell) SetWorkers(list []order.Worker, now time.Time) (added []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	named := map[string]bool{}
	for i := range list {
		named[list[i].ID] = true
		if c.setWorker(list[i], now) {
			added = append(added, list[i].ID)
		}
	}
	for id, w := range c.workers {
		if !named[id] {
			c.unlist(w)
		}
	}
	return added
}

// SetWorker takes one changed entry of the registry and reports whether the worker is new here.
func (c *Cell) SetWorker(info order.Worker, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.setWorker(info, now)
}

// Unlist takes a worker out of those that get work.
func (c *Cell) Unlist(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.workers[id]; ok {
		c.unlist(w)
	}
}

func (c *Cell) unlist(w *worker) {
	if w.listed {
		c.log.WithFields(logrus.Fields{fieldWorker: w.info.ID, fieldPlaced: len(w.placed)}).Info("worker left the registry")
	}
	w.listed = false
	w.kick()
}

func (c *Cell) setWorker(info order.Worker, now time.Time) bool {
	w, ok := c.workers[info.ID]
	if !ok {
		w = &worker{
			info: info, placed: map[runKey]*placement{}, foreign: map[runKey]time.Time{}, wake: make(chan struct{}, 1),
			listed: true, first: now,
		}
		w.noteDrain(now)
		c.workers[info.ID] = w
		c.log.WithFields(logrus.Fields{fieldWorker: info.ID, "rack": info.Rack, "draining": info.Draining}).Info("worker listed")
		return true
	}
	if !info.Born.Equal(w.info.Born) {
		if info.Born.Before(w.info.Born) {
			// The entry is older than what the worker has told itself, but it is there.
			w.listed = true
			return false
		}
		c.reborn(w, info.Born, now)
	}
	if info.Draining != w.info.Draining {
		c.log.WithFields(logrus.Fields{
			fieldWorker: info.ID, "draining": info.Draining, "remaining": info.Remaining.String(), fieldPlaced: len(w.placed),
		}).Info("worker changed its state")
	}
	w.info, w.listed = info, true
	w.noteDrain(now)
	w.kick()
	return false
}

// reborn starts a new life of a worker. A start that was sent to the old life may have been carried out by the new one under
// the same id, so that what was there is lost only if the next report does not show it.
func (c *Cell) reborn(w *worker, born, now time.Time) {
	c.log.WithFields(logrus.Fields{fieldWorker: w.info.ID, fieldPlaced: len(w.placed)}).Warn("worker has started anew")
	for _, p := range w.placed {
		if !p.confirmed.IsZero() {
			p.confirmed = now
		}
	}
	w.info.Born = born
	w.seen, w.acked, w.ackSent, w.known = 0, 0, 0, false
	w.clock, w.clockAt, w.lifeInDoubt = 0, time.Time{}, false
	w.renewed, w.rebornAt = time.Time{}, now
	w.misses = 0
	clear(w.foreign)
}

// loseAll ends all placements of a worker on which surely nothing runs any more.
func (c *Cell) loseAll(w *worker, why string, now time.Time) {
	for key, p := range w.placed {
		if p.confirmed.IsZero() {
			w.closeOff = append(w.closeOff, order.Stop{Task: key.task, Run: key.run, Token: c.token})
		}
		c.log.WithFields(logrus.Fields{
			fieldJob: key.task.Job, fieldTask: key.task.String(), fieldRun: key.run, fieldWorker: w.info.ID, fieldWhy: why,
		}).Warn("run lost")
		c.stats.Lost++
		c.release(p, order.EndLapsed, p.saved, now)
	}
}

// NextLook is what to ask of a worker next.
type NextLook struct {
	Worker order.Worker
	Order  order.Look
	// Needed says that the worker has to be looked at now.
	Needed bool
	// First says that nothing is known of the worker's life yet, so that jobs may wait for its answer.
	First bool
	// Pause is how long to wait before the look, after a miss.
	Pause time.Duration
	// Gone says that the worker is neither listed nor holds anything.
	Gone bool
	// Idle is how long to wait for Wake if no look is needed.
	Idle time.Duration
	Wake <-chan struct{}
	Stop []order.Stop
}

// Next returns the next look at a worker.
func (c *Cell) Next(id string, now time.Time) NextLook {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok {
		return NextLook{Gone: true}
	}
	c.expire(w, now)
	n := NextLook{Worker: w.info, Wake: w.wake, Idle: idlePause}
	if !w.listed && len(w.placed) == 0 && len(w.foreign) == 0 {
		delete(c.workers, id)
		n.Gone = true
		return n
	}
	n.Needed = !w.known || w.misses > 0 || !w.doubted.IsZero() || len(w.placed) > 0 || w.seen > w.ackSent || len(w.foreign) > 0
	if w.known && w.seen > w.acked && now.Sub(w.heardAt) < unackedPause {
		// An end that is not acknowledged would be told again at once.
		n.Needed, n.Idle = false, unackedPause
	}
	n.Order = order.Look{Token: c.token}
	if w.acked > w.ackSent {
		// Sent once, and never after a silence or while a start is on its way.
		if w.mayAck() {
			n.Order.Acked = w.acked
		} else {
			n.Pause = ackPause
		}
	}
	if w.misses > 0 {
		n.Pause = max(n.Pause, missPause)
	}
	if !w.known {
		n.First = true
		n.Pause = min(n.Pause, firstPause)
	}
	if !w.known && !w.listed {
		n.Needed = len(w.placed) > 0
	}
	if w.misses < missesUntilSuspect {
		n.Order.Until = w.until(now, c.settings.Lease)
	}
	if w.known && w.misses == 0 && w.acked <= w.ackSent {
		n.Order.Wait = c.lookWait(w)
	}
	if now.Sub(w.rebornAt) < 2*confirmAfter {
		n.Order.Wait, n.Pause = 0, confirmAfter
	}
	n.Stop = w.closeOff
	w.closeOff = nil
	return n
}

// missPause is the pause between looks at a worker that does not answer, and firstPause that between first looks.
const (
	missPause  = 250 * time.Millisecond
	firstPause = 50 * time.Millisecond
)

func (c *Cell) lookWait(w *worker) time.Duration {
	for _, p := range w.placed {
		if p.task.step.doc.Target > 0 || p.task.step.doc.Fills {
			return lookWaitServing
		}
	}
	return lookWait
}

// until returns when a lease that is renewed now ends on the worker's clock; 0 if that clock is not known.
func (w *worker) until(now time.Time, lease time.Duration) time.Duration {
	if w.clockAt.IsZero() {
		return 0
	}
	return w.clockNow(now) + lease
}

// Sending notes that an order which renews leases is about to be sent.
func (c *Cell) Sending(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.workers[id]; ok {
		w.renewed = now
	}
}

// expire ends what is on a worker whose leases have surely run out.
func (c *Cell) expire(w *worker, now time.Time) {
	if w.misses < missesUntilSuspect || len(w.placed) == 0 {
		return
	}
	if now.Sub(w.lastOrder()) > c.settings.Lease+leaseSlack {
		c.loseAll(w, "its lease has run out", now)
	}
}

// lastOrder returns when the last order was sent that renewed the leases on a worker.
func (w *worker) lastOrder() time.Time {
	last := w.renewed
	for _, p := range w.placed {
		if p.sent.After(last) {
			last = p.sent
		}
	}
	return last
}

// Missed says that a look got no answer.
func (c *Cell) Missed(id string, err error, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok {
		return
	}
	w.misses++
	if w.misses == missesUntilSuspect {
		w.missed = now
		c.log.WithError(err).WithFields(logrus.Fields{fieldWorker: id, fieldPlaced: len(w.placed)}).Warn("worker does not answer")
	}
	c.expire(w, now)
}

// Replaced says that another worker answers at a worker's address.
func (c *Cell) Replaced(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.workers[id]; ok {
		c.loseAll(w, "another worker has its address", now)
		w.closeOff = nil
		w.listed = false
		w.known = false
	}
}

// Looked takes a worker's report; sent is when the look was sent and acked what it acknowledged.
func (c *Cell) Looked(id string, rep order.Report, acked uint64, sent, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok {
		return
	}
	if !rep.Born.IsZero() && !rep.Born.Equal(w.info.Born) {
		if rep.Born.Before(w.info.Born) {
			return
		}
		c.reborn(w, rep.Born, now)
		acked = 0
	}
	if w.misses >= missesUntilSuspect {
		c.log.WithFields(logrus.Fields{fieldWorker: id, "away": now.Sub(w.missed).Round(time.Millisecond).String()}).Info("worker answers again")
	}
	w.heard(rep.Clock, sent, now)
	w.misses, w.lifeInDoubt = 0, false
	c.heardOf(w, now)
	w.ackSent = max(w.ackSent, acked)
	if len(rep.Ended) > 0 && rep.Ended[0].Number <= w.acked && acked == 0 {
		// It still lists what was acknowledged: that call was lost.
		w.ackSent = 0
	}
	w.known = true
	running := make(map[runKey]bool, len(rep.Running))
	for i := range rep.Running {
		running[runKey{rep.Running[i].Task, rep.Running[i].Run}] = true
		c.sawRun(w, &rep.Running[i], now)
	}
	for i := range rep.Ended {
		c.sawEnd(w, &rep.Ended[i], now)
	}
	c.share(w, now)
	for key, p := range w.placed {
		if running[key] || p.confirmed.IsZero() || sent.Sub(p.confirmed) < confirmAfter {
			continue
		}
		c.log.WithFields(logrus.Fields{fieldTask: key.task.String(), fieldRun: key.run, fieldWorker: id, "stopped": p.stopped}).
			Info("run is no longer on its worker")
		c.release(p, order.EndLapsed, p.saved, now)
	}
	for key := range w.foreign {
		if !running[key] {
			delete(w.foreign, key)
		}
	}
}

func (c *Cell) sawRun(w *worker, r *order.Run, now time.Time) {
	key := runKey{r.Task, r.Run}
	p, ok := w.placed[key]
	if !ok {
		if p = c.adopt(w, r, now); p == nil {
			return
		}
	}
	if p.confirmed.IsZero() {
		p.confirmed = now
	}
	if r.Saved != p.saved {
		p.saved, p.savedAt = r.Saved, now
	}
	p.percent, p.gauge = r.Percent, r.Gauge
	c.standsStill(p, now)
}

// adopt takes over a run that an earlier scheduler started.
func (c *Cell) adopt(w *worker, r *order.Run, now time.Time) *placement {
	key := runKey{r.Task, r.Run}
	j := c.jobs[r.Task.Job]
	var t *task
	if j != nil {
		t = j.task(r.Task)
	}
	if t == nil {
		first, ok := w.foreign[key]
		if !ok {
			w.foreign[key] = now
		} else if now.Sub(first) > foreignGrace {
			w.closeOff = append(w.closeOff, order.Stop{Task: r.Task, Run: r.Run, Token: c.token})
		}
		return nil
	}
	delete(w.foreign, key)
	if t.run >= r.Run && !t.done && len(t.placed) == 0 && t.run > r.Run {
		c.log.WithFields(logrus.Fields{fieldTask: r.Task.String(), fieldRun: r.Run, fieldWorker: w.info.ID}).Warn("older run found")
	}
	p := c.place(t, w, r.Run, now)
	p.confirmed, p.adopted = now, true
	if t.done || j.state.Over() || len(t.placed) > 1 {
		c.unwant(p)
	}
	c.log.WithFields(logrus.Fields{
		fieldJob: r.Task.Job, fieldTask: r.Task.String(), fieldRun: r.Run, fieldWorker: w.info.ID, "unwanted": p.unwanted,
	}).Info("run adopted")
	return p
}

// place records a run on a worker, and takes its room.
func (c *Cell) place(t *task, w *worker, run int, now time.Time) *placement {
	p := &placement{task: t, w: w, run: run, size: roomOf(t.step.doc), sent: now, percent: fullPace, paced: fullPace}
	if t.waits() {
		t.step.free--
	}
	t.placed = append(t.placed, p)
	t.run = max(t.run, run)
	t.step.perWorker[w]++
	t.step.job.placed++
	t.step.job.started = true
	w.used = w.used.Add(p.size)
	w.placed[runKey{t.id, run}] = p
	if t.step.doc.Copies && !t.step.doc.Gang && !t.step.doc.Lasting {
		c.copyable[t.step.id] = t.step
	}
	c.countYielding(t.step, 1)
	if t.step.urgent() && !t.step.doc.Lasting {
		c.demand.took(p.size, 1)
	}
	c.refresh(t.step, now)
	w.kick()
	return p
}

// roomOf returns what a task takes of a worker; filling tasks take no processors from others.
func roomOf(s *graph.Step) unit.Size {
	size := s.Size
	if s.Fills {
		size.CPUMilli = 0
	}
	return size
}

// release gives a run's room back and settles what its end means.
func (c *Cell) release(p *placement, kind order.EndKind, saved string, now time.Time) {
	t, w, s := p.task, p.w, p.task.step
	j := s.job
	delete(w.placed, runKey{t.id, p.run})
	delete(c.unwanted, p)
	delete(c.repace, p)
	w.used = w.used.Sub(p.size)
	c.countYielding(s, -1)
	if s.urgent() && !s.doc.Lasting {
		c.demand.took(p.size, -1)
	}
	if s.perWorker[w]--; s.perWorker[w] <= 0 {
		delete(s.perWorker, w)
	}
	t.placed = slices.DeleteFunc(t.placed, func(o *placement) bool { return o == p })
	j.placed--
	if saved != "" {
		t.saved = saved
	}
	if t.waits() {
		s.free++
	}
	c.touch(j)
	c.settle(p, kind, now)
	if t.waits() && s.doc.Gang {
		c.breakGang(s, p.run)
	}
	c.refresh(s, now)
	for _, next := range s.unblocks {
		c.refresh(next, now)
	}
	if j.state.Over() && j.placed == 0 {
		if _, durable := c.over[j.doc.ID]; durable {
			c.forget(j)
		}
	}
}

// breakGang asks for the end of the other members of a run that can no longer succeed.
func (c *Cell) breakGang(s *step, run int) {
	for _, t := range s.tasks {
		for _, p := range t.placed {
			if p.run <= run {
				c.unwant(p)
			}
		}
	}
}

// Until returns when the lease of a task that is started now ends on the worker's clock.
func (c *Cell) Until(id string, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	w, ok := c.workers[id]
	if !ok {
		return 0
	}
	return w.until(now, c.settings.Lease)
}
