package jobs_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
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

// jobAnswers counts how the submissions and cancellations of one job were answered.
type jobAnswers struct {
	mu sync.Mutex
	// accepted and notRun count the answers to the submissions by their digests; cancelled counts the cancellations that may have taken effect.
	accepted  map[uint64]int
	notRun    map[uint64]int
	submitted map[uint64]int
	cancelled int
}

func (a *jobAnswers) submit(ctx context.Context, m *jobs.Manager, id string, digest uint64) {
	_, err := m.Submit(ctx, jobs.Job{
		ID: id, Owner: "o", Work: "survey", Digest: digest, Body: bytes.Repeat([]byte{byte(digest)}, 20<<10),
		Tasks: []jobs.Task{{State: jobs.TaskWaiting, Attempt: 1}},
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	a.submitted[digest]++
	switch {
	case err == nil:
		a.accepted[digest]++
	case reason.From(err).Outcome == reason.NotRun:
		a.notRun[digest]++
	}
}

func (a *jobAnswers) cancel(ctx context.Context, m *jobs.Manager, id string) {
	_, err := m.Cancel(ctx, id)
	a.mu.Lock()
	defer a.mu.Unlock()
	if err == nil || reason.From(err).Outcome != reason.NotRun {
		a.cancelled++
	}
}

// check compares the answers with what became of the job.
func (a *jobAnswers) check(ctx context.Context, c *qt.C, m *jobs.Manager, id string) {
	job, _, err := m.Get(ctx, id)
	if err != nil {
		c.Check(a.accepted, qt.HasLen, 0, qt.Commentf("%s was accepted: %v", id, err))
		return
	}
	c.Check(job.State.Terminal(), qt.IsTrue, qt.Commentf("%s is %s", id, job.State))
	for digest := range a.accepted {
		c.Check(digest, qt.Equals, job.Digest, qt.Commentf("%s was accepted", id))
	}
	c.Check(a.notRun[job.Digest] < a.submitted[job.Digest], qt.IsTrue, qt.Commentf("all submissions of %s were refused", id))
	body, err := m.Body(ctx, &job)
	c.Assert(err, qt.IsNil)
	c.Check(uint64(body[0]), qt.Equals, job.Digest, qt.Commentf("%s has the body of another submission", id))
	if job.Cancel {
		c.Check(a.cancelled > 0, qt.IsTrue, qt.Commentf("%s is cancelled, and all cancellations were refused", id))
	}
}

// Guards against answers that contradict what became of a job, while the table loses answers and performs writes late.
func TestAnswersAreAccurateOnUnreliableTable(t *testing.T) {
	for seed := range uint64(30) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, func(ctx context.Context, c *qt.C) {
				rng := rand.New(rand.NewPCG(seed, 1))
				platform := newPlatform()
				log := logrus.New()
				log.SetOutput(io.Discard)
				f := newFakeFleet(100, time.Second)
				hosts := []string{"a@1", "b@1", "c@1"}
				var clients []*fakes.UnreliableClient
				var managers []*jobs.Manager
				for i, host := range hosts {
					client, electing := platform.NewUnreliableClient(seed*uint64(len(hosts))+uint64(i), 9*time.Second), platform.NewClient()
					writer := store.NewBatcher(client)
					leaders := jobs.NewLeaders(host, electing, electing, func() []string { return hosts }, sinceNow(), log)
					m := jobs.NewManager(jobs.Config{
						Table: client, Writer: writer, Fleet: f, Leaders: leaders, Stats: noStats{}, Log: log,
						LookupWork: func(string) (entry.Work, bool) {
							return entry.Work{Name: "survey", Class: entry.Batch, Repeatable: true, Attempts: 3}, true
						},
						Estimate: func(entry.Work) time.Duration { return time.Second },
					})
					go func() { _ = writer.Run(ctx) }()
					go func() { _ = leaders.Run(ctx) }()
					go func() { _ = m.Run(ctx) }()
					clients, managers = append(clients, client), append(managers, m)
				}
				time.Sleep(3 * time.Second)
				answers := map[string]*jobAnswers{}
				var wg sync.WaitGroup
				later := func(call func(m *jobs.Manager)) {
					m, delay := managers[rng.IntN(len(managers))], time.Duration(rng.Int64N(int64(12*time.Second)))
					wg.Go(func() {
						time.Sleep(delay)
						call(m)
					})
				}
				for i := range 6 {
					id, a := fmt.Sprint("job-", i), &jobAnswers{accepted: map[uint64]int{}, notRun: map[uint64]int{}, submitted: map[uint64]int{}}
					answers[id] = a
					for range 5 {
						digest := rng.Uint64N(2) + 1
						later(func(m *jobs.Manager) { a.submit(ctx, m, id, digest) })
					}
					for range 2 {
						later(func(m *jobs.Manager) { a.cancel(ctx, m, id) })
					}
				}
				wg.Wait()
				for _, client := range clients {
					client.SetReliable()
				}
				time.Sleep(2 * time.Minute)
				for id, a := range answers {
					a.check(ctx, c, managers[0], id)
				}
				f.mu.Lock()
				defer f.mu.Unlock()
				for task, n := range f.starts {
					c.Check(n, qt.Equals, 1, qt.Commentf("starts of %s", task))
				}
			})
		})
	}
}
