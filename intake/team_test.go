package intake_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/intake"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

// Callers in these tests.
var (
	teamA  = queues.Caller{Team: "a"}
	teamB  = queues.Caller{Team: "b"}
	noTeam = queues.Caller{}
)

// jobOf returns the job that a caller submits to a queue.
func jobOf(q *queues.Queue, caller queues.Caller) *graph.Job {
	job := jobFor(q)
	job.Team = caller.Team
	return job
}

// heldGroups is an intake.Groups whose holder knows the jobs of a group.
type heldGroups struct {
	noGroups
	service string
	cell    *cell.Cell
}

// State implements intake.Groups.
func (g *heldGroups) State(_ context.Context, service, queue, job string, caller queues.Caller) (graph.State, bool) {
	if service != g.service {
		return "", false
	}
	return g.cell.State(job, queue, caller)
}

// Stored implements intake.Groups.
func (g *heldGroups) Stored(ctx context.Context, service, queue, job string, caller queues.Caller) bool {
	_, known := g.State(ctx, service, queue, job, caller)
	return known
}

// jobRowsOf returns the rows of the job and of its cancel marks in the tables of both services, by their keys.
func jobRowsOf(store *fakes.Table) map[table.Key]table.Row {
	rows := map[table.Key]table.Row{}
	for _, service := range []string{"desk", "eyes"} {
		job := runner.JobKey(service, id)
		for _, key := range []table.Key{job, runner.CancelKey(job)} {
			if row, ok := store.Get(key); ok {
				rows[key] = row
			}
		}
	}
	return rows
}

// Guards against a job that another team sees, cancels or takes for its own, with and without a holder of the group, and where the job's row is in the
// table of another service than its endpoint's first one.
func TestJobIsVisibleToItsTeamOnly(t *testing.T) {
	for _, test := range []struct {
		name              string
		submitter, caller queues.Caller
		visible           bool
	}{
		{"own job", teamA, teamA, true},
		{"job of another team", teamA, teamB, false},
		{"job of a team, caller without a team", teamA, noTeam, false},
		{"job without a team", noTeam, teamB, true},
		{"job without a team, caller without a team", noTeam, noTeam, true},
		{"job of a team, configuration without teams", teamA, anyone, true},
	} {
		for _, q := range []*queues.Queue{queue, movedQueue} {
			for _, held := range []bool{false, true} {
				name := test.name + ", " + q.Service
				if held {
					name += ", with a holder"
				}
				t.Run(name, func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						c, ctx := qt.New(t), t.Context()
						in, store, _ := newIntake()
						submitEarlier(c, in, queue)
						submitEarlier(c, in, movedQueue)
						job := jobOf(q, test.submitter)
						c.Assert(in.Submit(ctx, q, job, test.submitter), qt.IsNil)
						host, _ := newHost(store)
						if held {
							groups := &heldGroups{service: q.Service, cell: cell.New(cell.Settings{RunsPerToken: 1000}, 1, host.Log)}
							groups.cell.Add(job, nil, 0, time.Now())
							host.Groups = groups
						}
						before := jobRowsOf(store)
						state, err := host.State(ctx, q, id, test.caller)
						submitErr := host.Submit(ctx, q, jobOf(q, test.caller), test.caller)
						c.Assert(jobRowsOf(store), qt.DeepEquals, before)
						cancelErr := host.Cancel(ctx, q, id, test.caller)
						if test.visible {
							c.Assert(err, qt.IsNil)
							c.Assert(state, qt.Equals, graph.Queued)
							c.Assert(submitErr, qt.IsNil)
							c.Assert(cancelErr, qt.IsNil)
							c.Assert(jobRowsOf(store), qt.HasLen, len(before)+1)
							return
						}
						var notFound *intake.NotFoundError
						c.Assert(errors.As(err, &notFound), qt.IsTrue, qt.Commentf("%v", err))
						c.Assert(errors.As(cancelErr, &notFound), qt.IsTrue, qt.Commentf("%v", cancelErr))
						var refused *intake.RefusedError
						c.Assert(errors.As(submitErr, &refused), qt.IsTrue, qt.Commentf("%v", submitErr))
						c.Assert(refused.Reason, qt.Equals, "id-in-use")
						c.Assert(jobRowsOf(store), qt.DeepEquals, before)
						state, err = host.State(ctx, q, id, test.submitter)
						c.Assert(err, qt.IsNil)
						c.Assert(state, qt.Equals, graph.Queued)
					})
				})
			}
		}
	}
}

// Guards against a cancel mark of another team that keeps out a job whose submission has stored only the row that names its service.
func TestOtherTeamDoesNotCancelHalfStoredJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), t.Context()
		in, store, _ := newIntake()
		submitEarlier(c, in, queue)
		submitEarlier(c, in, movedQueue)
		store.SetFault(failCommits(2, fakes.TableUnavailable))
		c.Assert(intake.OutcomeOf(in.Submit(ctx, movedQueue, jobOf(movedQueue, teamA), teamA)), qt.Equals, intake.Refused)
		store.SetFault(nil)
		before := jobRowsOf(store)
		c.Assert(before, qt.HasLen, 1)
		c.Assert(intake.OutcomeOf(in.Cancel(ctx, movedQueue, id, teamB)), qt.Equals, intake.NotFound)
		c.Assert(jobRowsOf(store), qt.DeepEquals, before)
		c.Assert(in.Submit(ctx, movedQueue, jobOf(movedQueue, teamA), teamA), qt.IsNil)
		c.Assert(numStored(store, "eyes"), qt.Equals, 1)
	})
}

