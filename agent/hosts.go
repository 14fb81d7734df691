package agent

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/table"
)

// hostsPartition is the partition of the lease table in which hosts publish their addresses.
const hostsPartition = "hosts"

// Parameters of connections between hosts.
const (
	peerKeepalive   = 10 * time.Second
	peerTimeout     = 2 * time.Second
	peerBufferBytes = 8 << 10
	backoffDuration = 4 * time.Second
)

// host is an entry host as published in the table.
type host struct {
	Name       string         `json:"-"`
	Address    netip.AddrPort `json:"address"`
	DataCenter string         `json:"data-center"`
	// Incarnation distinguishes this process from earlier ones of the same name.
	Incarnation string `json:"life"`
	// Cores is the host's CPU share, in cores.
	Cores float64 `json:"cores"`
	// MemoryBytes is the memory that the host may use; 0 means that it is not known.
	MemoryBytes int64 `json:"memory,omitempty"`
	// Witness says that the process answers as a witness of leases, as those of earlier versions don't.
	Witness bool `json:"witness,omitempty"`
}

// hosts holds the known entry hosts, this one included, and the connections to them.
type hosts struct {
	mu    sync.Mutex
	known map[string]host
	// self and dataCenter are the name of this host and its data centre.
	self       string
	dataCenter string
	// sorted holds the known hosts by distance: this one, those of its data centre, and the others.
	sorted []host
	// fastPath holds the hosts that are reserved for short calls to the advisor; all hosts choose the same ones, whichever
	// groups they run.
	fastPath map[string]bool
	conns    map[netip.AddrPort]*grpc.ClientConn
	// rows returns a client of the host at an address, through which calls to the table are passed on.
	rows func(netip.AddrPort) (cellpb.RowsClient, error)
	// backoffUntil holds the hosts that did not respond, and until when they are not used.
	backoffUntil map[string]time.Time
	relayPaths
}

func newHosts(self, dataCenter string) *hosts {
	h := &hosts{
		self: self, dataCenter: dataCenter, known: map[string]host{}, conns: map[netip.AddrPort]*grpc.ClientConn{},
		backoffUntil: map[string]time.Time{}, relayPaths: newRelayPaths(),
	}
	h.rows = h.rowsClient
	return h
}

// fastPathDivisor and strongPathDivisor are how many hosts of a data centre there are for each one that is reserved for short calls to
// the advisor, at most, where all hosts have the same CPU and where some have clearly more.
const (
	fastPathDivisor   = 3
	strongPathDivisor = 5
)

// chooseFastPath reserves some of each data centre's hosts, at least one, for short calls to the advisor: if there are hosts with clearly
// more CPU than the others, these.
func (h *hosts) chooseFastPath() {
	h.fastPath = map[string]bool{}
	byDataCenter := map[string][]host{}
	for _, peer := range h.known {
		byDataCenter[peer.DataCenter] = append(byDataCenter[peer.DataCenter], peer)
	}
	if len(h.known) < 2 {
		return
	}
	for _, peers := range byDataCenter {
		slices.SortFunc(peers, func(a, b host) int {
			return cmp.Or(
				cmp.Compare(b.Cores, a.Cores), cmp.Compare(hostRank("swift", a.Name), hostRank("swift", b.Name)), cmp.Compare(a.Name, b.Name),
			)
		})
		weakest := peers[len(peers)-1].Cores
		numStrong := 0
		for numStrong < len(peers)/2 && peers[numStrong].Cores > strongerFactor*weakest {
			numStrong++
		}
		n := max(1, len(peers)/fastPathDivisor)
		if numStrong > 0 {
			n = max(numStrong, len(peers)/strongPathDivisor)
		}
		for _, peer := range peers[:n] {
			h.fastPath[peer.Name] = true
		}
	}
}

// minMemory returns the memory of the host that has least, or the given one if that is less; 0 means that none is known.
func (h *hosts) minMemory(least int64) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, peer := range h.known {
		if peer.MemoryBytes > 0 && (least == 0 || peer.MemoryBytes < least) {
			least = peer.MemoryBytes
		}
	}
	return least
}

// distance returns 0 for this host, 1 for one of its data centre and 2 for any other.
func (h *hosts) distance(peer host) int {
	switch {
	case peer.Name == h.self:
		return 0
	case peer.DataCenter == h.dataCenter:
		return 1
	default:
		return 2
	}
}

