package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/table"
)

// The announcement of an earlier process that the table carries out late must not make the lease of the host's running process free.
func TestLateAnnouncementDoesNotFreeLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), context.Background()
		store := fakes.NewTable()
		store.SetFault(lateCommits)
		call, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		c.Assert(announce(call, store, host{Name: "a", Incarnation: "first"}), qt.IsNotNil)
		store.SetFault(nil)
		c.Assert(announce(ctx, store, host{Name: "a", Incarnation: "second"}), qt.IsNil)
		epoch, err := elect.Acquire(ctx, store, elect.Epoch{Group: testService}, elect.Candidate{Name: "a", Incarnation: "second"})
		c.Assert(err, qt.IsNil)
		time.Sleep(7 * time.Second)
		c.Assert(elect.Renew(ctx, store, epoch, elect.Renewal{Held: 7 * time.Second}), qt.IsNil)
		b := newTestAgent("b")
		for _, partition := range []string{testService, hostsPartition} {
			rows, _, err := table.ReadAll(ctx, store, table.Range{Table: elect.Table, Partition: partition})
			c.Assert(err, qt.IsNil)
			c.Assert(b.leases.Apply(rows, time.Now()), qt.IsNil)
			c.Assert(b.hosts.apply(rows, b.leases.SetIncarnation), qt.IsNil)
		}
		b.leases.TableAnswered(time.Now())
		_, acquirable := b.leases.Acquirable(testService, 0, time.Now())
		c.Assert(acquirable, qt.IsFalse)
	})
}

// Guards against taking the lease of a running process for free because the table still has the announcement of an earlier one.
func TestLeaseOfUnannouncedProcessIsNotFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), context.Background()
		store := fakes.NewTable()
		c.Assert(announce(ctx, store, host{Name: "a", Incarnation: "first"}), qt.IsNil)
		b := newTestAgent("b")
		read := func() {
			for _, partition := range []string{hostsPartition, testService} {
				rows, _, err := table.ReadAll(ctx, store, table.Range{Table: elect.Table, Partition: partition})
				c.Assert(err, qt.IsNil)
				c.Assert(b.leases.Apply(rows, time.Now()), qt.IsNil)
				c.Assert(b.hosts.apply(rows, b.leases.SetIncarnation), qt.IsNil)
			}
			b.leases.TableAnswered(time.Now())
		}
		read()
		time.Sleep(time.Minute)
		// The next process of the host acquires the lease before its announcement is carried out.
		_, err := elect.Acquire(ctx, store, elect.Epoch{Group: testService}, elect.Candidate{Name: "a", Incarnation: "second"})
		c.Assert(err, qt.IsNil)
		read()
		_, acquirable := b.leases.Acquirable(testService, 0, time.Now())
		c.Check(acquirable, qt.IsFalse)
		c.Check(b.leases.OrdersUntil(testService, time.Now()).Before(time.Now().Add(elect.HoldTimeout)), qt.IsFalse)
		// A process that is announced later has ended the holder.
		c.Assert(announce(ctx, store, host{Name: "a", Incarnation: "third"}), qt.IsNil)
		read()
		_, acquirable = b.leases.Acquirable(testService, 0, time.Now())
		c.Check(acquirable, qt.IsTrue)
	})
}

// The withdrawal of an earlier process that the table carries out late must not remove the row of the host's running process.
func TestLateWithdrawalKeepsRowOfLaterProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), context.Background()
		store := fakes.NewTable()
		first, second := host{Name: "a", Incarnation: "first"}, host{Name: "a", Incarnation: "second"}
		c.Assert(announce(ctx, store, first), qt.IsNil)
		store.SetFault(lateCommits)
		call, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		c.Assert(withdraw(call, store, first), qt.IsNotNil)
		store.SetFault(nil)
		c.Assert(announce(ctx, store, second), qt.IsNil)
		time.Sleep(7 * time.Second)
		_, ok := store.Get(hostKey("a"))
		c.Assert(ok, qt.IsTrue)
		c.Assert(withdraw(ctx, store, first), qt.IsNil)
		_, ok = store.Get(hostKey("a"))
		c.Assert(ok, qt.IsTrue)
		c.Assert(withdraw(ctx, store, second), qt.IsNil)
		_, ok = store.Get(hostKey("a"))
		c.Assert(ok, qt.IsFalse)
	})
}

// lateCommits lets the table carry out commits late, without an answer.
func lateCommits(op string) fakes.TableFault {
	if op == "commit" {
		return fakes.TableLate
	}
	return fakes.TableOK
}
