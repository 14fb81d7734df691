package cell

import (
	"errors"

	"github.com/corianderdrift/corianderdrift/order"
)

// provesNotExecuted reports whether an error proves that the attempt to send an order that it answers was not carried out; it
// says nothing about other attempts to send the same order.
func provesNotExecuted(err error) bool {
	var rejected *order.RejectedError
	var busy *order.BusyError
	var gone *order.GoneError
	var notSent *order.NotSentError
	return errors.As(err, &rejected) || errors.As(err, &busy) || errors.As(err, &gone) || errors.As(err, &notSent)
}

// FencesRun reports whether the answer to a stop proves that its worker no longer starts the run, which a rejection does only if the
// run was stopped there, or has ended there, before.
func FencesRun(err error) bool { return err == nil || isRejection(err, order.RejectStale) }

func isRejection(err error, reason order.RejectReason) bool {
	var rejected *order.RejectedError
	return errors.As(err, &rejected) && rejected.Reason == reason
}

// Fenced reports whether a worker has seen a higher token than this scheduler's.
func Fenced(err error) bool { return isRejection(err, order.RejectFenced) }