// sort orders the known hosts by distance; within the same distance, each host uses a different order to spread calls.
func (h *hosts) sort() {
	h.sorted = slices.SortedFunc(maps.Values(h.known), func(a, b host) int {
		return cmp.Or(
			cmp.Compare(h.distance(a), h.distance(b)), cmp.Compare(hostRank(h.self, a.Name), hostRank(h.self, b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
}

func (h *hosts) apply(rows []table.Row, onStarted func(name, incarnation string, version uint64, now time.Time)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var lastErr error
	for _, r := range rows {
		if r.Partition != hostsPartition {
			continue
		}
		if r.Deleted {
			h.leave(r.Name, time.Now())
			continue
		}
		peer := host{Name: r.Name}
		if err := json.Unmarshal(r.Value, &peer); err != nil {
			lastErr = fmt.Errorf("host %s: %w", r.Name, err)
			continue
		}
		h.known[r.Name] = peer
		delete(h.left, r.Name)
		onStarted(r.Name, peer.Incarnation, r.Version, time.Now())
	}
	h.forgetLeft(time.Now())
	h.sort()
	h.chooseFastPath()
	return lastErr
}

// usable returns the hosts that are not in backoff, the nearest first; the list must not be modified.
func (h *hosts) usable(now time.Time) []host {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, until := range h.backoffUntil {
		if !now.Before(until) {
			delete(h.backoffUntil, name)
		}
	}
	if len(h.backoffUntil) == 0 {
		return h.sorted
	}
	return slices.DeleteFunc(slices.Clone(h.sorted), func(peer host) bool {
		_, backingOff := h.backoffUntil[peer.Name]
		return backingOff
	})
}

// anyInBackoff reports whether a host is in backoff.
func (h *hosts) anyInBackoff(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, until := range h.backoffUntil {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// splitFastPath returns the usable hosts, the nearest first: the fast-path hosts, and the rest.
func (h *hosts) splitFastPath(now time.Time) (fastPath, rest []host) {
	list := h.usable(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, peer := range list {
		if h.fastPath[peer.Name] {
			fastPath = append(fastPath, peer)
		} else {
			rest = append(rest, peer)
		}
	}
	return fastPath, rest
}

func (h *hosts) find(name string) (host, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	peer, ok := h.known[name]
	return peer, ok
}

func (h *hosts) backOff(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.backoffUntil[name] = now.Add(backoffDuration)
}

func (h *hosts) conn(addr netip.AddrPort) (*grpc.ClientConn, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c, ok := h.conns[addr]; ok {
		return c, nil
	}
	c, err := grpc.NewClient("passthrough:///"+addr.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time: peerKeepalive, Timeout: peerTimeout, PermitWithoutStream: false,
		}),
		grpc.WithReadBufferSize(peerBufferBytes), grpc.WithWriteBufferSize(peerBufferBytes),
		grpc.WithDisableServiceConfig(),
	)
	if err != nil {
		return nil, err
	}
	h.conns[addr] = c
	return c, nil
}

func (h *hosts) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.conns {
		_ = c.Close()
	}
}

// announce writes the host's row. It checks the version that it replaces, so that a write that is carried out late does not replace the
// row of a later process.
func announce(ctx context.Context, s table.Store, self host) error {
	raw, err := json.Marshal(self)
	if err != nil {
		return err
	}
	stored, version, err := readHost(ctx, s, self.Name)
	if err != nil || stored.Incarnation == self.Incarnation {
		return err
	}
	key := hostKey(self.Name)
	_, err = s.Commit(ctx, table.Tx{Checks: []table.Check{{Key: key, Version: version}}, Writes: []table.Write{{Key: key, Value: raw}}})
	return err
}

// withdraw removes the host's row, unless it is that of another process.
func withdraw(ctx context.Context, s table.Store, self host) error {
	stored, version, err := readHost(ctx, s, self.Name)
	if err != nil || stored.Incarnation != self.Incarnation {
		return err
	}
	key := hostKey(self.Name)
	_, err = s.Commit(ctx, table.Tx{Checks: []table.Check{{Key: key, Version: version}}, Removes: []table.Key{key}})
	return err
}

// readHost reads a host's row; the version is 0 if there is none. A row that can't be decoded is returned as that of no process.
func readHost(ctx context.Context, s table.Store, name string) (host, uint64, error) {
	key := hostKey(name)
	page, err := s.Read(ctx, table.Range{Table: key.Table, Partition: key.Partition, From: name, To: name + "\x00", Limit: 1})
	if err != nil || len(page.Rows) == 0 {
		return host{}, 0, err
	}
	row := page.Rows[0]
	h := host{Name: name}
	if json.Unmarshal(row.Value, &h) != nil {
		h = host{Name: name}
	}
	return h, row.Version, nil
}

func hostKey(name string) table.Key {
	return table.Key{Table: elect.Table, Partition: hostsPartition, Name: name}
}
