package cell_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/order"
)

// A start whose answer is lost is sent again; the run may have been seen, and have ended, before the worker rejects the
// second try as stale. Only the worker's list of ends may say what came of it.
func TestARunThatEndedBeforeItsStartWasAnsweredIsNotRepeated(t *testing.T) {
	for _, test := range []struct {
		name string
		seen bool
	}{
		{"seen running before", true},
		{"never seen", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 2, 4)
			w.add(short("j", 1))
			plan := w.cell.Plan(w.cfg, desks{}, w.now)
			w.c.Assert(plan.Starts, qt.HasLen, 1)
			o := plan.Starts[0]
			run := order.Run{Task: o.Order.Task, Run: o.Order.Run, Percent: 100, Gauge: 1000}
			if test.seen {
				w.running[o.Worker.ID] = []order.Run{run}
				w.pass(400 * time.Millisecond)
			}
			rejected := &order.RejectedError{Worker: o.Worker.ID, Why: order.RejectStale}
			w.cell.Started(o, cell.StartResult{Sent: w.now, Err: rejected}, w.now)
			w.c.Assert(w.plan().Starts, qt.HasLen, 0)
			w.running[o.Worker.ID] = []order.Run{run}
			w.finish(o.Worker.ID, o.Order.Task, order.EndDone)
			w.pass(100 * time.Millisecond)
			w.c.Assert(w.plan().Starts, qt.HasLen, 0)
			w.c.Assert(w.ends[o.Worker.ID], qt.HasLen, 1)
		})
	}
}

// Pattern: a worker crashes and is back under its id before anybody notices. Starts that were meant for its old life have
// been carried out by the new one, and an acknowledgement would make it forget their ends.
func TestEndsAreNotAcknowledgedToALifeInDoubt(t *testing.T) {
	for _, test := range []struct {
		name  string
		start func(w *world, o cell.StartOrder)
		acked uint64
	}{
		{"answered by the same life", func(w *world, o cell.StartOrder) {
			w.cell.Started(o, cell.StartResult{Sent: w.now, Clock: 2 * time.Minute}, w.now)
		}, 1},
		{"answered by a clock that went back", func(w *world, o cell.StartOrder) {
			w.cell.Started(o, cell.StartResult{Sent: w.now, Clock: 300 * time.Millisecond}, w.now)
		}, 0},
		{"not answered yet", func(*world, cell.StartOrder) {}, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(t, 1, 4)
			w.add(short("first", 1))
			for _, o := range w.plan().Starts {
				w.finish("w0", o.Order.Task, order.EndDone)
			}
			w.pass(time.Second)
			w.cell.Committed(w.cell.Collect(10), 2, w.now)
			w.add(short("second", 1))
			for _, o := range w.cell.Plan(w.cfg, desks{}, w.now).Starts {
				test.start(w, o)
			}
			w.c.Assert(w.cell.Next("w0", w.now).Order.Acked, qt.Equals, test.acked)
		})
	}
}
