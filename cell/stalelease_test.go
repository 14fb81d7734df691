package cell_test

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// staleGroup is a group with two workers; the connections to w0 were opened an hour ago, those to w1 just now.
type staleGroup struct {
	cell     *cell.Cell
	now      time.Time
	leaseAge time.Duration
}

func newStaleGroup() *staleGroup {
	log := logrus.New()
	log.SetOutput(io.Discard)
	g := &staleGroup{now: startTime}
	g.cell = cell.New(cell.Settings{
		Lease: 6 * time.Second, RunsPerToken: 1000, ExclusiveFor: 1700 * time.Millisecond,
		LeaseAge: func() time.Duration { return g.leaseAge },
		OldestConn: func(w *order.Worker) (time.Duration, bool) {
			if w.ID == "w0" {
				return time.Hour, true
			}
			return 0, true
		},
	}, 1, log)
	for _, id := range []string{"w0", "w1"} {
		g.cell.SetWorker(order.Worker{ID: id, Capacity: unit.Size{CPUMilli: 4000, MemoryMiB: 4000}, StartedAt: startTime.Add(-time.Minute)}, g.now)
	}
	g.cell.Recorded([]string{"w0", "w1"})
	g.poll()
	return g
}

func (g *staleGroup) poll() {
	for _, id := range []string{"w0", "w1"} {
		g.cell.Polled(id, order.Report{Clock: time.Minute, StartedAt: startTime.Add(-time.Minute)}, 0, g.now, g.now)
	}
}

func (g *staleGroup) plan() cell.Plan {
	return g.cell.Plan(&queues.Config{Version: 1, Queues: []queues.Queue{{Name: "short"}}}, unlimitedSlots{}, g.now)
}

// A start to a worker without an old connection can't be sent while the lease is stale. Such tasks used to be placed there again every 50 ms.
// Load: six tasks that fit on two workers of four cores.
func TestWorkerWithoutOldConnectionIsLeftOutWhileLeaseIsStale(t *testing.T) {
	c := qt.New(t)
	g := newStaleGroup()
	g.cell.Add(&graph.Job{
		ID: "j", Queue: "short", Steps: []graph.Step{{Count: 6, Size: unit.Size{CPUMilli: 1000}}}, AcceptedAt: g.now, MaxAttempts: 3, Stretch: 2,
	}, nil, 0, g.now)
	c.Assert(g.plan().Starts, qt.HasLen, 0)
	g.cell.Committed(g.cell.Collect(10), 1, g.now)
	g.leaseAge = 1701 * time.Millisecond
	plan := g.plan()
	c.Assert(plan.Starts, qt.HasLen, 4)
	for i := range plan.Starts {
		c.Assert(plan.Starts[i].Worker.ID, qt.Equals, "w0")
	}
	// One that isn't sent is taken back, and placed again without a delay.
	g.cell.Started(plan.Starts[0], cell.StartResult{Sent: g.now, Err: &order.NotSentError{Worker: "w0", Err: &order.NoOldConnError{}}}, g.now)
	c.Assert(g.plan().Starts, qt.HasLen, 1)
	c.Assert(g.plan().Starts, qt.HasLen, 0)
	g.leaseAge = 0
	c.Assert(g.plan().Starts, qt.HasLen, 2)
}

// A poll of a second occupied the connection that starts need while the lease is stale.
func TestPollsAreShortWhileLeaseIsStale(t *testing.T) {
	c := qt.New(t)
	g := newStaleGroup()
	for _, test := range []struct {
		leaseAge time.Duration
		worker   string
		maxWait  time.Duration
		gap      bool
	}{
		{0, "w0", time.Second, false},
		{1200 * time.Millisecond, "w0", 500 * time.Millisecond, false},
		{1800 * time.Millisecond, "w0", 200 * time.Millisecond, true},
		{1800 * time.Millisecond, "w1", time.Second, false},
		{5 * time.Second, "w0", 200 * time.Millisecond, true},
	} {
		g.leaseAge = test.leaseAge
		g.now = g.now.Add(time.Second)
		g.poll()
		next := g.cell.NextPoll(test.worker, g.now)
		c.Check(next.Order.Wait > 0 && next.Order.Wait <= test.maxWait, qt.IsTrue, qt.Commentf("%v: %v", test, next.Order.Wait))
		c.Check(next.Delay > 0, qt.Equals, test.gap, qt.Commentf("%v: %v", test, next.Delay))
	}
}

// After an outage of the table hundreds of jobs have progress to store. New jobs, which can't start before they have a record, came last, and a
// commit takes some fifty. Load: three jobs with an end each, one of which is over, and a new one.
func TestRecordsThatStartsWaitForAreStoredFirst(t *testing.T) {
	c := qt.New(t)
	g := newStaleGroup()
	add := func(id string, count int) {
		g.cell.Add(&graph.Job{
			ID: id, Queue: "short", Steps: []graph.Step{{Count: count, Size: unit.Size{CPUMilli: 1000}}}, AcceptedAt: g.now, MaxAttempts: 3, Stretch: 2,
		}, nil, 0, g.now)
	}
	add("a", 2)
	add("b", 1)
	add("c", 2)
	g.plan()
	g.cell.Committed(g.cell.Collect(10), 1, g.now)
	ended := map[string]uint64{}
	for _, o := range g.plan().Starts {
		g.cell.Started(o, cell.StartResult{Sent: g.now, Clock: time.Minute}, g.now)
		if o.Order.Task.Index > 0 {
			continue
		}
		w := o.Worker.ID
		ended[w]++
		g.cell.Polled(w, order.Report{
			Clock: time.Minute, StartedAt: startTime.Add(-time.Minute),
			Ended: []order.End{{Number: ended[w], Task: o.Order.Task, Run: o.Order.Run, Kind: order.EndDone}},
		}, 0, g.now, g.now)
	}
	add("z", 1)
	g.plan()
	var ids []string
	for _, ch := range g.cell.Collect(10).Changes {
		ids = append(ids, ch.Job)
	}
	c.Assert(ids, qt.DeepEquals, []string{"z", "b", "a", "c"})
	c.Assert(g.cell.Collect(1).Changes[0].Job, qt.Equals, "z")
}
