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

// connTracker tracks the open connections of callers. nbhttp calls the handler only once a request's body is complete, so
// a request that is still being received is visible only through its connection.
type connTracker struct {
	log  logrus.FieldLogger
	mu   sync.Mutex
	open map[string]*trackedConn
}

// socketTimeSlack covers the resolution of the times that the kernel reports for sockets.
const socketTimeSlack = 10 * time.Millisecond

// trackedConn is an open connection and the time when its last request was answered.
type trackedConn struct {
	conn       net.Conn
	lastAnswer time.Time
	// warned says that a warning was logged that the connection's times can't be read.
	warned bool
}

// notSocketError reports that a connection has no socket whose times could be read.
type notSocketError struct {
	conn net.Conn
}

// Error names the type of the connection.
func (e *notSocketError) Error() string { return fmt.Sprintf("%T is not a socket", e.conn) }

func newConnTracker(log logrus.FieldLogger) *connTracker {
	return &connTracker{log: log, open: map[string]*trackedConn{}}
}

func (c *connTracker) onOpen(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open[conn.RemoteAddr().String()] = &trackedConn{conn: conn}
}

func (c *connTracker) onClose(conn net.Conn, _ error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.open, conn.RemoteAddr().String())
}

// markAnswered records that a request from the remote address has been answered.
func (c *connTracker) markAnswered(remote string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.open[remote]; ok {
		o.lastAnswer = time.Now()
	}
}

// numUnfinished returns the number of connections that have received bytes since their last answer: those with a request
// in flight or partially received. A connection whose times can't be read counts as idle, and is logged once.
func (c *connTracker) numUnfinished() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for remote, o := range c.open {
		lastReceived, err := lastReceivedAt(o.conn)
		if err != nil && !o.warned {
			o.warned = true
			c.log.WithError(err).WithField("caller", remote).Warn("can't read the connection's socket times; assuming that it is idle")
		}
		if err == nil && lastReceived.After(o.lastAnswer.Add(socketTimeSlack)) {
			n++
		}
	}
	return n
}

// lastReceivedAt returns when a connection last received bytes, or the zero time if it never did.
func lastReceivedAt(conn net.Conn) (time.Time, error) {
	if engineConn, ok := conn.(*nbhttp.Conn); ok {
		conn = engineConn.Conn
	}
	if tlsConn, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = tlsConn.NetConn()
	}
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return time.Time{}, &notSocketError{conn}
	}
	rawConn, err := socket.SyscallConn()
	if err != nil {
		return time.Time{}, fmt.Errorf("access socket: %w", err)
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := rawConn.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return time.Time{}, fmt.Errorf("access socket: %w", err)
	}
	if infoErr != nil {
		return time.Time{}, fmt.Errorf("read TCP info of socket: %w", infoErr)
	}
	if info.Bytes_received == 0 {
		return time.Time{}, nil
	}
	return time.Now().Add(-time.Duration(info.Last_data_recv) * time.Millisecond), nil
}
