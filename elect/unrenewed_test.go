package elect_test

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/table"
)

// The next holder must take what is known of unrenewed workers from the last holder's own record, or from what that has inherited, and from no
// earlier one; and it must not acquire the lease by a record that has been replaced.
func TestUnrenewedWorkersOfDeadHolder(t *testing.T) {
	c := qt.New(t)
	store, ctx := fakes.NewTable(), context.Background()
	start := time.Unix(1_000_000, 0)
	view := elect.NewView()
	apply := func(now time.Time) {
		page, err := store.Read(ctx, table.Range{Table: elect.Table, Partition: group})
		c.Assert(err, qt.IsNil)
		c.Assert(view.Apply(page.Rows, now), qt.IsNil)
	}
	record := func(token uint64, workers ...elect.UnconfirmedWorker) {
		raw, err := json.Marshal(elect.Unrenewed{Token: token, Workers: workers})
		c.Assert(err, qt.IsNil)
		_, err = store.Apply(table.Tx{Writes: []table.Write{{Key: elect.UnrenewedKey(group), Value: raw}}})
		c.Assert(err, qt.IsNil)
	}
	first, err := elect.Acquire(ctx, store, elect.Epoch{Group: group}, elect.Candidate{Name: "a"})
	c.Assert(err, qt.IsNil)
	record(first.Token, elect.UnconfirmedWorker{Worker: "w", Remaining: 4 * time.Second})
	apply(start)
	apply(start.Add(2 * time.Second))
	c.Assert(view.Unconfirmed(group), qt.DeepEquals, map[string]time.Time{"w": start.Add(4 * time.Second)})

	stale, _ := view.Acquirable(group, 0, start.Add(3*time.Second))
	record(first.Token)
	_, err = elect.Acquire(ctx, store, stale, elect.Candidate{Name: "b"})
	var conflict *table.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)

	record(first.Token, elect.UnconfirmedWorker{Worker: "w", Remaining: 3 * time.Second})
	apply(start.Add(4 * time.Second))
	seen, _ := view.Acquirable(group, 0, start.Add(5*time.Second))
	second, err := elect.Acquire(ctx, store, seen, elect.Candidate{Name: "b"})
	c.Assert(err, qt.IsNil)
	apply(start.Add(6 * time.Second))
	c.Assert(view.Unconfirmed(group), qt.DeepEquals, map[string]time.Time{"w": start.Add(8 * time.Second)})

	// A holder of an earlier version inherits nothing and keeps no record, so that of the first one says nothing any more.
	_, err = elect.Acquire(ctx, store, second, elect.Candidate{Name: "c"})
	c.Assert(err, qt.IsNil)
	apply(start.Add(7 * time.Second))
	c.Assert(view.Unconfirmed(group), qt.HasLen, 0)
}
