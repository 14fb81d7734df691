package runner

import (
	"context"
	"time"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/order"
)

// Intervals of planning.
const (
	// minPlanInterval is the minimum interval between plans, so that events in quick succession share one.
	minPlanInterval = 5 * time.Millisecond
	// planPauseFactor is how many times as long as a plan the pause after it is.
	planPauseFactor = 2
	// maxPlanInterval is the maximum interval between plans.
	maxPlanInterval = 500 * time.Millisecond
)

// Advisors sends requests to the advisor from the least loaded host.
type Advisors interface {
	cell.AdvisorSlots
	Advise(ctx context.Context, a cell.AdviceRequest) ([]order.Permit, time.Duration, error)
}

// planLoop plans whenever it is woken, when a plan asks for it, and at least every maxPlanInterval.
func (r *Runner) planLoop(ctx context.Context) error {
	timer := time.NewTimer(maxPlanInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.planWake:
		case <-timer.C:
		}
		next, start := maxPlanInterval, r.cfg.SinceBoot()
		cfg := r.cfg.Queues.Current()
		if r.holds() && cfg != nil {
			now := time.Now()
			plan := r.cell.Plan(cfg, r.cfg.Advisors, now)
			r.execute(ctx, plan)
			r.wakeCommit()
			if plan.TeamsHeld {
				signal(r.sharesWake)
			}
			if !plan.NextPlanAt.IsZero() {
				next = min(next, max(minPlanInterval, plan.NextPlanAt.Sub(now)))
			}
		}
		// Most of the time is left to reports and replies.
		clock.Pause(ctx, max(minPlanInterval, planPauseFactor*(r.cfg.SinceBoot()-start)))
		timer.Reset(next)
	}
}

// execute sends the orders and advice requests of a plan.
func (r *Runner) execute(ctx context.Context, plan cell.Plan) {
	for _, o := range plan.Stops {
		r.sendOrder(o.Worker.ID, o.Order.Task.Job, func() { r.sendStop(ctx, o) })
	}
	for _, o := range plan.Starts {
		r.sendOrder(o.Worker.ID, o.Order.Task.Job, func() { r.sendStart(ctx, o) })
	}
	for _, o := range plan.Throttles {
		r.sendOrder(o.Worker.ID, o.Order.Task.Job, func() { r.sendThrottle(ctx, o) })
	}
	for _, request := range plan.AdviceRequests {
		r.inFlight.Go(func() {
			permits, validity, err := r.cfg.Advisors.Advise(ctx, request)
			r.cell.Advised(request, permits, validity, err, time.Now())
			r.wakePlan()
		})
	}
}
