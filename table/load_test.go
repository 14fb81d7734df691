package table_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/table"
)

// narrowLink passes reads to a table over a link that carries bytesPerSecond: answers wait behind those asked for earlier, and what is
// cancelled has used the link all the same. Every answer takes latency in addition.
type narrowLink struct {
	table.Store
	bytesPerSecond int
	latency        time.Duration

	mu     sync.Mutex
	freeAt time.Time
}

func (l *narrowLink) carry(ctx context.Context, rows []table.Row) error {
	const headerBytes = 200
	size := headerBytes
	for _, r := range rows {
		size += len(r.Name) + len(r.Value)*4/3
	}
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(size) * time.Second / time.Duration(l.bytesPerSecond))
	wait := time.Until(l.freeAt) + l.latency
	l.mu.Unlock()
	select {
	case <-time.After(wait):
		return nil
	case <-ctx.Done():
		return &table.UnansweredError{Op: "read", Err: ctx.Err()}
	}
}

func (l *narrowLink) Read(ctx context.Context, r table.Range) (table.Page, error) {
	page, err := l.Store.Read(ctx, r)
	if err == nil {
		err = l.carry(ctx, page.Rows)
	}
	return page, err
}

func (l *narrowLink) Changes(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	changes, err := l.Store.Changes(ctx, name, after, wait)
	if err == nil {
		err = l.carry(ctx, changes.Rows)
	}
	return changes, err
}

const (
	numPartitions, numRows, rowBytes = 48, 12, 3000
	// mbit is in bytes per second.
	mbit = 1e6 / 8
)

func fillTable(c *qt.C, store *fakes.Table) []string {
	var partitions []string
	for p := range numPartitions {
		partition := fmt.Sprintf("g/%d", p)
		partitions = append(partitions, partition)
		for i := range numRows {
			_, err := store.Commit(c.Context(), table.Tx{Writes: []table.Write{{
				Key: table.Key{Table: "jobs", Partition: partition, Name: fmt.Sprintf("%03d", i)}, Value: make([]byte, rowBytes),
			}}})
			c.Assert(err, qt.IsNil)
		}
	}
	return partitions
}

// A new holder of a group used to start reading anew after each timeout, so that it never finished on a narrow link, and its reads
// delayed the renewal of its lease.
func TestLoadingFitsTheLink(t *testing.T) {
	for _, test := range []struct {
		name           string
		bytesPerSecond int
		latency        time.Duration
		// ideal is the time that the bytes and, for the partitions read at a time, the latency take.
		ideal time.Duration
	}{
		{"2 Mbit/s", 2 * mbit, 5 * time.Millisecond, numPartitions * numRows * rowBytes * 4 / 3 * time.Second / (2 * mbit)},
		{"20 Mbit/s", 20 * mbit, 5 * time.Millisecond, numPartitions * numRows * rowBytes * 4 / 3 * time.Second / (20 * mbit)},
		{"200 Mbit/s", 200 * mbit, 5 * time.Millisecond, 200 * time.Millisecond},
		{"slow table", 200 * mbit, 900 * time.Millisecond, 4 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := fakes.NewTable()
				partitions := fillTable(c, store)
				link := &narrowLink{Store: store, bytesPerSecond: test.bytesPerSecond, latency: test.latency}
				log := logrus.New()
				log.SetOutput(io.Discard)
				loadedAt, received := time.Time{}, 0
				start := time.Now()
				f := table.Follower{
					Store: link, Table: "jobs", Log: log, Partitions: func() []string { return partitions },
					Load: func(rows []table.Row) { loadedAt, received = time.Now(), received+len(rows) }, Apply: func([]table.Row) {},
				}
				ctx, cancel := context.WithCancel(t.Context())
				go f.Run(ctx)
				slowest := time.Duration(0)
				for time.Since(start) < 2*test.ideal {
					time.Sleep(200 * time.Millisecond)
					sentAt := time.Now()
					_, err := link.Read(ctx, table.Range{Table: "leases"})
					c.Assert(err, qt.IsNil)
					slowest = max(slowest, time.Since(sentAt))
				}
				cancel()
				synctest.Wait()
				c.Check(received, qt.Equals, numPartitions*numRows)
				c.Check(loadedAt.Sub(start) <= 2*test.ideal, qt.IsTrue, qt.Commentf("%v, at least %v", loadedAt.Sub(start), test.ideal))
				c.Check(slowest <= time.Second, qt.IsTrue, qt.Commentf("a small read took %v", slowest))
				t.Logf("loaded after %v, slowest small read %v", loadedAt.Sub(start), slowest)
			})
		})
	}
}

// The changes since an outage may take longer than a usual call.
func TestManyChangesArriveOverNarrowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fakes.NewTable()
		link := &narrowLink{Store: store, bytesPerSecond: 2 * mbit, latency: 5 * time.Millisecond}
		log := logrus.New()
		log.SetOutput(io.Discard)
		received := 0
		f := table.Follower{
			Store: link, Table: "jobs", Log: log, Partitions: func() []string { return []string{"g/0"} },
			Load: func([]table.Row) {}, Apply: func(rows []table.Row) { received += len(rows) },
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		time.Sleep(time.Second)
		store.SetFault(func(string) fakes.TableFault { return fakes.TableNoReply })
		time.Sleep(3 * time.Second)
		store.SetFault(nil)
		for i := range 200 {
			put(c, store, fmt.Sprintf("other%d", i))
			_, err := store.Commit(ctx, table.Tx{Writes: []table.Write{{
				Key: table.Key{Table: "jobs", Partition: "g/0", Name: fmt.Sprintf("%03d", i)}, Value: make([]byte, rowBytes),
			}}})
			c.Assert(err, qt.IsNil)
		}
		time.Sleep(30 * time.Second)
		cancel()
		synctest.Wait()
		c.Assert(received, qt.Equals, 200)
	})
}

// A worker that left while the table was being loaded, or a key that was withdrawn, must not be in use afterwards: what was read before has to
// be followed from the version at which it was read.
func TestRowsRemovedDuringLoadingAreNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fakes.NewTable()
		partitions := fillTable(c, store)
		link := &narrowLink{Store: store, bytesPerSecond: 2 * mbit, latency: 5 * time.Millisecond}
		log := logrus.New()
		log.SetOutput(io.Discard)
		known := map[table.Key]bool{}
		var loaded atomic.Bool
		apply := func(rows []table.Row) {
			for _, r := range rows {
				if known[r.Key] = true; r.Deleted {
					delete(known, r.Key)
				}
			}
		}
		f := table.Follower{
			Store: link, Table: "jobs", Log: log, Partitions: func() []string { return partitions },
			Load: func(rows []table.Row) { clear(known); apply(rows); loaded.Store(true) }, Apply: apply,
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		removed := 0
		for ; !loaded.Load(); removed++ {
			if removed == numPartitions/2 {
				// Calls fail for a while: what was read is kept.
				store.SetFault(func(string) fakes.TableFault { return fakes.TableUnavailable })
				time.Sleep(3 * time.Second)
				store.SetFault(nil)
			}
			_, err := store.Commit(ctx, table.Tx{Removes: []table.Key{
				{Table: "jobs", Partition: partitions[removed%numPartitions], Name: fmt.Sprintf("%03d", removed/numPartitions)},
			}})
			c.Assert(err, qt.IsNil)
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		cancel()
		synctest.Wait()
		c.Assert(known, qt.HasLen, numPartitions*numRows-removed)
	})
}
