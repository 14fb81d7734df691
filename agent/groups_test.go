package agent

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/platform"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
)

const testService = "desk"

// anyone is the caller where the configuration has no teams.
var anyone = queues.Caller{AnyTeam: true}

// newTestAgent returns a host that runs no servers and no background loops.
func newTestAgent(name string) *Agent {
	log := logrus.New()
	log.SetOutput(io.Discard)
	a := &Agent{settings: platform.Settings{Name: name}, log: log, leases: elect.NewView(), hosts: newHosts(name, "here")}
	a.groups = newGroups(a)
	return a
}

// Guards against replacing a live holder when only the table partition of the group's lease is unreachable, so that no host
// sees the renewals.
func TestUnresponsiveHolderIsAskedBeforeTakeover(t *testing.T) {
	for _, test := range []struct {
		name         string
		token        uint64
		unrenewedFor time.Duration
		stopping     bool
		exited       bool
		want         bool
	}{
		{"still runs the group", 1, 3 * time.Second, false, false, true},
		{"runs it with another token", 2, 3 * time.Second, false, false, false},
		{"is stopping", 1, 3 * time.Second, true, false, false},
		{"has exited", 1, 3 * time.Second, false, true, false},
		{"has not renewed for too long", 1, time.Minute, false, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			holder, candidate := newTestAgent("holder"), newTestAgent("asker")
			c.Cleanup(candidate.hosts.close)
			// On a busy machine the call may take longer than the default.
			candidate.groups.holdsTimeout = 30 * time.Second
			l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			store := fakes.NewTable()
			epoch, err := elect.Acquire(ctx, store, elect.Epoch{Group: testService}, elect.Candidate{
				Name: "holder", Address: netip.MustParseAddrPort(l.Addr().String()),
			})
			c.Assert(err, qt.IsNil)
			page, err := store.Read(ctx, table.Range{Table: elect.Table, Partition: testService})
			c.Assert(err, qt.IsNil)
			c.Assert(candidate.leases.Apply(page.Rows, time.Now().Add(-test.unrenewedFor)), qt.IsNil)
			holder.groups.running[testService] = runner.New(runner.Config{
				Epoch: elect.Epoch{Group: testService, Token: test.token}, Log: holder.log,
			})
			holder.stopping.Store(test.stopping)
			server := grpc.NewServer()
			cellpb.RegisterCellsServer(server, &peerServer{a: holder})
			if test.exited {
				c.Assert(l.Close(), qt.IsNil)
			} else {
				go func() { _ = server.Serve(l) }()
				c.Cleanup(server.Stop)
			}
			c.Assert(candidate.groups.holderConfirms(ctx, epoch), qt.Equals, test.want)
		})
	}
}

// newAgentBesideHolder returns a host that knows another one, which answers as holder, as the holder of the group's lease.
func newAgentBesideHolder(c *qt.C, holder cellpb.CellsServer) *Agent {
	c.Helper()
	a := newTestAgent("other")
	c.Cleanup(a.hosts.close)
	l, err := (&net.ListenConfig{}).Listen(c.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := grpc.NewServer()
	cellpb.RegisterCellsServer(server, holder)
	go func() { _ = server.Serve(l) }()
	c.Cleanup(server.Stop)
	store := fakes.NewTable()
	_, err = elect.Acquire(c.Context(), store, elect.Epoch{Group: testService}, elect.Candidate{
		Name: "holder", Address: netip.MustParseAddrPort(l.Addr().String()),
	})
	c.Assert(err, qt.IsNil)
	page, err := store.Read(c.Context(), table.Range{Table: elect.Table, Partition: testService})
	c.Assert(err, qt.IsNil)
	c.Assert(a.leases.Apply(page.Rows, time.Now()), qt.IsNil)
	return a
}

// A holder whose lease is too old to tell a job's state must still tell other hosts that the job is stored, so that they don't refuse it.
func TestHolderWithoutFreshLeaseTellsOfStoredJobs(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	const queue, id = "checks", "00000000000000aa"
	holder := newTestAgent("holder")
	other := newAgentBesideHolder(c, &peerServer{a: holder})
	r := runner.New(runner.Config{Epoch: elect.Epoch{Group: testService, Token: 1}, Log: holder.log})
	r.Cell().Add(&graph.Job{ID: id, Queue: queue, Service: testService, Steps: []graph.Step{{Count: 1}}, MaxAttempts: 1}, nil, 0, time.Now())
	holder.groups.running[testService] = r
	c.Assert(r.Ready(), qt.IsFalse)
	for _, a := range []*Agent{holder, other} {
		_, known := a.groups.State(ctx, testService, queue, id, anyone)
		c.Check(known, qt.IsFalse, qt.Commentf("%s", a.settings.Name))
		c.Check(a.groups.Stored(ctx, testService, queue, id, anyone), qt.IsTrue, qt.Commentf("%s", a.settings.Name))
		c.Check(a.groups.Stored(ctx, testService, queue, "00000000000000bb", anyone), qt.IsFalse, qt.Commentf("%s", a.settings.Name))
	}
}

// earlierHost answers for a group like a host of an earlier version, which doesn't set stored.
type earlierHost struct {
	cellpb.UnimplementedCellsServer
}

// State implements cellpb.CellsServer.
func (earlierHost) State(context.Context, *cellpb.StateRequest) (*cellpb.StateReply, error) {
	return &cellpb.StateReply{Known: true, State: string(graph.Running)}, nil
}

// During a rolling upgrade, a job whose state a holder of an earlier version tells must count as stored too.
func TestHolderOfEarlierVersionTellsOfStoredJobs(t *testing.T) {
	c, ctx := qt.New(t), context.Background()
	other := newAgentBesideHolder(c, earlierHost{})
	c.Assert(other.groups.Stored(ctx, testService, "checks", "00000000000000aa", anyone), qt.IsTrue)
}
