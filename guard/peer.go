package guard

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/stats"
)

// Limits of the connections of peer hosts, which call each other's unary methods only.
const (
	peerStreams       = 256
	peerMessageBytes  = 4 << 20
	peerHeaderBytes   = 16 << 10
	peerHandshakeTime = 5 * time.Second
	peerIdleTime      = 5 * time.Minute
	// peerWindowBytes bounds what a peer may send on a connection before the server has read it.
	peerWindowBytes = 1 << 20
	// peerFreeCharge is what a connection may take without an account. A byte of a message costs peerByteCost until its call ends, for the
	// buffers of the transport and the decoded message, and a call peerCallCost, for its goroutine and stream.
	peerFreeCharge = 128 << 10
	peerByteCost   = 2
	peerCallCost   = 16 << 10
	// relayPageBytes is what the largest page of the table takes that is passed on to a peer: 1 MB as received, decoded and encoded again.
	relayPageBytes = 4 << 20
)

// PeerServerOptions returns options that bound what peers' connections may take. Calls and their bytes count towards the peers'
// budget from their arrival to the end of the call.
func (g *Guard) PeerServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxConcurrentStreams(peerStreams), grpc.MaxRecvMsgSize(peerMessageBytes), grpc.MaxHeaderListSize(peerHeaderBytes),
		grpc.ConnectionTimeout(peerHandshakeTime), grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: peerIdleTime}),
		grpc.InitialConnWindowSize(peerWindowBytes), grpc.StatsHandler(&peerCalls{g: g}),
	}
}

// ListenPeers listens for peers at an address, bounds the number of their connections, and charges for what they hold.
func (g *Guard) ListenPeers(ctx context.Context, address string, maxConns int) (net.Listener, error) {
	l, err := listenTCP(ctx, "tcp", address, peerBuffers)
	if err != nil {
		return nil, err
	}
	return g.boundPeers(l, maxConns), nil
}

func (g *Guard) boundPeers(l net.Listener, maxConns int) *peerListener {
	p := &peerListener{Listener: l, g: g, maxConns: maxConns, conns: map[string]*peerConn{}}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peers = append(g.peers, p)
	return p
}

type peerListener struct {
	net.Listener
	g        *Guard
	maxConns int
	mu       sync.Mutex
	conns    map[string]*peerConn
}

// Accept implements net.Listener. If there are too many connections, it closes the one without calls that was opened first, or the new one.
func (l *peerListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &peerConn{
			Conn: nc, l: l, opened: time.Now(), received: frameCounter{counts: isOfCall, left: len(http2.ClientPreface)},
			sent: frameCounter{counts: isData},
		}
		// gRPC may wait for handlers before it notices that the connection is closed.
		c.account.prompt = true
		c.account.evict = func() {
			c.l.g.onEnd(CauseMemory)
			_ = c.Conn.Close()
		}
		if l.admit(c) {
			return c, nil
		}
		l.g.onEnd(CauseConnections)
		l.g.noteRefusal()
		_ = nc.Close()
	}
}

func (l *peerListener) admit(c *peerConn) bool {
	var victim *peerConn
	l.mu.Lock()
	if len(l.conns) >= l.maxConns {
		for _, x := range l.conns {
			if x.calls.Load() == 0 && (victim == nil || x.opened.Before(victim.opened)) {
				victim = x
			}
		}
		if victim == nil {
			l.mu.Unlock()
			return false
		}
		delete(l.conns, victim.RemoteAddr().String())
	}
	l.conns[c.RemoteAddr().String()] = c
	l.mu.Unlock()
	if victim != nil {
		l.g.onEnd(CauseConnections)
		_ = victim.Close()
	}
	return true
}

func (l *peerListener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

func (l *peerListener) find(remote string) *peerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns[remote]
}

// peerConn is the connection of a peer host.
type peerConn struct {
	net.Conn
	l      *peerListener
	opened time.Time
	calls  atomic.Int64
	// received is used by the goroutine that reads, and sent by the one that writes.
	received, sent frameCounter
	// held is the number of bytes of header blocks and messages that have arrived and don't belong to a call that has ended.
	held atomic.Int64
	// unsent is the number of bytes of replies that have not been sent. gRPC keeps them after the ends of their calls, until the peer takes them or
	// gives the call up; what is then dropped stays counted until the connection ends.
	unsent  atomic.Int64
	mu      sync.Mutex
	charged bool
	// stalled closes the connection if no byte of a reply is sent for long though there are some to be sent.
	stalled *time.Timer
	// closed says that the connection takes no charge any more.
	closed  bool
	account account
}

