package peers

import (
	"time"

	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/reason"
)

// EncodeRefusal encodes an error as a message; no error is a nil message.
func EncodeRefusal(err error) *peerpb.Refusal {
	if err == nil {
		return nil
	}
	r := reason.From(err)
	detail := r.Detail
	if r.Err != nil {
		detail += " " + r.Err.Error()
	}
	return &peerpb.Refusal{
		Outcome: string(r.Outcome), Reason: string(r.Reason), Detail: detail,
		RetryAfterMicros: r.RetryAfter.Microseconds(),
	}
}

// DecodeRefusal decodes an error from its message; a nil message is no error.
func DecodeRefusal(m *peerpb.Refusal) error {
	if m == nil {
		return nil
	}
	outcome := reason.Outcome(m.GetOutcome())
	if outcome != reason.NotRun && outcome != reason.Failed {
		outcome = reason.Unknown
	}
	return &reason.Refusal{
		Outcome: outcome, Reason: reason.Reason(m.GetReason()), Detail: m.GetDetail(),
		RetryAfter: time.Duration(m.GetRetryAfterMicros()) * time.Microsecond,
	}
}
