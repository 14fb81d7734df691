package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/guard"
	"github.com/corianderdrift/corianderdrift/table"
)

// serveRelay serves s as another host would, and returns a store that forwards calls to it.
func serveRelay(c *qt.C, s table.Store) *relayStore {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := grpc.NewServer()
	cellpb.RegisterRowsServer(server, &rowServer{direct: table.NewHealth(s), memory: newRelayMemory(guard.SizesOf(0, 0), 0)})
	go func() { _ = server.Serve(l) }()
	h := newHosts("self", "here")
	c.Cleanup(func() {
		h.close()
		server.Stop()
	})
	return &relayStore{hosts: h, host: host{Name: "other", Address: netip.MustParseAddrPort(l.Addr().String())}}
}

// Every outcome of a call through another host reaches the calling host.
func TestRelayedCallsKeepTheirOutcome(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	store := fakes.NewTable()
	remote := serveRelay(c, store)
	key := table.Key{Table: "t", Partition: "p", Name: "n"}
	tx := table.Tx{Checks: []table.Check{{Key: key}}, Writes: []table.Write{{Key: key, Value: []byte("value")}}}

	version, err := remote.Commit(ctx, tx)
	c.Assert(err, qt.IsNil)
	row, _ := store.Get(key)
	c.Assert(row.Version, qt.Equals, version)

	_, err = remote.Commit(ctx, tx)
	var conflict *table.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(conflict.Rows, qt.HasLen, 1)
	c.Assert(conflict.Rows[0].Key, qt.Equals, key)
	c.Assert(conflict.Rows[0].Version, qt.Equals, version)

	page, err := remote.Read(ctx, table.Range{Table: "t", Partition: "p"})
	c.Assert(err, qt.IsNil)
	c.Assert(page.Rows, qt.HasLen, 1)
	c.Assert(string(page.Rows[0].Value), qt.Equals, "value")

	changes, err := remote.Changes(ctx, "t", 0, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(changes.Rows, qt.HasLen, 1)

	store.DropHistory()
	_, err = remote.Changes(ctx, "t", 0, time.Second)
	var lost *table.HistoryLostError
	c.Assert(errors.As(err, &lost), qt.IsTrue)
	c.Assert(lost.Table, qt.Equals, "t")

	store.SetFault(func(string) fakes.TableFault { return fakes.TableUnavailable })
	_, err = remote.Commit(ctx, table.Tx{Removes: []table.Key{key}})
	var refused *table.RefusedError
	c.Assert(errors.As(err, &refused), qt.IsTrue)
}

// A host whose direct route to the table fails refuses at once, so that calls are not relayed in a loop.
func TestHostWithoutTableRefusesRelayedCalls(t *testing.T) {
	c := qt.New(t)
	store := fakes.NewTable()
	remote := serveRelay(c, store)
	store.SetFault(func(string) fakes.TableFault { return fakes.TableUnavailable })
	for range 2 {
		_, err := remote.Commit(context.Background(), table.Tx{})
		var refused *table.RefusedError
		c.Assert(errors.As(err, &refused), qt.IsTrue)
	}
	c.Assert(store.NumCommits(), qt.Equals, 0)
}

// Only what a failure says of its own call may reach the calling host; what it says in a way that is not known leaves the outcome unknown.
func TestRelayedFailureProvesNoMoreThanItsCall(t *testing.T) {
	for _, test := range []struct {
		name    string
		failure *cellpb.Failure
		refused bool
	}{
		{"refused", failureToProto(&table.RefusedError{Status: 503}), true},
		{"unanswered", failureToProto(&table.UnansweredError{Err: context.DeadlineExceeded}), false},
		{"unanswered after a refusal", failureToProto(&table.UnansweredError{Err: &table.RefusedError{Status: 503}}), false},
		{"unanswered after a conflict", failureToProto(&table.UnansweredError{Err: &table.ConflictError{}}), false},
		{"error of another kind", failureToProto(context.DeadlineExceeded), false},
		{"unknown kind", &cellpb.Failure{Kind: 99}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			err := failureFromProto("commit", test.failure)
			var refused *table.RefusedError
			var unanswered *table.UnansweredError
			c.Assert(errors.As(err, &refused), qt.Equals, test.refused)
			c.Assert(errors.As(err, &unanswered), qt.Equals, !test.refused)
		})
	}
}

// A call to a host that does not respond has an unknown outcome, and the host is not used again for a while.
func TestUnreachableRelayHostLeavesOutcomeUnknown(t *testing.T) {
	c := qt.New(t)
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	h := newHosts("self", "here")
	address := netip.MustParseAddrPort(l.Addr().String())
	c.Assert(l.Close(), qt.IsNil)
	c.Cleanup(h.close)
	h.sorted = []host{{Name: "other", Address: address}}
	remote := &relayStore{hosts: h, host: h.sorted[0]}
	_, err = remote.Commit(context.Background(), table.Tx{})
	var unanswered *table.UnansweredError
	c.Assert(errors.As(err, &unanswered), qt.IsTrue)
	c.Assert(h.usable(time.Now()), qt.HasLen, 0)
}

// A runner that was cut off from the table reads all its jobs through one host: a weak one can't carry that, and a host that is cut off
// as well must not be asked first again and again.
func TestStrongHostsWithTableRelayFirst(t *testing.T) {
	c := qt.New(t)
	h := newHosts("a-0", "a")
	for _, dataCenter := range []string{"a", "b"} {
		for i := range 6 {
			peer := host{Name: fmt.Sprintf("%s-%d", dataCenter, i), DataCenter: dataCenter, Cores: 0.2}
			if i == 2 {
				peer.Cores = 0.8
			}
			h.known[peer.Name] = peer
		}
	}
	h.sort()
	h.chooseFastPath()
	first := func(now time.Time) []string {
		var names []string
		for _, peer := range h.relays(now)[:2] {
			names = append(names, peer.Name)
		}
		return names
	}
	now := time.Now()
	c.Assert(h.relays(now), qt.HasLen, 11)
	c.Assert(first(now), qt.DeepEquals, []string{"a-2", "b-2"})
	h.setWithoutTable("a-2", now)
	c.Assert(first(now)[0], qt.Equals, "b-2")
	c.Assert(h.relays(now)[10].Name, qt.Equals, "a-2")
	c.Assert(first(now.Add(2*withoutTableDuration)), qt.DeepEquals, []string{"a-2", "b-2"})
}
