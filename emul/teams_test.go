package emul_test

import (
	"fmt"
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

// Guards against a team that sends many times its usual load at the expense of the other teams.
func TestHotTeamCostsOthersNothing(t *testing.T) {
	const seeds = 4
	for _, load := range []struct{ name, queue string }{{"all queues", ""}, {"gangs", "gangs"}, {"batches", "batches"}, {"short jobs", "short"}} {
		t.Run(load.name, func(t *testing.T) {
			t.Parallel()
			usual, hot := 0.0, 0.0
			for seed := range uint64(seeds) {
				s := withTeams(mixedLoad(seed+1).Scaled(0.75), 10)
				without := emul.Play(s)
				s.Bursts = []emul.Burst{{Team: "t0", Queue: load.queue, At: 4 * time.Second, For: 14 * time.Second, Factor: 10}}
				with := emul.Play(s)
				usual, hot = usual+earnedByOthers(&without)/seeds, hot+earnedByOthers(&with)/seeds
			}
			qt.Check(t, hot >= 0.95*usual, qt.IsTrue, qt.Commentf("the other teams earn %.3f, and %.3f without the load", hot, usual))
		})
	}
}
