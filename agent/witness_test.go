package agent

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/table"
)

// earlierWitness answers like a host of an earlier version, which takes every question for one about its own lease.
type earlierWitness struct {
	cellpb.UnimplementedCellsServer
}

// Holds implements cellpb.CellsServer.
func (*earlierWitness) Holds(context.Context, *cellpb.HoldsRequest) (*cellpb.HoldsReply, error) {
	return &cellpb.HoldsReply{Holds: true}, nil
}

// Guards against an answer that is taken for one of a witness, though another process or a host of an earlier version gave it: the witness that was
// meant may have answered otherwise.
func TestOnlyWitnessItselfAnswers(t *testing.T) {
	for _, test := range []struct {
		name      string
		announced string
		process   string
		earlier   bool
		want      bool
	}{
		{"the witness", "1", "1", false, true},
		{"a later process that has announced itself", "2", "2", false, false},
		{"a later process", "1", "2", false, false},
		{"an earlier version", "1", "1", true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, ctx := qt.New(t), t.Context()
			holder := newTestAgent("holder")
			holder.incarnation = test.process
			var server cellpb.CellsServer = &peerServer{a: holder}
			if test.earlier {
				server = &earlierWitness{}
			}
			a := newAgentBesideHolder(c, server)
			epoch, _ := a.leases.Holder(testService)
			raw, err := json.Marshal(host{Address: epoch.Address, Incarnation: test.announced, Witness: true})
			c.Assert(err, qt.IsNil)
			row := table.Row{Key: hostKey("holder"), Value: raw, Version: 1}
			c.Assert(a.hosts.apply([]table.Row{row}, func(string, string, uint64, time.Time) {}), qt.IsNil)

			w, p := newWitnesses(a), elect.Peer{Host: "holder", Incarnation: "1"}
			c.Check(w.Extend(ctx, p, testService, 3), qt.Equals, test.want)
			c.Check(w.Refuse(ctx, p, testService, 3, time.Minute), qt.IsFalse)
			c.Check(w.Extend(ctx, p, testService, 3), qt.IsFalse)
			c.Check(w.Refuse(ctx, p, testService, 3, -time.Second), qt.Equals, test.want)
			c.Check(w.Probe(ctx, p), qt.Equals, test.want)
			if test.announced == "1" {
				// A process that doesn't answer is no candidate for a while.
				c.Check(w.Candidates(), qt.HasLen, map[bool]int{true: 1, false: 0}[test.want])
			}
		})
	}
}
