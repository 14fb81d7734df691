package reason

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome says what is known about work without a complete answer.
type Outcome string

// The outcomes that are reported to callers.
const (
	NotRun  Outcome = "not-run"
	Unknown Outcome = "unknown"
	Failed  Outcome = "failed"
)

// Reason is the bounded label of a refusal, retry or failure.
type Reason string

// The reasons, in kebab case as in answers and metrics.
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

// Refusal is an error that reports to a caller the outcome of its work and the reason.
type Refusal struct {
	Outcome    Outcome
	Reason     Reason
	Detail     string
	RetryAfter time.Duration
	Err        error
}

// Error implements error.
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
func Refuse(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Outcome: NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Uncertain returns a Refusal for work that may have run.
func Uncertain(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Outcome: Unknown, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Fail returns a Refusal for work that ran and failed.
func Fail(reason Reason, format string, args ...any) *Refusal {
	return &Refusal{Outcome: Failed, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// From returns the Refusal in err's chain, or wraps err in one whose outcome is unknown.
func From(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return &Refusal{Outcome: Unknown, Reason: Internal, Err: err}
}

// Is reports whether err's chain contains a Refusal with the given reason.
func Is(err error, reason Reason) bool {
	var refusal *Refusal
	return errors.As(err, &refusal) && refusal.Reason == reason
}

// Status returns the HTTP status code for the refusal; the codes of reasons are only for work that has not run.
func (r *Refusal) Status() int {
	switch r.Outcome {
	case NotRun:
		if status, ok := statusByReason[r.Reason]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	case Failed:
		return http.StatusBadGateway
	default:
		if r.Reason == KeyInUse || r.Reason == FirstRunUnknown {
			return http.StatusConflict
		}
		return http.StatusGatewayTimeout
	}
}

var statusByReason = map[Reason]int{
	BadRequest:   http.StatusBadRequest,
	BodyTooLarge: http.StatusRequestEntityTooLarge,
	NoSuchEntry:  http.StatusNotFound,
	NoSuchJob:    http.StatusNotFound,
	NoSuchWorker: http.StatusNotFound,
	NotAllowed:   http.StatusForbidden,
	NeedsKey:     http.StatusBadRequest,
	WrongClass:   http.StatusBadRequest,
	TooLarge:     http.StatusUnprocessableEntity,
	QueueFull:    http.StatusTooManyRequests,
	OverLimit:    http.StatusTooManyRequests,
	KeyInUse:     http.StatusConflict,
	KeyReused:    http.StatusUnprocessableEntity,
	EditConflict: http.StatusConflict,
}
