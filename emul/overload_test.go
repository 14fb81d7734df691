package emul_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/emul"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/unit"
)

const (
	gangs = iota
	batches
	short
)

// mixedLoad is a group that many short jobs, batches and gangs share, each of which needs tickets.
func mixedLoad(seed uint64) emul.Scenario {
	return emul.Scenario{
		Seed: seed, Length: 24 * time.Second, Tail: 12 * time.Second, Workers: 120, DataCenters: 3,
		Capacity: unit.Size{CPUMilli: 16000, MemoryMiB: 32768}, ShortHosts: 2, LongHosts: 8,
		Classes: []emul.Class{
			gangs: {
				Queue: "gangs", Priority: 1, Rate: 2.4, Steps: emul.Spread{Mean: 1.2, Sigma: 0.4, Max: 3}, Width: emul.Spread{Mean: 12, Sigma: 0.7, Max: 40},
				Seconds: emul.Spread{Mean: 5, Sigma: 0.5, Max: 12}, Uneven: 0.15, EstimateError: 0.2, CPUMilli: emul.Spread{Mean: 4500, Sigma: 0.4, Max: 7600},
				MemoryMiB: emul.Spread{Mean: 6300, Sigma: 0.5, Max: 13000}, GangShare: 1, CheckpointShare: 0.5, FailShare: 0.005, MaxAttempts: 4, Stretch: 2.2,
				Objective: time.Second, Worth: 13, AllowedShare: 0.3,
				Advice: &queues.Advice{Base: 570 * time.Millisecond, PerWorker: 8 * time.Millisecond, Validity: 2 * time.Second},
			},
			batches: {
				Queue: "batches", Priority: 2, Rate: 4.8, Steps: emul.Spread{Mean: 1.5, Sigma: 0.4, Max: 4}, Width: emul.Spread{Mean: 18, Sigma: 0.7, Max: 60},
				Seconds: emul.Spread{Mean: 2.7, Sigma: 0.5, Max: 7}, Uneven: 0.15, EstimateError: 0.2, CPUMilli: emul.Spread{Mean: 1700, Sigma: 0.45, Max: 5200},
				MemoryMiB: emul.Spread{Mean: 1800, Sigma: 0.6, Max: 5300}, CheckpointShare: 0.8, FailShare: 0.005, MaxAttempts: 4, Stretch: 4,
				Objective: 3 * time.Second, Worth: 3.9, AllowedShare: 0.45,
				Advice: &queues.Advice{Base: 130 * time.Millisecond, PerWorker: 1820 * time.Microsecond, Validity: 2 * time.Second},
			},
			short: {
				Queue: "short", Priority: 0, Rate: 47, Steps: emul.Spread{Mean: 1}, Width: emul.Spread{Mean: 3.2, Sigma: 0.8, Max: 19},
				Seconds: emul.Spread{Mean: 0.64, Sigma: 0.5, Max: 1.6}, Uneven: 0.15, EstimateError: 0.9, CPUMilli: emul.Spread{Mean: 2500, Sigma: 0.45, Max: 7400},
				MemoryMiB: emul.Spread{Mean: 3600, Sigma: 0.6, Max: 11000}, GangShare: 0.3, FailShare: 0.005, MaxAttempts: 3, Stretch: 1.5,
				Objective: 300 * time.Millisecond, Worth: 0.39, AllowedShare: 0.7,
				Advice: &queues.Advice{Base: 9360 * time.Microsecond, PerWorker: 130 * time.Microsecond, Validity: 2 * time.Second},
			},
		},
	}
}

// demands are multiples of the workers' CPU.
var demands = []float64{1, 1.3, 2}

// overloads holds the plays of the mixed load with the demands; several tests check each of them.
var overloads = func() map[float64]func() emul.Result {
	plays := map[float64]func() emul.Result{}
	for _, demand := range demands {
		plays[demand] = sync.OnceValue(func() emul.Result { return emul.Play(mixedLoad(1).Scaled(demand)) })
	}
	return plays
}()

func overload(demand float64) emul.Result { return overloads[demand]() }

// Guards against urgent short jobs that wait behind the calls for advice, the placement or the runs of longer ones.
func TestShortJobsAreInTimeBesideOverload(t *testing.T) {
	for _, demand := range demands {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			t.Parallel()
			r := overload(demand)
			c := r.Classes[short]
			qt.Check(t, c.Earned >= 0.95*c.Owed, qt.IsTrue, qt.Commentf("%v", &r))
			qt.Check(t, r.Overcommits, qt.Equals, 0)
		})
	}
}

// Guards against a kind of jobs that is starved by another: each has to earn at least half as large a share as the whole.
func TestNoClassStarvesInOverload(t *testing.T) {
	for _, demand := range demands {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			t.Parallel()
			r := overload(demand)
			for _, c := range r.Classes {
				qt.Check(t, c.Earned/c.Owed >= 0.5*r.Earned()/r.Owed(), qt.IsTrue, qt.Commentf("%s: %v", c.Queue, &r))
			}
		})
	}
}

// Guards against large gangs that never find room at the same time on workers that they may use.
func TestLargestGangsFindRoom(t *testing.T) {
	var owed, earned, largestOwed, largestEarned float64
	for seed := range uint64(3) {
		r := emul.Play(mixedLoad(seed + 1).Scaled(0.87))
		c := r.Classes[gangs]
		owed, earned = owed+c.Owed, earned+c.Earned
		largestOwed, largestEarned = largestOwed+c.LargestOwed, largestEarned+c.LargestEarned
	}
	qt.Check(t, largestEarned/largestOwed >= 0.5*earned/owed, qt.IsTrue,
		qt.Commentf("the largest tenth earns %.3f, all gangs %.3f", largestEarned/largestOwed, earned/owed))
}

// Guards against a backlog after an outage in which all later jobs are late as well: five seconds after it they have to be in time again.
func TestBacklogAfterPauseDoesNotMakeLaterJobsLate(t *testing.T) {
	const pauseEnd, recovery = 11 * time.Second, 5 * time.Second
	s := mixedLoad(1).Scaled(0.87)
	s.Pauses = []emul.Pause{{At: 6 * time.Second, For: 5 * time.Second}}
	r := emul.Play(s)
	owed, earned := 0.0, 0.0
	for _, w := range r.Windows[(pauseEnd+recovery)/emul.WindowLength:] {
		owed, earned = owed+w.Owed, earned+w.Earned
	}
	without := emul.Play(mixedLoad(1).Scaled(0.87))
	qt.Check(t, earned/owed >= 0.9*without.Earned()/without.Owed(), qt.IsTrue, qt.Commentf("later jobs earn %.3f: %v", earned/owed, &r))
}

// Guards against capacity that stands empty while jobs wait that could earn something: at least 0.95 of what the workers' CPU allows.
func TestWorthEarnedInOverload(t *testing.T) {
	for _, demand := range demands {
		t.Run(fmt.Sprint(demand), func(t *testing.T) {
			t.Parallel()
			r := overload(demand)
			qt.Check(t, r.Earned() >= 0.95*r.Bound, qt.IsTrue, qt.Commentf("%v", &r))
		})
	}
}
