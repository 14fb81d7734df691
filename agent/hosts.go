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

	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/table"
)

// partHosts is the part of the table of leases in which hosts tell their addresses.
const partHosts = "hosts"

// Times and sizes of connections between hosts.
const (
	peerKeepalive = 10 * time.Second
	peerTimeout   = 2 * time.Second
	peerBuffer    = 8 << 10
	shunFor       = 4 * time.Second
)

// host is another entry host, as it tells of itself in the table.
type host struct {
	Name       string         `json:"-"`
	Address    netip.AddrPort `json:"address"`
	DataCenter string         `json:"data-center"`
	// Life tells this process from an earlier one of the same name.
	Life string `json:"life"`
	// Cores is the share of a processor that the host has.
	Cores float64 `json:"cores"`
}

// hosts knows the other entry hosts and the connections to them.
type hosts struct {
	mu    sync.Mutex
	known map[string]host
	// self and center are the name of this host and its data centre.
	self   string
	center string
	// sorted holds the known hosts, the nearest first: this one, those of its data centre, and the others.
	sorted []host
	// swift are the hosts that long calls to the advisor leave alone; all hosts agree on them, whichever groups they run.
	swift map[string]bool
	conns map[netip.AddrPort]*grpc.ClientConn
	// shunned are hosts that did not answer, with the end of that.
	shunned map[string]time.Time
}

func newHosts(self, center string) *hosts {
	return &hosts{
		self: self, center: center, known: map[string]host{}, conns: map[netip.AddrPort]*grpc.ClientConn{},
		shunned: map[string]time.Time{},
	}
}

// swiftShare is the part of a data centre's hosts that is kept for short calls to the advisor.
const swiftShare = 3

// chooseSwift keeps a part of each data centre's hosts, at least one, for short calls.
func (h *hosts) chooseSwift() {
	h.swift = map[string]bool{}
	centers := map[string][]host{}
	for _, one := range h.known {
		centers[one.DataCenter] = append(centers[one.DataCenter], one)
	}
	if len(h.known) < 2 {
		return
	}
	for _, list := range centers {
		slices.SortFunc(list, func(a, b host) int {
			return cmp.Or(cmp.Compare(rankFor("swift", a.Name), rankFor("swift", b.Name)), cmp.Compare(a.Name, b.Name))
		})
		for _, one := range list[:max(1, len(list)/swiftShare)] {
			h.swift[one.Name] = true
		}
	}
}

// far returns 0 for this host, 1 for one of its data centre and 2 for any other.
func (h *hosts) far(one host) int {
	switch {
	case one.Name == h.self:
		return 0
	case one.DataCenter == h.center:
		return 1
	default:
		return 2
	}
}

// sort orders the known hosts; among equally near ones each host has an order of its own, so that calls spread.
func (h *hosts) sort() {
	h.sorted = slices.SortedFunc(maps.Values(h.known), func(a, b host) int {
		return cmp.Or(
			cmp.Compare(h.far(a), h.far(b)), cmp.Compare(rankFor(h.self, a.Name), rankFor(h.self, b.Name)), cmp.Compare(a.Name, b.Name),
		)
	})
}

func (h *hosts) apply(rows []table.Row, started func(name, life string, now time.Time)) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	var bad error
	for _, r := range rows {
		if r.Part != partHosts {
			continue
		}
		if r.Deleted {
			delete(h.known, r.Name)
			continue
		}
		one := host{Name: r.Name}
		if err := json.Unmarshal(r.Value, &one); err != nil {
			bad = fmt.Errorf("host %s: %w", r.Name, err)
			continue
		}
		h.known[r.Name] = one
		started(r.Name, one.Life, time.Now())
	}
	h.sort()
	h.chooseSwift()
	return bad
}

// usable returns the hosts that are not shunned, the nearest first; the list must not be changed.
func (h *hosts) usable(now time.Time) []host {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, until := range h.shunned {
		if !now.Before(until) {
			delete(h.shunned, name)
		}
	}
	if len(h.shunned) == 0 {
		return h.sorted
	}
	return slices.DeleteFunc(slices.Clone(h.sorted), func(one host) bool {
		_, shunned := h.shunned[one.Name]
		return shunned
	})
}

// split returns the hosts that are not shunned, the nearest first: those kept for short calls, and the rest.
func (h *hosts) split(now time.Time) (kept, rest []host) {
	list := h.usable(now)
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, one := range list {
		if h.swift[one.Name] {
			kept = append(kept, one)
		} else {
			rest = append(rest, one)
		}
	}
	return kept, rest
}

func (h *hosts) find(name string) (host, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	one, ok := h.known[name]
	return one, ok
}

func (h *hosts) shun(name string, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.shunned[name] = now.Add(shunFor)
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
		grpc.WithReadBufferSize(peerBuffer), grpc.WithWriteBufferSize(peerBuffer),
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

// announce writes this host's address to the table.
func announce(ctx context.Context, s table.Store, self host) error {
	raw, err := json.Marshal(self)
	if err != nil {
		return err
	}
	_, err = s.Commit(ctx, table.Tx{Writes: []table.Write{{Key: hostKey(self.Name), Value: raw}}})
	return err
}

func withdraw(ctx context.Context, s table.Store, name string) error {
	_, err := s.Commit(ctx, table.Tx{Removes: []table.Key{hostKey(name)}})
	return err
}

func hostKey(name string) table.Key {
	return table.Key{Table: elect.Table, Part: partHosts, Name: name}
}
