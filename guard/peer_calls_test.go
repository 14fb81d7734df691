package guard

import (
	"context"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// What a connection holds used to grow with each call's headers until no call was left on it, so that the connection of a peer that always had a
// call open was closed in the end. The end of one call used to return the charge for the others, too.
func TestEndedCallsReturnOnlyTheirOwnCharge(t *testing.T) {
	c := qt.New(t)
	log, _ := logtest.NewNullLogger()
	g := New(roomySizes, Limits{}, func(Cause) {}, log)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := g.boundPeers(inner, 10)
	server := grpc.NewServer(g.PeerServerOptions()...)
	entered, release := make(chan struct{}), make(chan struct{})
	method := func(name string, f func()) grpc.MethodDesc {
		return grpc.MethodDesc{MethodName: name, Handler: func(
			_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor,
		) (any, error) {
			err := decode(&wrapperspb.BytesValue{})
			f()
			return &emptypb.Empty{}, err
		}}
	}
	server.RegisterService(&grpc.ServiceDesc{ServiceName: "s", HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{
		method("held", func() { close(entered); <-release }), method("short", func() {}),
	}}, struct{}{})
	go func() { _ = server.Serve(l) }()
	defer server.Stop()
	defer close(release)
	client, err := grpc.NewClient(inner.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	c.Assert(err, qt.IsNil)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	const heldBytes = 200_000
	go func() { _ = client.Invoke(ctx, "/s/held", wrapperspb.Bytes(make([]byte, heldBytes)), &emptypb.Empty{}) }()
	<-entered
	const numCalls = 2000
	for range numCalls {
		c.Assert(client.Invoke(ctx, "/s/short", &emptypb.Empty{}, &emptypb.Empty{}), qt.IsNil)
	}
	c.Assert(l.conns, qt.HasLen, 1)
	for _, conn := range l.conns {
		held := conn.held.Load()
		c.Assert(held >= heldBytes && held < heldBytes+numCalls, qt.IsTrue, qt.Commentf("%d bytes are held", held))
	}
	used := g.PeerBudget().Used()
	c.Assert(used >= heldBytes*peerByteCost, qt.IsTrue, qt.Commentf("%d bytes are charged", used))
}
