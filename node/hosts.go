package node

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/store"
)

// discover learns the other hosts and their catalogue version before this host serves, as far as discoveryTimeout allows.
func (n *Node) discover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, discoveryTimeout)
	defer cancel()
	n.transport.SendHeartbeats(ctx)
	n.readHosts(ctx)
	n.transport.SendHeartbeats(ctx)
}

// watchHosts polls the platform's list of hosts and sets which workers the pool should hold.
func (n *Node) watchHosts(ctx context.Context) error {
	ticker := time.NewTicker(hostListInterval)
	defer ticker.Stop()
	for {
		n.readHosts(ctx)
		n.assignWorkers()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (n *Node) readHosts(ctx context.Context) {
	hosts, err := n.store.Hosts(ctx)
	if err != nil {
		hosts, err = n.hostsFromPeers(ctx)
	}
	if err != nil || len(hosts) == 0 {
		return
	}
	n.mu.Lock()
	n.hosts = hosts
	n.mu.Unlock()
	for _, host := range hosts {
		if host.Kind == store.KindEntry && host.Name != n.cfg.Name {
			n.members.AddSeed(host.Address)
		}
	}
}

// hostsFromPeers gets the list of hosts from a peer if this host started while the platform was unreachable; a host that
// already has a list keeps it.
func (n *Node) hostsFromPeers(ctx context.Context) ([]store.Host, error) {
	n.mu.Lock()
	have := len(n.hosts)
	n.mu.Unlock()
	if have > 0 {
		return nil, nil
	}
	var hosts []store.Host
	for _, m := range n.members.Live(time.Now(), func(peers.Member) bool { return true }) {
		reply, err := peers.Call(ctx, n.transport, m.Address, &peerpb.ReportQuery{Kind: reportHosts}, peerpb.PeerClient.Report)
		if err != nil {
			continue
		}
		return hosts, json.Unmarshal(reply.GetJson(), &hosts)
	}
	return nil, nil
}

func (n *Node) listedHosts() []store.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.hosts
}

// entryHosts returns the names of the entry hosts that the platform lists for a data centre.
func (n *Node) entryHosts(dataCenter string) []string {
	var names []string
	for _, host := range n.listedHosts() {
		if host.Kind == store.KindEntry && host.DataCenter == dataCenter {
			names = append(names, host.Name)
		}
	}
	return names
}

// otherEntryHosts returns those of a data centre's entry hosts that are not this host.
func (n *Node) otherEntryHosts(dataCenter string) []string {
	return slices.DeleteFunc(n.entryHosts(dataCenter), func(name string) bool { return name == n.cfg.Name })
}

// assignWorkers decides for every worker of the data centre whether this host should hold it.
func (n *Node) assignWorkers() {
	list := n.listedHosts()
	if len(list) == 0 {
		return
	}
	names := []string{n.cfg.Name}
	for _, m := range n.members.LiveLocal(time.Now()) {
		names = append(names, m.Name)
	}
	leaving := n.leaving.Load()
	catalogue := n.keeper.Current()
	var infos []holder.Info
	for _, host := range list {
		if host.Kind != store.KindWorker || host.DataCenter != n.cfg.DataCenter {
			continue
		}
		drained := catalogue != nil && catalogue.Drained(host.Name)
		infos = append(infos, holder.Info{
			Name: host.Name, Address: host.Address, Rack: host.Rack, Leaving: host.Leaving || drained,
			ShouldHold: !leaving && peers.Preferred(host.Name, names) == n.cfg.Name,
		})
	}
	n.pool.SetWorkers(n.ctx, infos)
}

// updateHeadroom updates the headroom for short requests from the catalogue and the learned run times.
func (n *Node) updateHeadroom(ctx context.Context) error {
	ticker := time.NewTicker(headroomInterval)
	defer ticker.Stop()
	for {
		if c := n.keeper.Current(); c != nil {
			n.pool.UpdateHeadroom(c.Works())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (n *Node) ownerQuota(owner string) entry.Quota {
	c := n.keeper.Current()
	if c == nil {
		return entry.Quota{}
	}
	o, _ := c.Owner(owner)
	return o.Quota
}

// endedProcessTTL is how long after its tasks have expired it is kept when a process was found to have ended.
const endedProcessTTL = time.Hour

// canDropShare reports whether a process has been replaced or removed and its former tasks have expired or are covered by the quota shares
// of their new holders. It returns false while a host of that data centre is unresponsive, since that is not known then.
func (n *Node) canDropShare(id, dataCenter string) bool {
	name, incarnation, _ := strings.Cut(id, "@")
	now := time.Now()
	if !n.tasksExpiredSinceEnd(id, n.isReplaced(name, incarnation, now), now) {
		return false
	}
	return n.hostsCovered(dataCenter, name, now) && (dataCenter != n.cfg.DataCenter || !n.quotas.HasUncoveredTasks())
}

// tasksExpiredSinceEnd reports whether a process has been found to have ended for so long that tasks on its workers which no other host has adopted
// have expired.
func (n *Node) tasksExpiredSinceEnd(id string, ended bool, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !ended {
		delete(n.endedSince, id)
		return false
	}
	expiry := n.cfg.TaskTTL + n.cfg.LeaseTTL
	since, ok := n.endedSince[id]
	if !ok {
		if n.endedSince == nil {
			n.endedSince = map[string]time.Time{}
		}
		maps.DeleteFunc(n.endedSince, func(_ string, since time.Time) bool { return now.Sub(since) > expiry+endedProcessTTL })
		n.endedSince[id] = now
		return false
	}
	return now.Sub(since) > expiry
}

// isAlive reports whether a report of a process was received recently.
func (n *Node) isAlive(id string) bool {
	name, incarnation, _ := strings.Cut(id, "@")
	m, ok := n.members.Member(name)
	return ok && m.State.GetIncarnation() == incarnation && n.members.Alive(m, time.Now())
}

// adoptionsCovered reports whether the quota shares of all other hosts of this data centre cover the tasks they adopted.
func (n *Node) adoptionsCovered() bool { return n.hostsCovered(n.cfg.DataCenter, "", time.Now()) }

// hostsCovered reports whether all listed hosts of a data centre are alive and their quota shares cover the tasks they
// adopted; the host named except may be unknown.
func (n *Node) hostsCovered(dataCenter, except string, now time.Time) bool {
	for _, listed := range n.otherEntryHosts(dataCenter) {
		m, ok := n.members.Member(listed)
		if listed == except && !ok {
			continue
		}
		if !ok || !n.members.Alive(m, now) || m.State.GetUnbooked() {
			return false
		}
	}
	return true
}

// isReplaced reports whether another process now runs under a host's name, or the platform no longer lists the name.
func (n *Node) isReplaced(name, incarnation string, now time.Time) bool {
	if name == n.cfg.Name {
		return incarnation != n.incarnation
	}
	if m, ok := n.members.Member(name); ok && n.members.Alive(m, now) {
		return m.State.GetIncarnation() != incarnation
	}
	list := n.listedHosts()
	for _, host := range list {
		if host.Name == name {
			return false
		}
	}
	return len(list) > 0
}

// hostState returns the state that heartbeats carry.
func (n *Node) hostState() *peerpb.HostState {
	load := n.pool.Load()
	return &peerpb.HostState{
		Name: n.cfg.Name, Incarnation: n.incarnation, Address: n.cfg.Advertise.String(),
		DataCenter: n.cfg.DataCenter, Region: n.cfg.Region, CatalogueVersion: n.keeper.Version(),
		Leaving: n.leaving.Load(), Load: load.UsedShare, FreeCpuMilli: load.Free.CPUMilli,
		FreeAccelerators: load.Free.Accelerators, MaxCpuMilli: load.MaxCapacity.CPUMilli, MaxMemoryMib: load.MaxCapacity.MemoryMiB,
		MaxAccelerators: load.MaxCapacity.Accelerators, WaitMicros: load.PredictedWait.Microseconds(), Held: load.Held,
		StartedUnixNanos: n.startedAt.UnixNano(), Unbooked: n.quotas.HasUncoveredTasks(), Lines: n.quotas.WaitingOwners(),
	}
}
