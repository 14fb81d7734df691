package elect_test

import (
	"context"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/table"
)

// A host that has seen only the release of a lease must count from what that tells of earlier orders, and ask for the handover state that still
// applies.
func TestReleaseTellsOfEarlierHolders(t *testing.T) {
	ago, ahead := -8*time.Second, 3*time.Second
	earlier := netip.MustParseAddrPort("10.0.0.1:80")
	for _, test := range []struct {
		name      string
		state     elect.ReleaseState
		wantUntil time.Duration
		wantToken uint64
	}{
		{"no orders for long", elect.ReleaseState{OrdersFor: &ago, HandoverAddress: earlier, HandoverToken: 7}, ago, 7},
		{"an earlier holder may send orders", elect.ReleaseState{OrdersFor: &ahead}, ahead, 1},
		{"not told", elect.ReleaseState{}, elect.HoldTimeout - elect.TakeoverTimeout, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			store, ctx := fakes.NewTable(), context.Background()
			seenAt := time.Unix(1_000_000, 0)
			holder, err := elect.Acquire(ctx, store, elect.Epoch{Group: group}, elect.Candidate{Name: "a", Address: netip.MustParseAddrPort("10.0.0.2:80")})
			c.Assert(err, qt.IsNil)
			c.Assert(elect.Release(ctx, store, holder, test.state), qt.IsNil)
			page, err := store.Read(ctx, table.Range{Table: elect.Table, Partition: group})
			c.Assert(err, qt.IsNil)
			view := elect.NewView()
			c.Assert(view.Apply(page.Rows, seenAt), qt.IsNil)
			c.Check(view.OrdersUntil(group, seenAt).Equal(seenAt.Add(test.wantUntil)), qt.IsTrue)
			released, _ := view.Acquirable(group, 0, seenAt)
			_, token, ok := released.Handover()
			c.Check(ok, qt.IsTrue)
			c.Check(token, qt.Equals, test.wantToken)
		})
	}
}
