package cell

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// Parameters of the control loop that throttles backfill tasks beside serving tasks. A throttle is the percentage of its CPU
// limit that a task may use. The loop lowers it within one poll, and raises it slowly.
const (
	// throttleDownShare is the share of its target at which a serving task's tail latency counts as too high.
	throttleDownShare = 0.9
	// throttleUpShare is the share of its target below which backfill tasks may run faster again.
	throttleUpShare = 0.6
	// throttleDownFactor is the factor by which a backfill task's throttle is lowered when a serving task's latency is too
	// high.
	throttleDownFactor = 0.4
	// minThrottle is the throttle, in percent, below which a backfill task is paused altogether.
	minThrottle = 10
	// throttleUpStep is by how many percentage points the throttle is raised.
	throttleUpStep = 20
	// throttleInterval is the minimum interval between throttle changes, since a gauge covers the last half second.
	throttleInterval = 600 * time.Millisecond
	// zeroThrottleTimeout is how long a backfill task may stay at throttle 0 before it is moved to another worker.
	zeroThrottleTimeout = 1500 * time.Millisecond
	// unthrottled allows a run its whole CPU limit, in percent.
	unthrottled = 100
)

// ThrottleOrder is a throttle change to be sent to a worker.
type ThrottleOrder struct {
	Worker order.Worker
	Order  order.Throttle
	p      *placement
}

// throttleBackfill sets the throttle of backfill tasks on a worker by the latency of the serving tasks beside them.
func (c *Cell) throttleBackfill(w *worker, now time.Time) {
	var serving, backfill []*placement
	for _, p := range w.placements {
		switch {
		case p.stopRequested || p.confirmedAt.IsZero():
		case p.task.step.doc.LatencyTarget > 0:
			serving = append(serving, p)
		case p.task.step.doc.Backfill:
			backfill = append(backfill, p)
		}
	}
	if len(backfill) == 0 || now.Sub(w.throttledAt) < throttleInterval {
		return
	}
	worstShare := 0.0
	for _, p := range serving {
		worstShare = max(worstShare, p.gauge/float64(p.task.step.doc.LatencyTarget.Milliseconds()))
	}
	w.throttledAt = now
	for _, p := range backfill {
		c.adjustThrottle(p, worstShare, now)
	}
}

// adjustThrottle changes the throttle of one backfill task by the highest share of its target that a serving task beside it
// reaches.
func (c *Cell) adjustThrottle(p *placement, worstShare float64, now time.Time) {
	next := p.throttle
	switch {
	case worstShare > throttleDownShare:
		if next = int(throttleDownFactor * float64(p.throttle)); next < minThrottle {
			next = 0
		}
	case worstShare < throttleUpShare:
		next = min(unthrottled, p.throttle+throttleUpStep)
	}
	if next == 0 && p.throttle == 0 {
		if now.Sub(p.zeroThrottleSince) > zeroThrottleTimeout {
			c.evict(p, "latency of serving tasks beside it is too high", now)
		}
		return
	}
	if next == p.throttle {
		return
	}
	if next == 0 {
		p.zeroThrottleSince = now
	}
	c.log.WithFields(logrus.Fields{
		fieldTask: p.task.id.String(), fieldWorker: p.w.info.ID, "from": p.throttle, "to": next, "worst-share-of-target": worstShare,
	}).Info("CPU throttle changed")
	p.throttle = next
	c.throttlesToSend[p] = struct{}{}
}

// planThrottles adds the unsent throttle changes to the plan.
func (c *Cell) planThrottles(plan *Plan) {
	for p := range c.throttlesToSend {
		delete(c.throttlesToSend, p)
		if !p.isCurrent() {
			continue
		}
		plan.Throttles = append(plan.Throttles, ThrottleOrder{
			p.w.info, order.Throttle{Task: p.task.id, Run: p.run, CPUPercent: p.throttle, Token: c.token}, p,
		})
	}
}

// Throttled handles the outcome of a throttle change; one that failed, or may have failed, is sent again.
func (c *Cell) Throttled(o ThrottleOrder, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil && o.p.w.missedPolls == 0 {
		c.throttlesToSend[o.p] = struct{}{}
	}
}

// mayEvict reports whether one more task of a serving step may be evicted.
func (s *step) mayEvict() bool {
	if s.doc.MaxUnavailable < 0 {
		return true
	}
	unavailable := len(s.tasks)
	for t := range s.known {
		available := slices.ContainsFunc(t.placements, func(p *placement) bool {
			return !p.stopRequested && !p.confirmedAt.IsZero() && p.reportedThrottle == unthrottled
		})
		if available {
			unavailable--
		}
	}
	return unavailable < s.doc.MaxUnavailable
}

// isServing reports whether a step's tasks serve users.
func isServing(s *graph.Step) bool { return s.LongRunning || s.LatencyTarget > 0 }
