package cell_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

func (h *harness) explain(id string) cell.Explanation {
	h.c.Helper()
	e, known := h.cell.Explain(id, nil, h.cfg, h.now)
	h.c.Assert(known, qt.IsTrue)
	return e
}

// explainStep returns the explanation of the only unfinished step of a job.
func (h *harness) explainStep(id string) cell.StepExplanation {
	h.c.Helper()
	e := h.explain(id)
	h.c.Assert(e.Steps, qt.HasLen, 1)
	return e.Steps[0]
}

// permit lets the advisor allow a request on the given workers.
func (h *harness) permit(request cell.AdviceRequest, workers ...string) {
	permits := make([]order.Permit, len(workers))
	for i, w := range workers {
		permits[i] = order.Permit{Worker: w, Ticket: "t"}
	}
	h.cell.Advised(request, permits, 2*time.Second, nil, h.now)
}

// Guards against a worker that is counted under another reason than the one that keeps it from getting work, and against a difference between the
// explanation and the next plan.
func TestExplainNamesReasonOfEachWorker(t *testing.T) {
	small := func(h *harness) { h.add(shortJob("s", 1)) }
	change := func(h *harness, set func(w *order.Worker)) {
		w := h.workers["w0"]
		set(&w)
		h.setWorker(w)
	}
	for _, test := range []struct {
		reason cell.WorkerReason
		set    func(h *harness)
	}{
		{"", small},
		{cell.WorkerLeft, func(h *harness) { small(h); h.cell.Unlist("w0") }},
		{cell.WorkerDraining, func(h *harness) { small(h); change(h, func(w *order.Worker) { w.Draining = true }) }},
		{cell.WorkerUnpolled, func(h *harness) {
			small(h)
			change(h, func(w *order.Worker) { w.StartedAt = w.StartedAt.Add(time.Second) })
		}},
		{cell.WorkerSuspected, func(h *harness) { small(h); h.cell.Suspect("w0", h.now.Add(time.Second), h.now) }},
		{cell.WorkerUnsettled, func(h *harness) {
			small(h)
			h.running["w0"] = []order.Run{{Task: graph.TaskID{StepID: graph.StepID{Job: "unknown"}}, Run: 1}}
			h.pollAll()
		}},
		{cell.WorkerLabel, func(h *harness) {
			doc := shortJob("s", 1)
			doc.Steps[0].Label = "disk"
			h.add(doc)
		}},
		{"too-small-cpu-milli", func(h *harness) {
			doc := shortJob("s", 1)
			doc.Steps[0].Size = unit.Size{CPUMilli: 4001}
			h.add(doc)
		}},
		{"too-small-memory-mib", func(h *harness) {
			doc := shortJob("s", 1)
			doc.Steps[0].Size = unit.Size{MemoryMiB: 2 << 20}
			h.add(doc)
		}},
		{"too-small-accelerators", func(h *harness) {
			doc := shortJob("s", 1)
			doc.Steps[0].Size = unit.Size{Accelerators: 1}
			h.add(doc)
		}},
		{"no-room-cpu-milli", func(h *harness) {
			h.add(shortJob("first", 4))
			h.plan()
			small(h)
		}},
		{cell.WorkerMaxPerWorker, func(h *harness) {
			doc := shortJob("s", 2)
			doc.Steps[0].MaxPerWorker = 1
			h.add(doc)
			h.plan()
		}},
		{cell.WorkerNoTicket, func(h *harness) {
			h.cfg.Queues[0].Advice = &queues.Advice{Base: 10 * time.Millisecond}
			small(h)
		}},
		{cell.WorkerDenied, func(h *harness) {
			h.cfg.Queues[0].Advice = &queues.Advice{Base: 10 * time.Millisecond}
			small(h)
			h.permit(h.plan().AdviceRequests[0])
		}},
	} {
		t.Run(fmt.Sprintf("%q", test.reason), func(t *testing.T) {
			h := newHarness(t, 1, 4)
			test.set(h)
			s := h.explainStep("s")
			if test.reason == "" {
				h.c.Check(s.Others, qt.HasLen, 0)
				h.c.Check(s.Takes, qt.Equals, 1)
				h.c.Check(s.BestWorker, qt.Equals, "w0")
			} else {
				h.c.Check(s.Others, qt.DeepEquals, map[cell.WorkerReason]int{test.reason: 1})
				h.c.Check(s.Takes, qt.Equals, 0)
				h.c.Check(s.BestWorker, qt.Equals, "")
			}
			h.c.Check(s.MayStart, qt.Equals, test.reason == "")
			h.c.Check(len(h.plan().Starts) > 0, qt.Equals, s.MayStart)
		})
	}
}

