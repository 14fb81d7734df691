package cell

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// LeftRun is a run that a scheduler leaves on a worker.
type LeftRun struct {
	Task   graph.TaskID
	Run    int
	Worker string
	// Stop says that the run is not wanted, or that its start was never answered.
	Stop bool
	// Age is how long ago the last order was sent that renewed the lease on its worker.
	Age time.Duration
}

// Handover is what a scheduler leaves to the next one: all runs that are on workers, or may be.
type Handover struct {
	Workers []order.Worker
	Runs    []LeftRun
}

// NoHandoverError says why a scheduler can't vouch for what it leaves.
type NoHandoverError struct {
	Why string
}

// Error names the reason.
func (e *NoHandoverError) Error() string { return "what is left is not known for sure: " + e.Why }

// Left returns what this scheduler leaves, or *NoHandoverError if it never knew all that runs, or if ends that it has seen are
// not durable, which the next one would not know.
func (c *Cell) Left(now time.Time) (Handover, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case len(c.dirty) > 0:
		return Handover{}, &NoHandoverError{"progress of jobs is not durable"}
	case !c.settled:
		return Handover{}, &NoHandoverError{"workers have not told what runs on them"}
	}
	var h Handover
	for id, w := range c.workers {
		if len(w.foreign) > 0 {
			return Handover{}, &NoHandoverError{"runs of unknown jobs are on worker " + id}
		}
		if len(w.placed)+len(w.closeOff) > 0 {
			h.Workers = append(h.Workers, w.info)
		}
		for key, p := range w.placed {
			h.Runs = append(h.Runs, LeftRun{
				key.task, key.run, id, p.unwanted || p.confirmed.IsZero(), now.Sub(w.lastOrder()),
			})
		}
		for _, o := range w.closeOff {
			// It is over, but its start may still arrive.
			h.Runs = append(h.Runs, LeftRun{o.Task, o.Run, id, true, c.settings.Lease + leaseSlack})
		}
	}
	return h, nil
}

// TakeOver takes what the last scheduler left, once the jobs are known: what is not named there runs nowhere, so that nothing
// has to be waited for.
func (c *Cell) TakeOver(h Handover, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range h.Workers {
		if _, ok := c.workers[h.Workers[i].ID]; !ok {
			c.setWorker(h.Workers[i], now)
			c.workers[h.Workers[i].ID].listed = false
		}
	}
	for i := range h.Runs {
		c.takeRun(&h.Runs[i], now)
	}
	clear(c.expected)
	c.unknownUntil, c.settled = time.Time{}, true
	c.log.WithFields(logrus.Fields{"runs": len(h.Runs), "workers": len(h.Workers)}).Info("runs handed over")
}

func (c *Cell) takeRun(left *LeftRun, now time.Time) {
	j, w := c.jobs[left.Task.Job], c.workers[left.Worker]
	if j == nil || w == nil {
		// The run of a job that is over; the worker's report tells of it.
		return
	}
	t := j.task(left.Task)
	if t == nil {
		return
	}
	p := c.place(t, w, left.Run, now.Add(-left.Age))
	p.adopted = true
	if !left.Stop {
		p.confirmed = now
	}
	if left.Stop || t.done || j.state.Over() {
		c.unwant(p)
	}
}
