package elect_test

import (
	"context"
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/table"
)

const group = "desk"

func TestOneOfTwoCandidatesWins(t *testing.T) {
	c := qt.New(t)
	store, ctx := fakes.NewTable(), context.Background()
	first, err := elect.Acquire(ctx, store, elect.Epoch{Group: group}, elect.Candidate{Name: "a"})
	c.Assert(err, qt.IsNil)
	c.Assert(first.Token, qt.Equals, uint64(1))
	_, err = elect.Acquire(ctx, store, elect.Epoch{Group: group}, elect.Candidate{Name: "b"})
	var conflict *table.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	second, err := elect.Acquire(ctx, store, first, elect.Candidate{Name: "b"})
	c.Assert(err, qt.IsNil)
	c.Assert(second.Token, qt.Equals, uint64(2))
	var lost *elect.LostError
	c.Assert(errors.As(elect.Renew(ctx, store, first, elect.Renewal{}), &lost), qt.IsTrue)
	c.Assert(elect.Renew(ctx, store, second, elect.Renewal{}), qt.IsNil)
}

func TestLeaseIsAcquirable(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		name string
		// renewed and answered are when the lease was last renewed and the table last replied, counted from the start.
		renewed, answered time.Duration
		holder            string
		restarted         bool
		released          bool
		want              bool
	}{
		{"renewed recently", 9 * time.Second, 10 * time.Second, "a", false, false, false},
		{"not renewed for long", 5 * time.Second, 10 * time.Second, "a", false, false, true},
		{"not renewed, but the table does not reply to this host either", 5 * time.Second, 7 * time.Second, "a", false, false, false},
		{"holder restarted", 9 * time.Second, 10 * time.Second, "a", true, false, true},
		{"lease released", 9 * time.Second, 10 * time.Second, "a", false, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			store, ctx := fakes.NewTable(), context.Background()
			epoch, err := elect.Acquire(ctx, store, elect.Epoch{Group: group}, elect.Candidate{Name: test.holder, Incarnation: "1"})
			c.Assert(err, qt.IsNil)
			if test.released {
				c.Assert(elect.Release(ctx, store, epoch, elect.ReleaseState{}), qt.IsNil)
			}
			page, err := store.Read(ctx, table.Range{Table: elect.Table, Partition: group})
			c.Assert(err, qt.IsNil)
			view := elect.NewView()
			for at := time.Duration(0); at <= test.answered; at += time.Second {
				view.TableAnswered(start.Add(at))
			}
			c.Assert(view.Apply(page.Rows, start.Add(test.renewed)), qt.IsNil)
			if test.restarted {
				view.SetIncarnation(test.holder, "2", announcedLater, start)
			}
			now := start.Add(10 * time.Second)
			_, acquirable := view.Acquirable(group, 0, now)
			c.Assert(acquirable, qt.Equals, test.want)
			// A holder that may still be running can send orders until HoldTimeout after its last renewal.
			if !test.restarted && !test.released {
				c.Assert(view.OrdersUntil(group, now).Equal(start.Add(test.renewed).Add(elect.HoldTimeout)), qt.IsTrue)
			}
		})
	}
}

// The table is unreachable for all hosts for slightly less than the duration of a lease. Other hosts may get replies again
// before the holder's next renewal, and must not count the outage as missed renewals.
func TestTableOutageDoesNotCountAgainstHolder(t *testing.T) {
	c := qt.New(t)
	store, ctx := fakes.NewTable(), context.Background()
	start := time.Unix(1_000_000, 0)
	_, err := elect.Acquire(ctx, store, elect.Epoch{Group: group}, elect.Candidate{Name: "a", Incarnation: "1"})
	c.Assert(err, qt.IsNil)
	page, err := store.Read(ctx, table.Range{Table: elect.Table, Partition: group})
	c.Assert(err, qt.IsNil)
	view := elect.NewView()
	c.Assert(view.Apply(page.Rows, start), qt.IsNil)
	// A call that was waiting for changes when the outage began still gets a reply, without changes.
	for _, answeredAt := range []time.Duration{0, time.Second, 2900 * time.Millisecond} {
		view.TableAnswered(start.Add(answeredAt))
	}
	_, acquirable := view.Acquirable(group, 0, start.Add(2950*time.Millisecond))
	c.Assert(acquirable, qt.IsFalse)
	for answeredAt := 3900 * time.Millisecond; answeredAt < 6*time.Second; answeredAt += time.Second {
		view.TableAnswered(start.Add(answeredAt))
	}
	_, acquirable = view.Acquirable(group, 0, start.Add(6*time.Second))
	c.Assert(acquirable, qt.IsTrue)
}

