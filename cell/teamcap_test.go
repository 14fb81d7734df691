package cell_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/quota"
	"github.com/corianderdrift/corianderdrift/unit"
)

var errNoAnswer = errors.New("no answer")

// capTeam gives team "red" a cap and a share of it, in cores.
func (h *harness) capTeam(capCores, share, others int64) {
	cfg := *h.cfg
	cfg.Version++
	cfg.Teams = []queues.Team{{Name: "red", Cap: unit.Size{CPUMilli: 1000 * capCores}}}
	h.cfg = &cfg
	h.cell.SetTeams(h.cfg)
	h.setShare(share, others)
}

func (h *harness) setShare(share, others int64) {
	h.cell.SetTeamShares([]cell.TeamShare{{Team: "red", Share: quota.Amount{1000 * share}, Others: quota.Amount{1000 * others}}})
}

// usedCores returns what counts as used by the team, in thousandths of a core.
func (h *harness) usedCPU() int64 {
	stats := h.cell.TeamStats()
	h.c.Assert(stats, qt.HasLen, 1)
	return stats[0].Used[0]
}

func ofTeam(doc *graph.Job, priority int) *graph.Job {
	doc.Team, doc.Priority = "red", priority
	return doc
}

// Guards against starts beyond the group's share, and against a share that is not used up to the cap and one task more.
func TestStartsWithinShareOfTeam(t *testing.T) {
	for _, test := range []struct {
		capCores, share, others int64
		started                 int
	}{
		{10, 4, 6, 4},
		{10, 10, 0, 10},
		{10, 12, 0, 10},
		// The cap was lowered after the shares were written.
		{10, 8, 6, 4},
		{10, 8, 12, 0},
		{10, 0, 0, 0},
	} {
		t.Run(fmt.Sprintf("%+v", test), func(t *testing.T) {
			h := newHarness(t, 4, 8)
			h.capTeam(test.capCores, test.share, test.others)
			h.add(ofTeam(shortJob("a", 20), 0))
			h.add(shortJob("b", 3))
			started := map[string]int{}
			plan := h.plan()
			for _, o := range plan.Starts {
				started[o.Order.Task.Job]++
			}
			h.c.Check(started["a"], qt.Equals, test.started)
			h.c.Check(started["b"], qt.Equals, 3)
			h.c.Check(plan.TeamsHeld, qt.IsTrue)
			h.c.Check(h.plan().Starts, qt.HasLen, 0)
		})
	}
}

// Guards against advice for tasks that the cap holds back: tickets that are not used take the advisor's time.
func TestNoAdviceForTasksBeyondCap(t *testing.T) {
	h := newHarness(t, 6, 8)
	h.cfg.Queues[0].Advice = &queues.Advice{Base: 10 * time.Millisecond, PerWorker: 10 * time.Millisecond}
	h.capTeam(10, 2, 0)
	for i := range 5 {
		h.add(ofTeam(shortJob(fmt.Sprintf("a%d", i), 8), 0))
	}
	plan := h.plan()
	h.c.Assert(plan.AdviceRequests, qt.HasLen, 1)
	request := plan.AdviceRequests[0]
	permits := make([]order.Permit, len(request.Workers))
	for i, w := range request.Workers {
		permits[i] = order.Permit{Worker: w, Ticket: "t"}
	}
	h.cell.Advised(request, permits, 2*time.Second, nil, h.now)
	plan = h.plan()
	h.c.Check(plan.Starts, qt.HasLen, 2)
	for range 5 {
		h.advance(20 * time.Millisecond)
		h.c.Check(h.plan().AdviceRequests, qt.HasLen, 0)
	}
}

