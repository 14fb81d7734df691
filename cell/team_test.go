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
)

// Callers in these tests.
var (
	teamA  = queues.Caller{Team: "a"}
	teamB  = queues.Caller{Team: "b"}
	noTeam = queues.Caller{}
	anyone = queues.Caller{AnyTeam: true}
)

// jobOfTeam returns a job of a team.
func jobOfTeam(id, team string) *graph.Job {
	job := shortJob(id, 1)
	job.Team = team
	return job
}

// Guards against a job that another team sees or that its pending count includes: before and after the job's end, and at the next scheduler, which
// knows a finished job from its progress alone.
func TestGroupTellsTeamOfItsJobsOnly(t *testing.T) {
	for _, test := range []struct {
		name   string
		team   string
		caller queues.Caller
		known  bool
	}{
		{"own job", "a", teamA, true},
		{"job of another team", "a", teamB, false},
		{"job of a team, caller without a team", "a", noTeam, false},
		{"job of a team, configuration without teams", "a", anyone, true},
		{"job without a team", "", teamA, true},
		{"job without a team, caller without a team", "", noTeam, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(t, 1, 4)
			h.add(jobOfTeam("j", test.team))
			check := func(group *cell.Cell, pending int) {
				_, known := group.State("j", "short", test.caller)
				h.c.Assert(known, qt.Equals, test.known)
				if !test.known {
					pending = 0
				}
				h.c.Assert(group.Pending("short", test.caller), qt.Equals, pending)
				_, known = group.State("j", "long", test.caller)
				h.c.Assert(known, qt.IsFalse)
			}
			check(h.cell, 1)
			h.plan()
			check(h.cell, 0)
			h.cell.Cancel("j", h.now)
			batch := h.cell.Collect(10)
			h.c.Assert(batch.Changes, qt.HasLen, 1)
			h.c.Assert(batch.Changes[0].Progress.Team, qt.Equals, test.team)
			h.cell.Committed(batch, 2, h.now)
			check(h.cell, 0)
			raw, err := batch.Changes[0].Progress.Encode()
			h.c.Assert(err, qt.IsNil)
			progress, err := graph.DecodeProgress(raw)
			h.c.Assert(err, qt.IsNil)
			log := logrus.New()
			log.SetOutput(io.Discard)
			next := cell.New(cell.Settings{RunsPerToken: 1000}, 2, log)
			next.AddFinished("j", progress, h.now)
			check(next, 0)
		})
	}
}

// Guards against an end that is counted twice, as its progress is stored again when one of its runs has stopped.
func TestFinishedJobIsCountedOnce(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	var ends []string
	group := cell.New(cell.Settings{
		RunsPerToken: 1000, OnFinished: func(team string, state graph.State) { ends = append(ends, team+" "+string(state)) },
	}, 1, log)
	h := newHarness(t, 1, 4)
	h.cell = group
	h.setWorker(h.workers["w0"])
	h.cell.Recorded([]string{"w0"})
	h.pollAll()
	job := shortJob("j", 2)
	job.Team = "a"
	h.add(job)
	starts := h.plan().Starts
	h.c.Assert(starts, qt.HasLen, 2)
	h.cell.Cancel("j", h.now)
	h.cell.Committed(h.cell.Collect(10), 2, h.now)
	h.finish("w0", starts[0].Order.Task, order.EndStopped)
	h.advance(time.Second)
	batch := h.cell.Collect(10)
	h.c.Assert(batch.Changes, qt.HasLen, 1)
	h.cell.Committed(batch, 3, h.now)
	c.Assert(ends, qt.DeepEquals, []string{"a cancelled"})
}
