package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/order"
)

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

// Sending notes that an order which renews leases is about to be sent.
func (c *Cell) Sending(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if w, ok := c.workers[id]; ok {
		w.renewed = now
	}
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
