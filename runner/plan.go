package runner

import (
	"context"
	"time"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/order"
)

// Times of planning.
const (
	// planEvery spaces plans, so that events that come together share one.
	planEvery = 3 * time.Millisecond
	// planAtLeast is how long the group goes without a plan at most.
	planAtLeast = 500 * time.Millisecond
)

// Advisors carries calls to the advisor out, on whichever host has least to do.
type Advisors interface {
	cell.Desks
	Advise(ctx context.Context, a cell.Ask) ([]order.Permit, time.Duration, error)
}

func (r *Runner) planLoop(ctx context.Context) error {
	timer := time.NewTimer(planAtLeast)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.plan:
		case <-timer.C:
		}
		next, begun := planAtLeast, r.cfg.Boot()
		cfg := r.cfg.Queues.Current()
		if r.holds() && cfg != nil {
			now := time.Now()
			plan := r.cell.Plan(cfg, r.cfg.Advisors, now)
			r.carryOut(ctx, plan)
			r.kickCommit()
			if !plan.Again.IsZero() {
				next = min(next, max(planEvery, plan.Again.Sub(now)))
			}
		}
		// At least as long again as the plan took, so that reports and answers get their turn.
		clock.Pause(ctx, max(planEvery, r.cfg.Boot()-begun))
		timer.Reset(next)
	}
}

func (r *Runner) carryOut(ctx context.Context, plan cell.Plan) {
	for _, o := range plan.Stops {
		r.send(func() { r.sendStop(ctx, o) })
	}
	for _, o := range plan.Starts {
		r.send(func() { r.sendStart(ctx, o) })
	}
	for _, o := range plan.Paces {
		r.send(func() { r.sendPace(ctx, o) })
	}
	for _, a := range plan.Asks {
		r.send(func() {
			permits, validity, err := r.cfg.Advisors.Advise(ctx, a)
			r.cell.Advised(a, permits, validity, err, time.Now())
			r.kickPlan()
		})
	}
}

func (r *Runner) send(f func()) {
	r.sends.Add(1)
	go func() {
		defer r.sends.Done()
		f()
	}()
}
