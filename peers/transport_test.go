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

// fakePeer is an entry host that counts the heartbeats it receives.
type fakePeer struct {
	peerpb.UnimplementedPeerServer
	name          string
	addr          string
	numHeartbeats atomic.Int32
}

func (p *fakePeer) state(age time.Duration) *peerpb.HostState {
	return &peerpb.HostState{Name: p.name, Address: p.addr, DataCenter: "here", AgeMicros: age.Microseconds()}
}

func (p *fakePeer) Heartbeat(context.Context, *peerpb.HostState) (*peerpb.HostState, error) {
	p.numHeartbeats.Add(1)
	return p.state(0), nil
}

func newFakePeer(t *testing.T, name string) *fakePeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := &fakePeer{name: name, addr: listener.Addr().String()}
	server := grpc.NewServer()
	peerpb.RegisterPeerServer(server, p)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return p
}

func TestOneOfTwoLocalHostsSendsHeartbeats(t *testing.T) {
	c := qt.New(t)
	lower, higher := newFakePeer(t, "a"), newFakePeer(t, "z")
	members := peers.NewMembership("m", "here")
	transport := peers.NewTransport(members, insecure.NewCredentials(), &net.Dialer{}, func() *peerpb.HostState {
		return &peerpb.HostState{Name: "m", DataCenter: "here"}
	})
	defer transport.Close()
	ctx := context.Background()

	// The reports are dated an hour ahead, so that neither peer is overdue however slow the test runs.
	later := time.Now().Add(time.Hour)
	members.Observe(lower.state(0), later)
	members.Observe(higher.state(0), later)
	transport.SendHeartbeats(ctx)
	c.Check(higher.numHeartbeats.Load(), qt.Equals, int32(1))
	c.Check(lower.numHeartbeats.Load(), qt.Equals, int32(0))

	// The peer that should call is overdue: it hangs, or it can't reach this host.
	staleMembers := peers.NewMembership("m", "here")
	staleTransport := peers.NewTransport(staleMembers, insecure.NewCredentials(), &net.Dialer{}, func() *peerpb.HostState {
		return &peerpb.HostState{Name: "m", DataCenter: "here"}
	})
	defer staleTransport.Close()
	staleMembers.Observe(lower.state(peers.LocalAliveTimeout/2), time.Now())
	before := lower.numHeartbeats.Load()
	staleTransport.SendHeartbeats(ctx)
	c.Check(lower.numHeartbeats.Load(), qt.Equals, before+1)
	member, ok := staleMembers.Member("a")
	c.Assert(ok, qt.IsTrue)
	c.Check(staleMembers.Alive(member, time.Now()), qt.IsTrue)
}