// Guards against a new worker that counts as free before it is in the durable record.
func TestExplainNamesUnrecordedWorker(t *testing.T) {
	h := newHarness(t, 1, 4)
	h.add(shortJob("s", 1))
	h.setWorker(order.Worker{ID: "new", Capacity: unit.Size{CPUMilli: 4000}, StartedAt: startTime})
	h.pollAll()
	h.c.Check(h.explainStep("s").Others, qt.DeepEquals, map[cell.WorkerReason]int{cell.WorkerUnrecorded: 1})
}

// Guards against a worker in quarantine that counts as free.
func TestExplainNamesQuarantinedWorker(t *testing.T) {
	h := newHarness(t, 1, 4)
	for i := range 6 {
		doc := shortJob(fmt.Sprintf("f%d", i), 1)
		doc.MaxAttempts = 1
		h.add(doc)
		for _, o := range h.plan().Starts {
			h.finish(o.Worker.ID, o.Order.Task, order.EndFailed)
		}
		h.advance(100 * time.Millisecond)
	}
	h.add(shortJob("s", 1))
	h.c.Check(h.explainStep("s").Others, qt.DeepEquals, map[cell.WorkerReason]int{cell.WorkerQuarantined: 1})
}

// Guards against workers that a gang has reserved and that count as free for less urgent tasks.
func TestExplainNamesWorkersHeldForGang(t *testing.T) {
	h := newHarness(t, 2, 4)
	h.add(shortJob("first", 5))
	h.plan()
	gang := shortJob("g", 2)
	gang.Steps[0].Gang, gang.Steps[0].Size = true, unit.Size{CPUMilli: 3000}
	h.add(gang)
	h.plan()
	long := longJob(1)
	h.add(long)
	s := h.explainStep("l")
	h.c.Check(s.Others[cell.WorkerHeldForGang] > 0, qt.IsTrue, qt.Commentf("%+v", s))
	g := h.explainStep("g")
	h.c.Check(g.Reason, qt.Equals, cell.StepNoRoom)
	h.c.Check(g.WaitKnown, qt.IsTrue)
}

// Guards against workers without an old connection that count as free while the lease is stale.
func TestExplainNamesWorkersWithoutOldConnection(t *testing.T) {
	c := qt.New(t)
	g := newStaleGroup()
	g.cell.Add(&graph.Job{
		ID: "j", Queue: "short", Steps: []graph.Step{{Count: 6, Size: unit.Size{CPUMilli: 1000}}}, AcceptedAt: g.now, MaxAttempts: 3, Stretch: 2,
	}, nil, 1, g.now)
	g.leaseAge = 1701 * time.Millisecond
	e, known := g.cell.Explain("j", nil, &queues.Config{Version: 1, Queues: []queues.Queue{{Name: "short"}}}, g.now)
	c.Assert(known, qt.IsTrue)
	c.Check(e.LeaseStale, qt.IsTrue)
	c.Check(e.LeaseAgeMillis, qt.Equals, int64(1701))
	c.Check(e.Steps[0].Others, qt.DeepEquals, map[cell.WorkerReason]int{cell.WorkerNoOldConn: 1})
	c.Check(e.Steps[0].BestWorker, qt.Equals, "w0")
	c.Check(g.plan().Starts, qt.HasLen, 4)
}

