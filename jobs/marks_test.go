package jobs_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/store"
)

var survey = entry.Work{Name: "survey", Class: entry.Batch, Attempts: 1}

// lateWriter leaves changes unanswered; apply performs them.
type lateWriter struct {
	ops []store.Op
}

func (w *lateWriter) Do(_ context.Context, op store.Op) (uint64, error) {
	w.ops = append(w.ops, op)
	return 0, &store.UnavailableError{Op: "commit", Err: context.DeadlineExceeded}
}

func (w *lateWriter) apply(ctx context.Context, client *fakes.PlatformClient) {
	for _, op := range w.ops {
		_, _ = client.Do(ctx, op)
	}
}

func submitOne(ctx context.Context, m *jobs.Manager) error {
	_, err := m.Submit(ctx, jobs.Job{
		ID: "job", Owner: "o", Work: "survey", Digest: 7, Tasks: []jobs.Task{{State: jobs.TaskWaiting, Attempt: 1}},
	})
	return err
}

func assertRefused(c *qt.C, err error, why reason.Reason) {
	c.Helper()
	c.Assert(err, qt.IsNotNil)
	refusal := reason.From(err)
	c.Check(refusal.Outcome, qt.Equals, reason.NotRun, qt.Commentf("%v", err))
	c.Check(refusal.Reason, qt.Equals, why)
}

// Guards against a job that runs after its cancellation was answered with "no such job", because the table stored it later.
func TestJobStoredAfterItsCancellationDoesNotRun(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C) {
		client := newPlatform().NewClient()
		f := newFakeFleet(1, time.Second)
		runManager(ctx, client, f, survey)
		late := &lateWriter{}
		err := submitOne(ctx, newAcceptingManager(client, late))
		c.Assert(reason.From(err).Outcome, qt.Equals, reason.Unknown)
		manager := newAcceptingManager(client, client)
		_, err = manager.Cancel(ctx, "job")
		assertRefused(c, err, reason.NoSuchJob)
		late.apply(ctx, client)
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		c.Check(f.starts, qt.HasLen, 0)
		assertRefused(c, submitOne(ctx, manager), reason.Cancelled)
		_, _, err = manager.Get(ctx, "job")
		assertRefused(c, err, reason.NoSuchJob)
		_, err = manager.Cancel(ctx, "job")
		assertRefused(c, err, reason.NoSuchJob)
	})
}

// Guards against acknowledging a cancellation whose mark may not be stored.
func TestCancelOfUnknownJobIsUncertainWithoutMark(t *testing.T) {
	c := qt.New(t)
	client := newPlatform().NewClient()
	late := &lateWriter{}
	_, err := newAcceptingManager(client, late).Cancel(context.Background(), "job")
	c.Assert(err, qt.IsNotNil)
	c.Check(reason.From(err).Outcome, qt.Equals, reason.Unknown, qt.Commentf("%v", err))
}

// Guards against marks of unknown IDs that fill the table, and against removing one to which a later cancellation was referred.
func TestMarksOfUnknownJobsAreRemoved(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C) {
		const numUnknown = 200
		client := newPlatform().NewClient()
		manager := runManager(ctx, client, newFakeFleet(1, time.Second), survey)
		c.Assert(submitOne(ctx, manager), qt.IsNil)
		for i := range numUnknown {
			_, err := manager.Cancel(ctx, fmt.Sprint(i))
			assertRefused(c, err, reason.NoSuchJob)
		}
		numRows := func(prefix string) int {
			rows, err := client.Read(ctx, store.Query{Prefixes: []string{prefix}})
			c.Assert(err, qt.IsNil)
			return len(rows)
		}
		time.Sleep(20 * time.Second)
		c.Check(numRows("done/"), qt.Equals, numUnknown+1)
		_, err := manager.Cancel(ctx, "0")
		assertRefused(c, err, reason.NoSuchJob)
		time.Sleep(25 * time.Second)
		c.Check(numRows("done/"), qt.Equals, 2)
		time.Sleep(25 * time.Second)
		c.Check(numRows("done/"), qt.Equals, 1)
		c.Check(numRows("mark/"), qt.Equals, 0)
		job, _, err := manager.Get(ctx, "job")
		c.Assert(err, qt.IsNil)
		c.Check(job.State, qt.Equals, jobs.Done)
	})
}

