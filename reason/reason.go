package reason

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome says what is known about work that has no whole answer.
type Outcome string

// The outcomes that a caller can be told.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Failed  Outcome = "failed"
)

// Reason is the bounded label of a refusal, retry or failure.
type Reason string

// The reasons, in kebab case as they stand in answers and counters.
const (
	BadRequest          Reason = "bad-request"
	BodyTooLarge        Reason = "body-too-large"
	NoSuchEntry         Reason = "no-such-entry"
	NoSuchJob           Reason = "no-such-job"
	NoSuchWorker        Reason = "no-such-worker"
	NoSuchTask          Reason = "no-such-task"
	NotAllowed          Reason = "not-allowed"
	NoCatalogue         Reason = "no-catalogue"
	NeedsKey            Reason = "needs-idempotency-key"
	WrongClass          Reason = "wrong-class"
	TooLarge            Reason = "too-large-for-any-worker"
	NoWorkers           Reason = "no-workers"
	DeadlinePassed      Reason = "deadline-passed"
	DeadlineUnreachable Reason = "deadline-unreachable"
	QueueFull           Reason = "queue-full"
	OverLimit           Reason = "over-owner-limit"
	OverQuota           Reason = "over-quota"
	Stopping            Reason = "stopping"
	Cancelled           Reason = "cancelled"
	CallerLeft          Reason = "caller-left"
	KeyInUse            Reason = "key-in-use"
	KeyReused           Reason = "key-reused-for-other-work"
	FirstRunUnknown     Reason = "first-run-unknown"
	StoreUnavailable    Reason = "store-unavailable"
	PeerUnreachable     Reason = "peer-unreachable"
	PeerSilent          Reason = "peer-silent"
	WorkerUnreachable   Reason = "worker-unreachable"
	WorkerSilent        Reason = "worker-silent"
	WorkerLost          Reason = "worker-lost"
	WorkerRefused       Reason = "worker-refused"
	WorkerLeaving       Reason = "worker-leaving"
	LeaseLost           Reason = "lease-lost"
	TaskFailed          Reason = "task-failed"
	TaskStopped         Reason = "task-stopped"
	FailsEverywhere     Reason = "fails-everywhere"
	EditConflict        Reason = "edit-conflict"
	Preempted           Reason = "preempted"
	RetryBudget         Reason = "retry-budget-spent"
	Internal            Reason = "internal"
)

// Refusal is an error that tells a caller what is known about its work and why.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
	Err        error
}

// Error prints outcome, reason and detail.
func (r *Refusal) Error() string {
	text := fmt.Sprintf("%s: %s", r.Outcome, r.Reason)
	if r.Detail != "" {
		text += ": " + r.Detail
	}
	if r.Err != nil {
		text += ": " + r.Err.Error()
	}
	return text
}

// Unwrap returns the cause, if one is known.
func (r *Refusal) Unwrap() error { return r.Err }

// Refuse returns a Refusal for work that has not run and can't run later.
func Refuse(why Reason, format string, args ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: why, Detail: fmt.Sprintf(format, args...)}
}

// Uncertain returns a Refusal for work that may have run.
func Uncertain(why Reason, format string, args ...any) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: why, Detail: fmt.Sprintf(format, args...)}
}

// Fail returns a Refusal for work that ran and failed.
func Fail(why Reason, format string, args ...any) *Refusal {
	return &Refusal{Outcome: Failed, Reason: why, Detail: fmt.Sprintf(format, args...)}
}

// From finds the Refusal in err, or wraps err as one whose outcome is unknown.
func From(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Outcome: Unknown, Reason: Internal, Err: err}
}

// Is reports whether err carries a Refusal for the reason why.
func Is(err error, why Reason) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Reason == why
}

// Status returns the HTTP status code that goes with the refusal.
func (r *Refusal) Status() int {
	if status, ok := statuses[r.Reason]; ok {
		return status
	}
	switch r.Outcome {
	case Failed:
		return http.StatusBadGateway
	case Unknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

var statuses = map[Reason]int{
	BadRequest:      http.StatusBadRequest,
	BodyTooLarge:    http.StatusRequestEntityTooLarge,
	NoSuchEntry:     http.StatusNotFound,
	NoSuchJob:       http.StatusNotFound,
	NoSuchWorker:    http.StatusNotFound,
	NotAllowed:      http.StatusForbidden,
	NeedsKey:        http.StatusBadRequest,
	WrongClass:      http.StatusBadRequest,
	TooLarge:        http.StatusUnprocessableEntity,
	QueueFull:       http.StatusTooManyRequests,
	OverLimit:       http.StatusTooManyRequests,
	KeyInUse:        http.StatusConflict,
	KeyReused:       http.StatusUnprocessableEntity,
	FirstRunUnknown: http.StatusConflict,
	EditConflict:    http.StatusConflict,
}
