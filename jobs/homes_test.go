package jobs_test

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/store"
)

// table is a table in memory from which some hosts are cut off.
type table struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	version uint64
}

// link is one host's way to the table.
type link struct {
	*table
	mu  sync.Mutex
	cut bool
}

var errCut = &store.UnavailableError{Op: "call", Err: errors.New("cut")}

func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
}

func (l *link) isCut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut
}

func (l *link) Read(_ context.Context, q store.Query) ([]store.Row, error) {
	if l.isCut() {
		return nil, errCut
	}
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	var rows []store.Row
	for key, row := range l.rows {
		under := func(prefix string) bool { return strings.HasPrefix(key, prefix) }
		if slices.Contains(q.Keys, key) || slices.ContainsFunc(q.Prefixes, under) {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

func (l *link) Do(_ context.Context, op store.Op) (uint64, error) {
	if l.isCut() {
		return 0, errCut
	}
	l.table.mu.Lock()
	defer l.table.mu.Unlock()
	for _, check := range op.Checks {
		if row := l.rows[check.Key]; row.Version != check.Version {
			return 0, &store.ConflictError{Rows: []store.Row{row}}
		}
	}
	l.version++
	for _, write := range op.Writes {
		if write.Delete {
			delete(l.rows, write.Key)
			continue
		}
		l.rows[write.Key] = store.Row{Key: write.Key, Version: l.version, Value: write.Value}
	}
	return l.version, nil
}

func (l *link) PutObject(context.Context, string, []byte) error { return nil }

func (l *link) GetObject(context.Context, string) ([]byte, error) { return nil, nil }

func TestAShardHasOneHomeAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		shared := &table{rows: map[string]store.Row{}}
		names := []string{"a@1", "b@1", "c@1"}
		var mu sync.Mutex
		live := names
		var links []*link
		var homes []*jobs.Homes
		log := logrus.New()
		for _, name := range names {
			l := &link{table: shared}
			h := jobs.NewHomes(name, l, l, func() []string {
				mu.Lock()
				defer mu.Unlock()
				return live
			}, log)
			links, homes = append(links, l), append(homes, h)
			go func() { _ = h.Run(ctx) }()
		}
		count := func() int {
			total := 0
			for shard := range jobs.Shards {
				holders := 0
				for _, h := range homes {
					if h.Mine(shard) {
						holders++
					}
				}
				c.Check(holders <= 1, qt.IsTrue, qt.Commentf("shard %d has %d homes", shard, holders))
				total += holders
			}
			return total
		}
		watch := func(length time.Duration) {
			const step = 50 * time.Millisecond
			for range length / step {
				time.Sleep(step)
				count()
			}
		}
		watch(5 * time.Second)
		c.Check(count(), qt.Equals, jobs.Shards)

		// A home is cut off from the table and gone for the others; it gives up before they take over.
		links[0].set(true)
		mu.Lock()
		live = names[1:]
		mu.Unlock()
		watch(15 * time.Second)
		c.Check(homes[0].Count(), qt.Equals, 0)
		c.Check(count(), qt.Equals, jobs.Shards)

		// It comes back and is given its shards again.
		links[0].set(false)
		mu.Lock()
		live = names
		mu.Unlock()
		watch(10 * time.Second)
		c.Check(homes[0].Count() > 0, qt.IsTrue)
		c.Check(count(), qt.Equals, jobs.Shards)

		// A planned stop hands over without waiting for the lease to lapse.
		mu.Lock()
		live = names[:2]
		mu.Unlock()
		homes[2].Release(ctx)
		watch(4 * time.Second)
		c.Check(count(), qt.Equals, jobs.Shards)
		cancel()
		synctest.Wait()
	})
}
