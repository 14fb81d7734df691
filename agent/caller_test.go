package agent

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/intake"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

const (
	teamQueue = "checks"
	teamJobID = "00000000000000aa"
)

// groupOf returns a host that runs a group with a job of a team. The lease is too old to tell the job's state.
func groupOf(team string) *Agent {
	holder := newTestAgent("holder")
	r := runner.New(runner.Config{Epoch: elect.Epoch{Group: testService, Token: 1}, Log: holder.log})
	r.Cell().Add(&graph.Job{
		ID: teamJobID, Queue: teamQueue, Service: testService, Team: team, Steps: []graph.Step{{Count: 1}}, MaxAttempts: 1,
	}, nil, 0, time.Now())
	holder.groups.running[testService] = r
	return holder
}

// Guards against a holder that tells another host of jobs that the caller doesn't see, or doesn't tell of those that it sees.
func TestHolderTellsOtherHostsOfVisibleJobsOnly(t *testing.T) {
	for _, test := range []struct {
		name, team string
		caller     queues.Caller
		visible    bool
	}{
		{"own job", "a", queues.Caller{Team: "a"}, true},
		{"job of another team", "a", queues.Caller{Team: "b"}, false},
		{"job of a team, caller without a team", "a", queues.Caller{}, false},
		{"job of a team, configuration without teams", "a", anyone, true},
		{"job without a team", "", queues.Caller{Team: "b"}, true},
		{"job without a team, caller without a team", "", queues.Caller{}, true},
		{"a name beyond ASCII", "t\u00e9am \n", queues.Caller{Team: "t\u00e9am \n"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			holder := groupOf(test.team)
			for _, a := range []*Agent{holder, newAgentBesideHolder(c, &peerServer{a: holder})} {
				stored := a.groups.Stored(t.Context(), testService, teamQueue, teamJobID, test.caller)
				c.Check(stored, qt.Equals, test.visible, qt.Commentf("%s", a.settings.Name))
			}
		})
	}
}

// cellServer answers for a group that is ready.
type cellServer struct {
	cellpb.UnimplementedCellsServer
	cell *cell.Cell
	// earlier says that it does so like a host of an earlier version, which knows no teams.
	earlier bool
}

func (s *cellServer) accept(ctx context.Context) queues.Caller {
	if s.earlier {
		return anyone
	}
	return acceptCaller(ctx)
}

// State implements cellpb.CellsServer.
func (s *cellServer) State(ctx context.Context, r *cellpb.StateRequest) (*cellpb.StateReply, error) {
	state, known := s.cell.State(r.GetJob(), r.GetQueue(), s.accept(ctx))
	return &cellpb.StateReply{Known: known, State: string(state), Stored: known}, nil
}

// Pending implements cellpb.CellsServer.
func (s *cellServer) Pending(ctx context.Context, r *cellpb.PendingRequest) (*cellpb.PendingReply, error) {
	return &cellpb.PendingReply{Known: true, Jobs: int64(s.cell.Pending(r.GetQueue(), s.accept(ctx)))}, nil
}

// Guards against what a holder of an earlier version tells about all teams being shown to one: during a rolling upgrade, the job's row tells its team,
// and nothing tells the pending count of one team. That a job is stored is believed, since a refusal would say that it never runs.
func TestHolderOfEarlierVersionIsNotTrustedWithTeams(t *testing.T) {
	for _, test := range []struct {
		name                    string
		earlier                 bool
		caller                  queues.Caller
		known, stored, canCount bool
	}{
		{"own job", false, queues.Caller{Team: "a"}, true, true, true},
		{"job of another team", false, queues.Caller{Team: "b"}, false, false, true},
		{"earlier version, own job", true, queues.Caller{Team: "a"}, false, true, false},
		{"earlier version, job of another team", true, queues.Caller{Team: "b"}, false, true, false},
		{"earlier version, configuration without teams", true, anyone, true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			group := groupOf("a").groups.localRunner(testService).Cell()
			a := newAgentBesideHolder(c, &cellServer{cell: group, earlier: test.earlier})
			state, known := a.groups.State(t.Context(), testService, teamQueue, teamJobID, test.caller)
			c.Check(known, qt.Equals, test.known)
			if known {
				c.Check(state, qt.Equals, graph.Queued)
			}
			c.Check(a.groups.Stored(t.Context(), testService, teamQueue, teamJobID, test.caller), qt.Equals, test.stored)
			n, counted := a.groups.Pending(t.Context(), testService, teamQueue, test.caller)
			c.Check(counted, qt.Equals, test.canCount)
			if counted {
				c.Check(n == 1, qt.Equals, test.known)
			}
		})
	}
}

// Guards against metrics that grow with the names of teams: only those of the configuration in force have series.
func TestTeamsOfConfigurationBoundMetrics(t *testing.T) {
	c := qt.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := newTestAgent("host")
	a.log, a.queues, a.health = log, &queues.Store{}, table.NewHealth(fakes.NewTable())
	a.metrics = newMetrics(a)
	a.newGuard()
	teams := func(names ...string) (list []queues.Team) {
		for _, name := range names {
			list = append(list, queues.Team{Name: name})
		}
		return list
	}
	// series returns the values of the counters by metric and labels.
	series := func() map[string]float64 {
		families, err := a.metrics.registry.Gather()
		c.Assert(err, qt.IsNil)
		values := map[string]float64{}
		for _, family := range families {
			for _, m := range family.GetMetric() {
				var labels []string
				for _, label := range m.GetLabel() {
					labels = append(labels, label.GetValue())
				}
				if m.GetCounter() != nil {
					values[family.GetName()+" "+strings.Join(labels, " ")] = m.GetCounter().GetValue()
				}
			}
		}
		return values
	}
	const submitted, finished = "corianderdrift_submitted_jobs_total done ", "corianderdrift_finished_jobs_total completed "
	a.countSubmitted("a", intake.Done)
	c.Assert(series(), qt.DeepEquals, map[string]float64{submitted: 1})
	a.installConfig(&queues.Config{Version: 1, Teams: teams("a", "b")})
	for _, team := range []string{"a", "a", "b", "c", ""} {
		a.countSubmitted(team, intake.Done)
		a.countFinished(team, graph.Completed)
	}
	c.Assert(series(), qt.DeepEquals, map[string]float64{
		submitted: 3, submitted + "a": 2, submitted + "b": 1, finished: 2, finished + "a": 2, finished + "b": 1,
	})
	a.installConfig(&queues.Config{Version: 2, Teams: teams("b", "c")})
	a.installConfig(&queues.Config{Version: 1, Teams: teams("a")})
	a.countFinished("a", graph.Completed)
	c.Assert(series(), qt.DeepEquals, map[string]float64{submitted: 3, submitted + "b": 1, finished: 3, finished + "b": 1})
}
