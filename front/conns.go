package front

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio/nbhttp"
	"golang.org/x/sys/unix"
)

// conns knows the open connections of callers. The library hands a request over only when its body is whole, so that one
// whose body is still on its way can be told only by its connection.
type conns struct {
	mu   sync.Mutex
	open map[string]*openConn
}

// receivedSlack covers the resolution of the kernel's times of connections.
const receivedSlack = 10 * time.Millisecond

// openConn is a connection, and when a request of it was last answered.
type openConn struct {
	conn     net.Conn
	answered time.Time
}

func newConns() *conns { return &conns{open: map[string]*openConn{}} }

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
// those that are not whole yet.
func (c *conns) unfinished() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, o := range c.open {
		if at, ok := received(o.conn); ok && at.After(o.answered.Add(receivedSlack)) {
			n++
		}
	}
	return n
}

// received returns when a connection last received bytes; false if it never did, or if that can't be known.
func received(conn net.Conn) (at time.Time, ok bool) {
	if wrapped, is := conn.(*nbhttp.Conn); is {
		conn = wrapped.Conn
	}
	if secured, is := conn.(interface{ NetConn() net.Conn }); is {
		conn = secured.NetConn()
	}
	raw, is := conn.(syscall.Conn)
	if !is {
		return time.Time{}, false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return time.Time{}, false
	}
	err = control.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil && info.Bytes_received > 0 {
			at, ok = time.Now().Add(-time.Duration(info.Last_data_recv)*time.Millisecond), true
		}
	})
	return at, ok && err == nil
}
