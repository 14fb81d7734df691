package runner_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Load: quick jobs of one task, while a part of the orders to workers that are alive gets lost. Guards against jobs that are late as a lost poll
// hides the ends on its worker for 2 s, or as a lost start is repeated only after 0.7 s. The bound is what callers of quick jobs expect: 1.5 times the
// run time and 300 ms.
func TestQuickJobsAreInTimeWhileOrdersGetLost(t *testing.T) {
	const runTime = 500 * time.Millisecond
	const objective = 3*runTime/2 + 300*time.Millisecond
	for _, op := range []string{fakes.OpPoll, fakes.OpStart} {
		t.Run(op, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster(t, 6, bigWorker)
				s.workers.Outcome = fixedDuration(runTime)
				r, stop := s.runner()
				defer stop()
				time.Sleep(time.Second)
				var lose atomic.Bool
				s.workers.SetFault(func(call fakes.OrderCall) fakes.OrderFault {
					if call.Op == op && lose.Swap(false) {
						return fakes.OrderFault{Kind: fakes.OrderDropped}
					}
					return fakes.OrderFault{}
				})
				for i := range 12 {
					lose.Store(op == fakes.OpStart)
					began := time.Now()
					id := fmt.Sprintf("quick%d", i)
					s.submit(id, graph.Step{Count: 1, Size: unit.Size{CPUMilli: 1000}, Estimate: runTime})
					// The poll that the worker would answer at the end of the run.
					time.Sleep(runTime / 2)
					lose.Store(op == fakes.OpPoll)
					s.awaitState(r, id, graph.Completed, 5*time.Second)
					// Until enough orders were lost to tell that from a slow worker, a lost poll costs more.
					if took := time.Since(began); i >= 4 && took > objective {
						s.c.Errorf("job %d took %v, objective %v", i, took, objective)
					}
					time.Sleep(200 * time.Millisecond)
				}
				s.assertNoFaults()
			})
		})
	}
}
