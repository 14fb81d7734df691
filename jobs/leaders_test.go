package jobs_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/jobs"
)

func newPlatform() *fakes.Platform {
	return fakes.NewPlatform(fakes.WritesPerSecond, fakes.ReadsPerSecond)
}

func TestShardHasAtMostOneLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		platform := newPlatform()
		names := []string{"a@1", "b@1", "c@1"}
		var mu sync.Mutex
		live := names
		var clients []*fakes.PlatformClient
		var leaders []*jobs.Leaders
		log := logrus.New()
		for _, name := range names {
			client := platform.NewClient()
			candidate := jobs.NewLeaders(name, client, client, func() []string {
				mu.Lock()
				defer mu.Unlock()
				return live
			}, sinceNow(), log)
			clients, leaders = append(clients, client), append(leaders, candidate)
			go func() { _ = candidate.Run(ctx) }()
		}
		count := func() int {
			total := 0
			for shard := range jobs.Shards {
				holders := 0
				for _, candidate := range leaders {
					if candidate.IsLeader(shard) {
						holders++
					}
				}
				c.Check(holders <= 1, qt.IsTrue, qt.Commentf("shard %d has %d leaders", shard, holders))
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

		// A leader loses its connection to the table and leaves the host list; its leadership ends before the others take over.
		clients[0].SetFault(fakes.PlatformDown)
		mu.Lock()
		live = names[1:]
		mu.Unlock()
		watch(15 * time.Second)
		c.Check(leaders[0].Count(), qt.Equals, 0)
		c.Check(count(), qt.Equals, jobs.Shards)

		// It recovers and gets its shards back.
		clients[0].SetFault(fakes.PlatformOK)
		mu.Lock()
		live = names
		mu.Unlock()
		watch(10 * time.Second)
		c.Check(leaders[0].Count() > 0, qt.IsTrue)
		c.Check(count(), qt.Equals, jobs.Shards)

		// A planned stop hands over without waiting for the lease to expire.
		mu.Lock()
		live = names[:2]
		mu.Unlock()
		leaders[2].Release(ctx)
		watch(4 * time.Second)
		c.Check(count(), qt.Equals, jobs.Shards)
		cancel()
		synctest.Wait()
	})
}

// Guards against a host that goes on leading after it was suspended, which the clock of timers does not count.
func TestSuspendedHostDoesNotLead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		client := newPlatform().NewClient()
		var suspended atomic.Int64
		awake := sinceNow()
		leaders := jobs.NewLeaders("a@1", client, client, func() []string { return []string{"a@1"} },
			func() time.Duration { return awake() + time.Duration(suspended.Load()) }, logrus.New())
		go func() { _ = leaders.Run(ctx) }()
		time.Sleep(5500 * time.Millisecond)
		c.Assert(leaders.Count(), qt.Equals, jobs.Shards)
		suspended.Store(int64(time.Minute))
		c.Check(leaders.Count(), qt.Equals, 0)
		time.Sleep(5 * time.Second)
		c.Check(leaders.Count(), qt.Equals, jobs.Shards)
		cancel()
		synctest.Wait()
	})
}
