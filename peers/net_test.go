package peers_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
)

// called is a host that counts the heartbeats that it gets.
type called struct {
	peerpb.UnimplementedPeerServer
	name  string
	addr  string
	count atomic.Int32
}

func (h *called) state(age time.Duration) *peerpb.HostState {
	return &peerpb.HostState{Name: h.name, Address: h.addr, DataCenter: "here", AgeMicros: age.Microseconds()}
}

func (h *called) Heartbeat(context.Context, *peerpb.HostState) (*peerpb.HostState, error) {
	h.count.Add(1)
	return h.state(0), nil
}

func newCalled(t *testing.T, name string) *called {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	h := &called{name: name, addr: listener.Addr().String()}
	server := grpc.NewServer()
	peerpb.RegisterPeerServer(server, h)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return h
}

func TestOneOfTwoNearHostsCallsTheOther(t *testing.T) {
	c := qt.New(t)
	lesser, greater := newCalled(t, "a"), newCalled(t, "z")
	table := peers.NewTable("m", "here")
	n := peers.NewNet(table, insecure.NewCredentials(), &net.Dialer{}, func() *peerpb.HostState {
		return &peerpb.HostState{Name: "m", DataCenter: "here"}
	})
	defer n.Close()
	ctx := context.Background()

	// Heard of in an hour, so that neither is overdue however slow this process is.
	later := time.Now().Add(time.Hour)
	table.Observe(lesser.state(0), later)
	table.Observe(greater.state(0), later)
	n.Beat(ctx)
	c.Check(greater.count.Load(), qt.Equals, int32(1))
	c.Check(lesser.count.Load(), qt.Equals, int32(0))

	// It has gone silent: it froze, or it can't reach this host.
	quiet := peers.NewTable("m", "here")
	m := peers.NewNet(quiet, insecure.NewCredentials(), &net.Dialer{}, func() *peerpb.HostState {
		return &peerpb.HostState{Name: "m", DataCenter: "here"}
	})
	defer m.Close()
	quiet.Observe(lesser.state(peers.AliveNear/2), time.Now())
	before := lesser.count.Load()
	m.Beat(ctx)
	c.Check(lesser.count.Load(), qt.Equals, before+1)
	member, ok := quiet.Member("a")
	c.Assert(ok, qt.IsTrue)
	c.Check(quiet.Alive(member, time.Now()), qt.IsTrue)
}
