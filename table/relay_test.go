package table_test

import (
	"context"
	"errors"
	"fmt"
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
	*fakes.Table
	fault atomic.Int32
	calls atomic.Int32
}

func newPath(store *fakes.Table, fault fakes.TableFault) *path {
	p := &path{Table: store}
	p.fault.Store(int32(fault))
	return p
}

// Commit implements table.Store.
func (p *path) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	p.calls.Add(1)
	switch fakes.TableFault(p.fault.Load()) {
	case fakes.TableUnavailable:
		return 0, &table.RefusedError{Op: "commit", Status: 503}
	case fakes.TableReplyLost:
		_, _ = p.Table.Commit(ctx, tx)
		return 0, &table.UnansweredError{Op: "commit", Err: errors.New("connection reset")}
	default:
		return p.Table.Commit(ctx, tx)
	}
}

// Read implements table.Store.
func (p *path) Read(ctx context.Context, r table.Range) (table.Page, error) {
	if fakes.TableFault(p.fault.Load()) != fakes.TableOK {
		return table.Page{}, &table.RefusedError{Op: "read", Status: 503}
	}
	return p.Table.Read(ctx, r)
}

func newRelay(direct, other *path) *table.Relay {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &table.Relay{
		Direct: table.NewHealth(direct), Fallbacks: func() []table.Store { return []table.Store{other} },
		Probe: table.Range{Table: "t", Partition: "p", Limit: 1}, Log: log,
	}
}

func create(name string) table.Tx {
	key := table.Key{Table: "t", Partition: "p", Name: name}
	return table.Tx{Checks: []table.Check{{Key: key}}, Writes: []table.Write{{Key: key, Value: []byte("v")}}}
}

// The table refuses calls of this host and serves other hosts. A refused call had no effect, so it is retried through another host;
// an unanswered one is not.
func TestRefusedCallIsRelayed(t *testing.T) {
	for _, test := range []struct {
		name          string
		direct, other fakes.TableFault
		commits       int
		refused       bool
		unanswered    bool
	}{
		{"both paths serve", fakes.TableOK, fakes.TableOK, 1, false, false},
		{"this host is refused", fakes.TableUnavailable, fakes.TableOK, 1, false, false},
		{"both hosts are refused", fakes.TableUnavailable, fakes.TableUnavailable, 0, true, false},
		// The call may have taken effect, so it is not sent through another host.
		{"the direct answer is lost", fakes.TableReplyLost, fakes.TableOK, 1, false, true},
		{"the relayed answer is lost", fakes.TableUnavailable, fakes.TableReplyLost, 1, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			store := fakes.NewTable()
			relay := newRelay(newPath(store, test.direct), newPath(store, test.other))
			_, err := relay.Commit(context.Background(), create("job"))
			var refused *table.RefusedError
			var unanswered *table.UnansweredError
			c.Assert(errors.As(err, &refused), qt.Equals, test.refused)
			c.Assert(errors.As(err, &unanswered), qt.Equals, test.unanswered)
			c.Assert(err == nil, qt.Equals, !test.refused && !test.unanswered)
			c.Assert(store.NumCommits(), qt.Equals, test.commits)
		})
	}
}

// An unanswered commit whose cause was the refusal of another call would be taken for one without effect, and sent through another host.
func TestUnansweredCommitHidesOutcomeOfAnotherCall(t *testing.T) {
	for _, cause := range []error{
		&table.RefusedError{Op: "commit", Status: 503},
		&table.ConflictError{},
		fmt.Errorf("second call: %w", &table.RefusedError{Op: "read", Status: 503}),
	} {
		t.Run(fmt.Sprintf("%T", cause), func(t *testing.T) {
			c := qt.New(t)
			store := fakes.NewTable()
			relay := newRelay(newPath(store, fakes.TableOK), newPath(store, fakes.TableOK))
			relay.Direct = table.NewHealth(failingStore{store, &table.UnansweredError{Op: "commit", Err: cause}})
			_, err := relay.Commit(context.Background(), create("job"))
			var refused *table.RefusedError
			var conflict *table.ConflictError
			var unanswered *table.UnansweredError
			c.Assert(errors.As(err, &unanswered), qt.IsTrue)
			c.Assert(errors.As(err, &refused), qt.IsFalse)
			c.Assert(errors.As(err, &conflict), qt.IsFalse)
			c.Assert(store.NumCommits(), qt.Equals, 0)
		})
	}
	c := qt.New(t)
	c.Assert(&table.UnansweredError{Err: context.DeadlineExceeded}, qt.ErrorIs, context.DeadlineExceeded)
}