// Guards against a team at its cap that stops the runs of others, or reserves workers for a gang that may not start.
func TestTeamAtItsCapTakesNoRoomFromOthers(t *testing.T) {
	for _, gang := range []bool{false, true} {
		t.Run(fmt.Sprintf("gang %v", gang), func(t *testing.T) {
			h := newHarness(t, 2, 4)
			h.capTeam(10, 1, 9)
			h.add(longJob(7))
			h.c.Assert(h.plan().Starts, qt.HasLen, 7)
			h.advance(2 * time.Second)
			urgent := ofTeam(shortJob("a", 3), 0)
			urgent.Steps[0].Gang = gang
			urgent.Steps[0].Size = unit.Size{CPUMilli: 2000}
			h.add(urgent)
			plan := h.plan()
			h.c.Check(plan.Stops, qt.HasLen, 0)
			h.c.Check(plan.Starts, qt.HasLen, 0)
			h.add(shortJob("b", 1))
			h.c.Check(h.plan().Starts, qt.HasLen, 1)
		})
	}
}

// Guards against steps of other teams that are parked behind a step that only its team's cap holds back.
func TestStepHeldByCapDoesNotParkOthers(t *testing.T) {
	h := newHarness(t, 4, 64)
	h.capTeam(100, 1, 0)
	for i := range 300 {
		doc := shortJob(fmt.Sprintf("j%d", i), 1)
		if i%2 == 0 {
			doc = ofTeam(doc, 0)
		}
		doc.AcceptedAt = h.now.Add(-time.Minute)
		h.add(doc)
	}
	started := 0
	for range 40 {
		started += len(h.plan().Starts)
		h.advance(5 * time.Millisecond)
	}
	h.c.Check(started, qt.Equals, 151)
}

// Guards against backfill tasks that do not count with their CPU.
func TestBackfillCountsAgainstCapInFull(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.capTeam(8, 8, 0)
	doc := ofTeam(longJob(5), 2)
	doc.Steps[0].Backfill, doc.Steps[0].Size = true, unit.Size{CPUMilli: 3000}
	h.add(doc)
	h.c.Check(h.plan().Starts, qt.HasLen, 2)
	h.setShare(9, 0)
	h.c.Check(h.plan().Starts, qt.HasLen, 1)
	h.c.Check(h.usedCPU(), qt.Equals, int64(9000))
}

// Guards against speculative copies beyond the cap.
func TestSpeculativeCopyNeedsRoomInCap(t *testing.T) {
	for _, share := range []int64{4, 5} {
		t.Run(fmt.Sprintf("share %d", share), func(t *testing.T) {
			h := newHarness(t, 8, 1)
			h.capTeam(10, share, 0)
			doc := ofTeam(shortJob("a", 4), 0)
			doc.Steps[0].Speculative = true
			h.add(doc)
			started := h.plan().Starts
			h.c.Assert(started, qt.HasLen, 4)
			for _, o := range started[:1] {
				h.cell.Suspect(o.Worker.ID, h.now, h.now)
			}
			h.now = h.now.Add(60 * time.Millisecond)
			h.c.Check(len(h.plan().Starts), qt.Equals, int(share-4))
		})
	}
}

// Guards against a run whose start may still be carried out, and that does not count any more.
func TestRunWhoseStartMayStillArriveCounts(t *testing.T) {
	h := newHarness(t, 1, 8)
	h.capTeam(10, 10, 0)
	h.add(ofTeam(shortJob("a", 1), 0))
	plan := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now)
	h.c.Assert(plan.Starts, qt.HasLen, 1)
	o := plan.Starts[0]
	// The second attempt was answered, the first one may still reach the worker's next incarnation.
	h.cell.Started(o, cell.StartResult{Sent: h.now, Clock: time.Minute, Unanswered: 1}, h.now)
	h.running["w0"] = []order.Run{{Task: o.Order.Task, Run: o.Order.Run, CPUPercent: 100, Gauge: 1000}}
	h.advance(time.Second)
	h.finish("w0", o.Order.Task, order.EndDone)
	h.advance(time.Second)
	h.plan()
	h.c.Check(h.usedCPU(), qt.Equals, int64(1000))
	h.advance(14 * time.Second)
	h.cell.NextPoll("w0", h.now)
	h.plan()
	h.c.Check(h.usedCPU(), qt.Equals, int64(0))
}

