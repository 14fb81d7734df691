package node

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/store"
)

// firstLook learns of hosts and of the catalogue before the host serves, as far as it can in a short time.
func (n *Node) firstLook(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, firstLook)
	defer cancel()
	n.net.SendHeartbeats(ctx)
	n.readHosts(ctx)
	n.net.SendHeartbeats(ctx)
}

// watchHosts follows the platform's list and the members and tells the pool which workers to hold.
func (n *Node) watchHosts(ctx context.Context) error {
	ticker := time.NewTicker(listEvery)
	defer ticker.Stop()
	for {
		n.readHosts(ctx)
		n.assign()
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
	n.listed = hosts
	n.mu.Unlock()
	for _, host := range hosts {
		if host.Kind == store.KindEntry && host.Name != n.cfg.Name {
			n.table.AddSeed(host.Address)
		}
	}
}

// hostsFromPeers serves a host that started while the platform was away; one that has a list keeps it.
func (n *Node) hostsFromPeers(ctx context.Context) ([]store.Host, error) {
	n.mu.Lock()
	have := len(n.listed)
	n.mu.Unlock()
	if have > 0 {
		return nil, nil
	}
	var hosts []store.Host
	for _, m := range n.table.Live(time.Now(), func(peers.Member) bool { return true }) {
		reply, err := peers.Call(ctx, n.net, m.Address, &peerpb.ReportQuery{Kind: reportList}, peerpb.PeerClient.Report)
		if err != nil {
			continue
		}
		return hosts, json.Unmarshal(reply.GetJson(), &hosts)
	}
	return nil, nil
}

func (n *Node) list() []store.Host {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listed
}

// listedHosts returns the names of the other entry hosts that the platform lists for a data centre.
func (n *Node) listedHosts(dataCenter string) []string {
	var names []string
	for _, host := range n.list() {
		if host.Kind == store.KindEntry && host.DataCenter == dataCenter && host.Name != n.cfg.Name {
			names = append(names, host.Name)
		}
	}
	return names
}

// assign says for every worker of the data centre whether this host should hold it.
func (n *Node) assign() {
	list := n.list()
	if len(list) == 0 {
		return
	}
	names := []string{n.cfg.Name}
	for _, m := range n.table.Near(time.Now()) {
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
			Wanted: !leaving && peers.Preferred(host.Name, names) == n.cfg.Name,
		})
	}
	n.pool.SetWorkers(n.life, infos)
}

// keepRoom keeps room for short requests as the catalogue and the learned run times say.
func (n *Node) keepRoom(ctx context.Context) error {
	ticker := time.NewTicker(keepRoomEvery)
	defer ticker.Stop()
	for {
		if c := n.keeper.Current(); c != nil {
			n.pool.KeepRoom(c.Works())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (n *Node) quotaOf(owner string) entry.Quota {
	c := n.keeper.Current()
	if c == nil {
		return entry.Quota{}
	}
	o, _ := c.Owner(owner)
	return o.Quota
}

// gone reports whether a process has been replaced or removed, and the tasks that it left are booked by their new
// holders; while a host of its data centre can't be heard, that is not known.
func (n *Node) gone(id, dataCenter string) bool {
	name, incarnation, _ := strings.Cut(id, "@")
	now := time.Now()
	if !n.replaced(name, incarnation, now) {
		return false
	}
	return n.booked(dataCenter, name, now) && (dataCenter != n.cfg.DataCenter || !n.quotas.Unbooked())
}

func (n *Node) heard(id string) bool {
	name, _, _ := strings.Cut(id, "@")
	m, ok := n.table.Member(name)
	return ok && n.table.Alive(m, time.Now())
}

// settled reports whether all other hosts of this data centre have booked what they adopted.
func (n *Node) settled() bool { return n.booked(n.cfg.DataCenter, "", time.Now()) }

// booked reports whether all listed hosts of a data centre but one are heard and have booked what they adopted.
func (n *Node) booked(dataCenter, except string, now time.Time) bool {
	for _, listed := range n.listedHosts(dataCenter) {
		m, ok := n.table.Member(listed)
		if listed == except && !ok {
			continue
		}
		if !ok || !n.table.Alive(m, now) || m.State.GetUnbooked() {
			return false
		}
	}
	return true
}

// replaced reports whether a process with the name of another has taken its place, or the platform has dropped the name.
func (n *Node) replaced(name, incarnation string, now time.Time) bool {
	if name == n.cfg.Name {
		return incarnation != n.incarnation
	}
	if m, ok := n.table.Member(name); ok && n.table.Alive(m, now) {
		return m.State.GetIncarnation() != incarnation
	}
	list := n.list()
	for _, host := range list {
		if host.Name == name {
			return false
		}
	}
	return len(list) > 0
}

// state is what heartbeats tell of this host.
func (n *Node) state() *peerpb.HostState {
	load := n.pool.Load()
	return &peerpb.HostState{
		Name: n.cfg.Name, Incarnation: n.incarnation, Address: n.cfg.Advertise.String(),
		DataCenter: n.cfg.DataCenter, Region: n.cfg.Region, CatalogueVersion: n.keeper.Version(),
		Leaving: n.leaving.Load(), Load: load.Load, FreeCpuMilli: load.Free.CPUMilli,
		FreeAccelerators: load.Free.Accelerators, MaxCpuMilli: load.Max.CPUMilli, MaxMemoryMib: load.Max.MemoryMiB,
		MaxAccelerators: load.Max.Accelerators, WaitMicros: load.Wait.Microseconds(), Held: load.Held,
		StartedUnixNanos: n.started.UnixNano(), Unbooked: n.quotas.Unbooked(), Lines: n.quotas.Lines(),
	}
}
