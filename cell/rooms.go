package cell

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/unit"
)

// anyFree leaves no worker out.
const anyFree = math.MinInt64

// rooms lists the workers that may get work during one plan, those with most free processors first, so that a backlog in a
// full group does not look at every worker for every step.
type rooms struct {
	number uint64
	list   []roomy
	// free is the room that is left on all of them, and reserve what is kept of it for urgent work.
	free    unit.Size
	reserve unit.Size
}

// roomy is a worker with the processors that were free when the plan began; within a plan they only become fewer.
type roomy struct {
	w    *worker
	free int64
}

func (r *rooms) build(c *Cell, now time.Time) {
	r.number++
	r.list = r.list[:0]
	r.free = unit.Size{}
	var room unit.Size
	for _, w := range c.workers {
		if !w.listed || w.info.Draining || !w.known || c.silent(w) || now.Before(w.benched) || len(w.foreign) > 0 ||
			!c.recorded[w.info.ID] {
			continue
		}
		w.plan = r.number
		r.list = append(r.list, roomy{w, w.freeCPU()})
		room = room.Add(w.info.Capacity)
		r.free = r.free.Add(w.info.Capacity.Sub(w.used).Max(unit.Size{}))
	}
	c.demand.remember(now)
	r.reserve = c.demand.reserve(room)
	slices.SortFunc(r.list, func(a, b roomy) int {
		switch {
		case a.free != b.free:
			return int(b.free - a.free)
		case a.w.info.ID < b.w.info.ID:
			return -1
		default:
			return 1
		}
	})
}

// has reports whether a worker may get work during this plan.
func (r *rooms) has(w *worker) bool { return w.plan == r.number }

// from yields the workers with at least so many free processors at the plan's beginning.
func (r *rooms) from(least int64) iter.Seq[*worker] {
	return func(yield func(*worker) bool) {
		for _, one := range r.list {
			if one.free < least || !yield(one.w) {
				return
			}
		}
	}
}

func (w *worker) freeCPU() int64 { return w.info.Capacity.CPUMilli - w.used.CPUMilli }