// failingStore fails all commits with an error.
type failingStore struct {
	*fakes.Table
	err error
}

// Commit implements table.Store.
func (s failingStore) Commit(context.Context, table.Tx) (uint64, error) { return 0, s.err }

// A failing direct path receives only probes, and is used again once it answers.
func TestDirectPathIsUsedAgainAfterRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fakes.NewTable()
		direct, other := newPath(store, fakes.TableUnavailable), newPath(store, fakes.TableOK)
		relay := newRelay(direct, other)
		ctx, cancel := context.WithCancel(t.Context())
		go relay.Run(ctx)
		for _, name := range []string{"a", "b", "c"} {
			_, err := relay.Commit(ctx, create(name))
			c.Assert(err, qt.IsNil)
		}
		c.Assert(direct.calls.Load(), qt.Equals, int32(1))
		c.Assert(other.calls.Load(), qt.Equals, int32(3))
		direct.fault.Store(int32(fakes.TableOK))
		time.Sleep(time.Second)
		_, err := relay.Commit(ctx, create("d"))
		c.Assert(err, qt.IsNil)
		c.Assert(direct.calls.Load(), qt.Equals, int32(2))
		cancel()
		synctest.Wait()
	})
}

// unsentPath is a path on which there is no connection, as is known after a delay.
type unsentPath struct {
	*fakes.Table
	delay time.Duration
}

// Changes implements table.Store.
func (p *unsentPath) Changes(context.Context, string, uint64, time.Duration) (table.Changes, error) {
	time.Sleep(p.delay)
	return table.Changes{}, &table.RefusedError{Op: "changes", Err: errors.New("dial: i/o timeout")}
}

// A call for changes that reached another host late waited there beyond its own timeout, so that the host counted as unresponsive.
func TestRelayedChangesAreAnsweredBeforeTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const wait, slack = time.Second, 600 * time.Millisecond
		store := fakes.NewTable()
		relay := newRelay(newPath(store, fakes.TableOK), newPath(store, fakes.TableOK))
		relay.Direct = table.NewHealth(&unsentPath{store, 800 * time.Millisecond})
		ctx, cancel := context.WithTimeout(c.Context(), wait+slack)
		defer cancel()
		_, err := relay.Changes(ctx, "t", 0, wait)
		c.Assert(err, qt.IsNil)
	})
}

// Guards against reads that fail with their first path though another one has the rows: nothing but a commit can take effect twice.
func TestReadsGoOnAfterUnansweredPath(t *testing.T) {
	c := qt.New(t)
	store := fakes.NewTable()
	put(c, store, "row")
	broken := &fakes.Path{Store: store}
	broken.Set(fakes.PathReset)
	relay := newRelay(nil, nil)
	relay.Direct = table.NewHealth(broken)
	relay.Fallbacks = func() []table.Store { return []table.Store{broken, newPath(store, fakes.TableOK)} }
	page, err := relay.Read(t.Context(), relay.Probe)
	c.Assert(err, qt.IsNil)
	c.Assert(page.Rows, qt.HasLen, 1)
	changes, err := relay.Changes(t.Context(), "t", 0, time.Second)
	c.Assert(err, qt.IsNil)
	c.Assert(changes.Rows, qt.HasLen, 1)
	relay.Fallbacks = func() []table.Store { return []table.Store{broken} }
	_, err = relay.Read(t.Context(), relay.Probe)
	var unanswered *table.UnansweredError
	c.Assert(errors.As(err, &unanswered), qt.IsTrue)
}

