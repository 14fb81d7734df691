package cell

import (
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/order"
)

// checkResurfaced records that a worker reports a run of this scheduler that has no placement: it was counted as ended, so its
// task may run elsewhere and its capacity may be in use.
func (c *Cell) checkResurfaced(w *worker, r *order.Run) {
	if r.Run < c.firstRun {
		return
	}
	c.stats.Resurfaced++
	c.log.WithFields(logrus.Fields{
		fieldJob: r.Task.Job, fieldTask: r.Task.String(), fieldRun: r.Run, fieldWorker: w.info.ID, "incarnation": w.info.StartedAt.UnixMilli(),
	}).Warn("run that was counted as ended is active")
}

// checkOvercommit records when the runs on a worker come to exceed its capacity.
func (c *Cell) checkOvercommit(w *worker) {
	exceeds := !w.used.Fits(w.info.Capacity)
	if exceeds && !w.overcommitted {
		c.stats.Overcommits++
		c.log.WithFields(logrus.Fields{
			fieldWorker: w.info.ID, fieldPlaced: len(w.placements), "used": w.used.String(), "capacity": w.info.Capacity.String(),
			"incarnation": w.info.StartedAt.UnixMilli(),
		}).Warn("runs exceed the worker's capacity")
	}
	w.overcommitted = exceeds
}
