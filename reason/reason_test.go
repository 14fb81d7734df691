package reason

import (
	"net/http"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a status that means "not run" for work that may have run, be it for the reason or for an outcome that this version doesn't know.
func TestStatusOfWorkThatMayHaveRun(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome Outcome
		allowed []int
	}{
		{"unknown", Unknown, []int{http.StatusGatewayTimeout, http.StatusConflict}},
		{"failed", Failed, []int{http.StatusBadGateway}},
		{"not set", "", []int{http.StatusGatewayTimeout, http.StatusConflict}},
		{"of a later version", "half-run", []int{http.StatusGatewayTimeout, http.StatusConflict}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			reasons := []Reason{StoreUnavailable, Internal, FirstRunUnknown}
			for why := range statusByReason {
				reasons = append(reasons, why)
			}
			for _, why := range reasons {
				status := (&Refusal{Outcome: test.outcome, Reason: why}).Status()
				c.Check(slices.Contains(test.allowed, status), qt.IsTrue, qt.Commentf("%s: %d", why, status))
			}
		})
	}
}

func TestStatus(t *testing.T) {
	for _, test := range []struct {
		outcome Outcome
		why     Reason
		want    int
	}{
		{NotRun, StoreUnavailable, http.StatusServiceUnavailable},
		{NotRun, QueueFull, http.StatusTooManyRequests},
		{NotRun, NoSuchJob, http.StatusNotFound},
		{NotRun, KeyInUse, http.StatusConflict},
		{Unknown, KeyInUse, http.StatusConflict},
		{Unknown, FirstRunUnknown, http.StatusConflict},
		{Unknown, StoreUnavailable, http.StatusGatewayTimeout},
		{Failed, TaskFailed, http.StatusBadGateway},
	} {
		t.Run(string(test.outcome)+" "+string(test.why), func(t *testing.T) {
			qt.New(t).Check((&Refusal{Outcome: test.outcome, Reason: test.why}).Status(), qt.Equals, test.want)
		})
	}
}
