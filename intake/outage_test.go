package intake_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/elect"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/intake"
	"github.com/corianderdrift/corianderdrift/table"
)

// A caller that returns when the table answers again used to be refused once more: its host had not noticed that, as calls that wait for
// changes told it up to a second later.
func TestCallerThatReturnsAfterOutageIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := fakes.NewTable()
		store.SetLatency(4 * time.Millisecond)
		log := logrus.New()
		log.SetOutput(io.Discard)
		relay := &table.Relay{
			Direct: table.NewHealth(store), Fallbacks: func() []table.Store { return nil },
			Probe: table.Range{Table: elect.Table, Partition: "hosts", Limit: 1}, Log: log,
		}
		health := table.NewHealth(relay)
		relay.OnAnswer = func() { health.Answered(time.Now()) }
		in := &intake.Intake{Store: health, Health: health, Recheck: relay.Check, Groups: &noGroups{}, Log: log}
		submitEarlier(c, in, queue)
		ctx, cancel := context.WithCancel(t.Context())
		go relay.Run(ctx)
		store.SetFault(func(string) fakes.TableFault { return fakes.TableUnavailable })
		time.Sleep(time.Second)
		for range 3 {
			var refused *intake.RefusedError
			c.Assert(errors.As(in.Submit(ctx, queue, jobFor(queue), anyone), &refused), qt.IsTrue)
			c.Assert(refused.Reason, qt.Equals, "store-away")
			time.Sleep(700 * time.Millisecond)
		}
		store.SetFault(nil)
		time.Sleep(time.Millisecond)
		c.Assert(in.Submit(ctx, queue, jobFor(queue), anyone), qt.IsNil)
		cancel()
		synctest.Wait()
	})
}

// silentGroups is noGroups for concurrent requests; it does not count the accepted jobs.
type silentGroups struct {
	noGroups
}

// Accepted implements intake.Groups.
func (*silentGroups) Accepted(*graph.Job) {}

// limitedTable is a table that carries out one commit at a time in each partition, and commits of all callers at a limited rate.
type limitedTable struct {
	*fakes.Table
	// interval is the time between the commits of all partitions, and commitTime that of one.
	interval, commitTime, answerTime time.Duration

	mu     sync.Mutex
	nextAt time.Time
	freeAt map[string]time.Time
}

// Commit implements table.Store.
func (s *limitedTable) Commit(ctx context.Context, tx table.Tx) (uint64, error) {
	partition := ""
	if len(tx.Writes) > 0 {
		partition = tx.Writes[0].Partition
	}
	s.mu.Lock()
	now := time.Now()
	start := slices.MaxFunc([]time.Time{now, s.nextAt, s.freeAt[partition]}, time.Time.Compare)
	s.nextAt, s.freeAt[partition] = slices.MaxFunc([]time.Time{now, s.nextAt}, time.Time.Compare).Add(s.interval), start.Add(s.commitTime)
	s.mu.Unlock()
	time.Sleep(start.Add(s.commitTime).Sub(now))
	version, err := s.Apply(tx)
	time.Sleep(s.answerTime)
	return version, err
}

// The answers to a backlog of acceptances must not keep a holder from renewing its lease, which is about to expire after an outage. Load: 600
// jobs accepted at the same moment, in a table of 1,200 commits a second and 6 ms a commit; the lease is renewed just after them.
func TestBacklogOfAcceptancesDoesNotHoldUpRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		store := &limitedTable{
			Table: fakes.NewTable(), interval: time.Second / 1200, commitTime: 6 * time.Millisecond, answerTime: 4 * time.Millisecond,
			freeAt: map[string]time.Time{},
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		health := table.NewHealth(store)
		in := &intake.Intake{Store: health, Health: health, Groups: &silentGroups{}, Log: log}
		submitEarlier(c, in, queue)
		epoch, err := elect.Acquire(t.Context(), store, elect.Epoch{Group: "desk"}, elect.Candidate{Name: "h", Incarnation: "i"})
		c.Assert(err, qt.IsNil)
		const jobs = 600
		took := make([]time.Duration, jobs)
		var wg sync.WaitGroup
		for n := range jobs {
			wg.Go(func() {
				job, startedAt := jobFor(queue), time.Now()
				job.ID = fmt.Sprintf("%016x", n+0x1000)
				qt.Check(t, in.Submit(t.Context(), queue, job, anyone), qt.IsNil)
				took[n] = time.Since(startedAt)
			})
		}
		synctest.Wait()
		startedAt := time.Now()
		c.Assert(elect.Renew(t.Context(), store, epoch, elect.Renewal{Held: time.Second}), qt.IsNil)
		renewal := time.Since(startedAt)
		wg.Wait()
		t.Logf("renewal %v, last acceptance %v", renewal, slices.Max(took))
		c.Assert(renewal < elect.RenewInterval*2, qt.IsTrue, qt.Commentf("%v", renewal))
		c.Assert(slices.Max(took) < 900*time.Millisecond, qt.IsTrue, qt.Commentf("%v", slices.Max(took)))
	})
}
