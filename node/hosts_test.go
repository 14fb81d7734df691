package node

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/conf"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/quota"
	"github.com/corianderdrift/corianderdrift/store"
)

// Guards against giving away the quota of a process that has ended while its tasks still run on workers that no other host has adopted yet.
func TestShareOfEndedProcessIsKeptWhileItsTasksMayRun(t *testing.T) {
	for _, test := range []struct {
		name string
		// restarts and isListed say whether the host runs another process, and whether the platform still lists it.
		restarts, isListed bool
	}{{"restarted", true, true}, {"removed", false, false}} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := &Node{
					cfg:         conf.Host{Name: "a", DataCenter: "here", LeaseTTL: 3 * time.Second, TaskTTL: 12 * time.Second},
					incarnation: "1", members: peers.NewMembership("a", "here"),
					quotas: quota.NewAllocator(quota.Config{Quota: func(string) entry.Quota { return entry.Quota{} }}),
					hosts:  []store.Host{{Name: "a", Kind: store.KindEntry, DataCenter: "here"}},
				}
				if test.isListed {
					n.hosts = append(n.hosts, store.Host{Name: "b", Kind: store.KindEntry, DataCenter: "here"})
				}
				report := func(incarnation string, started int64) {
					n.members.Observe(&peerpb.HostState{
						Name: "b", Incarnation: incarnation, StartedUnixNanos: started, Address: "127.0.0.1:1", DataCenter: "here",
					}, time.Now())
				}
				report("1", 1)
				c.Assert(n.canDropShare("b@1", "here"), qt.IsFalse)
				c.Assert(n.isAlive("b@1"), qt.IsTrue)
				if test.restarts {
					report("2", 2)
					c.Check(n.isAlive("b@1"), qt.IsFalse)
					c.Check(n.isAlive("b@2"), qt.IsTrue)
				}
				endedAt := time.Now()
				for time.Since(endedAt) < n.cfg.TaskTTL {
					if test.restarts {
						report("2", 2)
					}
					c.Check(n.canDropShare("b@1", "here"), qt.IsFalse, qt.Commentf("after %s", time.Since(endedAt)))
					time.Sleep(time.Second)
				}
				for time.Since(endedAt) < 2*(n.cfg.TaskTTL+n.cfg.LeaseTTL) {
					time.Sleep(time.Second)
					if test.restarts {
						report("2", 2)
					}
					n.canDropShare("b@1", "here")
				}
				c.Check(n.canDropShare("b@1", "here"), qt.IsTrue)
			})
		})
	}
}