// Guards against keeping an owner's job from being stored by cancelling its ID on behalf of others.
func TestMarkBindsOnlyOwnersOfItsCallers(t *testing.T) {
	for _, test := range []struct {
		name    string
		callers []string
		bound   bool
	}{
		{"another", []string{"other"}, false},
		{"nobody and another", []string{"", "other"}, false},
		{"the owner", []string{"o"}, true},
		{"the owner after another", []string{"other", "o"}, true},
		{"the owner before another", []string{"o", "other", "other"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			client := newPlatform().NewClient()
			manager := jobs.NewManager(jobs.Config{
				Table: client, Writer: client, Stats: noStats{}, MayCancel: func(owner, caller string) bool { return owner == caller },
			})
			for _, caller := range test.callers {
				assertRefused(c, manager.CancelUnknown(ctx, "job", caller), reason.NoSuchJob)
			}
			err := submitOne(ctx, manager)
			if test.bound {
				assertRefused(c, err, reason.Cancelled)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(manager.CancelUnknown(ctx, "job", "o"), qt.IsNil)
			rows, err := client.Read(ctx, store.Query{Prefixes: []string{"done/", "mark/"}})
			c.Assert(err, qt.IsNil)
			c.Check(rows, qt.HasLen, 0)
		})
	}
}

// Guards against refusing a submission of which a write is still pending when the mark that it met expires.
func TestSubmissionWithPendingWriteIsUncertainAtMark(t *testing.T) {
	inBubble(t, func(ctx context.Context, c *qt.C) {
		client := newPlatform().NewClient()
		manager := newAcceptingManager(client, client)
		table := &scriptedTable{PlatformClient: client}
		table.steps = append(table.steps, func(store.Tx) (uint64, error) {
			_, err := manager.Cancel(ctx, "job")
			assertRefused(c, err, reason.NoSuchJob)
			return 0, &store.UnavailableError{Op: "commit", Err: errors.New("answer lost")}
		})
		writer := store.NewBatcher(table)
		go func() { _ = writer.Run(ctx) }()
		err := submitOne(ctx, newAcceptingManager(client, writer))
		c.Assert(err, qt.IsNotNil)
		c.Check(reason.From(err).Outcome, qt.Equals, reason.Unknown, qt.Commentf("%v", err))
	})
}

// Guards against hosts of earlier versions that take a mark for a job that runs or for the repetition of a submission.
func TestEarlierVersionsReadMarkAsCancelledJob(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	client := newPlatform().NewClient()
	_, err := newAcceptingManager(client, client).Cancel(ctx, "job")
	assertRefused(c, err, reason.NoSuchJob)
	row, err := client.Get(ctx, "done/job")
	c.Assert(err, qt.IsNil)
	var job jobs.Job
	c.Assert(json.Unmarshal(row.Value, &job), qt.IsNil)
	c.Check(job.State, qt.Equals, jobs.Cancelled)
	c.Check(job.Owner, qt.Equals, "")
	c.Check(job.Digest, qt.Equals, uint64(0))
}

// Guards against jobs that run although their cancellation was answered with "no such job", while the table loses answers and performs
// writes late.
func TestUnknownJobsStayCancelledOnUnreliableTable(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(ctx context.Context, c *qt.C) {
				platform := newPlatform()
				f := newFakeFleet(100, time.Second)
				leader := runManager(ctx, platform.NewClient(), f, survey)
				client := platform.NewUnreliableClient(seed, 9*time.Second)
				writer := store.NewBatcher(client)
				go func() { _ = writer.Run(ctx) }()
				manager := jobs.NewManager(jobs.Config{Table: client, Writer: writer, Stats: noStats{}})
				var mu sync.Mutex
				cancelled := map[string]error{}
				var wg sync.WaitGroup
				for i := range 20 {
					wg.Go(func() {
						id := fmt.Sprint("job-", i)
						time.Sleep(time.Duration(i) * 3 * time.Second)
						_, _ = manager.Submit(ctx, jobs.Job{
							ID: id, Owner: "o", Work: "survey", Tasks: []jobs.Task{{State: jobs.TaskWaiting, Attempt: 1}},
						})
						_, err := manager.Cancel(ctx, id)
						if reason.Is(err, reason.NoSuchJob) {
							mu.Lock()
							defer mu.Unlock()
							cancelled[id] = err
						}
					})
				}
				wg.Wait()
				time.Sleep(2 * time.Minute)
				for id := range cancelled {
					_, _, err := leader.Get(ctx, id)
					assertRefused(c, err, reason.NoSuchJob)
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				for task := range f.starts {
					c.Check(cancelled[strings.SplitN(task, ".", 2)[0]], qt.IsNil, qt.Commentf("%s was started", task))
				}
			})
		})
	}
}

// runManager starts a host that leads all shards, whose jobs are all of one work.
func runManager(ctx context.Context, client *fakes.PlatformClient, f jobs.Fleet, work entry.Work) *jobs.Manager {
	log := logrus.New()
	log.SetOutput(io.Discard)
	leaders := jobs.NewLeaders("a@1", client, client, func() []string { return []string{"a@1"} }, sinceNow(), log)
	manager := jobs.NewManager(jobs.Config{
		Table: client, Writer: client, Fleet: f, Leaders: leaders, Stats: noStats{}, Log: log,
		LookupWork: func(string) (entry.Work, bool) { return work, true },
		Estimate:   func(entry.Work) time.Duration { return time.Second },
	})
	go func() { _ = leaders.Run(ctx) }()
	go func() { _ = manager.Run(ctx) }()
	time.Sleep(3 * time.Second)
	return manager
}
