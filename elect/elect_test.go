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

const part = "desk"

func TestOneOfTwoTakersWins(t *testing.T) {
	c := qt.New(t)
	rows, ctx := fakes.NewRows(), context.Background()
	first, err := elect.Take(ctx, rows, elect.Epoch{Part: part}, elect.Taker{Name: "a"})
	c.Assert(err, qt.IsNil)
	c.Assert(first.Token, qt.Equals, uint64(1))
	_, err = elect.Take(ctx, rows, elect.Epoch{Part: part}, elect.Taker{Name: "b"})
	var conflict *table.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	second, err := elect.Take(ctx, rows, first, elect.Taker{Name: "b"})
	c.Assert(err, qt.IsNil)
	c.Assert(second.Token, qt.Equals, uint64(2))
	var lost *elect.LostError
	c.Assert(errors.As(elect.Beat(ctx, rows, first, 0), &lost), qt.IsTrue)
	c.Assert(elect.Beat(ctx, rows, second, 0), qt.IsNil)
}

func TestWhenALeaseIsFree(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, test := range []struct {
		name string
		// renewed and seen are when the lease was last renewed and the table last answered, from the start.
		renewed, seen time.Duration
		holder        string
		restarted     bool
		released      bool
		want          bool
	}{
		{"renewed just now", 9 * time.Second, 10 * time.Second, "a", false, false, false},
		{"silent for long", 5 * time.Second, 10 * time.Second, "a", false, false, true},
		{"silent, but the table is away for this host too", 5 * time.Second, 7 * time.Second, "a", false, false, false},
		{"its holder has started anew", 9 * time.Second, 10 * time.Second, "a", true, false, true},
		{"given back", 9 * time.Second, 10 * time.Second, "a", false, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			rows, ctx := fakes.NewRows(), context.Background()
			epoch, err := elect.Take(ctx, rows, elect.Epoch{Part: part}, elect.Taker{Name: test.holder, Life: "1"})
			c.Assert(err, qt.IsNil)
			if test.released {
				c.Assert(elect.Release(ctx, rows, epoch, nil), qt.IsNil)
			}
			page, err := rows.Read(ctx, table.Range{Table: elect.Table, Part: part})
			c.Assert(err, qt.IsNil)
			b := elect.NewBook()
			for at := time.Duration(0); at <= test.seen; at += time.Second {
				b.Alive(start.Add(at))
			}
			c.Assert(b.Apply(page.Rows, start.Add(test.renewed)), qt.IsNil)
			if test.restarted {
				b.Started(test.holder, "2", start)
			}
			now := start.Add(10 * time.Second)
			_, free := b.Free(part, 0, now)
			c.Assert(free, qt.Equals, test.want)
			// A holder that may live can give orders for as long as it holds without a renewal.
			if !test.restarted && !test.released {
				c.Assert(b.OrdersUntil(part, now).Equal(start.Add(test.renewed).Add(elect.Hold)), qt.IsTrue)
			}
		})
	}
}

// Pattern: the table is away for all a little less long than a lease lasts. Hosts hear of it again before the holder's next
// renewal, and must not take the time for a silence of the holder.
func TestAnOutageOfTheTableIsNoSilenceOfTheHolder(t *testing.T) {
	c := qt.New(t)
	rows, ctx := fakes.NewRows(), context.Background()
	start := time.Unix(1_000_000, 0)
	_, err := elect.Take(ctx, rows, elect.Epoch{Part: part}, elect.Taker{Name: "a", Life: "1"})
	c.Assert(err, qt.IsNil)
	page, err := rows.Read(ctx, table.Range{Table: elect.Table, Part: part})
	c.Assert(err, qt.IsNil)
	book := elect.NewBook()
	c.Assert(book.Apply(page.Rows, start), qt.IsNil)
	// A call that was waiting when the outage began is still answered, with nothing new.
	for _, answered := range []time.Duration{0, time.Second, 2900 * time.Millisecond} {
		book.Alive(start.Add(answered))
	}
	_, free := book.Free(part, 0, start.Add(2950*time.Millisecond))
	c.Assert(free, qt.IsFalse)
	for answered := 3900 * time.Millisecond; answered < 6*time.Second; answered += time.Second {
		book.Alive(start.Add(answered))
	}
	_, free = book.Free(part, 0, start.Add(6*time.Second))
	c.Assert(free, qt.IsTrue)
}

// How long earlier holders may have given orders is known from when they were last heard of, not from when it is asked.
func TestUntilWhenOrdersMayHaveBeenGiven(t *testing.T) {
	c := qt.New(t)
	rows, ctx := fakes.NewRows(), context.Background()
	start := time.Unix(1_000_000, 0)
	after := start.Add
	book := elect.NewBook()
	apply := func(now time.Time) {
		page, err := rows.Read(ctx, table.Range{Table: elect.Table, Part: part})
		c.Assert(err, qt.IsNil)
		c.Assert(book.Apply(page.Rows, now), qt.IsNil)
	}
	first, err := elect.Take(ctx, rows, elect.Epoch{Part: part}, elect.Taker{Name: "a", Life: "1"})
	c.Assert(err, qt.IsNil)
	apply(start)
	asked := after(time.Minute)
	c.Assert(book.OrdersUntil(part, asked).Equal(after(elect.Hold)), qt.IsTrue)

	unsure := []elect.Unsure{{Worker: "w", For: 4 * time.Second}}
	c.Assert(elect.Release(ctx, rows, first, unsure), qt.IsNil)
	apply(after(20 * time.Second))
	c.Assert(book.OrdersUntil(part, asked).Equal(after(20*time.Second)), qt.IsTrue)
	c.Assert(book.Unsure(part)["w"].Equal(after(24*time.Second)), qt.IsTrue)

	released, _ := book.Free(part, 0, asked)
	_, err = elect.Take(ctx, rows, released, elect.Taker{Name: "b", Life: "1"})
	c.Assert(err, qt.IsNil)
	apply(after(21 * time.Second))
	c.Assert(book.Unsure(part), qt.HasLen, 0)
	book.Started("b", "1", after(21*time.Second))
	book.Started("b", "2", after(26*time.Second))
	c.Assert(book.OrdersUntil(part, asked).Equal(after(26*time.Second)), qt.IsTrue)
}

// Pattern: all hosts lose power. Those that start anew have not seen when the last holder took the lease, but it has told.
func TestAHostThatStartsAnewKnowsHowLongALeaseWasHeld(t *testing.T) {
	c := qt.New(t)
	rows, ctx := fakes.NewRows(), context.Background()
	start := time.Unix(1_000_000, 0)
	epoch, err := elect.Take(ctx, rows, elect.Epoch{Part: part}, elect.Taker{Name: "a", Life: "1"})
	c.Assert(err, qt.IsNil)
	for _, held := range []time.Duration{0, time.Minute} {
		c.Assert(elect.Beat(ctx, rows, epoch, held), qt.IsNil)
		page, err := rows.Read(ctx, table.Range{Table: elect.Table, Part: part})
		c.Assert(err, qt.IsNil)
		book := elect.NewBook()
		c.Assert(book.Apply(page.Rows, start), qt.IsNil)
		book.Started("a", "2", start)
		// Of the holder before the last, orders may come for so long after the last took the lease.
		want := max(0, elect.Hold-elect.Takeover-held)
		c.Assert(book.OrdersUntil(part, start).Equal(start.Add(want)), qt.IsTrue)
	}
}
