package elect_test

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/table"
)

// Guards against a witness that lets a holder go on after it has told the next one that it does not, and against one that forgets that it did: also
// 8.2 s later, when the permission has ended, the next holder has to count with it.
func TestWitnessTellsHolderAndNextOneTheSame(t *testing.T) {
	const within = 7 * time.Second
	type call struct {
		refuse bool
		token  uint64
		at     time.Duration
		want   bool
	}
	for _, test := range []struct {
		name  string
		calls []call
	}{
		{"never asked", []call{{true, 3, 0, true}}},
		{"goes on", []call{{false, 3, 0, true}, {true, 3, 6 * time.Second, false}, {true, 3, within, false}}},
		{"has gone on before", []call{{false, 3, 0, true}, {true, 3, within + 1, true}}},
		{"is replaced", []call{{true, 3, 0, true}, {false, 3, 1, false}, {false, 2, 1, false}, {false, 4, 1, true}, {false, 3, time.Hour, false}}},
		{"a call is late", []call{{false, 3, 9 * time.Second, true}, {false, 3, 0, true}, {true, 3, 15 * time.Second, false}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var w elect.Witness
			for i, each := range test.calls {
				var got bool
				if each.refuse {
					got = w.Refuse(group, each.token, within, each.at)
				} else {
					got = w.Extend(group, each.token, each.at)
				}
				qt.Check(t, got, qt.Equals, each.want, qt.Commentf("call %d", i))
			}
		})
	}
	start := time.Unix(1_000_000, 0)
	// An order of an extended holder may have been sent 6 s after the witness was asked: that has to be before the given time.
	qt.Check(t, elect.RefuseWithin(start, start.Add(2*time.Second)) > 2*time.Second+elect.HoldTimeout, qt.IsTrue)
	qt.Check(t, elect.RefuseWithin(start, start.Add(-2*time.Second)) > elect.HoldTimeout, qt.IsTrue)
}

// Guards against a next holder that counts with witnesses whom the last one did not ask, or that takes over without having seen whom it asks.
func TestNextHolderAsksWitnessesOfLastOne(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	peers := []elect.Peer{{Host: "b", Incarnation: "1"}}
	for _, test := range []struct {
		name      string
		record    *elect.Witnesses
		recordAt  time.Duration
		release   bool
		wantUntil time.Duration
	}{
		{"none", nil, 0, false, 0},
		{"of an earlier holder", &elect.Witnesses{Token: 7, Peers: peers}, 0, false, 0},
		{"empty", &elect.Witnesses{Token: 1}, 0, false, 0},
		{"of a released lease", &elect.Witnesses{Token: 1, Peers: peers}, 0, true, 0},
		{"recorded before the last renewal", &elect.Witnesses{Token: 1, Peers: peers}, 0, false, 10*time.Second + elect.UnextendedTimeout},
		{"recorded while others had agreed", &elect.Witnesses{Token: 1, Peers: peers}, 14 * time.Second, false, 14 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			store := fakes.NewTable()
			view := elect.NewView()
			apply := func(name string, at time.Duration) {
				page, err := store.Read(t.Context(), table.Range{Table: elect.Table, Partition: group, From: name})
				c.Assert(err, qt.IsNil)
				c.Assert(view.Apply(page.Rows[:min(1, len(page.Rows))], start.Add(at)), qt.IsNil)
			}
			epoch, err := elect.Acquire(t.Context(), store, elect.Epoch{Group: group}, elect.Candidate{Name: "a", Incarnation: "1"})
			c.Assert(err, qt.IsNil)
			apply("epoch", 0)
			c.Assert(elect.Renew(t.Context(), store, epoch, elect.Renewal{Held: 10 * time.Second}), qt.IsNil)
			apply("beat", 10*time.Second)
			if test.record != nil {
				raw, err := json.Marshal(test.record)
				c.Assert(err, qt.IsNil)
				previous, _ := view.Acquirable(group, 0, start)
				_, err = store.Apply(table.Tx{Writes: []table.Write{{Key: elect.WitnessesKey(group), Value: raw}}})
				c.Assert(err, qt.IsNil)
				_, err = elect.Acquire(t.Context(), store, previous, elect.Candidate{Name: "b", Incarnation: "1"})
				c.Assert(err, qt.IsNotNil)
				apply("witnesses", test.recordAt)
			}
			if test.release {
				c.Assert(elect.Release(t.Context(), store, epoch, elect.ReleaseState{}), qt.IsNil)
				apply("epoch", 10*time.Second)
			}
			now := start.Add(20 * time.Second)
			previous, _ := view.Acquirable(group, 0, now)
			attempt := view.NewAttempt(previous, 0, now)
			if test.wantUntil == 0 {
				c.Assert(attempt.Witnesses.Peers, qt.HasLen, 0)
				return
			}
			c.Assert(attempt.Witnesses.Peers, qt.DeepEquals, peers)
			c.Assert(attempt.UnextendedUntil.Equal(start.Add(test.wantUntil)), qt.IsTrue)
			c.Assert(attempt.OrdersUntil.Equal(start.Add(10*time.Second+elect.HoldTimeout)), qt.IsTrue)
		})
	}
}
