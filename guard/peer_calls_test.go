package guard

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/emptypb"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

// peerService is a server of peers with the methods held, which waits for release, short, and large, whose reply no window takes.
type peerService struct {
	c                *qt.C
	g                *Guard
	l                *peerListener
	entered, release chan struct{}
}

const largeReply = 1 << 20

func startPeerService(t *testing.T, writeTime time.Duration) *peerService {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	s := &peerService{
		c: qt.New(t), g: New(roomySizes, Limits{}, func(Cause) {}, log), entered: make(chan struct{}), release: make(chan struct{}),
	}
	s.g.writeTime = writeTime
	l, err := s.g.ListenPeers(t.Context(), "127.0.0.1:0", 10)
	s.c.Assert(err, qt.IsNil)
	s.l = l.(*peerListener)
	server := grpc.NewServer(s.g.PeerServerOptions()...)
	method := func(name string, f func(), reply proto.Message) grpc.MethodDesc {
		return grpc.MethodDesc{MethodName: name, Handler: func(
			_ any, _ context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor,
		) (any, error) {
			err := decode(&wrapperspb.BytesValue{})
			f()
			return reply, err
		}}
	}
	server.RegisterService(&grpc.ServiceDesc{ServiceName: "s", HandlerType: (*any)(nil), Methods: []grpc.MethodDesc{
		method("held", func() { close(s.entered); <-s.release }, &emptypb.Empty{}), method("short", func() {}, &emptypb.Empty{}),
		method("large", func() {}, wrapperspb.Bytes(make([]byte, largeReply))),
	}}, struct{}{})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return s
}

// connect returns a client and its connection to the server.
func (s *peerService) connect(ctx context.Context) (*grpc.ClientConn, *peerConn) {
	client, err := grpc.NewClient(s.l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	s.c.Assert(err, qt.IsNil)
	s.c.Cleanup(func() { _ = client.Close() })
	s.c.Assert(client.Invoke(ctx, "/s/short", &emptypb.Empty{}, &emptypb.Empty{}), qt.IsNil)
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	s.c.Assert(s.l.conns, qt.HasLen, 1)
	for _, conn := range s.l.conns {
		return client, conn
	}
	return nil, nil
}

// What a connection holds used to grow with each call's headers until no call was left on it, so that the connection of a peer that always had a
// call open was closed in the end. The end of one call used to return the charge for the others, too.
func TestEndedCallsReturnOnlyTheirOwnCharge(t *testing.T) {
	s := startPeerService(t, time.Hour)
	c := s.c
	defer close(s.release)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	client, conn := s.connect(ctx)
	const heldBytes = 200_000
	go func() { _ = client.Invoke(ctx, "/s/held", wrapperspb.Bytes(make([]byte, heldBytes)), &emptypb.Empty{}) }()
	<-s.entered
	const numCalls = 2000
	for range numCalls {
		c.Assert(client.Invoke(ctx, "/s/short", &emptypb.Empty{}, &emptypb.Empty{}), qt.IsNil)
	}
	held := conn.held.Load()
	c.Assert(held >= heldBytes && held < heldBytes+numCalls, qt.IsTrue, qt.Commentf("%d bytes are held", held))
	used := s.g.PeerBudget().Used()
	c.Assert(used >= heldBytes*peerByteCost, qt.IsTrue, qt.Commentf("%d bytes are charged", used))
}

// Replies used to be kept for a peer that doesn't take them without any charge, after the ends of their calls.
func TestRepliesAreChargedUntilTheyAreSent(t *testing.T) {
	s := startPeerService(t, time.Hour)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	client, conn := s.connect(ctx)
	const numCalls = 3
	for range numCalls {
		s.c.Assert(client.Invoke(ctx, "/s/large", &emptypb.Empty{}, &wrapperspb.BytesValue{}), qt.IsNil)
	}
	for conn.unsent.Load() != 0 || s.g.PeerBudget().Used() != 0 {
		s.c.Assert(ctx.Err(), qt.IsNil, qt.Commentf("%d bytes are counted as unsent, %d charged", conn.unsent.Load(), s.g.PeerBudget().Used()))
		time.Sleep(time.Millisecond)
	}
	raw, err := net.Dial("tcp", s.l.Addr().String())
	s.c.Assert(err, qt.IsNil)
	defer raw.Close()
	callLarge(s.c, raw)
	for s.g.PeerBudget().Used() < largeReply/2 {
		s.c.Assert(ctx.Err(), qt.IsNil)
		time.Sleep(time.Millisecond)
	}
}

// Peers that take neither replies nor acknowledgements used to keep their connections, with what the kernel kept of them, for good.
func TestStuckPeersLoseTheirConnections(t *testing.T) {
	for _, test := range []struct {
		name string
		send func(*qt.C, net.Conn)
	}{
		{"closed window", callLarge},
		{"nothing is read", func(_ *qt.C, conn net.Conn) {
			f := http2.NewFramer(conn, nil)
			_, err := io.WriteString(conn, http2.ClientPreface)
			for err == nil {
				err = f.WriteSettings()
			}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := startPeerService(t, 50*time.Millisecond)
			conn, err := net.Dial("tcp", s.l.Addr().String())
			s.c.Assert(err, qt.IsNil)
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
			test.send(s.c, conn)
			// The server closes the connection.
			_, err = io.Copy(io.Discard, conn)
			s.c.Assert(errors.Is(err, os.ErrDeadlineExceeded), qt.IsFalse)
			for s.l.open() > 0 || s.g.PeerBudget().Used() > 0 {
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// callLarge calls a method as a raw client that never opens its windows further.
func callLarge(c *qt.C, conn net.Conn) {
	_, err := io.WriteString(conn, http2.ClientPreface)
	c.Assert(err, qt.IsNil)
	f := http2.NewFramer(conn, nil)
	c.Assert(f.WriteSettings(), qt.IsNil)
	var block bytes.Buffer
	enc := hpack.NewEncoder(&block)
	for _, field := range [][2]string{
		{":method", "POST"}, {":scheme", "http"}, {":path", "/s/large"}, {":authority", "peer"}, {"content-type", "application/grpc"}, {"te", "trailers"},
	} {
		c.Assert(enc.WriteField(hpack.HeaderField{Name: field[0], Value: field[1]}), qt.IsNil)
	}
	c.Assert(f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: block.Bytes(), EndHeaders: true}), qt.IsNil)
	c.Assert(f.WriteData(1, true, make([]byte, 5)), qt.IsNil)
}
