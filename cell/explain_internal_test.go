package cell

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

// noSlots allows no call to the advisor.
type noSlots struct{}

func (noSlots) HasSlot(time.Duration) bool           { return false }
func (noSlots) Reserve(time.Duration) (string, bool) { return "", false }

// Guards against values that the decisions keep for later ones, and that an explanation has changed: plans rarely show that.
func TestExplainRestoresWhatDecisionsKeep(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	now := time.Unix(1_000_000, 0)
	g := New(Settings{Lease: 6 * time.Second, RunsPerToken: 1000}, 1, log)
	cfg := &queues.Config{Version: 1, Queues: []queues.Queue{{Name: "short"}}}
	ids := []string{"w0", "w1"}
	g.Recorded(ids)
	for _, id := range ids {
		g.SetWorker(order.Worker{ID: id, Capacity: unit.Size{CPUMilli: 4000}, StartedAt: now}, now)
		g.Polled(id, order.Report{Clock: time.Minute, StartedAt: now}, 0, now, now)
	}
	for i := range 12 {
		g.Add(&graph.Job{
			ID: fmt.Sprintf("j%d", i), Queue: "short", AcceptedAt: now, MaxAttempts: 3, Stretch: 1.5, Objective: 300 * time.Millisecond,
			Steps: []graph.Step{{Count: 1, Size: unit.Size{CPUMilli: 1000}, Estimate: 500 * time.Millisecond, MaxUnavailable: -1}},
		}, nil, 1, now)
	}
	c.Assert(g.Plan(cfg, noSlots{}, now).Starts, qt.HasLen, 8)
	g.Cancel("j0", now)

	state := func() []string {
		list := []string{
			fmt.Sprintf("%+v", g.urgentDemand), fmt.Sprint(g.candidateIndex.planNumber, len(g.candidateIndex.workers), g.candidateIndex.free, g.candidateIndex.headroom),
			fmt.Sprint(len(g.jobs), len(g.stepsToPlace), len(g.dirty), len(g.stopRequested), len(g.scheduled), len(g.activities)),
		}
		for _, w := range g.sortedWorkers() {
			list = append(list, fmt.Sprint(w.info.ID, w.lastPlanNumber, w.plannedFreeCPU, w.used, w.heldUntil))
		}
		for id, j := range g.jobs {
			for _, o := range j.occurrences {
				known := 0
				for _, s := range o.steps {
					for _, t := range s.tasks {
						if t != nil {
							known++
						}
					}
				}
				list = append(list, fmt.Sprint(id, o.objective, o.remaining, o.rankedAt, o.deferred, known, j.revision))
			}
		}
		slices.Sort(list)
		return list
	}
	before := state()
	later := now.Add(5 * time.Second)
	_, known := g.Explain("j11", nil, cfg, later)
	c.Assert(known, qt.IsTrue)
	_, known = g.Explain("", &graph.Job{Queue: "short", AcceptedAt: later, Steps: []graph.Step{{Count: 2, Gang: true}}}, cfg, later)
	c.Assert(known, qt.IsTrue)
	c.Check(state(), qt.DeepEquals, before)
}
