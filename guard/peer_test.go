package guard

import (
	"io"
	"net"
	"testing"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"golang.org/x/net/http2"
)

// A read that ended after its connection had been closed used to charge for the connection again, and nothing returned that charge.
func TestReadOfClosedPeerConnectionChargesNothing(t *testing.T) {
	c := qt.New(t)
	log, _ := logtest.NewNullLogger()
	g := New(roomySizes, Limits{}, func(Cause) {}, log)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := g.boundPeers(inner, 10)
	defer l.Close()
	peer, err := net.Dial("tcp", inner.Addr().String())
	c.Assert(err, qt.IsNil)
	defer peer.Close()
	conn, err := l.Accept()
	c.Assert(err, qt.IsNil)
	const size = peerFreeCharge
	go func() {
		_, _ = io.WriteString(peer, http2.ClientPreface)
		_ = http2.NewFramer(peer, nil).WriteData(1, false, make([]byte, size))
	}()
	_, err = io.ReadFull(conn, make([]byte, len(http2.ClientPreface)+frameHeaderBytes+size))
	c.Assert(err, qt.IsNil)
	c.Assert(g.PeerBudget().Used(), qt.Equals, int64(size*peerByteCost))
	c.Assert(conn.Close(), qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	c.Assert(g.PeerBudget().Used(), qt.Equals, int64(0))
}
