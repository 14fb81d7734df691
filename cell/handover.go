package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// HandoverRun is a run on a worker that is handed over to the next scheduler.
type HandoverRun struct {
	Task   graph.TaskID
	Run    int
	Worker string
	// Stop says that a stop of the run is requested, or that its start was never answered.
	Stop bool
	// Age is how long ago the last order was sent that renewed the lease on its worker; negative if one may still arrive.
	Age time.Duration
}

// Handover is the state that a scheduler hands over to the next one: all runs that are, or may be, on workers.
type Handover struct {
	Workers []order.Worker
	Runs    []HandoverRun
}

// NoHandoverError says why a scheduler can't hand over its runs.
type NoHandoverError struct {
	Reason string
}

// Error returns the reason.
func (e *NoHandoverError) Error() string { return "handover state is incomplete: " + e.Reason }

// Handover returns the handover state, or *NoHandoverError if this scheduler never knew all runs, or if ends that it has received
// are not durable, so that the next scheduler would not know them.
func (c *Cell) Handover(now time.Time) (Handover, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.dirty) > 0:
		return Handover{}, &NoHandoverError{"progress of jobs is not durable"}
	case !c.allRunsKnown:
		return Handover{}, &NoHandoverError{"not all workers have reported their runs"}
	}
	var h Handover
	for id, w := range c.workers {
		if len(w.unknownRuns) > 0 {
			return Handover{}, &NoHandoverError{"runs of unknown jobs are on worker " + id}
		}
		if len(w.placements)+len(w.toFence) > 0 {
			h.Workers = append(h.Workers, w.info)
		}
		for key, p := range w.placements {
			h.Runs = append(h.Runs, HandoverRun{
				key.task, key.run, id, p.stopRequested || p.confirmedAt.IsZero(), now.Sub(w.lastRenewal()),
			})
		}
		for key := range w.toFence {
			if _, ok := w.placements[key]; ok {
				continue
			}
			// The run has ended, but its start may still arrive.
			h.Runs = append(h.Runs, HandoverRun{key.task, key.run, id, true, c.settings.Lease + leaseMargin})
		}
	}
	return h, nil
}

// TakeOver applies the handover state of the previous scheduler, once the jobs are loaded. Runs that it does not list are on
// no worker, so no job has to wait for earlier runs.
func (c *Cell) TakeOver(h Handover, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range h.Workers {
		if _, ok := c.workers[h.Workers[i].ID]; !ok {
			c.setWorker(h.Workers[i], now)
			w := c.workers[h.Workers[i].ID]
			w.listed, w.listedStart = false, time.Time{}
		}
	}
	for i := range h.Runs {
		c.takeOverRun(&h.Runs[i], now)
	}
	clear(c.expectedWorkers)
	c.awaitingReports, c.allRunsKnown = false, true
	c.setLocationsKnown()
	c.log.WithFields(logrus.Fields{"runs": len(h.Runs), "workers": len(h.Workers)}).Info("runs taken over from the previous scheduler")
}

func (c *Cell) takeOverRun(run *HandoverRun, now time.Time) {
	j, w := c.jobs[run.Task.Job], c.workers[run.Worker]
	if j == nil || w == nil {
		// The run belongs to a finished job; the worker will report it.
		if w != nil {
			w.hasDroppedRuns = true
		}
		return
	}
	t := c.task(j, run.Task, now)
	if t == nil {
		w.hasDroppedRuns = true
		return
	}
	t.locateAdopted(w, run.Run)
	p := c.place(t, w, run.Run, now.Add(-run.Age))
	p.adopted = true
	if !run.Stop {
		p.confirm(now)
	}
	if run.Stop || t.done || j.state.Terminal() {
		c.requestStop(p)
	}
}
