package guard

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/lesismal/llib/std/crypto/tls"
	"github.com/lesismal/nbio/nbhttp"
	logtest "github.com/sirupsen/logrus/hooks/test"
)

// The end of a connection used to close the next one from the same address, and to count the first one as open for good.
func TestEndOfTLSConnectionLeavesNextOneFromSameAddress(t *testing.T) {
	c := qt.New(t)
	log, _ := logtest.NewNullLogger()
	g := New(roomySizes, Limits{}, func(Cause) {}, log)
	g.AddPlace("test", "127.0.0.1:0", 10, false)
	l, err := g.listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	// Other processes' connections share the ports of 127.0.0.1, which can't be bound then.
	var from net.Addr = &net.TCPAddr{IP: net.IPv4(127, 0, 0, 2)}
	connect := func() (client, server net.Conn) {
		dialer := net.Dialer{LocalAddr: from}
		client, err := dialer.Dial("tcp", l.Addr().String())
		c.Assert(err, qt.IsNil)
		from = client.LocalAddr()
		server, err = l.Accept()
		c.Assert(err, qt.IsNil)
		g.OnOpenTLS(&nbhttp.Conn{Conn: server})
		return client, server
	}
	client1, server1 := connect()
	c.Assert(client1.(*net.TCPConn).SetLinger(0), qt.IsNil)
	c.Assert(client1.Close(), qt.IsNil)
	client2, server2 := connect()
	defer client2.Close()
	c.Assert(g.Open("test"), qt.Equals, 2)
	g.OnCloseTLS(&nbhttp.Conn{Conn: tls.NewConn(server1, nil, false, true)})
	c.Assert(g.Open("test"), qt.Equals, 1)
	_, err = server2.Write([]byte("x"))
	c.Assert(err, qt.IsNil)
	_ = client2.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = client2.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	g.OnCloseTLS(&nbhttp.Conn{Conn: tls.NewConn(server2, nil, false, true)})
	c.Assert(g.Open("test"), qt.Equals, 0)
}
