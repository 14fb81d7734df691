package peers_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
)

func state(name, incarnation string, started int64, age time.Duration) *peerpb.HostState {
	return &peerpb.HostState{
		Name: name, Incarnation: incarnation, StartedUnixNanos: started, Address: "127.0.0.1:1", DataCenter: "here",
		AgeMicros: age.Microseconds(), CatalogueVersion: uint64(started),
	}
}

func TestNewestProcessStateWins(t *testing.T) {
	now := time.Now()
	tests := []struct {
		name   string
		states []*peerpb.HostState
		want   string
	}{
		{"newer process", []*peerpb.HostState{state("b", "one", 1, 0), state("b", "two", 2, time.Second)}, "two"},
		{"late report of the older process", []*peerpb.HostState{state("b", "two", 2, time.Second), state("b", "one", 1, 0)}, "two"},
		{"own name", []*peerpb.HostState{state("a", "other", 1, 0)}, ""},
		{"bad address", []*peerpb.HostState{{Name: "b", Address: "nonsense"}}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			members := peers.NewMembership("a", "here")
			for _, s := range test.states {
				members.Observe(s, now)
			}
			m, ok := members.Member("b")
			c.Check(ok, qt.Equals, test.want != "")
			c.Check(m.State.GetIncarnation(), qt.Equals, test.want)
		})
	}
}

func TestUnresponsiveAndLeavingHostsAreNotLive(t *testing.T) {
	c := qt.New(t)
	members := peers.NewMembership("a", "here")
	now := time.Now()
	members.Observe(state("fresh", "1", 1, 0), now)
	members.Observe(state("silent", "1", 1, peers.LocalAliveTimeout), now)
	leaving := state("leaving", "1", 1, 0)
	leaving.Leaving = true
	members.Observe(leaving, now)
	relayed := state("relayer", "1", 1, 0)
	relayed.Others = []*peerpb.HostState{state("heard-of", "1", 9, time.Second)}
	members.Observe(relayed, now)
	var names []string
	for _, m := range members.LiveLocal(now) {
		names = append(names, m.Name)
	}
	c.Check(names, qt.DeepEquals, []string{"fresh", "heard-of", "relayer"})
	c.Check(members.HighestVersion(), qt.Equals, uint64(9))
}

func TestPreferredMovesOnlyKeysOfRemovedHost(t *testing.T) {
	c := qt.New(t)
	hosts := []string{"a", "b", "c", "d"}
	moved, counts := 0, map[string]int{}
	for i := range 1000 {
		key := fmt.Sprint("worker-", i)
		before := peers.Preferred(key, hosts)
		counts[before]++
		after := peers.Preferred(key, hosts[:3])
		if before != "d" && after != before {
			moved++
		}
	}
	c.Check(moved, qt.Equals, 0)
	for _, host := range hosts {
		c.Check(counts[host] > 150, qt.IsTrue, qt.Commentf("%s has %d of 1000", host, counts[host]))
	}
}
