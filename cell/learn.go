package cell

import (
	"time"

	"github.com/corianderdrift/corianderdrift/graph"
)

// learnWeight is the weight of a new run time in the moving mean of its image.
const learnWeight = 0.2

// learned holds mean run times by image.
type learned struct {
	mean map[string]time.Duration
}

func newLearned() *learned { return &learned{mean: map[string]time.Duration{}} }

func (l *learned) expected(s *graph.Step) time.Duration {
	if s.Lasting {
		return 0
	}
	if d, ok := l.mean[s.Image]; ok && s.Image != "" {
		return (d + s.Estimate) / 2
	}
	return s.Estimate
}

func (l *learned) observe(image string, took time.Duration) {
	if image == "" {
		return
	}
	old, ok := l.mean[image]
	if !ok {
		l.mean[image] = took
		return
	}
	l.mean[image] = old + time.Duration(learnWeight*float64(took-old))
}