// Read counts the bytes that arrive.
func (c *peerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.held.Add(c.received.count(p[:n]))
	if !c.charge() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write counts the bytes of replies that are sent. A peer that doesn't take them in time loses the connection.
func (c *peerConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(c.l.g.writeTime))
	n, err := c.Conn.Write(p)
	if err != nil {
		_ = c.Close()
		return n, err
	}
	if sent := c.sent.count(p[:n]); sent > 0 {
		if c.unsent.Add(-sent) <= 0 {
			c.recharge()
		}
		c.watchReplies()
	}
	return n, err
}

// queued counts a reply that has been handed to gRPC.
func (c *peerConn) queued(bytes int64) {
	c.unsent.Add(bytes)
	c.charge()
	c.watchReplies()
}

// watchReplies begins to wait anew for the next byte of a reply to be sent, if there is one.
func (c *peerConn) watchReplies() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch waiting := c.unsent.Load() > 0 && !c.closed; {
	case !waiting && c.stalled != nil:
		c.stalled.Stop()
		c.stalled = nil
	case waiting && c.stalled == nil:
		c.stalled = time.AfterFunc(c.l.g.writeTime, func() {
			if c.unsent.Load() > 0 {
				_ = c.Close()
			}
		})
	case waiting:
		c.stalled.Reset(c.l.g.writeTime)
	}
}

// charge charges for what the connection holds, and reports false if it has been closed for that.
func (c *peerConn) charge() bool {
	charge := c.held.Load()*peerByteCost + c.calls.Load()*peerCallCost + max(0, c.unsent.Load())
	if charge <= peerFreeCharge {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	now := time.Now()
	if !c.charged {
		c.charged = true
		c.account.started = now
	}
	return c.l.g.peerBudget.grow(&c.account, charge, now)
}

// release takes back the bytes of a call that has ended, or all bytes if there are no more calls.
func (c *peerConn) release(bytes int64) {
	if c.calls.Add(-1) == 0 {
		c.held.Store(0)
	} else if c.held.Add(-bytes) < 0 {
		c.held.Store(0)
	}
	c.recharge()
}

// recharge charges only for what the connection still holds.
func (c *peerConn) recharge() {
	c.mu.Lock()
	if c.charged {
		c.charged = false
		c.l.g.peerBudget.release(&c.account)
	}
	c.mu.Unlock()
	c.charge()
}

// Close closes the connection and returns its charge.
func (c *peerConn) Close() error {
	err := c.Conn.Close()
	c.l.mu.Lock()
	if key := c.RemoteAddr().String(); c.l.conns[key] == c {
		delete(c.l.conns, key)
	}
	c.l.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charged, c.closed = false, true
	if c.stalled != nil {
		c.stalled.Stop()
	}
	c.l.g.peerBudget.release(&c.account)
	return err
}

// peerCalls follows the calls on the connections of peers.
type peerCalls struct{ g *Guard }

type (
	connKey struct{}
	callKey struct{}
)

// call is a call on a connection of a peer, with the bytes of its headers and messages.
type call struct {
	conn  *peerConn
	bytes int64
}

// TagConn implements stats.Handler.
func (h *peerCalls) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	h.g.mu.Lock()
	defer h.g.mu.Unlock()
	for _, l := range h.g.peers {
		if c := l.find(info.RemoteAddr.String()); c != nil {
			return context.WithValue(ctx, connKey{}, c)
		}
	}
	return ctx
}

// HandleConn implements stats.Handler.
func (h *peerCalls) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (h *peerCalls) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	c, ok := ctx.Value(connKey{}).(*peerConn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, callKey{}, &call{conn: c})
}

// HandleRPC implements stats.Handler.
func (h *peerCalls) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.Begin:
		// Calls of unknown methods have neither a beginning nor an end.
		c.conn.calls.Add(1)
		c.conn.charge()
	case *stats.InHeader:
		c.bytes += int64(s.WireLength)
	case *stats.InPayload:
		c.bytes += int64(s.WireLength)
	case *stats.OutPayload:
		c.conn.queued(int64(s.WireLength))
	case *stats.End:
		c.conn.release(c.bytes)
	}
}
