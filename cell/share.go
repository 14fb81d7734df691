package cell

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// Figures of tasks that fill the room beside tasks that serve; the loop reacts within one look, and gives back slowly.
const (
	// overShare is the share of its target at which a serving task's tail counts as too long.
	overShare = 0.9
	// calmShare is the share of its target below which filling tasks may work faster again.
	calmShare = 0.6
	// slowDown is what a filling task's pace is multiplied with when a serving one suffers.
	slowDown = 0.4
	// paceLeast is the pace below which a filling task is stopped altogether, in percent.
	paceLeast = 10
	// paceStep is by how much the pace rises when all is calm, in percent.
	paceStep = 20
	// paceEvery spaces changes of pace, since a gauge covers the last half second.
	paceEvery = 600 * time.Millisecond
	// moveAfter is how long a filling task may stand at pace 0 before it is moved elsewhere.
	moveAfter = 1500 * time.Millisecond
	fullPace  = 100
)

// PaceOrder is a change of pace to be sent.
type PaceOrder struct {
	Worker order.Worker
	Order  order.Pace
	p      *placement
}

// share sets the pace of filling tasks on a worker by how the serving ones beside them fare.
func (c *Cell) share(w *worker, now time.Time) {
	var serving, filling []*placement
	for _, p := range w.placed {
		switch {
		case p.unwanted || p.confirmed.IsZero():
		case p.task.step.doc.Target > 0:
			serving = append(serving, p)
		case p.task.step.doc.Fills:
			filling = append(filling, p)
		}
	}
	if len(filling) == 0 || now.Sub(w.pacedAt) < paceEvery {
		return
	}
	worst := 0.0
	for _, p := range serving {
		worst = max(worst, p.gauge/float64(p.task.step.doc.Target.Milliseconds()))
	}
	w.pacedAt = now
	for _, p := range filling {
		c.paceBy(p, worst, now)
	}
}

// paceBy changes the pace of one filling task by the worst share of a target that is reached beside it.
func (c *Cell) paceBy(p *placement, worst float64, now time.Time) {
	next := p.paced
	switch {
	case worst > overShare:
		if next = int(slowDown * float64(p.paced)); next < paceLeast {
			next = 0
		}
	case worst < calmShare:
		next = min(fullPace, p.paced+paceStep)
	}
	if next == 0 && p.paced == 0 {
		if now.Sub(p.zeroSince) > moveAfter {
			c.evict(p, "serving tasks beside it suffer", now)
		}
		return
	}
	if next == p.paced {
		return
	}
	if next == 0 {
		p.zeroSince = now
	}
	c.log.WithFields(logrus.Fields{
		fieldTask: p.task.id.String(), fieldWorker: p.w.info.ID, "from": p.paced, "to": next, "worst-share-of-target": worst,
	}).Info("pace changed")
	p.paced = next
	c.repace[p] = struct{}{}
}

// planPaces returns the changes of pace that have not been sent.
func (c *Cell) planPaces(plan *Plan) {
	for p := range c.repace {
		delete(c.repace, p)
		if p.w.placed[runKey{p.task.id, p.run}] != p {
			continue
		}
		plan.Paces = append(plan.Paces, PaceOrder{
			p.w.info, order.Pace{Task: p.task.id, Run: p.run, Percent: p.paced, Token: c.token}, p,
		})
	}
}

// Paced takes the outcome of a change of pace; one that surely or possibly failed is sent again.
func (c *Cell) Paced(o PaceOrder, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && o.p.w.misses == 0 {
		c.repace[o.p] = struct{}{}
	}
}

// mayMiss reports whether one more task of a lasting step may be taken from its worker.
func (s *step) mayMiss() bool {
	if s.doc.MayMiss < 0 {
		return true
	}
	away := 0
	for _, t := range s.tasks {
		atWork := slices.ContainsFunc(t.placed, func(p *placement) bool {
			return !p.unwanted && !p.confirmed.IsZero() && p.percent == fullPace
		})
		if !atWork {
			away++
		}
	}
	return away < s.doc.MayMiss
}

// serves reports whether a step's tasks have users of their own.
func serves(s *graph.Step) bool { return s.Lasting || s.Target > 0 }
