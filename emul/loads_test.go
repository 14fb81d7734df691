package emul_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/emul"
)

// load is a named load, and the least shares of what is owed that all jobs, and the urgent ones, have to earn.
type load struct {
	name           string
	change         func(s *emul.Scenario)
	earned, urgent float64
}

// loads are the loads of docs/design/hard-load.md that one group can meet. The least shares lie between what was earned before and with the choice by
// value and the reservations of whole gangs, or, where these made no difference, a little below.
var loads = []load{
	{"burst of short jobs", func(s *emul.Scenario) {
		s.Bursts = []emul.Burst{{Queue: "short", At: 6 * time.Second, For: 6 * time.Second, Factor: 4}}
	}, 0.875, 0.84},
	{"burst of batches", func(s *emul.Scenario) {
		s.Bursts = []emul.Burst{{Queue: "batches", At: 6 * time.Second, For: 6 * time.Second, Factor: 4}}
	}, 0.915, 0.95},
	{"burst of large jobs", func(s *emul.Scenario) {
		s.Classes[gangs].Width = emul.Spread{Mean: 24, Sigma: 0.3, Max: 40}
		s.Classes[gangs].Rate /= 2
	}, 0.96, 0.95},
	{"half of the workers gone", func(s *emul.Scenario) { s.Losses = []emul.Loss{{At: 8 * time.Second, Notice: time.Second, Share: 0.5}} }, 0.68, 0.95},
	{"backlog after an outage", func(s *emul.Scenario) { s.Pauses = []emul.Pause{{At: 6 * time.Second, For: 5 * time.Second}} }, 0.87, 0.75},
	{"stragglers", func(s *emul.Scenario) {
		for i := range s.Classes {
			s.Classes[i].TailShare, s.Classes[i].TailFactor = 0.03, 7
		}
	}, 0.6, 0.95},
	{"uneven speeds", func(s *emul.Scenario) { s.Speeds = []float64{0.55, 1.2, 1.2, 1} }, 0.94, 0.9},
	{"estimates too low", func(s *emul.Scenario) { setEstimateFactor(s, 0.4) }, 0.95, 0.95},
	{"estimates too high", func(s *emul.Scenario) { setEstimateFactor(s, 2.5) }, 0.95, 0.95},
}

func setEstimateFactor(s *emul.Scenario, f float64) {
	for i := range s.Classes {
		s.Classes[i].EstimateFactor = f
	}
}

// Guards against a load that makes all jobs late, or the urgent ones, or starves a kind of jobs: each kind has to earn at least half as large a share as
// the whole.
func TestLoads(t *testing.T) {
	for _, l := range loads {
		t.Run(l.name, func(t *testing.T) {
			t.Parallel()
			s := mixedLoad(1).Scaled(0.87)
			l.change(&s)
			r := emul.Play(s)
			qt.Check(t, r.Overcommits, qt.Equals, 0)
			qt.Check(t, r.Earned() >= l.earned*r.Bound, qt.IsTrue, qt.Commentf("%v", &r))
			urgent := r.Classes[short]
			qt.Check(t, urgent.Earned >= l.urgent*urgent.Owed, qt.IsTrue, qt.Commentf("%v", &r))
			for _, c := range r.Classes {
				qt.Check(t, c.Earned/c.Owed >= 0.5*r.Earned()/r.Owed(), qt.IsTrue, qt.Commentf("%s: %v", c.Queue, &r))
			}
		})
	}
}
