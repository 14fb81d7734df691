package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

// Guards against a finished job that the next runner shows to another team, also if a host of an earlier version has stored its progress without a team.
func TestTeamOfFinishedJobOutlastsTakeover(t *testing.T) {
	const (
		id        = "00000000000000aa"
		withTeam  = `{"state":"completed","queue":"` + queue + `","team":"a"}`
		noTeam    = `{"state":"completed","queue":"` + queue + `"}`
		withSpec  = `"team":"x"`
		otherTeam = "b"
	)
	for _, test := range []struct {
		name, team, spec, progress string
		visible                    bool
	}{
		{"progress with a team", "a", "", withTeam, false},
		{"progress of an earlier version", "a", "", noTeam, false},
		{"job without a team", "", "", noTeam, true},
		{"job without a team, whose spec looks like one", "", withSpec, noTeam, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster(t, 1, bigWorker)
				job := &graph.Job{
					ID: id, Queue: queue, Service: service, Spec: test.spec, Team: test.team, Steps: []graph.Step{{Count: 1, Size: cores(1)}}, MaxAttempts: 1,
				}
				raw, err := job.Encode()
				s.c.Assert(err, qt.IsNil)
				_, err = s.store.Apply(table.Tx{Writes: []table.Write{{Key: runner.JobKey(service, id), Value: raw}}})
				s.c.Assert(err, qt.IsNil)
				progress := table.Key{Table: runner.TableRuns, Partition: service, Name: id}
				_, err = s.store.Apply(table.Tx{Writes: []table.Write{{Key: progress, Value: []byte(test.progress)}}})
				s.c.Assert(err, qt.IsNil)
				r, stop := s.runner()
				defer stop()
				time.Sleep(2 * time.Second)
				state, known := r.Cell().State(id, queue, queues.Caller{Team: otherTeam})
				s.c.Assert(known, qt.Equals, test.visible)
				if test.visible {
					s.c.Assert(state, qt.Equals, graph.Completed)
				}
				state, known = r.Cell().State(id, queue, queues.Caller{Team: "a"})
				s.c.Assert(known, qt.IsTrue)
				s.c.Assert(state, qt.Equals, graph.Completed)
			})
		})
	}
}

// Guards against the loss of a job's team with the progress that its runner writes.
func TestProgressNamesTeamOfJob(t *testing.T) {
	const id = "00000000000000aa"
	synctest.Test(t, func(t *testing.T) {
		s := newCluster(t, 1, bigWorker)
		s.workers.Outcome = fixedDuration(time.Second)
		r, stop := s.runner()
		defer stop()
		step := graph.Step{Count: 1, Size: cores(1)}
		s.workers.SetStep(graph.StepID{Job: id}, &step, false)
		job := &graph.Job{
			ID: id, Queue: queue, Service: service, Team: "a", Steps: []graph.Step{step}, AcceptedAt: time.Now(), MaxAttempts: 3, Stretch: 2,
		}
		raw, err := job.Encode()
		s.c.Assert(err, qt.IsNil)
		_, err = s.store.Apply(table.Tx{Writes: []table.Write{{Key: runner.JobKey(service, id), Value: raw}}})
		s.c.Assert(err, qt.IsNil)
		s.awaitState(r, id, graph.Running, 5*time.Second)
		s.awaitState(r, id, graph.Completed, 5*time.Second)
		row, ok := s.store.Get(table.Key{Table: runner.TableRuns, Partition: service, Name: id})
		s.c.Assert(ok, qt.IsTrue)
		progress, err := graph.DecodeProgress(row.Value)
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(progress.State, qt.Equals, graph.Completed)
		s.c.Assert(progress.Team, qt.Equals, "a")
	})
}
