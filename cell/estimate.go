package cell

import (
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
)

// newSampleWeight is the weight of a new run time in the moving mean of its kind.
const newSampleWeight = 0.1

// runTimeEstimator holds mean run times by kind of task.
type runTimeEstimator struct {
	means map[string]time.Duration
}

func newRunTimeEstimator() *runTimeEstimator {
	return &runTimeEstimator{means: map[string]time.Duration{}}
}

// estimate returns the expected run time of a task. Declared times may be far off, so the mean of its kind counts half.
func (e *runTimeEstimator) estimate(queue string, s *graph.Step) time.Duration {
	if s.LongRunning {
		return 0
	}
	mean, ok := e.means[taskKind(queue, s)]
	switch {
	case !ok:
		return s.Estimate
	case s.Estimate <= 0:
		return mean
	default:
		return (mean + s.Estimate) / 2
	}
}

// taskKind returns the name of the group of tasks with similar run times: those of an image, or else of a queue.
func taskKind(queue string, s *graph.Step) string {
	if s.Image != "" {
		return "image/" + s.Image
	}
	return "queue/" + queue
}

func (e *runTimeEstimator) observe(queue string, s *graph.Step, runTime time.Duration) {
	kind := taskKind(queue, s)
	old, ok := e.means[kind]
	if !ok {
		e.means[kind] = runTime
		return
	}
	e.means[kind] = old + time.Duration(newSampleWeight*float64(runTime-old))
}
