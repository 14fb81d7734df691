package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/peerpb"
)

// Intervals, timeouts and limits of the connections between entry hosts.
const (
	MaxMessage        = 64 << 20
	HeartbeatInterval = time.Second
	heartbeatTimeout  = 900 * time.Millisecond
	KeepaliveTime     = 2 * time.Second
	KeepaliveTimeout  = 1500 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
	connectTimeout    = 800 * time.Millisecond
	maxRemoteTargets  = 3
	catalogueTimeout  = 2 * time.Second
)

// Net holds one connection to each peer and sends heartbeats over it.
type Net struct {
	table *Table
	creds credentials.TransportCredentials
	self  func() *peerpb.HostState

	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn

	dialer *net.Dialer
	bytes  atomic.Int64
}

// NewNet returns a Net whose heartbeats carry the state that self returns.
func NewNet(
	table *Table, creds credentials.TransportCredentials, dialer *net.Dialer, self func() *peerpb.HostState,
) *Net {
	return &Net{table: table, creds: creds, dialer: dialer, self: self, conns: map[netip.AddrPort]*grpc.ClientConn{}}
}

// UnsentError reports that a call to a peer was never sent.
type UnsentError struct {
	Address netip.AddrPort
	Err     error
}

// Error names the peer's address.
func (e *UnsentError) Error() string {
	return fmt.Sprintf("peer %s can't be reached: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *UnsentError) Unwrap() error { return e.Err }

// Client returns a client for the peer at addr, whose connection is opened on first use.
func (n *Net) Client(addr netip.AddrPort) (peerpb.PeerClient, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if conn, ok := n.conns[addr]; ok {
		return peerpb.NewPeerClient(conn), nil
	}
	retry := backoff.DefaultConfig
	retry.BaseDelay, retry.MaxDelay = 50*time.Millisecond, maxReconnectDelay
	conn, err := grpc.NewClient("passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(n.creds),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: KeepaliveTime, Timeout: KeepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: connectTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessage), grpc.MaxCallSendMsgSize(MaxMessage)),
		grpc.WithDisableServiceConfig(),
		grpc.WithContextDialer(n.dial),
	)
	if err != nil {
		return nil, &UnsentError{Address: addr, Err: err}
	}
	n.conns[addr] = conn
	return peerpb.NewPeerClient(conn), nil
}

func (n *Net) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := n.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &n.bytes}, nil
}

// Bytes returns the number of bytes sent and received over connections that this host opened to peers.
func (n *Net) Bytes() int64 { return n.bytes.Load() }

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Call calls the peer at addr; the error is an UnsentError if nothing was sent.
func Call[Q, R any](
	ctx context.Context, n *Net, addr netip.AddrPort, req Q,
	call func(c peerpb.PeerClient, ctx context.Context, req Q, opts ...grpc.CallOption) (R, error),
) (R, error) {
	var zero R
	c, err := n.Client(addr)
	if err != nil {
		return zero, err
	}
	var p peer.Peer
	reply, err := call(c, ctx, req, grpc.Peer(&p))
	if err != nil && p.Addr == nil && ctx.Err() == nil {
		return zero, &UnsentError{Address: addr, Err: err}
	}
	return reply, err
}

// Close closes all connections to peers.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, conn := range n.conns {
		_ = conn.Close()
	}
	n.conns = map[netip.AddrPort]*grpc.ClientConn{}
}

// Run sends heartbeats until ctx is done.
func (n *Net) Run(ctx context.Context) error {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		n.SendHeartbeats(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// SendHeartbeats sends one round of heartbeats and waits until each is answered or has failed.
func (n *Net) SendHeartbeats(ctx context.Context) {
	state := n.State(time.Now())
	var wg sync.WaitGroup
	for _, addr := range n.table.heartbeatTargets(maxRemoteTargets, time.Now()) {
		wg.Go(func() { n.sendHeartbeat(ctx, addr, state) })
	}
	wg.Wait()
}

// State returns this host's state together with a few states that it relays for other hosts.
func (n *Net) State(now time.Time) *peerpb.HostState {
	state := n.self()
	state.Others = n.table.statesToRelay(now)
	return state
}

func (n *Net) sendHeartbeat(ctx context.Context, addr netip.AddrPort, state *peerpb.HostState) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := Call(ctx, n, addr, state, peerpb.PeerClient.Heartbeat)
	if err == nil {
		n.table.Observe(reply, time.Now())
	}
}

// HighestVersion returns the highest catalogue version that any host has reported.
func (n *Net) HighestVersion() uint64 { return n.table.HighestVersion() }

// NewerCatalogue fetches the catalogue of the live member with the highest version.
func (n *Net) NewerCatalogue(ctx context.Context, have uint64) (*entry.Catalogue, error) {
	var best *Member
	for _, m := range n.table.Members() {
		if !n.table.Alive(m, time.Now()) {
			continue
		}
		if best == nil || m.State.GetCatalogueVersion() > best.State.GetCatalogueVersion() {
			best = &m
		}
	}
	if best == nil || best.State.GetCatalogueVersion() < have {
		return nil, errors.New("no peer has a newer catalogue")
	}
	ctx, cancel := context.WithTimeout(ctx, catalogueTimeout)
	defer cancel()
	query := &peerpb.CatalogueQuery{Have: have}
	reply, err := Call(ctx, n, best.Address, query, peerpb.PeerClient.Catalogue)
	if err != nil || reply.GetVersion() < have || reply.GetVersion() == 0 {
		return nil, err
	}
	var docs []entry.Document
	for _, doc := range reply.GetDocuments() {
		docs = append(docs, entry.Document{Key: doc.GetKey(), Version: doc.GetVersion(), Raw: doc.GetValue()})
	}
	return entry.NewCatalogue(reply.GetVersion(), docs)
}
