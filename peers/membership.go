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
func (ms *Membership) AddSeed(addr netip.AddrPort) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.seeds[addr] = true
}

// Observe records a host's state and the states that it relays.
func (ms *Membership) Observe(state *peerpb.HostState, now time.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.observeLocked(state, now)
	for _, other := range state.GetOthers() {
		ms.observeLocked(other, now)
	}
}

func (ms *Membership) observeLocked(state *peerpb.HostState, now time.Time) {
	if state == nil || state.GetName() == "" || state.GetName() == ms.name {
		return
	}
	addr, err := netip.ParseAddrPort(state.GetAddress())
	if err != nil {
		return
	}
	reportedAt := now.Add(-time.Duration(max(0, state.GetAgeMicros())) * time.Microsecond)
	known, ok := ms.members[state.GetName()]
	if ok {
		olderProcess := state.GetStartedUnixNanos() < known.State.GetStartedUnixNanos() &&
			now.Sub(known.ReportedAt) < olderProcessTimeout
		sameProcess := state.GetIncarnation() == known.State.GetIncarnation()
		if olderProcess || (sameProcess && reportedAt.Before(known.ReportedAt)) {
			return
		}
	}
	ms.members[state.GetName()] = &Member{
		Name: state.GetName(), Address: addr, DataCenter: state.GetDataCenter(), State: state, ReportedAt: reportedAt,
	}
	ms.highestVersion = max(ms.highestVersion, state.GetCatalogueVersion())
}

// HighestVersion returns the highest catalogue version that any host has reported.
func (ms *Membership) HighestVersion() uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.highestVersion
}

// Alive reports whether a member's last report is recent enough.
func (ms *Membership) Alive(m Member, now time.Time) bool {
	timeout := RemoteAliveTimeout
	if m.DataCenter == ms.dataCenter {
		timeout = LocalAliveTimeout
	}
	return now.Sub(m.ReportedAt) < timeout
}

// Members returns all known members, alive or not, sorted by name.
func (ms *Membership) Members() []Member {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	members := make([]Member, 0, len(ms.members))
	for _, m := range ms.members {
		members = append(members, *m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].Name < members[j].Name })
	return members
}

// Member returns a member by name.
func (ms *Membership) Member(name string) (Member, bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	m, ok := ms.members[name]
	if !ok {
		return Member{}, false
	}
	return *m, true
}

// Live returns the members that are alive, not leaving, and satisfy match.
func (ms *Membership) Live(now time.Time, match func(m Member) bool) []Member {
	var live []Member
	for _, m := range ms.Members() {
		if ms.Alive(m, now) && !m.State.GetLeaving() && match(m) {
			live = append(live, m)
		}
	}
	return live
}

// LiveLocal returns the live members of the local data centre.
func (ms *Membership) LiveLocal(now time.Time) []Member {
	return ms.Live(now, func(m Member) bool { return m.DataCenter == ms.dataCenter })
}

// heartbeatTargets returns the addresses to send heartbeats to: those of the local data centre and a few of others. A
// heartbeat and its reply carry both states, so of two local hosts only the one whose name sorts first sends heartbeats;
// the other sends them too while those that it expects are overdue.
func (ms *Membership) heartbeatTargets(maxRemote int, now time.Time) []netip.AddrPort {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	var local, remote []netip.AddrPort
	known := map[netip.AddrPort]bool{}
	for _, m := range ms.members {
		known[m.Address] = true
		switch {
		case m.DataCenter == ms.dataCenter && (ms.name < m.Name || now.Sub(m.ReportedAt) > heartbeatOverdueAfter):
			local = append(local, m.Address)
		case m.DataCenter != ms.dataCenter:
			remote = append(remote, m.Address)
		}
	}
	for seed := range ms.seeds {
		if !known[seed] {
			remote = append(remote, seed)
		}
	}
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	return append(local, remote[:min(maxRemote, len(remote))]...)
}

// ContendedOwners returns the owners for whose quota a live member is waiting.
func (ms *Membership) ContendedOwners() map[string]bool {
	now := time.Now()
	ms.mu.Lock()
	defer ms.mu.Unlock()
	owners := map[string]bool{}
	for _, m := range ms.members {
		for _, owner := range m.State.GetLines() {
			owners[owner] = owners[owner] || ms.Alive(*m, now)
		}
	}
	return owners
}

// statesToRelay returns a few states of hosts of other data centres, with their ages. Hosts of the local data centre
// exchange theirs directly.
func (ms *Membership) statesToRelay(now time.Time) []*peerpb.HostState {
	members := ms.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	// Hosts that wait for quota go first, so that this is known early.
	sort.SliceStable(members, func(i, j int) bool { return len(members[i].State.GetLines()) > len(members[j].State.GetLines()) })
	var states []*peerpb.HostState
	for _, m := range members {
		if len(states) == maxRelayedStates || m.DataCenter == ms.dataCenter || !ms.Alive(m, now) {
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
