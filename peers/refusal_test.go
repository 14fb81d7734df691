package peers_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/reason"
)

// Guards against relaying as not run a refusal whose outcome this version doesn't know.
func TestRelayedOutcome(t *testing.T) {
	for _, test := range []struct {
		outcome string
		want    reason.Outcome
	}{
		{"not-run", reason.NotRun},
		{"failed", reason.Failed},
		{"unknown", reason.Unknown},
		{"", reason.Unknown},
		{"half-run", reason.Unknown},
	} {
		t.Run(test.outcome, func(t *testing.T) {
			err := peers.DecodeRefusal(&peerpb.Refusal{Outcome: test.outcome, Reason: string(reason.NoWorkers)})
			qt.New(t).Check(reason.From(err).Outcome, qt.Equals, test.want)
		})
	}
}
