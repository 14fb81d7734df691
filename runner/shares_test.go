package runner_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/quota"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
	"github.com/corianderdrift/corianderdrift/unit"
)

const teamName = "red"

// teamGroups are two groups with workers of their own, whose jobs are of one team with a cap.
type teamGroups struct {
	c       *qt.C
	groups  []*cluster
	workers *fakes.WorkerSet
	store   *fakes.Table
	configs *queues.Store
	// limit is the cap that the starts are checked against.
	limit   unit.Size
	version uint64
}

// newTeamGroups returns two groups that share a cap of some cores, each with numWorkers workers of 16 cores.
func newTeamGroups(t *testing.T, numWorkers int, capCores int64) *teamGroups {
	t.Helper()
	g := &teamGroups{c: qt.New(t), configs: &queues.Store{}}
	for i := range 2 {
		s := newCluster(t, 0, unit.Size{})
		s.service = []string{service, "second"}[i]
		s.epoch.Group, s.team = s.service, teamName
		if i == 0 {
			g.store, g.workers = s.store, s.workers
		}
		s.store, s.workers, s.orders, s.configs = g.store, g.workers, g.workers, g.configs
		for n := range numWorkers {
			w := s.workers.Add(order.Worker{ID: fmt.Sprintf("%s-%d", s.service, n), Service: s.service, Capacity: bigWorker})
			s.registry.workers = append(s.registry.workers, w)
		}
		g.groups = append(g.groups, s)
	}
	g.workers.TeamOf = func(string) (string, unit.Size) { return teamName, g.limit }
	g.setCap(capCores)
	return g
}

// setCap installs a configuration with another cap.
func (g *teamGroups) setCap(capCores int64) {
	g.version++
	team := queues.Team{Name: teamName, Cap: unit.Size{CPUMilli: 1000 * capCores}}
	g.limit = team.Cap
	g.configs.Install(&queues.Config{
		Version: g.version, Queues: []queues.Queue{{Name: queue, Service: service}},
		Services: []queues.Service{{Name: service}, {Name: "second"}}, Teams: []queues.Team{team},
	})
}

// used returns how many cores the team uses in all groups.
func (g *teamGroups) used() int64 {
	used, _ := g.workers.TeamUse(teamName)
	return used.CPUMilli / 1000
}

// shares returns the stored entries of the team.
func (g *teamGroups) shares() map[string]quota.GroupShare {
	row, ok := g.store.Get(table.Key{Table: runner.TableShares, Partition: "shares", Name: teamName})
	if !ok {
		return nil
	}
	var shares quota.TeamShares
	g.c.Assert(json.Unmarshal(row.Value, &shares), qt.IsNil)
	return shares.Groups
}

// shareVersion returns the version of the team's row.
func (g *teamGroups) shareVersion() uint64 {
	row, _ := g.store.Get(table.Key{Table: runner.TableShares, Partition: "shares", Name: teamName})
	return row.Version
}

func (g *teamGroups) assertNoFaults() {
	g.c.Helper()
	g.c.Assert(g.workers.Violations(), qt.HasLen, 0)
}

// average returns the average use over a period, in cores.
func (g *teamGroups) average(period time.Duration) float64 {
	sum, n := 0.0, 0
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		sum += float64(g.used())
		n++
	}
	return sum / float64(n)
}

// Guards against groups that together run more than a team's cap, and against a cap that is left idle although tasks wait.
func TestGroupsShareCapOfTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTeamGroups(t, 4, 40)
		g.workers.Outcome = fixedDuration(500 * time.Millisecond)
		for i, s := range g.groups {
			_, stop := s.runner()
			defer stop()
			s.submit(fmt.Sprintf("j%d", i), graph.Step{Count: 400, Size: cores(2)})
		}
		time.Sleep(2 * time.Second)
		average := g.average(4 * time.Second)
		g.c.Check(average > 34, qt.IsTrue, qt.Commentf("%.1f of 40 cores in use; shares %v", average, g.shares()))
		g.assertNoFaults()
	})
}

// Guards against a group that keeps the share that it does not use while another group needs it.
func TestUnusedShareMovesToOtherGroup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTeamGroups(t, 4, 40)
		g.workers.Outcome = fixedDuration(300 * time.Millisecond)
		for _, s := range g.groups {
			_, stop := s.runner()
			defer stop()
		}
		time.Sleep(time.Second)
		for round := range 4 {
			s := g.groups[round%2]
			s.submit(fmt.Sprintf("j%d", round), graph.Step{Count: 200, Size: cores(2)})
			time.Sleep(1500 * time.Millisecond)
			average := g.average(600 * time.Millisecond)
			g.c.Check(average > 34, qt.IsTrue, qt.Commentf("round %d: %.1f of 40 cores in use; shares %v", round, average, g.shares()))
			time.Sleep(3 * time.Second)
		}
		g.assertNoFaults()
	})
}

