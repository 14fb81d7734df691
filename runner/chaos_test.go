package runner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/runner"
)

// chaosSeeds are played in every run; a seed that ever failed stays in the list.
var chaosSeeds = []uint64{
	// 4, 5, 7, 19 and 22: an old life's acknowledgement was sent to the new life of a worker, which forgot ends.
	// 6 and 12: a first mend of that looked at a new life without pause.
	1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21, 22, 23, 24,
	// A start that was sent to an old life was carried out by the new one, and its run was taken for lost.
	270, 302, 336,
	// An acknowledgement reached a new life that had already carried out and ended starts sent since the last report; in
	// 3495 it was decided on before a pause.
	3231, 3495,
	// A worker that was handed over, and had started anew before, was not taken for listed.
	1480,
	// A runner that was replaced before it knew anything handed over that nothing runs.
	5046,
}

// chaos is a site to which things happen at random.
type chaos struct {
	*site
	rng *rand.Rand
	// hand decides, apart from rng, whether a runner that ends tells the next one what it could not reach.
	hand *rand.Rand
	run  *runner.Runner
	kill func()
	cut  map[string]bool
	jobs int
}

// Runners die, workers are cut off, crash or lose answers, and the table refuses, hangs and loses answers, together and in
// series. Whatever happens, no task runs twice, no worker is overcommitted, and every job is carried to its end.
func TestRandomFaults(t *testing.T) {
	for _, seed := range chaosSeeds {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &chaos{site: newSite(t, 5, big), rng: rand.New(rand.NewPCG(seed, 0)), hand: rand.New(rand.NewPCG(seed, 1)), cut: map[string]bool{}}
				s.crew.Work = s.work
				s.run, s.kill = s.site.run()
				for range 60 {
					s.step()
					time.Sleep(time.Duration(s.rng.IntN(900)) * time.Millisecond)
				}
				s.heal()
				for i := range s.jobs {
					s.await(s.run, jobName(i), graph.Completed, 3*time.Minute)
				}
				s.kill()
				s.sound()
			})
		})
	}
}

func jobName(i int) string { return fmt.Sprintf("%016x", i+1) }

// work makes a run's time and end depend on the run alone, so that every job can be done.
func (s *chaos) work(_ string, task graph.TaskID, run int) (time.Duration, order.EndKind) {
	took := time.Duration(50+(task.Index*37+run*91+task.Step*53)%2500) * time.Millisecond
	return took, order.EndDone
}

func (s *chaos) step() {
	worker := fmt.Sprintf("w%d", s.rng.IntN(5))
	switch s.rng.IntN(9) {
	case 0:
		s.replace()
	case 1:
		s.cut[worker] = !s.cut[worker]
		s.crew.Cut(worker, s.cut[worker])
	case 2:
		if !s.cut[worker] {
			s.crew.Crash(worker)
		}
	case 3:
		s.crew.Deafen(worker)
	case 4:
		s.faults()
	case 5:
		s.rows.Fail(nil)
	case 6:
		s.rows.Forget()
	default:
		s.rows.Fail(nil)
		s.submit(jobName(s.jobs), s.steps()...)
		s.jobs++
	}
}

// faults makes the table misbehave for the runner.
func (s *chaos) faults() {
	own := rand.New(rand.NewPCG(s.rng.Uint64(), 0))
	kind := fakes.RowsFault(1 + own.IntN(3))
	share := own.Float64()
	s.rows.Fail(func(string) fakes.RowsFault {
		if own.Float64() < share {
			return kind
		}
		return fakes.RowsOK
	})
}

func (s *chaos) steps() []graph.Step {
	steps := []graph.Step{{Count: 1 + s.rng.IntN(8), Size: cores(int64(1 + s.rng.IntN(6)))}}
	if s.rng.IntN(2) == 0 {
		steps = append(steps, graph.Step{Count: 1 + s.rng.IntN(4), Size: cores(2), After: []int{0}, MaxPerWorker: 2})
	}
	if s.rng.IntN(3) == 0 {
		steps = append(steps, graph.Step{Count: 3, Size: cores(4), Gang: true})
	}
	if s.rng.IntN(3) == 0 {
		steps[0].Copies = true
	}
	return steps
}

func (s *chaos) heal() {
	s.rows.Fail(nil)
	for w := range s.cut {
		s.crew.Cut(w, false)
	}
	s.replace()
}

// replace kills the runner and starts the next one; the taking of the lease itself is served.
func (s *chaos) replace() {
	s.kill()
	switch s.hand.IntN(4) {
	case 0:
		s.told(s.run)
	case 1, 2:
		s.handsOver(s.run)
	}
	s.rows.Fail(nil)
	s.run, s.kill = s.site.run()
}
