package agent

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/guard"
	"github.com/corianderdrift/corianderdrift/table"
)

// A weak host that acquired a lease while the strong ones failed kept the group for good, though it never caught up; so did a host that was
// cut off from the table. Neither may hand over to a host that is dead or doesn't reach the table.
func TestGroupIsHandedOverToMoreSuitableHost(t *testing.T) {
	for _, test := range []struct {
		name              string
		cores, otherCores float64
		cutOff            bool
		otherDead         bool
		otherWithoutTable bool
		want              bool
	}{
		{name: "weak", cores: 0.2, otherCores: 0.8, want: true},
		{name: "weak, the strong host is dead", cores: 0.2, otherCores: 0.8, otherDead: true},
		{name: "weak, the strong host doesn't reach the table", cores: 0.2, otherCores: 0.8, otherWithoutTable: true},
		{name: "as strong", cores: 0.8, otherCores: 0.8},
		{name: "stronger", cores: 0.8, otherCores: 0.2},
		{name: "cut off", cores: 0.8, otherCores: 0.8, cutOff: true, want: true},
		{name: "cut off, the other is weak", cores: 0.8, otherCores: 0.2, cutOff: true},
		{name: "cut off, the other as well", cores: 0.8, otherCores: 0.8, cutOff: true, otherWithoutTable: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			own, others := fakes.NewTable(), fakes.NewTable()
			unreachable := func(string) fakes.TableFault { return fakes.TableUnavailable }
			if test.cutOff {
				own.SetFault(unreachable)
			}
			if test.otherWithoutTable {
				others.SetFault(unreachable)
			}
			l, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			server := grpc.NewServer()
			cellpb.RegisterRowsServer(server, &rowServer{direct: table.NewHealth(others), memory: newRelayMemory(guard.SizesOf(0, 0), 0)})
			if test.otherDead {
				c.Assert(l.Close(), qt.IsNil)
			} else {
				go func() { _ = server.Serve(l) }()
				c.Cleanup(server.Stop)
			}
			a := newTestAgent("self")
			c.Cleanup(a.hosts.close)
			a.settings.CPUShare = test.cores
			a.direct = table.NewHealth(own)
			a.relay = &table.Relay{Direct: a.direct, Probe: table.Range{Table: elect.Table, Partition: hostsPartition, Limit: 1}}
			a.hosts.sorted = []host{
				{Name: "self", Cores: test.cores},
				{Name: "other", Cores: test.otherCores, Address: netip.MustParseAddrPort(l.Addr().String())},
			}
			_, err = a.direct.Read(c.Context(), a.relay.Probe)
			c.Assert(err == nil, qt.Equals, !test.cutOff)
			_, ok := a.groups.betterHost(c.Context())
			for deadline := time.Now().Add(time.Minute); test.want && !ok && time.Now().Before(deadline); {
				// A busy machine may miss suitableTimeout.
				a.hosts.backoffUntil = map[string]time.Time{}
				_, ok = a.groups.betterHost(c.Context())
			}
			c.Assert(ok, qt.Equals, test.want)

			limit := 2*yieldAfter + 2*yieldCheckInterval
			if test.want {
				limit = time.Minute
			}
			ctx, cancel := context.WithTimeout(c.Context(), limit)
			defer cancel()
			yielded := 0
			a.groups.yieldToBetterHost(ctx, testService, func() { yielded++ })
			c.Assert(yielded > 0, qt.Equals, test.want)
			// The other host may have failed; the group must not go to and fro.
			again, cancelAgain := context.WithTimeout(c.Context(), 2*yieldAfter)
			defer cancelAgain()
			if test.want {
				a.groups.yieldToBetterHost(again, testService, func() { yielded++ })
				c.Assert(yielded, qt.Equals, 1)
			}
		})
	}
}

// A host that doesn't reach the table itself leaves a free lease to others for as long as a weak host does.
func TestHostWithoutTableAcquiresLast(t *testing.T) {
	c := qt.New(t)
	a := newTestAgent("self")
	a.settings.CPUShare, a.started = 0.8, time.Now()
	store := fakes.NewTable()
	a.direct = table.NewHealth(store)
	c.Assert(a.groups.acquireDelay(testService, 0) < weakDelay, qt.IsTrue)
	store.SetFault(func(string) fakes.TableFault { return fakes.TableUnavailable })
	_, err := a.direct.Read(c.Context(), table.Range{Table: elect.Table})
	c.Assert(err, qt.IsNotNil)
	c.Assert(a.groups.acquireDelay(testService, 0) >= weakDelay, qt.IsTrue)
}
