package emul_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/emul"
)

// withTeams returns a scenario whose jobs a number of teams of equal weight send. A team may send a fifth more than its share before its rate is
// exceeded.
func withTeams(s emul.Scenario, n int) emul.Scenario {
	rate := 0.0
	for i := range s.Classes {
		rate += s.Classes[i].Rate
	}
	for i := range n {
		s.Teams = append(s.Teams, emul.Team{Name: fmt.Sprint("t", i), Weight: 1.2 * rate / float64(n), Share: 1 / float64(n)})
	}
	return s
}

// earnedByOthers returns which share of the worth of their jobs all teams but the first one earn.
func earnedByOthers(r *emul.Result) float64 {
	owed, earned := 0.0, 0.0
	for _, t := range r.Teams[1:] {
		owed, earned = owed+t.Owed, earned+t.Earned
	}
	return earned / owed
}

// teamSeeds is how many seeds the teams' loads are played with: the worth of one play depends much on a few large gangs.
const teamSeeds = 4

// teamsLoad is a load that ten teams send equally.
func teamsLoad(seed uint64) emul.Scenario { return withTeams(mixedLoad(seed).Scaled(0.75), 10) }

// usualShare is what all teams but the first one earn on average if none sends more than usual.
var usualShare = sync.OnceValue(func() float64 {
	sum := 0.0
	for seed := range uint64(teamSeeds) {
		r := emul.Play(teamsLoad(seed + 1))
		sum += earnedByOthers(&r)
	}
	return sum / teamSeeds
})

// Guards against a team that sends many times its usual load at the expense of the other teams.
func TestHotTeamCostsOthersNothing(t *testing.T) {
	for _, load := range []struct{ name, queue string }{{"all queues", ""}, {"gangs", "gangs"}, {"batches", "batches"}, {"short jobs", "short"}} {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			hot := 0.0
			for seed := range uint64(teamSeeds) {
				s := teamsLoad(seed + 1)
				s.Bursts = []emul.Burst{{Team: "t0", Queue: load.queue, At: 4 * time.Second, For: 14 * time.Second, Factor: 10}}
				r := emul.Play(s)
				hot += earnedByOthers(&r) / teamSeeds
			}
			qt.Check(t, hot >= 0.95*usualShare(), qt.IsTrue, qt.Commentf("the other teams earn %.3f, and %.3f without the load", hot, usualShare()))
		})
	}
}