// The time until which earlier holders may have sent orders depends on when their last renewal, release or restart was seen, not
// on the time of the query.
func TestOrdersUntil(t *testing.T) {
	c := qt.New(t)
	store, ctx := fakes.NewTable(), context.Background()
	start := time.Unix(1_000_000, 0)
	after := start.Add
	view := elect.NewView()
	apply := func(now time.Time) {
		page, err := store.Read(ctx, table.Range{Table: elect.Table, Partition: group})
		c.Assert(err, qt.IsNil)
		c.Assert(view.Apply(page.Rows, now), qt.IsNil)
	}
	first, err := elect.Acquire(ctx, store, elect.Epoch{Group: group}, elect.Candidate{Name: "a", Incarnation: "1"})
	c.Assert(err, qt.IsNil)
	apply(start)
	queriedAt := after(time.Minute)
	c.Assert(view.OrdersUntil(group, queriedAt).Equal(after(elect.HoldTimeout)), qt.IsTrue)

	unconfirmed := []elect.UnconfirmedWorker{{Worker: "w", Remaining: 4 * time.Second}}
	c.Assert(elect.Release(ctx, store, first, elect.ReleaseState{Unconfirmed: unconfirmed}), qt.IsNil)
	apply(after(20 * time.Second))
	c.Assert(view.OrdersUntil(group, queriedAt).Equal(after(20*time.Second)), qt.IsTrue)
	c.Assert(view.Unconfirmed(group)["w"].Equal(after(24*time.Second)), qt.IsTrue)

	released, _ := view.Acquirable(group, 0, queriedAt)
	_, err = elect.Acquire(ctx, store, released, elect.Candidate{Name: "b", Incarnation: "1"})
	c.Assert(err, qt.IsNil)
	apply(after(21 * time.Second))
	// The new holder has not renewed the lease of w, since it would have to record that before.
	c.Assert(view.Unconfirmed(group), qt.HasLen, 1)
	c.Assert(view.Unconfirmed(group)["w"].Equal(after(21*time.Second)), qt.IsTrue)
	view.SetIncarnation("b", "1", announcedLater, after(21*time.Second))
	view.SetIncarnation("b", "2", announcedLater, after(26*time.Second))
	c.Assert(view.OrdersUntil(group, queriedAt).Equal(after(26*time.Second)), qt.IsTrue)
}

// All hosts restart after a power failure. They have not seen when the last holder acquired the lease, but its renewals say so.
func TestRestartedHostKnowsHowLongLeaseWasHeld(t *testing.T) {
	c := qt.New(t)
	store, ctx := fakes.NewTable(), context.Background()
	start := time.Unix(1_000_000, 0)
	epoch, err := elect.Acquire(ctx, store, elect.Epoch{Group: group}, elect.Candidate{Name: "a", Incarnation: "1"})
	c.Assert(err, qt.IsNil)
	for _, held := range []time.Duration{0, time.Minute} {
		c.Assert(elect.Renew(ctx, store, epoch, elect.Renewal{Held: held}), qt.IsNil)
		page, err := store.Read(ctx, table.Range{Table: elect.Table, Partition: group})
		c.Assert(err, qt.IsNil)
		view := elect.NewView()
		c.Assert(view.Apply(page.Rows, start), qt.IsNil)
		view.SetIncarnation("a", "2", announcedLater, start)
		// The holder before the last may have sent orders until this long after the last one acquired the lease.
		want := max(0, elect.HoldTimeout-elect.TakeoverTimeout-held)
		c.Assert(view.OrdersUntil(group, start).Equal(start.Add(want)), qt.IsTrue)
	}
}

