package fakes_test

import (
	"context"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

const (
	jobID = "0000000000000001"
	lease = 6 * time.Second
)

// checkedWorker is a worker whose starts are checked against the rules of one job.
type checkedWorker struct {
	c       *qt.C
	workers *fakes.WorkerSet
	w       order.Worker
	// outcome is how the next runs end.
	outcome order.EndKind
}

func newCheckedWorker(c *qt.C, job *graph.Job) *checkedWorker {
	s := &checkedWorker{c: c, workers: fakes.NewWorkerSet(lease), outcome: order.EndDone}
	s.w = s.workers.Add(order.Worker{ID: "w0", Address: netip.MustParseAddrPort("127.0.0.1:1")})
	s.workers.Outcome = func(string, graph.TaskID, int) (time.Duration, order.EndKind) { return time.Second, s.outcome }
	s.workers.SetJob(job, false)
	return s
}

func (s *checkedWorker) start(step, index, run int) {
	task := graph.TaskID{StepID: graph.StepID{Job: jobID, Step: step}, Index: index}
	_, err := s.workers.Start(context.Background(), &s.w, order.Start{Task: task, Run: run, Token: 1, LeaseUntil: time.Hour})
	s.c.Assert(err, qt.IsNil)
}

// run starts a run of the first step and waits for its end.
func (s *checkedWorker) run(index, run int, outcome order.EndKind) {
	s.outcome = outcome
	s.start(0, index, run)
	time.Sleep(2 * time.Second)
}

func (s *checkedWorker) acknowledge(end uint64) {
	_, err := s.workers.Poll(context.Background(), &s.w, order.Poll{Token: 1, LeaseUntil: time.Hour, Acked: end})
	s.c.Assert(err, qt.IsNil)
}

// A fake that accepts starts which the platform's rules forbid would hide faults of the scheduler.
func TestForbiddenStartsAreRecorded(t *testing.T) {
	single := graph.Step{Count: 1}
	dependent := graph.Step{Count: 1, After: []int{0}}
	for _, test := range []struct {
		name  string
		steps []graph.Step
		due   time.Duration
		do    func(s *checkedWorker)
		want  []string
	}{
		{"step in order", []graph.Step{{Count: 2}, dependent}, 0, func(s *checkedWorker) {
			s.run(0, 1, order.EndDone)
			s.run(1, 1, order.EndDone)
			s.start(1, 0, 1)
		}, nil},
		{"step before another is done", []graph.Step{{Count: 2}, dependent}, 0, func(s *checkedWorker) {
			s.run(0, 1, order.EndDone)
			s.run(1, 1, order.EndFailed)
			s.start(1, 0, 1)
		}, []string{jobID + ".0.1.0 run 1 started on w0 when 1 of 2 tasks of step 0 were done"}},
		{"step after the end of a gang's member", []graph.Step{{Count: 2, Gang: true}, dependent}, 0, func(s *checkedWorker) {
			s.run(0, 1, order.EndDone)
			s.start(1, 0, 1)
		}, nil},
		{"step before the end of a gang", []graph.Step{{Count: 2, Gang: true}, dependent}, 0, func(s *checkedWorker) {
			s.start(1, 0, 1)
		}, []string{jobID + ".0.1.0 run 1 started on w0 when 0 of 2 tasks of step 0 were done"}},
		{"occurrence that is due", []graph.Step{single}, 100 * time.Millisecond, func(s *checkedWorker) { s.start(0, 0, 1) }, nil},
		{"occurrence before its time", []graph.Step{single}, time.Second, func(s *checkedWorker) {
			s.start(0, 0, 1)
		}, []string{jobID + ".0.0.0 run 1 started on w0 1s before it is due"}},
		{"attempts", []graph.Step{single}, 0, func(s *checkedWorker) {
			s.run(0, 1, order.EndFailed)
			s.acknowledge(1)
			s.run(0, 2, order.EndStopped)
			s.start(0, 0, 3)
		}, nil},
		{"start after all attempts", []graph.Step{single}, 0, func(s *checkedWorker) {
			s.run(0, 1, order.EndFailed)
			s.run(0, 2, order.EndFailed)
			s.acknowledge(2)
			s.start(0, 0, 3)
		}, []string{jobID + ".0.0.0 run 3 started on w0 after 2 failed runs"}},
		{"start after all attempts that are acknowledged later", []graph.Step{single}, 0, func(s *checkedWorker) {
			s.run(0, 1, order.EndFailed)
			s.run(0, 2, order.EndFailed)
			s.start(0, 0, 3)
			s.acknowledge(1)
			s.c.Check(s.workers.Violations(), qt.HasLen, 0)
			s.acknowledge(2)
			s.acknowledge(2)
		}, []string{jobID + ".0.0.0 run 3 started on w0 after 2 failed runs"}},
		{"start after attempts whose lease expired before they were acknowledged", []graph.Step{single}, 0, func(s *checkedWorker) {
			s.run(0, 1, order.EndFailed)
			s.run(0, 2, order.EndFailed)
			time.Sleep(lease)
			s.acknowledge(2)
			s.start(0, 0, 3)
		}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				job := &graph.Job{ID: jobID, Steps: test.steps, MaxAttempts: 2}
				if test.due > 0 {
					job.Repetitions, job.FirstAt = 1, time.Now().Add(test.due)
				}
				s := newCheckedWorker(qt.New(t), job)
				test.do(s)
				s.c.Assert(s.workers.Violations(), qt.DeepEquals, test.want)
				time.Sleep(2 * lease)
			})
		})
	}
}
