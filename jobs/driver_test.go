package jobs_test

import (
	"context"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/store"
	"github.com/corianderdrift/corianderdrift/worker"
)

// cutOffFleet has the workers "first" and "second". While the first is cut off, the leases of its tasks count as expired.
type cutOffFleet struct {
	mu     sync.Mutex
	cutOff bool
	starts []string
}

func (f *cutOffFleet) setCutOff(cutOff bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cutOff = cutOff
}

func (f *cutOffFleet) Reserve(context.Context, jobs.ReserveRequest) (jobs.Placement, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.cutOff {
		return jobs.Placement{Worker: "second"}, nil
	}
	return jobs.Placement{Worker: "first"}, nil
}

func (f *cutOffFleet) Release(context.Context, string, jobs.Placement) {}

func (f *cutOffFleet) Start(_ context.Context, task string, _ entry.Work, _ jobs.Placement, _ *jobs.Job) (worker.TaskState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.starts = append(f.starts, task)
	return worker.Running, nil
}

func (f *cutOffFleet) Inspect(_ context.Context, task string, at jobs.Placement) (worker.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.cutOff && at.Worker == "first":
		return worker.Answer{State: worker.Stopped}, nil
	case slices.Contains(f.starts, task):
		return worker.Answer{State: worker.Running}, nil
	default:
		return worker.Answer{State: worker.Absent}, nil
	}
}

func (f *cutOffFleet) Stop(context.Context, string, jobs.Placement) (worker.Answer, error) {
	return worker.Answer{State: worker.NeverStarted}, nil
}

// pausingWriter calls pause between the first commit and its reply.
type pausingWriter struct {
	jobs.Writer
	once  sync.Once
	pause func()
}

func (w *pausingWriter) Do(ctx context.Context, op store.Op) (uint64, error) {
	version, err := w.Writer.Do(ctx, op)
	w.once.Do(w.pause)
	return version, err
}

// Guards against a second run of a task whose leader stands still between the commit of a placement and the start, while the next leader
// places the task elsewhere.
func TestPausedLeaderStartsNothing(t *testing.T) {
	for _, test := range []struct {
		name string
		// returns says that the paused host is to lead the shards again.
		returns bool
	}{{"replaced", false}, {"leads again", true}} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, c *qt.C) {
				platform := newPlatform()
				f := &cutOffFleet{}
				var mu sync.Mutex
				live := []string{"a@1"}
				setLive := func(host string) {
					mu.Lock()
					defer mu.Unlock()
					live = []string{host}
				}
				newHost := func(name string, pause func()) (*jobs.Manager, *fakes.PlatformClient) {
					client, electing := platform.NewClient(), platform.NewClient()
					log := logrus.New()
					log.SetOutput(io.Discard)
					leaders := jobs.NewLeaders(name, electing, electing, func() []string {
						mu.Lock()
						defer mu.Unlock()
						return live
					}, sinceNow(), log)
					work := entry.Work{Name: "survey", Class: entry.Batch, Repeatable: true, Attempts: 3}
					manager := jobs.NewManager(jobs.Config{
						Table: client, Writer: &pausingWriter{Writer: client, pause: pause}, Fleet: f, Leaders: leaders, Stats: noStats{}, Log: log,
						LookupWork: func(string) (entry.Work, bool) { return work, true },
						Estimate:   func(entry.Work) time.Duration { return time.Minute },
					})
					go func() { _ = leaders.Run(ctx) }()
					go func() { _ = manager.Run(ctx) }()
					return manager, electing
				}
				var electing *fakes.PlatformClient
				_, electing = newHost("a@1", func() {
					electing.SetFault(fakes.PlatformDown)
					f.setCutOff(true)
					setLive("b@1")
					time.Sleep(30 * time.Second)
					f.setCutOff(false)
					electing.SetFault(fakes.PlatformOK)
					if test.returns {
						setLive("a@1")
						time.Sleep(15 * time.Second)
					}
				})
				second, _ := newHost("b@1", func() {})
				time.Sleep(3 * time.Second)
				_, err := second.Submit(ctx, jobs.Job{
					ID: "job", Owner: "o", Work: "survey", Tasks: []jobs.Task{{State: jobs.TaskWaiting, Attempt: 1}},
				})
				c.Assert(err, qt.IsNil)
				time.Sleep(2 * time.Minute)
				f.mu.Lock()
				defer f.mu.Unlock()
				c.Check(f.starts, qt.DeepEquals, []string{jobs.TaskID("job", 0, 2)})
			})
		})
	}
}

