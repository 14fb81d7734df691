package jobs_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/claim"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/store"
)

// newAcceptingManager returns a manager that accepts and cancels jobs and runs none.
func newAcceptingManager(client *fakes.PlatformClient, writer jobs.Writer) *jobs.Manager {
	return jobs.NewManager(jobs.Config{Table: client, Writer: writer, Stats: noStats{}})
}

// Guards against running the body of a submission that was refused because its key belongs to another job.
func TestRefusedSubmissionLeavesBodyOfFirstJob(t *testing.T) {
	for _, test := range []struct {
		name string
		size int
	}{{"in the row", 1 << 10}, {"in the object store", 100 << 10}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			client := newPlatform().NewClient()
			manager := newAcceptingManager(client, client)
			first, second := bytes.Repeat([]byte("1"), test.size), bytes.Repeat([]byte("2"), test.size)
			_, err := manager.Submit(ctx, jobs.Job{ID: "job", Digest: 1, Body: first})
			c.Assert(err, qt.IsNil)
			_, err = manager.Submit(ctx, jobs.Job{ID: "job", Digest: 2, Body: second})
			c.Assert(reason.Is(err, reason.KeyReused), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(reason.From(err).Outcome, qt.Equals, reason.NotRun)
			job, _, err := manager.Get(ctx, "job")
			c.Assert(err, qt.IsNil)
			body, err := manager.Body(ctx, &job)
			c.Assert(err, qt.IsNil)
			c.Check(bytes.Equal(body, first), qt.IsTrue, qt.Commentf("the job's body is %.1q...", body))
		})
	}
}

// scriptedTable commits as the steps say, one after another, and then normally.
type scriptedTable struct {
	*fakes.PlatformClient
	steps []func(tx store.Tx) (uint64, error)
}

func (t *scriptedTable) Commit(ctx context.Context, tx store.Tx) (uint64, error) {
	if len(t.steps) == 0 {
		return t.Do(ctx, store.Op(tx))
	}
	step := t.steps[0]
	t.steps = t.steps[1:]
	return step(tx)
}

// Guards against reporting as not done a cancellation whose mark was written, because the job can't be read after the mark was overwritten.
func TestCancelIsUncertainOnceMarkMayBeWritten(t *testing.T) {
	for _, test := range []struct {
		name string
		// marked says that the mark is written before the row is overwritten.
		marked  bool
		outcome reason.Outcome
	}{
		{"written and unanswered", true, reason.Unknown},
		{"not written", false, reason.NotRun},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, c *qt.C) {
				platform := newPlatform()
				client, leader := platform.NewClient(), platform.NewClient()
				table := &scriptedTable{PlatformClient: client}
				writer := store.NewBatcher(table)
				go func() { _ = writer.Run(ctx) }()
				manager := newAcceptingManager(client, writer)
				submitted, err := manager.Submit(ctx, jobs.Job{ID: "job"})
				c.Assert(err, qt.IsNil)
				overwrite := func() {
					job, row, err := newAcceptingManager(leader, leader).Get(ctx, "job")
					c.Assert(err, qt.IsNil)
					c.Assert(job.Cancel, qt.Equals, test.marked)
					job.State, job.WriteID = jobs.Running, "leader"
					value, err := json.Marshal(job)
					c.Assert(err, qt.IsNil)
					_, err = leader.Do(ctx, store.Op{
						Checks: []store.Check{{Key: row.Key, Version: row.Version}},
						Writes: []store.Write{{Key: row.Key, Value: value}},
					})
					c.Assert(err, qt.IsNil)
				}
				if test.marked {
					table.steps = append(table.steps, func(tx store.Tx) (uint64, error) {
						_, err := client.Do(ctx, store.Op(tx))
						c.Assert(err, qt.IsNil)
						return 0, &store.UnavailableError{Op: "commit", Err: errors.New("answer lost")}
					})
				}
				table.steps = append(table.steps, func(tx store.Tx) (uint64, error) {
					overwrite()
					version, err := client.Do(ctx, store.Op(tx))
					client.SetFault(fakes.PlatformDown)
					return version, err
				})
				_, err = manager.Cancel(ctx, submitted.ID)
				c.Assert(err, qt.IsNotNil)
				refusal := reason.From(err)
				c.Check(refusal.Outcome, qt.Equals, test.outcome, qt.Commentf("%v", err))
				c.Check(refusal.Reason, qt.Equals, reason.StoreUnavailable)
			})
		})
	}
}

// Guards against accepting another job as the repetition of one whose parameters and number of tasks, written one after the other, are the same.
func TestSubmissionRepeatsOnlyJobWithSameParamsAndTasks(t *testing.T) {
	newJob := func(params string, tasks int) jobs.Job {
		return jobs.Job{ID: "job", Digest: claim.Digest(params+fmt.Sprint(tasks), nil), Params: params, Tasks: make([]jobs.Task, tasks)}
	}
	for _, test := range []struct {
		name     string
		second   jobs.Job
		accepted bool
	}{
		{"repeated", newJob("run=1", 12), true},
		{"other parameters and tasks", newJob("run=11", 2), false},
		{"other parameters", newJob("run=2", 12), false},
		{"other tasks", newJob("run=1", 13), false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			ctx := context.Background()
			client := newPlatform().NewClient()
			manager := newAcceptingManager(client, client)
			_, err := manager.Submit(ctx, newJob("run=1", 12))
			c.Assert(err, qt.IsNil)
			job, err := manager.Submit(ctx, test.second)
			if test.accepted {
				c.Assert(err, qt.IsNil)
				c.Check(job.Params, qt.Equals, test.second.Params)
				c.Check(job.Tasks, qt.HasLen, len(test.second.Tasks))
				return
			}
			assertRefused(c, err, reason.KeyReused)
		})
	}
}

// A repeated submission was refused as another job's if its parameters aren't valid UTF-8, which the job's row can't hold as they are.
func TestSubmissionWithInvalidUTF8IsRepeated(t *testing.T) {
	c := qt.New(t)
	client := newPlatform().NewClient()
	manager := newAcceptingManager(client, client)
	job := jobs.Job{ID: "job", Digest: 1, Params: "name=caf\xe9\xff", Tasks: make([]jobs.Task, 1)}
	for range 2 {
		_, err := manager.Submit(c.Context(), job)
		c.Assert(err, qt.IsNil)
	}
}
