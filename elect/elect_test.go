package elect_test

import (
	"context"
	"errors"
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
	rows, ctx := fakes.NewRows(), context.Background()
	first, err := elect.Take(ctx, rows, elect.Epoch{Part: group}, elect.Taker{Name: "a"})
	c.Assert(err, qt.IsNil)
	c.Assert(first.Token, qt.Equals, uint64(1))
	_, err = elect.Take(ctx, rows, elect.Epoch{Part: group}, elect.Taker{Name: "b"})
	var conflict *table.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	second, err := elect.Take(ctx, rows, first, elect.Taker{Name: "b"})
	c.Assert(err, qt.IsNil)
	c.Assert(second.Token, qt.Equals, uint64(2))
	var lost *elect.LostError
	c.Assert(errors.As(elect.Renew(ctx, rows, first, 0), &lost), qt.IsTrue)
	c.Assert(elect.Renew(ctx, rows, second, 0), qt.IsNil)
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
			rows, ctx := fakes.NewRows(), context.Background()
			epoch, err := elect.Take(ctx, rows, elect.Epoch{Part: group}, elect.Taker{Name: test.holder, Life: "1"})
			c.Assert(err, qt.IsNil)
			if test.released {
				c.Assert(elect.Release(ctx, rows, epoch, nil), qt.IsNil)
			}
			page, err := rows.Read(ctx, table.Range{Table: elect.Table, Part: group})
			c.Assert(err, qt.IsNil)
			view := elect.NewBook()
			for at := time.Duration(0); at <= test.answered; at += time.Second {
				view.Alive(start.Add(at))
			}
			c.Assert(view.Apply(page.Rows, start.Add(test.renewed)), qt.IsNil)
			if test.restarted {
				view.Started(test.holder, "2", start)
			}
			now := start.Add(10 * time.Second)
			_, acquirable := view.Free(group, 0, now)
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
	rows, ctx := fakes.NewRows(), context.Background()
	start := time.Unix(1_000_000, 0)
	_, err := elect.Take(ctx, rows, elect.Epoch{Part: group}, elect.Taker{Name: "a", Life: "1"})
	c.Assert(err, qt.IsNil)
	page, err := rows.Read(ctx, table.Range{Table: elect.Table, Part: group})
	c.Assert(err, qt.IsNil)
	view := elect.NewBook()
	c.Assert(view.Apply(page.Rows, start), qt.IsNil)
	// A call that was waiting for changes when the outage began still gets a reply, without changes.
	for _, answeredAt := range []time.Duration{0, time.Second, 2900 * time.Millisecond} {
		view.Alive(start.Add(answeredAt))
	}
	_, acquirable := view.Free(group, 0, start.Add(2950*time.Millisecond))
	c.Assert(acquirable, qt.IsFalse)
	for answeredAt := 3900 * time.Millisecond; answeredAt < 6*time.Second; answeredAt += time.Second {
		view.Alive(start.Add(answeredAt))
	}
	_, acquirable = view.Free(group, 0, start.Add(6*time.Second))
	c.Assert(acquirable, qt.IsTrue)
}

// The time until which earlier holders may have sent orders depends on their last renewal or release, not on the time of the
// query.
func TestOrdersUntil(t *testing.T) {
	c := qt.New(t)
	rows, ctx := fakes.NewRows(), context.Background()
	start := time.Unix(1_000_000, 0)
	after := start.Add
	view := elect.NewBook()
	apply := func(now time.Time) {
		page, err := rows.Read(ctx, table.Range{Table: elect.Table, Part: group})
		c.Assert(err, qt.IsNil)
		c.Assert(view.Apply(page.Rows, now), qt.IsNil)
	}
	first, err := elect.Take(ctx, rows, elect.Epoch{Part: group}, elect.Taker{Name: "a", Life: "1"})
	c.Assert(err, qt.IsNil)
	apply(start)
	queriedAt := after(time.Minute)
	c.Assert(view.OrdersUntil(group, queriedAt).Equal(after(elect.HoldTimeout)), qt.IsTrue)

	unconfirmed := []elect.Unsure{{Worker: "w", Remaining: 4 * time.Second}}
	c.Assert(elect.Release(ctx, rows, first, unconfirmed), qt.IsNil)
	apply(after(20 * time.Second))
	c.Assert(view.OrdersUntil(group, queriedAt).Equal(after(20*time.Second)), qt.IsTrue)
	c.Assert(view.Unsure(group)["w"].Equal(after(24*time.Second)), qt.IsTrue)

	released, _ := view.Free(group, 0, queriedAt)
	_, err = elect.Take(ctx, rows, released, elect.Taker{Name: "b", Life: "1"})
	c.Assert(err, qt.IsNil)
	apply(after(21 * time.Second))
	c.Assert(view.Unsure(group), qt.HasLen, 0)
	view.Started("b", "1", after(21*time.Second))
	view.Started("b", "2", after(26*time.Second))
	c.Assert(view.OrdersUntil(group, queriedAt).Equal(after(26*time.Second)), qt.IsTrue)
}

// All hosts restart after a power failure. They have not seen when the last holder acquired the lease, but its renewals say so.
func TestRestartedHostKnowsHowLongLeaseWasHeld(t *testing.T) {
	c := qt.New(t)
	rows, ctx := fakes.NewRows(), context.Background()
	start := time.Unix(1_000_000, 0)
	epoch, err := elect.Take(ctx, rows, elect.Epoch{Part: group}, elect.Taker{Name: "a", Life: "1"})
	c.Assert(err, qt.IsNil)
	for _, held := range []time.Duration{0, time.Minute} {
		c.Assert(elect.Renew(ctx, rows, epoch, held), qt.IsNil)
		page, err := rows.Read(ctx, table.Range{Table: elect.Table, Part: group})
		c.Assert(err, qt.IsNil)
		view := elect.NewBook()
		c.Assert(view.Apply(page.Rows, start), qt.IsNil)
		view.Started("a", "2", start)
		// The holder before the last may have sent orders until this long after the last one acquired the lease.
		want := max(0, elect.HoldTimeout-elect.TakeoverTimeout-held)
		c.Assert(view.OrdersUntil(group, start).Equal(start.Add(want)), qt.IsTrue)
	}
}
