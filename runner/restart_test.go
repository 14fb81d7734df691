package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// An idle worker that has restarted as another kind, and is listed as it was before, must not get work by its old entry.
func TestIdleWorkerThatChangedGetsNoWorkByItsOldEntry(t *testing.T) {
	for _, test := range []struct {
		name   string
		change func(w *order.Worker)
		step   graph.Step
	}{
		{"less capacity", func(w *order.Worker) { w.Capacity.CPUMilli = 8000 }, graph.Step{Count: 4, Size: cores(4)}},
		{"other label", func(w *order.Worker) { w.Labels = []string{"kind1"} }, graph.Step{Count: 4, Size: cores(4), Label: "kind0"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newCluster(t, 3, bigWorker)
				s.workers.Outcome = fixedDuration(time.Second)
				r, stop := s.runner()
				defer stop()
				time.Sleep(time.Second)
				s.workers.TakeDown("w0")
				time.Sleep(time.Second)
				s.registry.replaceLater(s.workers.Restart("w0", test.change))
				time.Sleep(100 * time.Millisecond)
				s.submit("00000000000000aa", test.step)
				s.awaitState(r, "00000000000000aa", graph.Completed, 20*time.Second)
				s.assertNoFaults()
			})
		})
	}
}
