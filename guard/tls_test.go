package guard

import (
	"errors"
	"net"
	"syscall"
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
	connect := func(from net.Addr) (client, server net.Conn, err error) {
		dialer := net.Dialer{LocalAddr: from}
		if client, err = dialer.Dial("tcp", l.Addr().String()); err != nil {
			return nil, nil, err
		}
		server, err = l.Accept()
		c.Assert(err, qt.IsNil)
		return client, server, nil
	}
	var server1, client2, server2 net.Conn
	for client2 == nil {
		client1, server, err := connect(nil)
		c.Assert(err, qt.IsNil)
		c.Assert(client1.(*net.TCPConn).SetLinger(0), qt.IsNil)
		c.Assert(client1.Close(), qt.IsNil)
		server1 = server
		// Another process may have taken the port meanwhile.
		if client2, server2, err = connect(client1.LocalAddr()); err != nil {
			c.Assert(errors.Is(err, syscall.EADDRINUSE), qt.IsTrue, qt.Commentf("%v", err))
			client2 = nil
			g.OnOpenTLS(&nbhttp.Conn{Conn: server})
			g.OnCloseTLS(&nbhttp.Conn{Conn: tls.NewConn(server, nil, false, true)})
		}
	}
	defer client2.Close()
	g.OnOpenTLS(&nbhttp.Conn{Conn: server1})
	g.OnOpenTLS(&nbhttp.Conn{Conn: server2})
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
