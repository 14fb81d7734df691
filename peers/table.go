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

// Timeouts and limits of the exchange of states.
const (
	// LocalAliveTimeout and RemoteAliveTimeout are how long after its last report a host counts as alive: in the local
	// data centre, and in others.
	LocalAliveTimeout  = 3 * time.Second
	RemoteAliveTimeout = 8 * time.Second
	// olderProcessTimeout is how long after the last report of a process those of an older one are ignored.
	olderProcessTimeout = 10 * time.Minute
	maxRelayedStates    = 2
	// heartbeatOverdueAfter is how long a local host whose name sorts first may be unresponsive before it gets a heartbeat.
	heartbeatOverdueAfter = HeartbeatInterval * 3 / 2
)

// Member is another entry host with the last state that it reported.
type Member struct {
	Name       string
	Address    netip.AddrPort
	DataCenter string
	State      *peerpb.HostState
	// ReportedAt is when the member produced the state, by this host's clock.
	ReportedAt time.Time
}

// Membership holds the last known state of each other entry host.
type Membership struct {
	name       string
	dataCenter string

	mu             sync.Mutex
	members        map[string]*Member
	seeds          map[netip.AddrPort]bool
	highestVersion uint64
}

// NewMembership returns an empty membership for the host with the given name and data centre.
func NewMembership(name, dataCenter string) *Membership {
	return &Membership{name: name, dataCenter: dataCenter, members: map[string]*Member{}, seeds: map[netip.AddrPort]bool{}}
}

// AddSeed adds an address at which an entry host may run.
func (t *Membership) AddSeed(addr netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds[addr] = true
}

// Observe records a host's state and the states that it relays.
func (t *Membership) Observe(state *peerpb.HostState, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeLocked(state, now)
	for _, other := range state.GetOthers() {
		t.observeLocked(other, now)
	}
}

func (t *Membership) observeLocked(state *peerpb.HostState, now time.Time) {
	if state == nil || state.GetName() == "" || state.GetName() == t.name {
		return
	}
	addr, err := netip.ParseAddrPort(state.GetAddress())
	if err != nil {
		return
	}
	reportedAt := now.Add(-time.Duration(max(0, state.GetAgeMicros())) * time.Microsecond)
	known, ok := t.members[state.GetName()]
	if ok {
		olderProcess := state.GetStartedUnixNanos() < known.State.GetStartedUnixNanos() &&
			now.Sub(known.ReportedAt) < olderProcessTimeout
		sameProcess := state.GetIncarnation() == known.State.GetIncarnation()
		if olderProcess || (sameProcess && reportedAt.Before(known.ReportedAt)) {
			return
		}
	}
	t.members[state.GetName()] = &Member{
		Name: state.GetName(), Address: addr, DataCenter: state.GetDataCenter(), State: state, ReportedAt: reportedAt,
	}
	t.highestVersion = max(t.highestVersion, state.GetCatalogueVersion())
}

// HighestVersion returns the highest catalogue version that any host has reported.
func (t *Membership) HighestVersion() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.highestVersion
}

// Alive reports whether a member's last report is recent enough.
func (t *Membership) Alive(m Member, now time.Time) bool {
	timeout := RemoteAliveTimeout
	if m.DataCenter == t.dataCenter {
		timeout = LocalAliveTimeout
	}
	return now.Sub(m.ReportedAt) < timeout
}

// Members returns all known members, alive or not, sorted by name.
func (t *Membership) Members() []Member {
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
func (t *Membership) Member(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Live returns the members that are alive, not leaving, and satisfy match.
func (t *Membership) Live(now time.Time, match func(m Member) bool) []Member {
	var live []Member
	for _, m := range t.Members() {
		if t.Alive(m, now) && !m.State.GetLeaving() && match(m) {
			live = append(live, m)
		}
	}
	return live
}

// LiveLocal returns the live members of the local data centre.
func (t *Membership) LiveLocal(now time.Time) []Member {
	return t.Live(now, func(m Member) bool { return m.DataCenter == t.dataCenter })
}

// heartbeatTargets returns the addresses to send heartbeats to: those of the local data centre and a few of others. A
// heartbeat and its reply carry both states, so of two local hosts only the one whose name sorts first sends heartbeats;
// the other sends them too while those that it expects are overdue.
func (t *Membership) heartbeatTargets(maxRemote int, now time.Time) []netip.AddrPort {
	t.mu.Lock()
	defer t.mu.Unlock()
	var local, remote []netip.AddrPort
	known := map[netip.AddrPort]bool{}
	for _, m := range t.members {
		known[m.Address] = true
		switch {
		case m.DataCenter == t.dataCenter && (t.name < m.Name || now.Sub(m.ReportedAt) > heartbeatOverdueAfter):
			local = append(local, m.Address)
		case m.DataCenter != t.dataCenter:
			remote = append(remote, m.Address)
		}
	}
	for seed := range t.seeds {
		if !known[seed] {
			remote = append(remote, seed)
		}
	}
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	return append(local, remote[:min(maxRemote, len(remote))]...)
}

// ContendedOwners returns the owners for whose quota a live member is waiting.
func (t *Membership) ContendedOwners() map[string]bool {
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

// statesToRelay returns a few states of hosts of other data centres, with their ages. Hosts of the local data centre
// exchange theirs directly.
func (t *Membership) statesToRelay(now time.Time) []*peerpb.HostState {
	members := t.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	// Hosts that wait for quota go first, so that this is known early.
	sort.SliceStable(members, func(i, j int) bool { return len(members[i].State.GetLines()) > len(members[j].State.GetLines()) })
	var states []*peerpb.HostState
	for _, m := range members {
		if len(states) == maxRelayedStates || m.DataCenter == t.dataCenter || !t.Alive(m, now) {
			continue
		}
		states = append(states, relayedState(m, now))
	}
	return states
}

// relayedState copies a member's state with its age, without the states that the member relayed itself.
func relayedState(m Member, now time.Time) *peerpb.HostState {
	s := m.State
	return &peerpb.HostState{
		Name: s.GetName(), Incarnation: s.GetIncarnation(), Address: s.GetAddress(), DataCenter: s.GetDataCenter(),
		Region: s.GetRegion(), CatalogueVersion: s.GetCatalogueVersion(), Leaving: s.GetLeaving(), Load: s.GetLoad(),
		FreeCpuMilli: s.GetFreeCpuMilli(), FreeAccelerators: s.GetFreeAccelerators(),
		MaxCpuMilli: s.GetMaxCpuMilli(), MaxMemoryMib: s.GetMaxMemoryMib(), MaxAccelerators: s.GetMaxAccelerators(),
		WaitMicros: s.GetWaitMicros(), Held: s.GetHeld(), StartedUnixNanos: s.GetStartedUnixNanos(),
		Unbooked: s.GetUnbooked(), Lines: s.GetLines(), AgeMicros: now.Sub(m.ReportedAt).Microseconds(),
	}
}

// Rank returns the rendezvous hash of a key and a host; the host with the highest rank owns the key.
func Rank(key, host string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(host)
	return d.Sum64()
}

// Preferred returns the host with the highest rank for a key.
func Preferred(key string, hosts []string) string {
	best, bestRank := "", uint64(0)
	for _, host := range hosts {
		if r := Rank(key, host); best == "" || r > bestRank {
			best, bestRank = host, r
		}
	}
	return best
}
