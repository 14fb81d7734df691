package cell_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/order"
)

// learnSpeeds runs jobs whose tasks take twice as long on the given ones of four workers of four cores.
func (h *harness) learnSpeeds(slowWorkers ...string) map[string]bool {
	h.c.Helper()
	slow := map[string]bool{}
	for _, id := range slowWorkers {
		slow[id] = true
	}
	for round := range 6 {
		h.add(shortJob(fmt.Sprintf("learn%d", round), 16))
		started := h.plan().Starts
		h.c.Assert(started, qt.HasLen, 16)
		for _, finishSlow := range []bool{false, true} {
			h.now = h.now.Add(400 * time.Millisecond)
			for _, o := range started {
				if slow[o.Worker.ID] == finishSlow {
					h.finish(o.Worker.ID, o.Order.Task, order.EndDone)
				}
			}
			h.pollAll()
		}
		h.now = h.now.Add(10 * time.Second)
	}
	return slow
}

// A straggler got no copy if its own worker was the best one for it: full workers are preferred. Load: a step of four tasks on two workers of
// eight cores, one of which takes over seven times as long as the others.
func TestStragglerGetsCopyThoughItsWorkerHasRoom(t *testing.T) {
	h := newHarness(t, 2, 8)
	doc := shortJob("j", 4)
	doc.Steps[0].Speculative = true
	h.add(doc)
	started := h.plan().Starts
	h.c.Assert(started, qt.HasLen, 4)
	h.now = h.now.Add(500 * time.Millisecond)
	for _, o := range started[1:] {
		h.finish(o.Worker.ID, o.Order.Task, order.EndDone)
	}
	h.pollAll()
	h.advance(3 * time.Second)
	copies := h.plan().Starts
	h.c.Assert(copies, qt.HasLen, 1)
	h.c.Assert(copies[0].Order.Task, qt.Equals, started[0].Order.Task)
	h.c.Assert(copies[0].Worker.ID, qt.Not(qt.Equals), started[0].Worker.ID)
}

// The members of a gang end together, with the slowest one, which says nothing about the speed of their workers: what was learned of it must not be
// forgotten. Load: 30 gangs of 16 tasks on workers of which a half takes twice as long, then urgent work beside a long job.
func TestGangsSayNothingAboutSpeedOfWorkers(t *testing.T) {
	h := newHarness(t, 4, 4)
	slow := h.learnSpeeds("w0", "w2")
	for i := range 30 {
		gang := shortJob(fmt.Sprintf("gang%d", i), 16)
		gang.Steps[0].Gang = true
		h.add(gang)
		started := h.plan().Starts
		h.c.Assert(started, qt.HasLen, 16)
		h.now = h.now.Add(time.Second)
		for _, o := range started {
			h.finish(o.Worker.ID, o.Order.Task, order.EndDone)
		}
		h.pollAll()
	}
	h.add(longJob(2))
	for _, o := range h.plan().Starts {
		h.c.Assert(slow[o.Worker.ID], qt.IsTrue)
	}
	h.add(shortJob("s", 6))
	started := h.plan().Starts
	h.c.Assert(started, qt.HasLen, 6)
	for _, o := range started {
		h.c.Assert(slow[o.Worker.ID], qt.IsFalse)
	}
}

// A gang is as slow as its slowest member. Load: a gang of eight tasks, for which the two fast of four workers have room, beside a long job.
func TestGangAvoidsSlowWorkers(t *testing.T) {
	h := newHarness(t, 4, 4)
	slow := h.learnSpeeds("w0", "w2")
	h.add(longJob(2))
	h.c.Assert(h.plan().Starts, qt.HasLen, 2)
	gang := shortJob("gang", 8)
	gang.Priority = 1
	gang.Steps[0].Gang = true
	h.add(gang)
	started := h.plan().Starts
	h.c.Assert(started, qt.HasLen, 8)
	for _, o := range started {
		h.c.Assert(slow[o.Worker.ID], qt.IsFalse)
	}
}

// A worker that starts again may be of another kind: what was learned of the earlier one used to keep urgent work away from it. Load: the slow one of
// four workers is replaced by one of unknown speed, and urgent work needs three workers.
func TestSpeedIsForgottenWhenWorkerIsOfAnotherKind(t *testing.T) {
	for _, replaced := range []bool{false, true} {
		h := newHarness(t, 4, 4)
		h.learnSpeeds("w2")
		if replaced {
			info := h.workers["w2"]
			info.StartedAt, info.Kind = h.now, "another"
			h.running["w2"], h.ends["w2"] = nil, nil
			h.setWorker(info)
		}
		h.advance(10 * time.Second)
		h.add(shortJob("s", 12))
		started := h.plan().Starts
		h.c.Assert(started, qt.HasLen, 12)
		used := map[string]bool{}
		for _, o := range started {
			used[o.Worker.ID] = true
		}
		h.c.Check(used["w2"], qt.Equals, replaced)
	}
}

// What is learned of the workers' speeds must survive stragglers and uneven tasks. Load: 20 jobs of 16 tasks whose run times differ by up to 30%, 3% of
// which take seven times as long, on four workers of which a half is slow.
func TestLearnedSpeedSurvivesStragglers(t *testing.T) {
	for seed := range uint64(10) {
		h := newHarness(t, 4, 4)
		rng := rand.New(rand.NewPCG(seed, 0))
		slow := map[string]bool{"w0": true, "w2": true}
		for round := range 20 {
			h.add(shortJob(fmt.Sprintf("learn%d", round), 16))
			started := h.plan().Starts
			h.c.Assert(started, qt.HasLen, 16)
			ends := map[int]time.Duration{}
			sorted := make([]int, len(started))
			for i, o := range started {
				sorted[i], ends[i] = i, time.Duration(400*(0.7+0.6*rng.Float64()))*time.Millisecond
				if slow[o.Worker.ID] {
					ends[i] = ends[i] * 18 / 10
				}
				if rng.IntN(100) < 3 {
					ends[i] *= 7
				}
			}
			slices.SortFunc(sorted, func(a, b int) int { return cmp.Compare(ends[a], ends[b]) })
			began := h.now
			for _, i := range sorted {
				h.now = began.Add(ends[i])
				h.finish(started[i].Worker.ID, started[i].Order.Task, order.EndDone)
				h.pollAll()
			}
			h.now = h.now.Add(10 * time.Second)
		}
		h.add(shortJob("s", 8))
		started := h.plan().Starts
		h.c.Assert(started, qt.HasLen, 8)
		for _, o := range started {
			h.c.Check(slow[o.Worker.ID], qt.IsFalse, qt.Commentf("seed %d", seed))
		}
	}
}