// Guards against a start without any answer that does not count until it is fenced.
func TestUnansweredStartCountsUntilFenced(t *testing.T) {
	h := newHarness(t, 1, 8)
	h.capTeam(10, 10, 0)
	h.add(ofTeam(shortJob("a", 1), 0))
	plan := h.cell.Plan(h.cfg, unlimitedSlots{}, h.now)
	h.c.Assert(plan.Starts, qt.HasLen, 1)
	lost := &order.UnansweredError{Worker: "w0", Err: errNoAnswer}
	h.cell.Started(plan.Starts[0], cell.StartResult{Sent: h.now, Err: lost, Unanswered: 1}, h.now)
	h.c.Check(h.plan().Starts, qt.HasLen, 0)
	h.c.Check(h.usedCPU(), qt.Equals, int64(1000))
}

// Guards against a scheduler that starts tasks beside runs of an earlier one that it does not know yet: until the workers have reported, the share
// that it has found counts as used, as far as their capacity goes.
func TestUnknownUseAfterTakeOver(t *testing.T) {
	h := newHarness(t, 4, 8)
	h.cell.AwaitReports()
	h.cell.ExpectWorkers([]string{"w4", "w5"}, func(string) time.Time { return h.now.Add(6 * time.Second) })
	h.capTeam(40, 30, 10)
	h.cell.InheritShare("red", quota.Amount{20_000})
	h.add(ofTeam(shortJob("a", 40), 0))
	// The capacity of the workers is not known.
	h.c.Check(h.plan().Starts, qt.HasLen, 10)
	h.c.Check(h.usedCPU(), qt.Equals, int64(30_000))
	for i := range 2 {
		h.setWorker(order.Worker{
			ID: fmt.Sprintf("w%d", 4+i), Capacity: unit.Size{CPUMilli: 8000, MemoryMiB: 1 << 20}, StartedAt: startTime.Add(-time.Minute),
		})
	}
	h.c.Check(h.plan().Starts, qt.HasLen, 4)
	delete(h.workers, "w5")
	h.pollAll()
	h.c.Check(h.plan().Starts, qt.HasLen, 8)
	h.cell.AllRunsKnown()
	h.c.Check(h.plan().Starts, qt.HasLen, 8)
	h.c.Check(h.usedCPU(), qt.Equals, int64(30_000))
}

// Guards against starts between the decision to return a part of a share and the write, which must not store less than what is in use.
func TestLoweredShareHoldsBackAtOnce(t *testing.T) {
	h := newHarness(t, 4, 8)
	h.capTeam(40, 20, 0)
	h.add(ofTeam(shortJob("a", 5), 0))
	h.c.Assert(h.plan().Starts, qt.HasLen, 5)
	used := h.cell.LowerTeamShare("red", quota.Amount{7000}, h.now)
	h.c.Check(used, qt.Equals, quota.Amount{5000})
	h.add(ofTeam(shortJob("b", 5), 0))
	h.c.Check(h.plan().Starts, qt.HasLen, 2)
}

// Guards against a team whose tasks were running before it had a cap, or while its cap was removed.
func TestCapCountsTasksThatRunAlready(t *testing.T) {
	h := newHarness(t, 4, 8)
	h.add(ofTeam(shortJob("a", 6), 0))
	h.c.Assert(h.plan().Starts, qt.HasLen, 6)
	h.capTeam(8, 8, 0)
	h.c.Check(h.usedCPU(), qt.Equals, int64(6000))
	h.add(ofTeam(shortJob("b", 6), 0))
	h.c.Check(h.plan().Starts, qt.HasLen, 2)
}