// Guards against calls for changes that wait for a host that has gone until their timeout, up to 6 s, though the table answers directly again. Where the
// other host is there, either answer does.
func TestChangesDoNotWaitForDeadRelay(t *testing.T) {
	for _, dead := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			const timeout, refusedFor, storedAfter, wait = 6 * time.Second, 300 * time.Millisecond, 500 * time.Millisecond, time.Second
			store := fakes.NewTable()
			direct := newPath(store, fakes.TableUnavailable)
			relay := newRelay(direct, newPath(store, fakes.TableOK))
			if dead {
				silent := &fakes.Path{Store: store}
				silent.Set(fakes.PathSilent)
				relay.Fallbacks = func() []table.Store { return []table.Store{silent} }
			}
			ctx, cancel := context.WithCancel(t.Context())
			_, _ = relay.Direct.Read(ctx, relay.Probe)
			go relay.Run(ctx)
			time.AfterFunc(refusedFor, func() { direct.fault.Store(int32(fakes.TableOK)) })
			time.AfterFunc(storedAfter, func() { put(c, store, "row") })
			call, stop := context.WithTimeout(ctx, timeout)
			startedAt := time.Now()
			changes, err := relay.Changes(call, "t", 0, wait)
			c.Assert(err, qt.IsNil)
			c.Check(changes.Rows, qt.HasLen, 1)
			c.Check(time.Since(startedAt) <= wait, qt.IsTrue, qt.Commentf("answered after %v", time.Since(startedAt)))
			stop()
			cancel()
			synctest.Wait()
		})
	}
}

// After an outage callers used to be refused for up to 250 ms more, until the next probe.
func TestCallFindsThatTableAnswersAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		direct := newPath(fakes.NewTable(), fakes.TableUnavailable)
		relay := newRelay(direct, newPath(fakes.NewTable(), fakes.TableUnavailable))
		answered := 0
		relay.OnAnswer = func() { answered++ }
		_, err := relay.Commit(t.Context(), create("a"))
		c.Assert(err, qt.IsNotNil)
		time.Sleep(time.Second)
		c.Assert(relay.Check(t.Context()), qt.IsFalse)
		time.Sleep(time.Second)
		direct.fault.Store(int32(fakes.TableOK))
		startedAt := time.Now()
		c.Assert(relay.Check(t.Context()), qt.IsTrue)
		c.Assert(time.Since(startedAt) < 10*time.Millisecond, qt.IsTrue)
		c.Assert(answered, qt.Equals, 1)
	})
}

// countingReads counts the reads of a table that does not answer.
type countingReads struct {
	*fakes.Table
	reads atomic.Int32
}

// Read implements table.Store.
func (s *countingReads) Read(ctx context.Context, r table.Range) (table.Page, error) {
	s.reads.Add(1)
	return s.Table.Read(ctx, r)
}

// Probes are charged for, and all hosts send them at once: callers must not multiply them. A table that does not answer at all must be probed
// as often as one that refuses, or its return is noticed late. Load: a call each millisecond for two seconds.
func TestProbesDuringOutageAreBounded(t *testing.T) {
	for _, fault := range []fakes.TableFault{fakes.TableUnavailable, fakes.TableNoReply} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			store := &countingReads{Table: fakes.NewTable()}
			store.SetFault(func(string) fakes.TableFault { return fault })
			relay := newRelay(newPath(fakes.NewTable(), fakes.TableOK), newPath(fakes.NewTable(), fakes.TableUnavailable))
			relay.Direct = table.NewHealth(store)
			ctx, cancel := context.WithCancel(t.Context())
			call, stop := context.WithTimeout(ctx, 700*time.Millisecond)
			_, _ = relay.Direct.Read(call, relay.Probe)
			stop()
			go relay.Run(ctx)
			store.reads.Store(0)
			time.Sleep(2050 * time.Millisecond)
			c.Check(store.reads.Load() >= 19 && store.reads.Load() <= 21, qt.IsTrue, qt.Commentf("%d probes without calls", store.reads.Load()))
			store.reads.Store(0)
			for range 2000 {
				go relay.Check(ctx)
				time.Sleep(time.Millisecond)
			}
			c.Check(store.reads.Load() <= 101, qt.IsTrue, qt.Commentf("%d probes", store.reads.Load()))
			cancel()
			time.Sleep(time.Second)
		})
	}
}
