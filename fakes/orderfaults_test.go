package fakes_test

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// An order over a broken connection must not reach its worker, whichever way the connection breaks.
func TestOrdersOverBrokenConnections(t *testing.T) {
	for _, test := range []struct {
		name     string
		kind     fakes.OrderFaultKind
		wantSent bool
	}{
		{"reset", fakes.OrderReset, true},
		{"refused", fakes.OrderRefused, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := newCheckedWorker(c, &graph.Job{ID: jobID, Steps: []graph.Step{{Count: 1}}})
			s.workers.SetFault(func(fakes.OrderCall) fakes.OrderFault { return fakes.OrderFault{Kind: test.kind} })
			_, err := s.workers.Start(t.Context(), &s.w, order.Start{Task: graph.TaskID{StepID: graph.StepID{Job: jobID}}, Run: 1})
			var unanswered *order.UnansweredError
			c.Assert(errors.As(err, &unanswered), qt.Equals, test.wantSent)
			c.Assert(s.workers.NumStarts(), qt.Equals, 0)
		})
	}
}
