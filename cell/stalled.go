package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/unit"
)

// Parameters for stalled runs. A run that uses no CPU may be stalled by its worker, or may wait for something else, which its gauge can't tell:
// it is compared with the other runs on its worker, and with runs of its kind on other workers.
const (
	// stalledAfter is how long a run may be idle before it is compared.
	stalledAfter = 900 * time.Millisecond
	// idleCPUShare is the share of its requested CPU up to which a run counts as idle.
	idleCPUShare = 0.05
	// stalledQuarantine is how long a worker with stalled runs gets no work.
	stalledQuarantine = 4 * time.Second
	// maxStalledShare is the share of the workers that may be in quarantine for stalled runs at the same time.
	maxStalledShare = 0.25
	// activityTTL is how long the activity of a kind of task on a worker counts.
	activityTTL = time.Minute
	// maxActivities is the number of kinds of task of which the activity is kept.
	maxActivities = 1000
	// minWorkingElsewhere is on how many workers a kind of task must work, and idle on none, for an idle run beside working ones to count as
	// stalled.
	minWorkingElsewhere = 3
)

// activity is what was seen lately of the runs of a kind of task: on which workers they used CPU, and on which they were idle for stalledAfter.
type activity struct {
	working, idle map[*worker]time.Time
}

func (c *Cell) activityOf(s *step) *activity {
	if s.activity != nil {
		return s.activity
	}
	kind := taskKind(s.job.doc.Queue, s.doc)
	a, ok := c.activities[kind]
	if !ok {
		if len(c.activities) >= maxActivities {
			clear(c.activities)
		}
		a = &activity{working: map[*worker]time.Time{}, idle: map[*worker]time.Time{}}
		c.activities[kind] = a
	}
	s.activity = a
	return a
}

// forgetActivity forgets what was seen of a worker that is gone.
func (c *Cell) forgetActivity(w *worker) {
	for _, a := range c.activities {
		delete(a.working, w)
		delete(a.idle, w)
	}
}

// elsewhere returns on how many workers other than w the kind was idle, and on how many it only worked.
func (a *activity) elsewhere(w *worker, now time.Time) (idle, working int) {
	for other, at := range a.idle {
		switch {
		case now.Sub(at) > activityTTL:
			delete(a.idle, other)
		case other != w:
			idle++
		}
	}
	for other, at := range a.working {
		_, idled := a.idle[other]
		switch {
		case now.Sub(at) > activityTTL:
			delete(a.working, other)
		case other != w && !idled:
			working++
		}
	}
	return idle, working
}

// usesCPU reports whether a run's gauge is the CPU that it uses, and shows that it works.
func (p *placement) usesCPU() bool {
	doc := p.task.step.doc
	return doc.LatencyTarget == 0 && p.gauge > idleCPUShare*float64(doc.Size.CPUMilli)
}

// mayStall reports whether a run is expected to use CPU all the time, so that it may count as stalled.
func (p *placement) mayStall() bool {
	doc := p.task.step.doc
	return !doc.LongRunning && doc.LatencyTarget == 0 && !doc.Backfill && doc.Size.CPUMilli > 0 && p.throttle == unthrottled
}

// updateIdle updates since when a run has used no CPU, according to a report. A run that writes checkpoints makes progress.
func (c *Cell) updateIdle(p *placement, now time.Time) {
	if !p.mayStall() || p.usesCPU() || p.checkpointAt.Equal(now) {
		p.noCPUSince = time.Time{}
	} else if p.noCPUSince.IsZero() {
		p.noCPUSince = now
	}
	if p.mayStall() && p.usesCPU() {
		c.activityOf(p.task.step).working[p.w] = now
	}
}

// checkStalled moves the runs on a worker that its last report shows to be stalled.
func (c *Cell) checkStalled(w *worker, now time.Time) {
	for _, p := range w.placements {
		if p.noCPUSince.IsZero() || p.stopRequested {
			continue
		}
		first := p.task.step.firstIdle(p, now)
		if first == nil {
			continue
		}
		c.activityOf(p.task.step).idle[first.w] = now
		c.clearSuspicion(first, now)
		if c.isStalled(first, now) {
			c.moveStalled(first, now)
		}
	}
}

// isStalled reports whether the worker of an idle run, rather than the run itself, is likely to be the cause. A task is moved for that once: if it
// is idle on a second worker too, it waits for something else.
func (c *Cell) isStalled(p *placement, now time.Time) bool {
	s := p.task.step
	if p.task.movedFrom != nil || s.job.idleSteps[s.id.Step] || !c.fitsElsewhere(s, p.w, now) {
		return false
	}
	idle, working := c.activityOf(s).elsewhere(p.w, now)
	if p.w.isWorking() {
		return idle == 0 && working >= minWorkingElsewhere
	}
	return idle == 0 || idle < working
}