// Guards against a step that is said to wait for something else than what the next plan finds.
func TestExplainNamesReasonOfEachStep(t *testing.T) {
	for _, test := range []struct {
		reason cell.StepReason
		set    func(h *harness)
		// wait is the expected wait; -1 if it is not known.
		wait time.Duration
	}{
		{cell.StepJobEnded, func(h *harness) { h.add(shortJob("s", 8)); h.plan(); h.cell.Cancel("s", h.now) }, -1},
		{cell.StepAwaitsGangEnds, func(h *harness) {
			doc := shortJob("s", 2)
			doc.Steps[0].Gang = true
			h.add(doc)
			h.finish("w0", h.plan().Starts[0].Order.Task, order.EndStopped)
			h.pollAll()
		}, -1},
		{cell.StepRunning, func(h *harness) { h.add(shortJob("s", 1)); h.plan() }, 500 * time.Millisecond},
		{cell.StepNotDue, func(h *harness) {
			doc := shortJob("s", 1)
			doc.Repetitions, doc.FirstAt = 1, h.now.Add(time.Minute)
			h.add(doc)
		}, time.Minute},
		{cell.StepTeamCap, func(h *harness) {
			h.capTeam(2, 2, 0)
			h.add(ofTeam(shortJob("first", 2), 0))
			h.plan()
			h.add(ofTeam(shortJob("s", 1), 0))
		}, 500 * time.Millisecond},
		{cell.StepTeamShare, func(h *harness) {
			h.capTeam(10, 2, 0)
			h.add(ofTeam(shortJob("first", 2), 0))
			h.plan()
			h.add(ofTeam(shortJob("s", 1), 0))
		}, 500 * time.Millisecond},
		{cell.StepTeamGang, func(h *harness) {
			h.capTeam(4, 4, 0)
			batch := ofTeam(longJob(9), 2)
			batch.ID = "s"
			h.add(batch)
			started := h.plan().Starts
			gang := ofTeam(shortJob("gang", 2), 1)
			gang.Steps[0].Gang, gang.Steps[0].Size, gang.Steps[0].Estimate = true, unit.Size{CPUMilli: 2000}, 10*time.Second
			h.add(gang)
			h.finish("w0", started[0].Order.Task, order.EndDone)
			h.pollAll()
			h.plan()
			// The run that ended at once counts half for the expected time of the others.
		}, 10 * time.Second},
		{cell.StepAwaitsReports, func(h *harness) {
			h.cell.AwaitReports()
			doc := shortJob("s", 1)
			doc.AcceptedAt, doc.MaxAttempts = h.now, 3
			h.cell.Add(doc, &graph.Progress{State: graph.Queued}, 1, h.now)
		}, -1},
		{cell.StepRecord, func(h *harness) {
			doc := shortJob("s", 1)
			doc.AcceptedAt, doc.MaxAttempts = h.now, 3
			h.cell.Add(doc, nil, 0, h.now)
		}, -1},
		{cell.StepAdvice, func(h *harness) {
			h.cfg.Queues[0].Advice = &queues.Advice{Base: 10 * time.Millisecond, PerWorker: 5 * time.Millisecond}
			h.add(shortJob("s", 1))
		}, 15 * time.Millisecond},
		{cell.StepHeadroom, func(h *harness) {
			h.add(shortJob("first", 3))
			for _, o := range h.plan().Starts {
				h.finish(o.Worker.ID, o.Order.Task, order.EndDone)
			}
			h.advance(100 * time.Millisecond)
			h.add(&graph.Job{ID: "l", Queue: "long", Priority: 2, Steps: []graph.Step{{
				Count: 3, Size: unit.Size{CPUMilli: 1000}, Estimate: 20 * time.Second, MaxUnavailable: -1,
			}}})
			h.plan()
			h.add(&graph.Job{ID: "s", Queue: "long", Priority: 2, Steps: []graph.Step{{
				Count: 1, Size: unit.Size{CPUMilli: 1000}, Estimate: 20 * time.Second, MaxUnavailable: -1,
			}}})
		}, -1},
		{cell.StepNoRoom, func(h *harness) {
			h.add(shortJob("first", 4))
			h.plan()
			h.add(shortJob("s", 1))
		}, 500 * time.Millisecond},
	} {
		t.Run(string(test.reason), func(t *testing.T) {
			h := newHarness(t, 1, 4)
			test.set(h)
			s := h.explainStep("s")
			h.c.Check(s.Reason, qt.Equals, test.reason)
			h.c.Check(s.MayStart, qt.IsFalse)
			h.c.Check(s.WaitKnown, qt.Equals, test.wait >= 0)
			if test.wait >= 0 {
				h.c.Check(s.WaitMillis, qt.Equals, test.wait.Milliseconds())
			}
			h.c.Check(h.plan().Starts, qt.HasLen, 0)
		})
	}
}

// Guards against a later step that seems to lack a worker while it waits for an earlier one.
func TestExplainNamesEarlierStepAndRetryDelay(t *testing.T) {
	h := newHarness(t, 1, 4)
	doc := shortJob("s", 1)
	doc.Steps = append(doc.Steps, doc.Steps[0])
	doc.Steps[1].After = []int{0}
	h.add(doc)
	steps := h.explain("s").Steps
	h.c.Assert(steps, qt.HasLen, 2)
	h.c.Check(steps[0].MayStart, qt.IsTrue)
	h.c.Check(steps[1].Reason, qt.Equals, cell.StepEarlierStep)
	h.c.Check(steps[1].WaitMillis, qt.Equals, int64(500))
	for _, o := range h.plan().Starts {
		h.finish(o.Worker.ID, o.Order.Task, order.EndFailed)
	}
	h.advance(10 * time.Millisecond)
	first := h.explain("s").Steps[0]
	h.c.Check(first.Reason, qt.Equals, cell.StepRetryDelay)
	h.c.Check(first.WaitKnown, qt.IsTrue)
}

