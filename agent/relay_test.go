package agent

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"

	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/table"
)

// serveRows lets another host reach a table through this process.
func serveRows(c *qt.C, s table.Store) *remoteStore {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := grpc.NewServer()
	cellpb.RegisterRowsServer(server, &rowServer{direct: table.NewHealth(s)})
	go func() { _ = server.Serve(l) }()
	known := newHosts("self", "here")
	c.Cleanup(func() {
		known.close()
		server.Stop()
	})
	return &remoteStore{hosts: known, host: host{Name: "other", Address: netip.MustParseAddrPort(l.Addr().String())}}
}

// Every outcome of a call through another host reaches the host that asked for it.
func TestCallsThroughAnotherHostKeepTheirOutcome(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	rows := fakes.NewRows()
	remote := serveRows(c, rows)
	key := table.Key{Table: "t", Part: "p", Name: "n"}
	tx := table.Tx{Checks: []table.Check{{Key: key}}, Writes: []table.Write{{Key: key, Value: []byte("value")}}}

	version, err := remote.Commit(ctx, tx)
	c.Assert(err, qt.IsNil)
	row, _ := rows.Get(key)
	c.Assert(row.Version, qt.Equals, version)

	_, err = remote.Commit(ctx, tx)
	var conflict *table.ConflictError
	c.Assert(errors.As(err, &conflict), qt.IsTrue)
	c.Assert(conflict.Rows, qt.HasLen, 1)
	c.Assert(conflict.Rows[0].Key, qt.Equals, key)
	c.Assert(conflict.Rows[0].Version, qt.Equals, version)

	page, err := remote.Read(ctx, table.Range{Table: "t", Part: "p"})
	c.Assert(err, qt.IsNil)
	c.Assert(page.Rows, qt.HasLen, 1)
	c.Assert(string(page.Rows[0].Value), qt.Equals, "value")

	changes, err := remote.Changes(ctx, "t", 0, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(changes.Rows, qt.HasLen, 1)

	rows.Forget()
	_, err = remote.Changes(ctx, "t", 0, time.Second)
	var lost *table.HistoryLostError
	c.Assert(errors.As(err, &lost), qt.IsTrue)
	c.Assert(lost.Table, qt.Equals, "t")

	rows.Fail(func(string) fakes.RowsFault { return fakes.RowsRefuse })
	_, err = remote.Commit(ctx, table.Tx{Removes: []table.Key{key}})
	var refused *table.RefusedError
	c.Assert(errors.As(err, &refused), qt.IsTrue)
}

// A host whose own way to the table fails refuses at once, so that a call is not passed on in circles.
func TestAHostWithoutTheTableRefusesCallsOfOthers(t *testing.T) {
	c := qt.New(t)
	rows := fakes.NewRows()
	remote := serveRows(c, rows)
	rows.Fail(func(string) fakes.RowsFault { return fakes.RowsRefuse })
	for range 2 {
		_, err := remote.Commit(context.Background(), table.Tx{})
		var refused *table.RefusedError
		c.Assert(errors.As(err, &refused), qt.IsTrue)
	}
	c.Assert(rows.Commits(), qt.Equals, 0)
}

// A host that does not answer leaves the outcome open and is not asked again for a while.
func TestASilentHostLeavesTheOutcomeOpen(t *testing.T) {
	c := qt.New(t)
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	known := newHosts("self", "here")
	address := netip.MustParseAddrPort(l.Addr().String())
	c.Assert(l.Close(), qt.IsNil)
	c.Cleanup(known.close)
	known.sorted = []host{{Name: "other", Address: address}}
	remote := &remoteStore{hosts: known, host: known.sorted[0]}
	_, err = remote.Commit(context.Background(), table.Tx{})
	var unanswered *table.UnansweredError
	c.Assert(errors.As(err, &unanswered), qt.IsTrue)
	c.Assert(known.usable(time.Now()), qt.HasLen, 0)
}
