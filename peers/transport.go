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
	MaxMessageBytes   = 64 << 20
	HeartbeatInterval = time.Second
	heartbeatTimeout  = 900 * time.Millisecond
	KeepaliveTime     = 2 * time.Second
	KeepaliveTimeout  = 1500 * time.Millisecond
	maxReconnectDelay = 500 * time.Millisecond
	connectTimeout    = 800 * time.Millisecond
	maxRemoteTargets  = 3
	catalogueTimeout  = 2 * time.Second
)

// Transport holds one connection to each peer and sends heartbeats over it.
type Transport struct {
	members *Membership
	creds   credentials.TransportCredentials
	self    func() *peerpb.HostState

	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn

	dialer *net.Dialer
	bytes  atomic.Int64
}

// NewTransport returns a Transport whose heartbeats carry the state that self returns.
func NewTransport(
	members *Membership, creds credentials.TransportCredentials, dialer *net.Dialer, self func() *peerpb.HostState,
) *Transport {
	return &Transport{members: members, creds: creds, dialer: dialer, self: self, conns: map[netip.AddrPort]*grpc.ClientConn{}}
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
func (t *Transport) Client(addr netip.AddrPort) (peerpb.PeerClient, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if conn, ok := t.conns[addr]; ok {
		return peerpb.NewPeerClient(conn), nil
	}
	retry := backoff.DefaultConfig
	retry.BaseDelay, retry.MaxDelay = 50*time.Millisecond, maxReconnectDelay
	conn, err := grpc.NewClient("passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(t.creds),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: KeepaliveTime, Timeout: KeepaliveTimeout, PermitWithoutStream: true,
		}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: connectTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		grpc.WithDisableServiceConfig(),
		grpc.WithContextDialer(t.dial),
	)
	if err != nil {
		return nil, &UnsentError{Address: addr, Err: err}
	}
	t.conns[addr] = conn
	return peerpb.NewPeerClient(conn), nil
}

func (t *Transport) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := t.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, bytes: &t.bytes}, nil
}

// Bytes returns the number of bytes sent and received over connections that this host opened to peers.
func (t *Transport) Bytes() int64 { return t.bytes.Load() }

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
	ctx context.Context, t *Transport, addr netip.AddrPort, req Q,
	call func(c peerpb.PeerClient, ctx context.Context, req Q, opts ...grpc.CallOption) (R, error),
) (R, error) {
	var zero R
	c, err := t.Client(addr)
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
func (t *Transport) Close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, conn := range t.conns {
		_ = conn.Close()
	}
	t.conns = map[netip.AddrPort]*grpc.ClientConn{}
}

// Run sends heartbeats until ctx is done.
func (t *Transport) Run(ctx context.Context) error {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	for {
		t.SendHeartbeats(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// SendHeartbeats sends one round of heartbeats and waits until each is answered or has failed.
func (t *Transport) SendHeartbeats(ctx context.Context) {
	state := t.State(time.Now())
	var wg sync.WaitGroup
	for _, addr := range t.members.heartbeatTargets(maxRemoteTargets, time.Now()) {
		wg.Go(func() { t.sendHeartbeat(ctx, addr, state) })
	}
	wg.Wait()
}

// State returns this host's state together with a few states that it relays for other hosts.
func (t *Transport) State(now time.Time) *peerpb.HostState {
	state := t.self()
	state.Others = t.members.statesToRelay(now)
	return state
}

func (t *Transport) sendHeartbeat(ctx context.Context, addr netip.AddrPort, state *peerpb.HostState) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	reply, err := Call(ctx, t, addr, state, peerpb.PeerClient.Heartbeat)
	if err == nil {
		t.members.Observe(reply, time.Now())
	}
}

// HighestVersion returns the highest catalogue version that any host has reported.
func (t *Transport) HighestVersion() uint64 { return t.members.HighestVersion() }

// NewerCatalogue fetches the catalogue of the live member with the highest version.
func (t *Transport) NewerCatalogue(ctx context.Context, have uint64) (*entry.Catalogue, error) {
	var best *Member
	for _, m := range t.members.Members() {
		if !t.members.Alive(m, time.Now()) {
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
	reply, err := Call(ctx, t, best.Address, query, peerpb.PeerClient.Catalogue)
	if err != nil || reply.GetVersion() < have || reply.GetVersion() == 0 {
		return nil, err
	}
	var docs []entry.Document
	for _, doc := range reply.GetDocuments() {
		docs = append(docs, entry.Document{Key: doc.GetKey(), Version: doc.GetVersion(), Raw: doc.GetValue()})
	}
	return entry.NewCatalogue(reply.GetVersion(), docs)
}