// Guards against an explanation that changes what later plans decide, and against one that differs from the next plan. Two groups get the same load, and
// only one of them explains.
func TestExplainChangesNoPlan(t *testing.T) {
	build := func() *harness {
		h := newHarness(t, 4, 4)
		h.cfg.Queues[0].Advice = &queues.Advice{Base: 10 * time.Millisecond, PerWorker: 5 * time.Millisecond}
		h.add(longJob(10))
		return h
	}
	explained, other := build(), build()
	explain := func(h *harness, ids ...string) {
		for _, id := range ids {
			h.cell.Explain(id, nil, h.cfg, h.now)
			h.cell.Explain("", gangDoc(h.now), h.cfg, h.now)
		}
	}
	ids := []string{"l"}
	numStarts, numForeseen := 0, 0
	for i := range 60 {
		ids = append(ids, fmt.Sprintf("s%d", i), fmt.Sprintf("g%d", i))
		for _, h := range []*harness{explained, other} {
			h.add(shortJob(fmt.Sprintf("s%d", i), 2))
			if i%8 == 0 {
				g := gangDoc(h.now)
				g.ID = fmt.Sprintf("g%d", i)
				h.add(g)
			}
		}
		explain(explained, "l", fmt.Sprintf("s%d", i), fmt.Sprintf("g%d", i), "none")
		before := map[graph.StepID]cell.StepExplanation{}
		for _, id := range ids {
			if e, known := explained.cell.Explain(id, nil, explained.cfg, explained.now); known {
				for _, s := range e.Steps {
					before[graph.StepID{Job: id, Occurrence: s.Occurrence, Step: s.Step}] = s
				}
			}
		}
		got, want := explained.plan(), other.plan()
		for _, o := range got.Starts {
			numStarts++
			if i%3 == 0 {
				// The plan has chosen anew, every 150 ms, which jobs are to be in time; that is not foreseen.
				continue
			}
			s := before[o.Order.Task.StepID]
			explained.c.Assert(s.MayStart, qt.IsTrue, qt.Commentf("%v: %+v", o.Order.Task, s))
			numForeseen++
		}
		for _, id := range ids {
			// The plan has tried all steps that can be in time, and has chosen anew which ones these are.
			e, _ := explained.cell.Explain(id, nil, explained.cfg, explained.now)
			for _, s := range e.Steps {
				explained.c.Assert(s.MayStart && s.Urgency == "on-time", qt.IsFalse, qt.Commentf("%s: %+v", id, s))
			}
		}
		explained.c.Assert(summary(got), qt.DeepEquals, summary(want))
		explain(explained, "l", fmt.Sprintf("s%d", i))
		for _, h := range []*harness{explained, other} {
			plan := want
			if h == explained {
				plan = got
			}
			for _, r := range plan.AdviceRequests {
				h.permit(r, r.Workers...)
			}
			for _, o := range plan.Stops {
				h.finish(o.Worker.ID, o.Order.Task, order.EndStopped)
			}
			// Short runs end after seven plans.
			for w := range 4 {
				id := fmt.Sprintf("w%d", w)
				for _, r := range slices.Clone(h.running[id]) {
					if r.Task.Job == fmt.Sprintf("s%d", i-7) || r.Task.Job == fmt.Sprintf("g%d", i-15) {
						h.finish(id, r.Task, order.EndDone)
					}
				}
			}
			h.advance(30 * time.Millisecond)
			if h == explained {
				explain(h, ids...)
			}
			h.advance(40 * time.Millisecond)
		}
	}
	explained.c.Check(numStarts > 50 && numForeseen > 20, qt.IsTrue, qt.Commentf("%d, %d", numStarts, numForeseen))
}

func gangDoc(now time.Time) *graph.Job {
	return &graph.Job{ID: "g", Queue: "long", Priority: 1, AcceptedAt: now, MaxAttempts: 3, Steps: []graph.Step{{
		Count: 3, Size: unit.Size{CPUMilli: 2000}, Estimate: time.Second, Gang: true, MaxUnavailable: -1,
	}}}
}

// summary lists what a plan does.
func summary(p cell.Plan) []string {
	list := []string{p.NextPlanAt.String()}
	for _, o := range p.Starts {
		list = append(list, "start "+o.Order.Task.String()+" "+o.Worker.ID)
	}
	for _, o := range p.Stops {
		list = append(list, "stop "+o.Order.Task.String()+" "+o.Worker.ID)
	}
	for _, r := range p.AdviceRequests {
		list = append(list, fmt.Sprint("advice ", r.Step, r.Workers))
	}
	return list
}

// Guards against a document that is added to the group by asking about it.
func TestExplainOfDocumentAddsNoJob(t *testing.T) {
	h := newHarness(t, 2, 4)
	e, known := h.cell.Explain("", gangDoc(h.now), h.cfg, h.now)
	h.c.Assert(known, qt.IsTrue)
	h.c.Check(e.Steps[0].MayStart, qt.IsTrue)
	h.c.Check(e.State, qt.Equals, graph.State(""))
	_, jobs, _ := h.cell.Counts()
	h.c.Check(jobs, qt.Equals, 0)
	h.c.Check(h.plan().Starts, qt.HasLen, 0)
	_, known = h.cell.Explain("g", nil, h.cfg, h.now)
	h.c.Check(known, qt.IsFalse)
}