// Guards against a team that keeps a share which it can't use from other groups for as long as tasks wait.
func TestUnusedShareIsNotWantedForever(t *testing.T) {
	h := newHarness(t, 4, 8)
	h.capTeam(32, 32, 0)
	doc := ofTeam(shortJob("a", 30), 0)
	doc.Steps[0].Label = "nowhere"
	h.add(doc)
	h.plan()
	want := h.cell.TeamDemands(h.now)["red"].Want[0]
	h.c.Check(want, qt.Equals, int64(30_000))
	for range 50 {
		h.advance(100 * time.Millisecond)
		h.plan()
		want = h.cell.TeamDemands(h.now)["red"].Want[0]
	}
	h.c.Check(want <= 1000, qt.IsTrue, qt.Commentf("%d", want))
}

// Guards against sizes whose sum exceeds 64 bits, so that a team seems to want nothing, or less than nothing.
func TestWantOfHugeTasks(t *testing.T) {
	h := newHarness(t, 4, 8)
	h.capTeam(32, 8, 0)
	for i := range 3 {
		doc := ofTeam(shortJob(fmt.Sprintf("a%d", i), 1000), 0)
		doc.Steps[0].Size = unit.Size{CPUMilli: 1 << 60, MemoryMiB: 1 << 62}
		h.add(doc)
	}
	h.add(ofTeam(shortJob("b", 4), 0))
	h.c.Check(h.plan().Starts, qt.HasLen, 4)
	want := h.cell.TeamDemands(h.now)["red"].Want
	h.c.Check(want[0] >= 4000 && want[0] <= 1<<51, qt.IsTrue, qt.Commentf("%v", want))
}

// Guards against a gang that never starts at its team's cap, since each place that becomes free goes to a less urgent task of the team, and against
// tasks that are held back for a gang although the team uses less than half of its cap.
func TestGangAtCapIsNotOvertakenByLessUrgentTasks(t *testing.T) {
	for _, test := range []struct {
		name    string
		members int
		starts  bool
	}{{"needs less than half of the cap", 3, true}, {"needs more than half of the cap", 5, false}} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 4, 16)
			h.capTeam(10, 12, 0)
			batch := ofTeam(longJob(300), 2)
			batch.Steps[0].Estimate = 100 * time.Millisecond
			h.add(batch)
			started := h.plan().Starts
			h.c.Assert(started, qt.HasLen, 10)
			gang := ofTeam(shortJob("gang", test.members), 1)
			gang.Steps[0].Gang, gang.Steps[0].Size, gang.Steps[0].Estimate = true, unit.Size{CPUMilli: 2000}, 10*time.Second
			h.add(gang)
			gangStarted := 0
			for range 30 {
				h.finish(started[0].Worker.ID, started[0].Order.Task, order.EndDone)
				started = started[1:]
				h.advance(20 * time.Millisecond)
				for _, o := range h.plan().Starts {
					if o.Order.Task.Job == "gang" {
						gangStarted++
						continue
					}
					started = append(started, o)
				}
				h.c.Assert(h.usedCPU() >= 5000, qt.IsTrue)
				if gangStarted > 0 {
					break
				}
			}
			h.c.Check(gangStarted == test.members, qt.Equals, test.starts)
			if !test.starts {
				h.c.Check(h.usedCPU(), qt.Equals, int64(10_000))
			}
		})
	}
}

// Guards against a cap that is added while the start of a run that has ended here may still be carried out: the run would not count.
func TestAddedCapCountsStartsThatMayBeCarriedOutLate(t *testing.T) {
	h := newHarness(t, 2, 8)
	h.add(ofTeam(shortJob("a", 1), 0))
	plan := h.plan()
	h.c.Assert(plan.Starts, qt.HasLen, 1)
	o := plan.Starts[0]
	h.cell.Started(o, cell.StartResult{Sent: h.now, Err: errNoAnswer, Unanswered: 1}, h.now)
	h.finish(o.Worker.ID, o.Order.Task, order.EndDone)
	h.advance(time.Second)
	h.capTeam(10, 10, 0)
	h.plan()
	h.c.Check(h.usedCPU(), qt.Equals, int64(1000))
}
