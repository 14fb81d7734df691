package peers

import (
	"math/rand/v2"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/corianderdrift/corianderdrift/peerpb"
)

// How long a host counts as alive after its last state was current.
const (
	AliveNear = 3 * time.Second
	AliveFar  = 8 * time.Second
	forgetAge = 10 * time.Minute
	relayed   = 2
	// calledLately is how long a near host with a lesser name may be silent before it is called.
	calledLately = HeartbeatEvery * 3 / 2
)

// Member is another entry host as last heard of.
type Member struct {
	Name       string
	Address    netip.AddrPort
	DataCenter string
	State      *peerpb.HostState
	// Current is when the state was true, by this host's clock.
	Current time.Time
}

// Table holds what is known of all entry hosts.
type Table struct {
	name       string
	dataCenter string

	mu      sync.Mutex
	members map[string]*Member
	seeds   map[netip.AddrPort]bool
	version uint64
}

// NewTable returns a table of the host with the given name and data centre that knows nobody yet.
func NewTable(name, dataCenter string) *Table {
	return &Table{name: name, dataCenter: dataCenter, members: map[string]*Member{}, seeds: map[netip.AddrPort]bool{}}
}

// AddSeed adds an address at which an entry host may be found.
func (t *Table) AddSeed(addr netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds[addr] = true
}

// Observe takes in a host's state and those that it passes on.
func (t *Table) Observe(state *peerpb.HostState, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(state, now)
	for _, other := range state.GetOthers() {
		t.observe(other, now)
	}
}

func (t *Table) observe(state *peerpb.HostState, now time.Time) {
	if state == nil || state.GetName() == "" || state.GetName() == t.name {
		return
	}
	addr, err := netip.ParseAddrPort(state.GetAddress())
	if err != nil {
		return
	}
	current := now.Add(-time.Duration(max(0, state.GetAgeMicros())) * time.Microsecond)
	known, ok := t.members[state.GetName()]
	if ok {
		older := state.GetStartedUnixNanos() < known.State.GetStartedUnixNanos() && now.Sub(known.Current) < forgetAge
		same := state.GetIncarnation() == known.State.GetIncarnation()
		if older || (same && current.Before(known.Current)) {
			return
		}
	}
	t.members[state.GetName()] = &Member{
		Name: state.GetName(), Address: addr, DataCenter: state.GetDataCenter(), State: state, Current: current,
	}
	t.version = max(t.version, state.GetCatalogueVersion())
}

// HighestVersion returns the highest catalogue version that any host was heard to have.
func (t *Table) HighestVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.version
}

// Alive reports whether a member was heard of lately.
func (t *Table) Alive(m Member, now time.Time) bool {
	limit := AliveFar
	if m.DataCenter == t.dataCenter {
		limit = AliveNear
	}
	return now.Sub(m.Current) < limit
}

// Members returns all known members by name, whether alive or not.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]Member, 0, len(t.members))
	for _, m := range t.members {
		members = append(members, *m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// Member returns a member by name.
func (t *Table) Member(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Live returns the members that are alive, not leaving, and pass keep.
func (t *Table) Live(now time.Time, keep func(m Member) bool) []Member {
	var live []Member
	for _, m := range t.Members() {
		if t.Alive(m, now) && !m.State.GetLeaving() && keep(m) {
			live = append(live, m)
		}
	}
	return live
}

// Near returns the live members of the host's own data centre.
func (t *Table) Near(now time.Time) []Member {
	return t.Live(now, func(m Member) bool { return m.DataCenter == t.dataCenter })
}

// targets returns the addresses to send heartbeats to: near ones and a few far ones. A heartbeat and its answer carry both
// states, so of two near hosts the one with the lesser name calls, and the other only when it has not been called lately.
func (t *Table) targets(far int, now time.Time) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var near, others []netip.AddrPort
	known := map[netip.AddrPort]bool{}
	for _, m := range t.members {
		known[m.Address] = true
		switch {
		case m.DataCenter == t.dataCenter && (t.name < m.Name || now.Sub(m.Current) > calledLately):
			near = append(near, m.Address)
		case m.DataCenter != t.dataCenter:
			others = append(others, m.Address)
		}
	}
	for seed := range t.seeds {
		if !known[seed] {
			others = append(others, seed)
		}
	}
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	return append(near, others[:min(far, len(others))]...)
}

// Awaited returns the owners for whose quota a live member waits in line.
func (t *Table) Awaited() map[string]bool {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	owners := map[string]bool{}
	for _, m := range t.members {
		for _, owner := range m.State.GetLines() {
			owners[owner] = owners[owner] || t.Alive(*m, now)
		}
	}
	return owners
}

// relay returns a few states of hosts of other data centres to pass on, with their ages; near hosts hear each other.
func (t *Table) relay(now time.Time) []*peerpb.HostState {
	members := t.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	// Those that wait for somebody's quota are heard of first.
	sort.SliceStable(members, func(i, j int) bool { return len(members[i].State.GetLines()) > len(members[j].State.GetLines()) })
	var states []*peerpb.HostState
	for _, m := range members {
		if len(states) == relayed || m.DataCenter == t.dataCenter || !t.Alive(m, now) {
			continue
		}
		states = append(states, aged(m, now))
	}
	return states
}

// aged copies a member's state without what it passed on itself.
func aged(m Member, now time.Time) *peerpb.HostState {
	s := m.State
	return &peerpb.HostState{
		Name: s.GetName(), Incarnation: s.GetIncarnation(), Address: s.GetAddress(), DataCenter: s.GetDataCenter(),
		Region: s.GetRegion(), CatalogueVersion: s.GetCatalogueVersion(), Leaving: s.GetLeaving(), Load: s.GetLoad(),
		FreeCpuMilli: s.GetFreeCpuMilli(), FreeAccelerators: s.GetFreeAccelerators(),
		MaxCpuMilli: s.GetMaxCpuMilli(), MaxMemoryMib: s.GetMaxMemoryMib(), MaxAccelerators: s.GetMaxAccelerators(),
		WaitMicros: s.GetWaitMicros(), Held: s.GetHeld(), StartedUnixNanos: s.GetStartedUnixNanos(),
		Unbooked: s.GetUnbooked(), Lines: s.GetLines(), AgeMicros: now.Sub(m.Current).Microseconds(),
	}
}

// Rank returns the rendezvous rank of a host for a thing; the host with the highest rank should have it.
func Rank(thing, host string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(thing)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// Preferred returns the host, out of hosts, that should have a thing.
func Preferred(thing string, hosts []string) string {
	best, rank := "", uint64(0)
	for _, host := range hosts {
		if r := Rank(thing, host); best == "" || r > rank {
			best, rank = host, r
		}
	}
	return best
}
