package table_test

import (
	"context"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/table"
)

func put(c *qt.C, store *fakes.Table, name string) {
	_, err := store.Commit(context.Background(), table.Tx{Writes: []table.Write{{
		Key: table.Key{Table: "t", Partition: "p", Name: name}, Value: []byte(name),
	}}})
	c.Assert(err, qt.IsNil)
}

// A follower receives every row, also when the change history is dropped and while calls fail. Each failed call is logged with the time that it took.
func TestFollowerReceivesEveryRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fakes.NewTable()
		log, lines := logtest.NewNullLogger()
		received := map[string]bool{}
		record := func(got []table.Row) {
			for _, r := range got {
				received[r.Name] = true
			}
		}
		f := table.Follower{
			Store: store, Table: "t", Log: log, Partitions: func() []string { return []string{"p"} }, Load: record, Apply: record,
		}
		ctx, cancel := context.WithCancel(t.Context())
		go f.Run(ctx)
		put(c, store, "first")
		time.Sleep(time.Second)
		store.SetFault(func(string) fakes.TableFault { return fakes.TableNoReply })
		time.Sleep(3 * time.Second)
		store.SetFault(nil)
		put(c, store, "second")
		store.DropHistory()
		put(c, store, "third")
		time.Sleep(5 * time.Second)
		cancel()
		synctest.Wait()
		c.Assert(received, qt.DeepEquals, map[string]bool{"first": true, "second": true, "third": true})
		var texts []string
		for _, e := range lines.AllEntries() {
			text, err := e.String()
			c.Assert(err, qt.IsNil)
			texts = append(texts, text)
		}
		all := strings.Join(texts, "")
		for _, pattern := range []string{
			"failed; retrying.*deadline exceeded.*table=t took=1.6s", "failed again.*deadline exceeded.*failed=2 table=t took=2.2s",
			"resumed.*after=[4-9][.0-9]*s failed=2 table=t via=", "history of the table lost",
		} {
			c.Check(regexp.MustCompile(pattern).MatchString(all), qt.IsTrue, qt.Commentf("%s in:\n%s", pattern, all))
		}
	})
}

// A call that its caller gives up soon says nothing of the table: a host that passes calls on would refuse them all for the sake of one.
func TestHealth(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault fakes.TableFault
		// timeout is that of a call which is sent 700 ms before the table is judged.
		timeout time.Duration
		want    bool
	}{
		{"served", fakes.TableOK, time.Second, true},
		{"refused", fakes.TableUnavailable, time.Second, false},
		{"silent", fakes.TableNoReply, time.Second, false},
		{"answers lost", fakes.TableReplyLost, time.Second, false},
		{"silent, given up", fakes.TableNoReply, 600 * time.Millisecond, false},
		{"given up soon", fakes.TableNoReply, 300 * time.Millisecond, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				store := fakes.NewTable()
				h := table.NewHealth(store)
				put(c, store, "first")
				_, err := h.Read(t.Context(), table.Range{Table: "t", Partition: "p"})
				c.Assert(err, qt.IsNil)
				time.Sleep(time.Second)
				store.SetFault(func(string) fakes.TableFault { return test.fault })
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				go func() { _, _ = h.Commit(ctx, table.Tx{}) }()
				time.Sleep(700 * time.Millisecond)
				c.Assert(h.Reachable(time.Now()), qt.Equals, test.want)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// The table is many times slower than usual, but answers. It must not count as unreachable, and timeouts must grow so that calls
// are not retried too soon.
func TestSlowTableIsNotUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fakes.NewTable()
		h := table.NewHealth(store)
		put := func(name string) {
			_, err := h.Commit(context.Background(), table.Tx{Writes: []table.Write{{Key: table.Key{Table: "t", Name: name}}}})
			c.Check(err, qt.IsNil)
		}
		put("usual")
		c.Assert(h.Timeout(time.Second, time.Now()), qt.Equals, time.Second)
		store.Latency = 900 * time.Millisecond
		for range 6 {
			put("slow")
		}
		go put("in flight")
		time.Sleep(850 * time.Millisecond)
		c.Assert(h.Reachable(time.Now()), qt.IsTrue)
		c.Assert(h.Timeout(time.Second, time.Now()) > 1800*time.Millisecond, qt.IsTrue)
		synctest.Wait()
		time.Sleep(5 * time.Second)
		c.Assert(h.Timeout(time.Second, time.Now()), qt.Equals, time.Second)
	})
}
