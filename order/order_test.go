package order_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/order"
)

// An unanswered order whose cause was the answer to another attempt would be taken for one that was not carried out.
func TestUnansweredOrderHidesOutcomeOfAnotherAttempt(t *testing.T) {
	for _, cause := range []error{
		&order.RejectedError{Reason: order.RejectLate},
		&order.BusyError{Status: 503},
		&order.GoneError{},
		&order.NotSentError{Err: context.DeadlineExceeded},
		fmt.Errorf("second attempt: %w", &order.BusyError{Status: 503}),
	} {
		t.Run(fmt.Sprintf("%T", cause), func(t *testing.T) {
			c := qt.New(t)
			err := error(&order.UnansweredError{Worker: "w", Err: cause})
			var rejected *order.RejectedError
			var busy *order.BusyError
			var gone *order.GoneError
			var notSent *order.NotSentError
			c.Assert(errors.As(err, &rejected), qt.IsFalse)
			c.Assert(errors.As(err, &busy), qt.IsFalse)
			c.Assert(errors.As(err, &gone), qt.IsFalse)
			c.Assert(errors.As(err, &notSent), qt.IsFalse)
			c.Assert(err, qt.ErrorMatches, "worker w: .+")
		})
	}
	c := qt.New(t)
	c.Assert(&order.UnansweredError{Err: context.DeadlineExceeded}, qt.ErrorIs, context.DeadlineExceeded)
}
