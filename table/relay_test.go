package table_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/table"
)

// path is one host's path to a table that other hosts reach too.
type path struct {
	*fakes.Rows
	fault atomic.Int32
	calls atomic.Int32
}

func newPath(rows *fakes.Rows, fault fakes.RowsFault) *path {
	p := &path{Rows: rows}
	p.fault.Store(int32(fault))
	return p
}

// Commit implements table.Store.
func (p *path) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	p.calls.Add(1)
	switch fakes.RowsFault(p.fault.Load()) {
	case fakes.RowsRefuse:
		return 0, &table.RefusedError{Op: "commit", Status: 503}
	case fakes.RowsLost:
		_, _ = p.Rows.Commit(ctx, tx)
		return 0, &table.UnansweredError{Op: "commit", Err: errors.New("connection reset")}
	default:
		return p.Rows.Commit(ctx, tx)
	}
}

// Read implements table.Store.
func (p *path) Read(ctx context.Context, r table.Range) (table.Page, error) {
	if fakes.RowsFault(p.fault.Load()) != fakes.RowsOK {
		return table.Page{}, &table.RefusedError{Op: "read", Status: 503}
	}
	return p.Rows.Read(ctx, r)
}

func newRelay(direct, other *path) *table.Relay {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &table.Relay{
		Direct: table.NewHealth(direct), Others: func() []table.Store { return []table.Store{other} },
		Probe: table.Range{Table: "t", Part: "p", Limit: 1}, Log: log,
	}
}

func create(name string) table.Tx {
	key := table.Key{Table: "t", Part: "p", Name: name}
	return table.Tx{Checks: []table.Check{{Key: key}}, Writes: []table.Write{{Key: key, Value: []byte("v")}}}
}

// The table refuses calls of this host and serves other hosts. A refused call had no effect, so it is retried through another host;
// an unanswered one is not.
func TestRefusedCallIsRelayed(t *testing.T) {
	for _, test := range []struct {
		name          string
		direct, other fakes.RowsFault
		commits       int
		refused       bool
		unanswered    bool
	}{
		{"both paths serve", fakes.RowsOK, fakes.RowsOK, 1, false, false},
		{"this host is refused", fakes.RowsRefuse, fakes.RowsOK, 1, false, false},
		{"both hosts are refused", fakes.RowsRefuse, fakes.RowsRefuse, 0, true, false},
		// The call may have taken effect, so it is not sent through another host.
		{"the direct answer is lost", fakes.RowsLost, fakes.RowsOK, 1, false, true},
		{"the relayed answer is lost", fakes.RowsRefuse, fakes.RowsLost, 1, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			rows := fakes.NewRows()
			relay := newRelay(newPath(rows, test.direct), newPath(rows, test.other))
			_, err := relay.Commit(context.Background(), create("job"))
			var refused *table.RefusedError
			var unanswered *table.UnansweredError
			c.Assert(errors.As(err, &refused), qt.Equals, test.refused)
			c.Assert(errors.As(err, &unanswered), qt.Equals, test.unanswered)
			c.Assert(err == nil, qt.Equals, !test.refused && !test.unanswered)
			c.Assert(rows.Commits(), qt.Equals, test.commits)
		})
	}
}

// A failing direct path receives only probes, and is used again once it answers.
func TestDirectPathIsUsedAgainAfterRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		rows := fakes.NewRows()
		direct, other := newPath(rows, fakes.RowsRefuse), newPath(rows, fakes.RowsOK)
		relay := newRelay(direct, other)
		ctx, cancel := context.WithCancel(t.Context())
		go relay.Run(ctx)
		for _, name := range []string{"a", "b", "c"} {
			_, err := relay.Commit(ctx, create(name))
			c.Assert(err, qt.IsNil)
		}
		c.Assert(direct.calls.Load(), qt.Equals, int32(1))
		c.Assert(other.calls.Load(), qt.Equals, int32(3))
		direct.fault.Store(int32(fakes.RowsOK))
		time.Sleep(time.Second)
		_, err := relay.Commit(ctx, create("d"))
		c.Assert(err, qt.IsNil)
		c.Assert(direct.calls.Load(), qt.Equals, int32(2))
		cancel()
		synctest.Wait()
	})
}
