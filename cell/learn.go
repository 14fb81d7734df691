package cell

import (
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
)

// learnWeight is the weight of a new run time in the moving mean of its kind.
const learnWeight = 0.1

// learned holds mean run times by kind of task.
type learned struct {
	mean map[string]time.Duration
}

func newLearned() *learned { return &learned{mean: map[string]time.Duration{}} }

// expected returns the likely run time of a task: declared times may be far off, so that what its kind took counts half.
func (l *learned) expected(queue string, s *graph.Step) time.Duration {
	if s.Lasting {
		return 0
	}
	mean, ok := l.mean[kindOf(queue, s)]
	switch {
	case !ok:
		return s.Estimate
	case s.Estimate <= 0:
		return mean
	default:
		return (mean + s.Estimate) / 2
	}
}

// kindOf names the tasks that behave alike: those of an image, or else of a queue.
func kindOf(queue string, s *graph.Step) string {
	if s.Image != "" {
		return "image/" + s.Image
	}
	return "queue/" + queue
}

func (l *learned) observe(queue string, s *graph.Step, took time.Duration) {
	kind := kindOf(queue, s)
	old, ok := l.mean[kind]
	if !ok {
		l.mean[kind] = took
		return
	}
	l.mean[kind] = old + time.Duration(learnWeight*float64(took-old))
}
