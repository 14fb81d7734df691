package elect_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/table"
)

// An attempt without an answer must count as carried out only while the lease's epoch is the one that it has written.
func TestUnansweredAttemptIsConfirmed(t *testing.T) {
	for _, test := range []struct {
		name string
		// write is what happens to the lease after the attempt by a's process 1.
		write func(c *qt.C, store *fakes.Table, acquired elect.Epoch)
		want  bool
	}{
		{"carried out", func(*qt.C, *fakes.Table, elect.Epoch) {}, true},
		{"released since", func(c *qt.C, store *fakes.Table, acquired elect.Epoch) {
			c.Assert(elect.Release(c.Context(), store, acquired, elect.ReleaseState{}), qt.IsNil)
		}, false},
		{"another host has acquired the lease since", func(c *qt.C, store *fakes.Table, acquired elect.Epoch) {
			_, err := elect.Acquire(c.Context(), store, acquired, elect.Candidate{Name: "b", Incarnation: "1"})
			c.Assert(err, qt.IsNil)
		}, false},
		{"a later process of the host has acquired it since", func(c *qt.C, store *fakes.Table, acquired elect.Epoch) {
			_, err := elect.Acquire(c.Context(), store, acquired, elect.Candidate{Name: "a", Incarnation: "2"})
			c.Assert(err, qt.IsNil)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, ctx := qt.New(t), context.Background()
			store, view, now := fakes.NewTable(), elect.NewView(), time.Unix(1_000_000, 0)
			attempt := view.NewAttempt(elect.Epoch{Group: group}, 0, now)
			c.Assert(view.Confirm(&attempt), qt.IsFalse)
			acquired, err := elect.Acquire(ctx, store, elect.Epoch{Group: group}, elect.Candidate{Name: "a", Incarnation: "1"})
			c.Assert(err, qt.IsNil)
			attempt.Epoch = acquired
			attempt.Epoch.Version = 0
			c.Assert(view.Confirm(&attempt), qt.IsFalse)
			test.write(c, store, acquired)
			page, err := store.Read(ctx, table.Range{Table: elect.Table, Partition: group})
			c.Assert(err, qt.IsNil)
			c.Assert(view.Apply(page.Rows, now), qt.IsNil)
			c.Assert(view.Confirm(&attempt), qt.Equals, test.want)
			if test.want {
				c.Assert(attempt.Epoch.Version, qt.Equals, acquired.Version)
			}
		})
	}
}
