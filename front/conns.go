package front

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"
)

// conns knows the open connections of callers. The library hands a request over only when its body is whole, so that one
// whose body is still on its way can be told only by its connection.
type conns struct {
	log  logrus.FieldLogger
	mu   sync.Mutex
	open map[string]*openConn
}

// receivedSlack covers the resolution of the kernel's times of connections.
const receivedSlack = 10 * time.Millisecond

// openConn is a connection, and when a request of it was last answered.
type openConn struct {
	conn     net.Conn
	answered time.Time
	// unknown says that it was told that the times of the connection can't be read.
	unknown bool
}

// notSocketError says that a connection has no socket whose times could be read.
type notSocketError struct {
	conn net.Conn
}

// Error names the type of the connection.
func (e *notSocketError) Error() string { return fmt.Sprintf("%T is not a socket", e.conn) }

func newConns(log logrus.FieldLogger) *conns { return &conns{log: log, open: map[string]*openConn{}} }

func (c *conns) opened(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn.RemoteAddr().String()] = &openConn{conn: conn}
}

func (c *conns) closed(conn net.Conn, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn.RemoteAddr().String())
}

// answered notes that a request from an address has its answer.
func (c *conns) answered(remote string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.open[remote]; ok {
		o.answered = time.Now()
	}
}

// unfinished returns the number of connections that have received bytes since their last answer: requests in flight, and
// those that are not whole yet. One whose times can't be read counts as idle, and is logged once.
func (c *conns) unfinished() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for remote, o := range c.open {
		at, err := received(o.conn)
		if err != nil && !o.unknown {
			o.unknown = true
			c.log.WithError(err).WithField("caller", remote).Warn("can't tell whether a request is on its way")
		}
		if err == nil && at.After(o.answered.Add(receivedSlack)) {
			n++
		}
	}
	return n
}

// received returns when a connection last received bytes; the zero time if it never did.
func received(conn net.Conn) (time.Time, error) {
	if wrapped, is := conn.(*nbhttp.Conn); is {
		conn = wrapped.Conn
	}
	if secured, is := conn.(interface{ NetConn() net.Conn }); is {
		conn = secured.NetConn()
	}
	raw, is := conn.(syscall.Conn)
	if !is {
		return time.Time{}, &notSocketError{conn}
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return time.Time{}, fmt.Errorf("reach socket: %w", err)
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := control.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return time.Time{}, fmt.Errorf("reach socket: %w", err)
	}
	if infoErr != nil {
		return time.Time{}, fmt.Errorf("read times of socket: %w", infoErr)
	}
	if info.Bytes_received == 0 {
		return time.Time{}, nil
	}
	return time.Now().Add(-time.Duration(info.Last_data_recv) * time.Millisecond), nil
}
