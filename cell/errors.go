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

func isRejection(err error, reason order.RejectReason) bool {
	var rejected *order.RejectedError
	return errors.As(err, &rejected) && rejected.Reason == reason
}

// Fenced reports whether a worker has seen a higher token than this scheduler's.
func Fenced(err error) bool { return isRejection(err, order.RejectFenced) }
