package cell_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Urgent jobs that are late already arrive where batches run that can be in time.
func TestLateStepDoesNotPreemptRunThatCanBeInTime(t *testing.T) {
	for _, test := range []struct {
		age   time.Duration
		stops int
	}{{0, 2}, {time.Hour, 0}} {
		h := newHarness(t, 1, 4)
		h.add(longJob(4))
		h.c.Assert(h.plan().Starts, qt.HasLen, 4)
		h.advance(time.Second)
		urgent := shortJob("s", 2)
		urgent.AcceptedAt = h.now.Add(-test.age)
		h.add(urgent)
		h.c.Assert(h.plan().Stops, qt.HasLen, test.stops)
	}
}

// The advisor is busy with the calls of a queue whose jobs can be in time, while jobs of a more urgent queue are late.
func TestAdviceIsRequestedFirstForJobsThatCanBeInTime(t *testing.T) {
	h := newHarness(t, 1, 8)
	for i := range h.cfg.Queues {
		h.cfg.Queues[i].Advice = &queues.Advice{Base: 10 * time.Millisecond, PerWorker: time.Millisecond}
	}
	late := shortJob("late", 1)
	late.AcceptedAt = h.now.Add(-time.Hour)
	h.add(late)
	for i := range 2 {
		job := longJob(1)
		job.ID = fmt.Sprint("l", i)
		h.add(job)
	}
	var asked []string
	for range 3 {
		plan := h.cell.Plan(h.cfg, &oneSlot{}, h.now)
		h.c.Assert(plan.AdviceRequests, qt.HasLen, 1)
		asked = append(asked, plan.AdviceRequests[0].Step.Job)
		h.advance(100 * time.Millisecond)
	}
	h.c.Assert(asked, qt.DeepEquals, []string{"l0", "l1", "late"})
}

// A gang waits for its tickets while room becomes free on the workers that it has asked about.
func TestRoomIsKeptForGangWhileItsTicketsAreRequested(t *testing.T) {
	h := newHarness(t, 2, 2)
	h.cfg.Queues[1].Advice = &queues.Advice{Base: 500 * time.Millisecond, PerWorker: time.Millisecond}
	runs := &graph.Job{ID: "runs", Queue: "short", Priority: 1, Steps: []graph.Step{{
		Count: 4, Size: unit.Size{CPUMilli: 1000}, Estimate: 3 * time.Second, MaxUnavailable: -1,
	}}}
	h.add(runs)
	h.c.Assert(h.plan().Starts, qt.HasLen, 4)
	gang := longJob(4)
	gang.Priority, gang.Steps[0].Gang = 1, true
	h.add(gang)
	first := h.plan().AdviceRequests
	h.c.Assert(first, qt.HasLen, 1)
	var permits []order.Permit
	for _, id := range first[0].Workers {
		permits = append(permits, order.Permit{Worker: id, Ticket: "t"})
	}
	h.cell.Advised(first[0], permits, 600*time.Millisecond, nil, h.now)
	h.advance(2500 * time.Millisecond)
	h.c.Assert(h.plan().AdviceRequests, qt.HasLen, 1)
	batch := &graph.Job{ID: "batch", Queue: "short", Priority: 1, Steps: []graph.Step{{
		Count: 4, Size: unit.Size{CPUMilli: 1000}, Estimate: 20 * time.Second, MaxUnavailable: -1,
	}}}
	h.add(batch)
	for range 3 {
		h.advance(60 * time.Millisecond)
		h.plan()
	}
	h.endOne("runs")
	h.advance(60 * time.Millisecond)
	for range 4 {
		h.c.Assert(h.plan().Starts, qt.HasLen, 0)
		h.advance(60 * time.Millisecond)
	}
}

// There is always work that can be in time and is more urgent, and an overdue job waits.
func TestOverdueJobIsFinishedInTheEnd(t *testing.T) {
	h := newHarness(t, 1, 1)
	old := shortJob("old", 1)
	old.Priority = 2
	old.AcceptedAt = h.now.Add(-time.Hour)
	h.add(shortJob("s", 1))
	h.c.Assert(h.plan().Starts, qt.HasLen, 1)
	h.add(old)
	running, n := "s", 0
	for since := h.now; h.now.Sub(since) < 40*time.Second; {
		for range 2 {
			n++
			h.add(shortJob(fmt.Sprint("s", n), 1))
		}
		h.endOne(running)
		h.advance(500 * time.Millisecond)
		started := startedJobs(h.plan())
		h.c.Assert(started, qt.HasLen, 1)
		if running = started[0]; running == "old" {
			return
		}
	}
	h.c.Fatal("the overdue job has not started after 40 s")
}

// Guards against an overload that an operator can't see.
func TestLoadTellsWhatIsDeferred(t *testing.T) {
	for _, test := range []struct {
		teams       bool
		cause       cell.DeferralCause
		teamsAtPart int
	}{{true, cell.DeferredTeam, 1}, {false, cell.DeferredLessValue, 0}} {
		h := newTeamsHarness(t, 1, 4)
		if !test.teams {
			h.cfg.Teams = nil
		}
		h.c.Assert(h.cell.Load().Overloaded, qt.IsFalse)
		h.add(teamJob("a", "runs", 1, 4))
		h.c.Assert(h.plan().Starts, qt.HasLen, 4)
		for i := range 20 {
			h.add(teamJob("a", fmt.Sprint("a", i), 1, 1))
			h.add(teamJob("b", fmt.Sprint("b", i), 1, 1))
		}
		late := teamJob("b", "late", 1, 1)
		late.AcceptedAt = h.now.Add(-time.Hour)
		h.add(late)
		h.advance(200 * time.Millisecond)
		h.plan()
		load := h.cell.Load()
		h.c.Check(load.Overloaded, qt.IsTrue)
		h.c.Check(load.TeamsAtPart, qt.Equals, test.teamsAtPart)
		h.c.Check(load.Deferred[cell.DeferredNoTime], qt.Equals, 1)
		h.c.Check(load.Deferred[test.cause] > 0, qt.IsTrue, qt.Commentf("%v", load.Deferred))
	}
}