// forgetfulFleet has a worker that forgets its tasks 10 s after their start.
type forgetfulFleet struct {
	cutOffFleet
	startedAt time.Time
}

func (f *forgetfulFleet) Start(ctx context.Context, task string, work entry.Work, at jobs.Placement, job *jobs.Job) (worker.TaskState, error) {
	f.startedAt = time.Now()
	return f.cutOffFleet.Start(ctx, task, work, at, job)
}

func (f *forgetfulFleet) Inspect(ctx context.Context, task string, at jobs.Placement) (worker.Answer, error) {
	if time.Since(f.startedAt) > 10*time.Second {
		return worker.Answer{State: worker.Absent}, nil
	}
	return f.cutOffFleet.Inspect(ctx, task, at)
}

// Guards against a second run of a task that may not be repeated, because its worker has restarted or has forgotten the result.
func TestForgottenTaskCountsAsRun(t *testing.T) {
	for _, test := range []struct {
		name       string
		repeatable bool
		state      jobs.State
	}{
		{"repeatable", true, jobs.Running},
		{"not repeatable", false, jobs.Failed},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, c *qt.C) {
				client := newPlatform().NewClient()
				f := &forgetfulFleet{}
				manager := runManager(ctx, client, f, entry.Work{Name: "survey", Class: entry.Batch, Repeatable: test.repeatable, Attempts: 3})
				_, err := manager.Submit(ctx, jobs.Job{ID: "job", Owner: "o", Work: "survey", Tasks: []jobs.Task{{State: jobs.TaskWaiting, Attempt: 1}}})
				c.Assert(err, qt.IsNil)
				time.Sleep(20 * time.Second)
				job, _, err := manager.Get(ctx, "job")
				c.Assert(err, qt.IsNil)
				c.Check(job.State, qt.Equals, test.state)
				f.mu.Lock()
				defer f.mu.Unlock()
				c.Check(len(f.starts) > 1, qt.Equals, test.repeatable, qt.Commentf("%v", f.starts))
			})
		})
	}
}

// restartingFleet has a worker that restarts once it has answered the first start.
type restartingFleet struct {
	cutOffFleet
	state worker.TaskState
}

func (f *restartingFleet) Start(ctx context.Context, task string, work entry.Work, at jobs.Placement, job *jobs.Job) (worker.TaskState, error) {
	_, err := f.cutOffFleet.Start(ctx, task, work, at, job)
	return f.state, err
}

func (f *restartingFleet) Inspect(ctx context.Context, task string, at jobs.Placement) (worker.Answer, error) {
	f.mu.Lock()
	first := task == f.starts[0]
	f.mu.Unlock()
	if first {
		return worker.Answer{State: worker.Absent}, nil
	}
	return f.cutOffFleet.Inspect(ctx, task, at)
}

// Guards against a second run of a task that may not be repeated, whose worker has answered the start and has restarted before the first inspection.
func TestAnsweredStartCountsAsRun(t *testing.T) {
	for _, test := range []struct {
		name       string
		repeatable bool
		state      worker.TaskState
		runsAgain  bool
		want       jobs.State
	}{
		{"running", false, worker.Running, false, jobs.Failed},
		{"finished", false, worker.Finished, false, jobs.Failed},
		{"never started", false, worker.NeverStarted, true, jobs.Running},
		{"repeatable", true, worker.Running, true, jobs.Running},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, c *qt.C) {
				client := newPlatform().NewClient()
				f := &restartingFleet{state: test.state}
				manager := runManager(ctx, client, f, entry.Work{Name: "survey", Class: entry.Batch, Repeatable: test.repeatable, Attempts: 3})
				_, err := manager.Submit(ctx, jobs.Job{ID: "job", Owner: "o", Work: "survey", Tasks: []jobs.Task{{State: jobs.TaskWaiting, Attempt: 1}}})
				c.Assert(err, qt.IsNil)
				time.Sleep(20 * time.Second)
				job, _, err := manager.Get(ctx, "job")
				c.Assert(err, qt.IsNil)
				c.Check(job.State, qt.Equals, test.want)
				f.mu.Lock()
				defer f.mu.Unlock()
				c.Check(len(f.starts) > 1, qt.Equals, test.runsAgain, qt.Commentf("%v", f.starts))
			})
		})
	}
}
