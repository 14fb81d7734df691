package agent

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
	"github.com/corianderdrift/corianderdrift/unit"
)

// Handover state reaches the next runner unchanged, and an invalid task ID is an error.
func TestHandoverProtoRoundTrip(t *testing.T) {
	c := qt.New(t)
	h := cell.Handover{
		Workers: []order.Worker{{
			ID: "w", Address: netip.MustParseAddrPort("10.0.0.1:80"), DataCenter: "a", Rack: "r", Labels: []string{"kind"},
			Capacity: unit.Size{CPUMilli: 16000, MemoryMiB: 32000, Accelerators: 8}, StartedAt: time.UnixMilli(7000),
		}},
		Runs: []cell.HandoverRun{
			{Task: graph.TaskID{StepID: graph.StepID{Job: "0a", Occurrence: 1, Step: 2}, Index: 3}, Run: 1001, Worker: "w", Stop: true, Age: time.Second},
		},
	}
	got, err := handoverFromProto(handoverToProto(h, true))
	c.Assert(err, qt.IsNil)
	c.Assert(got.Workers, qt.HasLen, 1)
	c.Assert(got.Workers[0].Address, qt.Equals, h.Workers[0].Address)
	got.Workers[0].Address = netip.AddrPort{}
	h.Workers[0].Address = netip.AddrPort{}
	c.Assert(got, qt.CmpEquals(cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b })), h)
	broken := handoverToProto(got, true)
	broken.Runs[0].Task = "no task"
	_, err = handoverFromProto(broken)
	c.Assert(err, qt.IsNotNil)
}
