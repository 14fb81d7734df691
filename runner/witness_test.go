package runner_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
)

// Guards against work that stops while the table is away from all hosts, though most witnesses are there, and against orders that a holder sends
// for longer than the next one counts with. Load: 600 tasks of 0.3 s, four at a time on each of two workers.
func TestOrdersGoOnWithMostWitnesses(t *testing.T) {
	for _, test := range []struct {
		name  string
		lose  func(n *network)
		until time.Duration
	}{
		{"all witnesses", func(*network) {}, elect.HoldTimeout},
		{"one is killed", func(n *network) { n.findHost("host1").kill() }, elect.HoldTimeout},
		{"one stands still", func(n *network) { n.findHost("host2").freeze(time.Minute) }, elect.HoldTimeout},
		{"two are killed", func(n *network) { n.findHost("host1").kill(); n.findHost("host2").kill() }, elect.UnextendedTimeout},
		{"the holder is cut off", func(n *network) { n.findHost("host0").isolate() }, elect.UnextendedTimeout},
		{"two start again", func(n *network) {
			for _, rank := range []int{1, 2} {
				n.findHost(n.hostName(rank)).kill()
				n.startHost(rank, "later process")
			}
		}, elect.UnextendedTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n, h := newOutageOf(t, 4)
				test.lose(n)
				r := h.currentRunner()
				for r.LeaseAge() < elect.UnextendedTimeout+100*time.Millisecond {
					time.Sleep(time.Millisecond)
				}
				starts := n.workers.NumStarts()
				for r.LeaseAge() < test.until+100*time.Millisecond {
					time.Sleep(time.Millisecond)
				}
				started := n.workers.NumStarts() - starts
				qt.Check(t, test.until == elect.UnextendedTimeout || started >= 50, qt.IsTrue, qt.Commentf("only %d tasks were started", started))
				starts = n.workers.NumStarts()
				time.Sleep(time.Second)
				qt.Check(t, n.workers.NumStarts(), qt.Equals, starts)
				for _, host := range n.hosts {
					host.setTableFault(fakes.TableOK)
				}
				n.checkNoTaskRunsTwice(t, n.runningHost())
			})
		})
	}
}

// runningHost waits until a host runs the group, and returns it.
func (n *network) runningHost() *host {
	for {
		for _, h := range n.hosts {
			if h.currentRunner() != nil && h.currentRunner().Ready() {
				return h
			}
		}
		time.Sleep(time.Millisecond)
	}
}