// Hosts know what all jobs take: what the holders tell, and what they have accepted themselves since then. Holders of earlier versions tell only the
// memory of jobs without their tasks.
func TestUsageOfAllGroups(t *testing.T) {
	c := qt.New(t)
	store, ctx := fakes.NewTable(), context.Background()
	_, err := elect.Acquire(ctx, store, elect.Epoch{Group: group}, elect.Candidate{Name: "a", Incarnation: "1"})
	c.Assert(err, qt.IsNil)
	view := elect.NewView()
	const notLoaded = -1
	for _, step := range []struct {
		told, accepted, want int64
		earlier              bool
	}{
		{notLoaded, 10, 10, false},
		{notLoaded, 5, 15, false},
		{100, 0, 115, false},
		{120, 3, 123, false},
		{notLoaded, 4, 127, false},
		{120, 0, 127, false},
		{0, 0, 0, false},
		{70, 0, 70, true},
	} {
		renewal, want := elect.Renewal{}, elect.Usage{JobBytes: step.want, Tasks: 2 * step.want, LongRunning: 3 * step.want}
		if step.told != notLoaded {
			renewal.Usage = &elect.Usage{JobBytes: step.told, Tasks: 2 * step.told, LongRunning: 3 * step.told}
		}
		write := elect.RenewWrite(group, renewal)
		if step.earlier {
			write.Value, want = fmt.Appendf(nil, `{"held":1,"job-bytes":%d}`, step.told), elect.Usage{JobBytes: step.want}
		}
		_, err = store.Commit(ctx, table.Tx{Writes: []table.Write{write}})
		c.Assert(err, qt.IsNil)
		page, err := store.Read(ctx, table.Range{Table: elect.Table, Partition: group})
		c.Assert(err, qt.IsNil)
		c.Assert(view.Apply(page.Rows, time.Unix(1_000_000, 0)), qt.IsNil)
		view.Accepted(group, elect.Usage{JobBytes: step.accepted, Tasks: 2 * step.accepted, LongRunning: 3 * step.accepted})
		c.Check(view.Usage(func(string) bool { return false }), qt.Equals, want)
	}
	c.Check(view.Usage(func(string) bool { return true }), qt.Equals, elect.Usage{})
}

// A renewal that the new holder has not seen before it acquires the lease lets the old one send orders for longer than assumed.
func TestUnseenRenewalCountsTowardsOrders(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1_000_000, 0)
	store, ctx := fakes.NewTable(), context.Background()
	held, err := elect.Acquire(ctx, store, elect.Epoch{Group: group}, elect.Candidate{Name: "a", Incarnation: "1"})
	c.Assert(err, qt.IsNil)
	page, err := store.Read(ctx, table.Range{Table: elect.Table, Partition: group})
	c.Assert(err, qt.IsNil)
	v := elect.NewView()
	c.Assert(v.Apply(page.Rows, start), qt.IsNil)
	var now time.Time
	for elapsed := time.Duration(0); elapsed <= 2*time.Second; elapsed += 200 * time.Millisecond {
		now = start.Add(elapsed)
		v.TableAnswered(now)
	}
	renewedAt := start.Add(2100 * time.Millisecond)
	c.Assert(elect.Renew(ctx, store, held, elect.Renewal{Held: 2100 * time.Millisecond}), qt.IsNil)
	now = start.Add(elect.TakeoverTimeout + 10*time.Millisecond)
	previous, acquirable := v.Acquirable(group, 0, now)
	c.Assert(acquirable, qt.IsTrue)
	ordersUntil := v.OrdersUntil(group, now)
	if _, err := elect.Acquire(ctx, store, previous, elect.Candidate{Name: "b"}); err == nil {
		c.Assert(ordersUntil.Before(renewedAt.Add(elect.HoldTimeout)), qt.IsFalse)
	}
}

// announcedLater is the version of a row that is written after all leases.
const announcedLater = math.MaxUint64

// Guards against a wait that is too short after a holder whose lease this host has not seen: the one before it may still send orders.
func TestOrdersBeforeUnseenHolder(t *testing.T) {
	c := qt.New(t)
	store, ctx := fakes.NewTable(), context.Background()
	start := time.Unix(1_000_000, 0)
	view := elect.NewView()
	apply := func(elapsed time.Duration) {
		page, err := store.Read(ctx, table.Range{Table: elect.Table, Partition: group})
		c.Assert(err, qt.IsNil)
		c.Assert(view.Apply(page.Rows, start.Add(elapsed)), qt.IsNil)
	}
	first, err := elect.Acquire(ctx, store, elect.Epoch{Group: group}, elect.Candidate{Name: "a", Incarnation: "1"})
	c.Assert(err, qt.IsNil)
	apply(0)
	const renewedAt = 10 * time.Second
	c.Assert(elect.Renew(ctx, store, first, elect.Renewal{Held: renewedAt}), qt.IsNil)
	apply(renewedAt)
	// The second host acquires the lease of one that is cut off, and stops.
	second, err := elect.Acquire(ctx, store, first, elect.Candidate{Name: "b", Incarnation: "1"})
	c.Assert(err, qt.IsNil)
	c.Assert(elect.Release(ctx, store, second, elect.ReleaseState{}), qt.IsNil)
	seenAt := renewedAt + elect.TakeoverTimeout + 500*time.Millisecond
	apply(seenAt)
	ordersUntil := view.OrdersUntil(group, start.Add(seenAt))
	c.Assert(ordersUntil.Before(start.Add(renewedAt+elect.HoldTimeout)), qt.IsFalse, qt.Commentf("%v after the start", ordersUntil.Sub(start)))
}
