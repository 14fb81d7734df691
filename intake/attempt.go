package intake

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/queues"
)

// Outcome is what the answer to a request tells its caller.
type Outcome string

// The outcomes of requests.
const (
	Done Outcome = "done"
	// Refused means that the request had no effect and will have none.
	Refused  Outcome = "refused"
	NotFound Outcome = "not-found"
	// Unknown means that the request may have had an effect, or may still have one.
	Unknown Outcome = "unknown"
)

// OutcomeOf returns the outcome that the error of a request stands for.
func OutcomeOf(err error) Outcome {
	var unknown *UnknownError
	var refused *RefusedError
	var notFound *NotFoundError
	switch {
	case err == nil:
		return Done
	case errors.As(err, &unknown):
		return Unknown
	case errors.As(err, &refused):
		return Refused
	case errors.As(err, &notFound):
		return NotFound
	default:
		return Unknown
	}
}

// rowState is what a request to submit a job knows of the job's row.
type rowState string

const (
	rowUnread  rowState = "unread"
	rowCreated rowState = "created"
	// rowConflict means that the row, or the mark of a cancelled job, was there when the request tried to create it.
	rowConflict rowState = "conflict"
	rowFound    rowState = "found"
	rowMissing  rowState = "missing"
	// rowReported means that the host that runs the group knows the job.
	rowReported rowState = "reported"
	// rowOther means that the row is that of another queue's job.
	rowOther rowState = "other-queue"
	// rowOtherTeam means that the row is that of another team's job.
	rowOtherTeam rowState = "other-team"
)

// attempt records what a request to submit or cancel a job has sent to the table, and learned from it.
type attempt struct {
	startedAt time.Time
	caller    queues.Caller
	// commits counts the transactions about the job, unanswered those without a usable answer: they may have taken effect, or may still do so.
	commits, unanswered int
	// row is empty for a cancelling.
	row rowState
}

// mayHaveEffect reports whether the job, or the mark of its cancelling, may be in the table or still get there, through this request or, where
// a row was met, through an earlier one.
func (a *attempt) mayHaveEffect() bool {
	return a.unanswered > 0 || a.row == rowConflict || a.row == rowFound
}

// settle returns the error of the request, given that of its last step: the refusal of a step says nothing about the steps before.
func (a *attempt) settle(err error) error {
	if OutcomeOf(err) == Refused && a.mayHaveEffect() {
		return &UnknownError{err}
	}
	return err
}

// fields returns the attempt as fields of a log line.
func (a *attempt) fields() logrus.Fields {
	fields := logrus.Fields{
		"commits": a.commits, "unanswered": a.unanswered, "took": time.Since(a.startedAt).Round(time.Millisecond).String(),
	}
	if a.caller.Team != "" {
		fields["team"] = a.caller.Team
	}
	if a.row != "" {
		fields["row"] = string(a.row)
	}
	return fields
}