// isWorking reports whether a run on the worker uses CPU.
func (w *worker) isWorking() bool {
	for _, p := range w.placements {
		if p.usesCPU() {
			return true
		}
	}
	return false
}

// fitsElsewhere reports whether a task of a step could be started on a worker other than w, if that had enough free capacity.
func (c *Cell) fitsElsewhere(s *step, w *worker, now time.Time) bool {
	for _, other := range c.sortedWorkers() {
		if other != w && c.mayGetWork(other, now) && other.hasLabel(s.doc.Label) && !s.denied(other) &&
			s.fitsWithUsed(other, unit.Size{}, allocationOf(s.doc)) > 0 {
			return true
		}
	}
	return false
}

// moveStalled stops a stalled run, so that its task is placed elsewhere, and quarantines its worker if no run there works.
func (c *Cell) moveStalled(p *placement, now time.Time) {
	w := p.w
	p.task.movedFrom = w
	if s := p.task.step; s.doc.Gang {
		for t := range s.known {
			t.movedFrom = w
		}
	}
	idle, working := c.activityOf(p.task.step).elsewhere(w, now)
	c.log.WithFields(logrus.Fields{
		fieldTask: p.task.id.String(), fieldWorker: w.info.ID, "gauge": p.gauge, "idle-for": now.Sub(p.noCPUSince).Round(time.Millisecond).String(),
		"idle-elsewhere": idle, "working-elsewhere": working, "worker-works": w.isWorking(),
	}).Info("run counts as stalled")
	c.evict(p, "it is stalled", now)
	if w.isWorking() || now.Before(w.quarantinedUntil) || !c.mayQuarantineStalled(now) {
		return
	}
	w.quarantinedUntil, w.stalledUntil = now.Add(stalledQuarantine), now.Add(stalledQuarantine)
	c.log.WithFields(logrus.Fields{fieldWorker: w.info.ID, "gauge": p.gauge, fieldTask: p.task.id.String()}).
		Warn("worker quarantined after a stalled run")
}

// mayQuarantineStalled reports whether one more worker may be quarantined for stalled runs.
func (c *Cell) mayQuarantineStalled(now time.Time) bool {
	quarantined := 0
	for _, w := range c.workers {
		if now.Before(w.stalledUntil) {
			quarantined++
		}
	}
	return quarantined == 0 || float64(quarantined+1) <= maxStalledShare*float64(len(c.workers))
}

// clearSuspicion ends the quarantine of the worker from which an idle run's task was moved: the task is idle on another worker too.
func (c *Cell) clearSuspicion(p *placement, now time.Time) {
	s, from := p.task.step, p.task.movedFrom
	if from == nil || from == p.w || s.job.idleSteps[s.id.Step] {
		return
	}
	if s.job.idleSteps == nil {
		s.job.idleSteps = map[int]bool{}
	}
	s.job.idleSteps[s.id.Step] = true
	c.log.WithFields(logrus.Fields{
		fieldTask: p.task.id.String(), fieldWorker: p.w.info.ID, "moved-from": from.info.ID, "quarantined": now.Before(from.stalledUntil),
	}).Info("moved run is idle again, so it wasn't stalled by its worker")
	if from.quarantinedUntil.Equal(from.stalledUntil) {
		from.quarantinedUntil = time.Time{}
	}
	from.stalledUntil = time.Time{}
}

// firstIdle returns the run that has kept p idle for stalledAfter, or nil. A gang member that has done its part waits for the others, so a gang is
// stalled only as a whole, because of the member that was idle first.
func (s *step) firstIdle(p *placement, now time.Time) *placement {
	members := []*placement{p}
	if s.doc.Gang {
		members = s.gangMembers(p.run)
	}
	first := p
	for _, m := range members {
		if m.noCPUSince.IsZero() || now.Sub(m.noCPUSince) < stalledAfter || now.Sub(m.sentAt) < 2*stalledAfter {
			return nil
		}
		if m.noCPUSince.Before(first.noCPUSince) {
			first = m
		}
	}
	return first
}

// gangMembers returns the members of one run of a gang.
func (s *step) gangMembers(run int) []*placement {
	var members []*placement
	for t := range s.known {
		for _, p := range t.placements {
			if p.run == run {
				members = append(members, p)
			}
		}
	}
	return members
}