// Guards against a job that another team sees since the row that names its service was stored by an earlier version, and has no team.
func TestTeamIsReadFromJobBehindReference(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), t.Context()
		in, store, _ := newIntake()
		submitEarlier(c, in, queue)
		submitEarlier(c, in, movedQueue)
		reference, err := graph.Reference{Owner: graph.Owner{Queue: movedQueue.Name, Service: movedQueue.Service}}.Encode()
		c.Assert(err, qt.IsNil)
		_, err = store.Apply(table.Tx{Writes: []table.Write{{Key: runner.JobKey("desk", id), Value: reference}}})
		c.Assert(err, qt.IsNil)
		c.Assert(in.Submit(ctx, movedQueue, jobOf(movedQueue, teamA), teamA), qt.IsNil)
		before := jobRowsOf(store)
		c.Assert(before, qt.HasLen, 2)
		_, err = in.State(ctx, movedQueue, id, teamB)
		c.Assert(intake.OutcomeOf(err), qt.Equals, intake.NotFound)
		c.Assert(intake.OutcomeOf(in.Cancel(ctx, movedQueue, id, teamB)), qt.Equals, intake.NotFound)
		c.Assert(intake.OutcomeOf(in.Submit(ctx, movedQueue, jobOf(movedQueue, teamB), teamB)), qt.Equals, intake.Refused)
		c.Assert(jobRowsOf(store), qt.DeepEquals, before)
	})
}

// Guards against the acceptance of a job whose ID is in use by another team, since a holder of an earlier version, which knows no teams, says that the
// job is stored.
func TestHolderDoesNotOverruleTeamOfRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), t.Context()
		in, _, _ := newIntake()
		c.Assert(in.Submit(ctx, queue, jobOf(queue, teamA), teamA), qt.IsNil)
		in.Groups = &holderGroups{service: queue.Service, jobs: []string{id}}
		log, hook := logtest.NewNullLogger()
		in.Log = log
		c.Assert(intake.OutcomeOf(in.Submit(ctx, queue, jobOf(queue, teamB), teamB)), qt.Equals, intake.Refused)
		c.Assert(hook.LastEntry().Data["row"], qt.Equals, "other-team")
		c.Assert(hook.LastEntry().Data["team"], qt.Equals, "b")
	})
}

// Guards against a pending count that is asked for on behalf of another caller, for the queue or for one that its endpoint had before.
func TestPendingIsAskedForCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), t.Context()
		in, _, _ := newIntake()
		submitEarlier(c, in, queue)
		submitEarlier(c, in, movedQueue)
		groups := &callerGroups{}
		in.Groups = groups
		for _, caller := range []queues.Caller{teamA, noTeam, anyone} {
			groups.callers = nil
			_, err := in.Pending(ctx, movedQueue, caller)
			c.Assert(err, qt.IsNil)
			c.Assert(groups.callers, qt.DeepEquals, []queues.Caller{caller, caller})
		}
	})
}

// callerGroups is an intake.Groups that notes for whom pending jobs are counted.
type callerGroups struct {
	noGroups
	callers []queues.Caller
}

// Pending implements intake.Groups.
func (g *callerGroups) Pending(_ context.Context, _, _ string, caller queues.Caller) (int, bool) {
	g.callers = append(g.callers, caller)
	return 0, true
}

// Guards against a request that changes the job of another team, or is answered as if that were its own, whatever becomes of its calls to the table.
func TestOtherTeamChangesNothingInAnySequenceOfFaults(t *testing.T) {
	const numFaults = 3
	numSequences := 1
	for range numFaults {
		numSequences *= len(sequenceFaults)
	}
	for _, op := range []string{"submit", "cancel"} {
		for _, q := range []*queues.Queue{queue, movedQueue} {
			for _, earlier := range earlierRequests {
				// Of the job of the other team, its row or a reference must be stored.
				if earlier.queue == nil || earlier.cancelled || len(earlier.commitFaults) > 0 && earlier.commitFaults[0] != fakes.TableOK {
					continue
				}
				t.Run(op+"/"+q.Name+"/"+earlier.name, func(t *testing.T) {
					for n := range numSequences {
						testOtherTeamSequence(t, op, q, earlier, n, numFaults)
					}
				})
			}
		}
	}
}

// testOtherTeamSequence tests the nth sequence of faults of the request's calls to the table; the last fault of a sequence repeats.
func testOtherTeamSequence(t *testing.T, op string, q *queues.Queue, earlier earlierRequest, n, numFaults int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), t.Context()
		in, store, _ := newIntake()
		for _, each := range []*queues.Queue{queue, movedQueue, q} {
			submitEarlier(c, in, each)
		}
		host, _ := newHost(store)
		earlier.prepare(host, store, teamA)
		before := jobRowsOf(store)
		c.Assert(len(before) > 0, qt.IsTrue)
		calls := 0
		store.SetFault(func(string) fakes.TableFault {
			i := n
			for range min(calls, numFaults-1) {
				i /= len(sequenceFaults)
			}
			calls++
			return sequenceFaults[i%len(sequenceFaults)].fault
		})
		var err error
		if op == "submit" {
			err = in.Submit(ctx, q, jobOf(q, teamB), teamB)
		} else {
			err = in.Cancel(ctx, q, id, teamB)
		}
		store.SetFault(nil)
		time.Sleep(lateCommitsDone)
		if intake.OutcomeOf(err) == intake.Done {
			t.Errorf("sequence %d: done", n)
		}
		for key, row := range jobRowsOf(store) {
			ref, err := graph.DecodeReference(row.Value)
			if key.Name != id || err != nil || ref.Team != teamA.Team {
				t.Errorf("sequence %d: row %v is %s", n, key, row.Value)
			}
			if old, ok := before[key]; ok && old.Version != row.Version {
				t.Errorf("sequence %d: row %v was written again", n, key)
			}
		}
	})
}
