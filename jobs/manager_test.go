package jobs_test

import (
	"bytes"
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/reason"
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