// Guards against a first start that waits for a commit: the floor share is taken at the take-over.
func TestFirstJobOfTeamDoesNotWaitForCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTeamGroups(t, 2, 40)
		g.workers.Outcome = fixedDuration(100 * time.Millisecond)
		s := g.groups[0]
		r, stop := s.runner()
		defer stop()
		time.Sleep(time.Second)
		before := g.shareVersion()
		s.submit("j", graph.Step{Count: 4, Size: cores(2)})
		for g.used() < 8 {
			time.Sleep(time.Millisecond)
		}
		g.c.Check(g.shareVersion(), qt.Equals, before)
		s.awaitState(r, "j", graph.Completed, time.Second)
		g.assertNoFaults()
	})
}

// Guards against rows where no team has a cap.
func TestNoSharesWithoutCaps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTeamGroups(t, 2, 0)
		s := g.groups[0]
		r, stop := s.runner()
		defer stop()
		s.submit("j", graph.Step{Count: 4, Size: cores(2)})
		s.awaitState(r, "j", graph.Completed, 3*time.Second)
		page, err := g.store.Read(context.Background(), table.Range{Table: runner.TableShares, Partition: "shares"})
		g.c.Assert(err, qt.IsNil)
		g.c.Check(page.Rows, qt.HasLen, 0)
	})
}

// Guards against a holder that goes on after a later one has written its token into the group's entry.
func TestHigherTokenInSharesEndsHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTeamGroups(t, 2, 40)
		s := g.groups[0]
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		epoch, err := elect.Acquire(ctx, s.store, s.epoch, elect.Candidate{Name: "host"})
		g.c.Assert(err, qt.IsNil)
		log := logrus.New()
		log.SetOutput(io.Discard)
		r := runner.New(runner.Config{
			Epoch: epoch, Store: s.store, Workers: s.orders, Registry: s.registry, Advisors: s.advisor, Queues: s.configs,
			Settings: cell.Settings{Lease: lease, RunsPerToken: 1000}, SinceBoot: s.sinceBoot, Log: log,
		})
		done := make(chan error, 1)
		go func() { done <- r.Run(ctx, s.sinceBoot()) }()
		time.Sleep(time.Second)
		entry := g.shares()[service]
		g.c.Assert(entry.Token, qt.Equals, epoch.Token)
		entry.Token++
		raw, err := json.Marshal(quota.TeamShares{Groups: map[string]quota.GroupShare{service: entry}})
		g.c.Assert(err, qt.IsNil)
		key := table.Key{Table: runner.TableShares, Partition: "shares", Name: teamName}
		_, err = g.store.Apply(table.Tx{Writes: []table.Write{{Key: key, Value: raw}}})
		g.c.Assert(err, qt.IsNil)
		var lost *elect.LostError
		g.c.Check(errors.As(<-done, &lost), qt.IsTrue)
	})
}

// Guards against a row that can't be decoded and is overwritten, so that the shares of the other groups are lost, and against one that holds back
// the other teams.
func TestUnreadableRowIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTeamGroups(t, 2, 40)
		key := table.Key{Table: runner.TableShares, Partition: "shares", Name: teamName}
		_, err := g.store.Apply(table.Tx{Writes: []table.Write{{Key: key, Value: []byte("{")}}})
		g.c.Assert(err, qt.IsNil)
		s := g.groups[0]
		r, stop := s.runner()
		defer stop()
		s.submit("j", graph.Step{Count: 4, Size: cores(2)})
		s.team = ""
		s.submit("k", graph.Step{Count: 4, Size: cores(2)})
		s.awaitState(r, "k", graph.Completed, 3*time.Second)
		time.Sleep(3 * time.Second)
		row, _ := g.store.Get(key)
		g.c.Check(string(row.Value), qt.Equals, "{")
		_, err = g.store.Apply(table.Tx{Removes: []table.Key{key}})
		g.c.Assert(err, qt.IsNil)
		s.awaitState(r, "j", graph.Completed, 3*time.Second)
	})
}

// Guards against tasks that wait for the table although their group has a share.
func TestShareIsUsedWhileTableIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newTeamGroups(t, 2, 40)
		g.workers.Outcome = fixedDuration(400 * time.Millisecond)
		s := g.groups[0]
		_, stop := s.runner()
		defer stop()
		s.submit("j", graph.Step{Count: 400, Size: cores(2)})
		time.Sleep(2 * time.Second)
		before := g.average(time.Second)
		g.store.SetFault(func(string) fakes.TableFault { return fakes.TableUnavailable })
		during := g.average(2 * time.Second)
		g.c.Check(during > before/2, qt.IsTrue, qt.Commentf("%.1f cores in use, %.1f before", during, before))
		g.store.SetFault(nil)
		g.assertNoFaults()
	})
}
