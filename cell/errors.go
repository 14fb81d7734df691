package cell

import (
	"errors"

	"github.com/corianderdrift/corianderdrift/order"
)

// certain reports whether an error proves that an order was not carried out.
func certain(err error) bool {
	var rejected *order.RejectedError
	var busy *order.BusyError
	var gone *order.GoneError
	return errors.As(err, &rejected) || errors.As(err, &busy) || errors.As(err, &gone)
}

func rejectedAs(err error, why order.Reject) bool {
	var rejected *order.RejectedError
	return errors.As(err, &rejected) && rejected.Why == why
}

// Fenced reports whether a worker has seen a higher token than this scheduler's.
func Fenced(err error) bool { return rejectedAs(err, order.RejectFenced) }
