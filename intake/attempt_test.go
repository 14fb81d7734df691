package intake_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/intake"
	"github.com/corianderdrift/corianderdrift/queues"
	"github.com/corianderdrift/corianderdrift/table"
)

// The log must tell what a caller was answered, and what the host knew then of the commits that it had sent and of the job's row.
func TestLogTellsWhatAnAnswerRestsOn(t *testing.T) {
	replyLost := func(n int) fakes.TableFault {
		if n == 1 {
			return fakes.TableReplyLost
		}
		return fakes.TableOK
	}
	for _, test := range []struct {
		name string
		// fault is that of the nth commit.
		fault  func(n int) fakes.TableFault
		fields logrus.Fields
	}{
		{
			"accepted", func(int) fakes.TableFault { return fakes.TableOK },
			logrus.Fields{"op": "submit", "answer": "done", "commits": 1, "unanswered": 0, "row": "created"},
		},
		{
			"accepted by an unanswered commit", replyLost,
			logrus.Fields{"op": "submit", "answer": "done", "commits": 2, "unanswered": 1, "row": "found"},
		},
		{
			"refused by the table", func(int) fakes.TableFault { return fakes.TableUnavailable },
			logrus.Fields{"op": "submit", "answer": "refused", "commits": 1, "unanswered": 0, "row": "unread"},
		},
		{
			"no answer from the table", func(int) fakes.TableFault { return fakes.TableNoReply },
			logrus.Fields{"op": "submit", "answer": "unknown", "commits": 3, "unanswered": 3, "row": "unread"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				in, store, _ := newIntake()
				submitEarlier(c, in, queue)
				log, hook := logtest.NewNullLogger()
				in.Log = log
				n := 0
				store.SetFault(func(op string) fakes.TableFault {
					if op != "commit" {
						return fakes.TableOK
					}
					n++
					return test.fault(n)
				})
				_ = in.Submit(context.Background(), queue, jobFor(queue), anyone)
				entry := hook.LastEntry()
				c.Assert(entry, qt.IsNotNil)
				for name, want := range test.fields {
					c.Check(entry.Data[name], qt.Equals, want, qt.Commentf("%s", name))
				}
			})
		})
	}
}

// An error must stand for one outcome, whatever outcome its cause stands for.
func TestOutcomeIsNotThatOfTheCause(t *testing.T) {
	c := qt.New(t)
	refused := &intake.RefusedError{Reason: "store-away", Err: &table.RefusedError{Op: "read"}}
	unknown := &intake.UnknownError{Err: refused}
	for _, test := range []struct {
		err  error
		want intake.Outcome
	}{
		{nil, intake.Done},
		{refused, intake.Refused},
		{unknown, intake.Unknown},
		{&intake.RefusedError{Reason: "store-away", Err: unknown}, intake.Refused},
		{&intake.UnknownError{Err: &intake.NotFoundError{Job: id}}, intake.Unknown},
		{&intake.NotFoundError{Job: id}, intake.NotFound},
		{fmt.Errorf("submit: %w", unknown), intake.Unknown},
		{context.DeadlineExceeded, intake.Unknown},
		{errors.Join(refused, unknown), intake.Unknown},
	} {
		c.Check(intake.OutcomeOf(test.err), qt.Equals, test.want, qt.Commentf("%v", test.err))
	}
}

// A refusal must not follow from the last step of a request if an earlier step may have stored the job, or met a job that is stored.
func TestRefusalRestsOnTheWholeRequest(t *testing.T) {
	const (
		ok      = fakes.TableOK
		refused = fakes.TableUnavailable
		late    = fakes.TableLate
	)
	for _, test := range []struct {
		name  string
		queue *queues.Queue
		// before prepares the table, through another host.
		before func(c *qt.C, host *intake.Intake)
		// faults are those of the calls to the table, in order; the last one repeats.
		faults []fakes.TableFault
		want   intake.Outcome
	}{
		{"nothing sent but refused commits", movedQueue, nil, []fakes.TableFault{refused}, intake.Refused},
		{"reference stored, job refused", movedQueue, nil, []fakes.TableFault{ok, refused}, intake.Refused},
		{
			"reference of an earlier request found, job refused", movedQueue, func(c *qt.C, host *intake.Intake) {
				c.Assert(host.Submit(context.Background(), movedQueue, jobFor(movedQueue), anyone), qt.IsNil)
			},
			[]fakes.TableFault{ok, ok, refused},
			intake.Unknown,
		},
		{"reference unanswered, job refused", movedQueue, nil, []fakes.TableFault{late, ok, refused}, intake.Unknown},
		{
			"job of a later queue found, record of the endpoint refused", queue, func(c *qt.C, host *intake.Intake) {
				c.Assert(host.Submit(context.Background(), laterQueue, jobFor(laterQueue), anyone), qt.IsNil)
			},
			[]fakes.TableFault{ok, ok, refused},
			intake.Unknown,
		},
		{"cancelled before", queue, cancelUnknown, []fakes.TableFault{ok}, intake.Refused},
		{"cancelled before, commit unanswered", queue, cancelUnknown, []fakes.TableFault{late, ok}, intake.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				in, store, _ := newIntake()
				store.BareConflicts = true
				submitEarlier(c, in, queue)
				if test.queue == movedQueue {
					submitEarlier(c, in, movedQueue)
				}
				if test.before != nil {
					host, _ := newHost(store)
					test.before(c, host)
				}
				n := 0
				store.SetFault(func(string) fakes.TableFault {
					n++
					return test.faults[min(n, len(test.faults))-1]
				})
				err := in.Submit(context.Background(), test.queue, jobFor(test.queue), anyone)
				c.Assert(intake.OutcomeOf(err), qt.Equals, test.want, qt.Commentf("%v", err))
			})
		})
	}
}

// laterQueue is queue in a later version of the configuration, under another name.
var laterQueue = &queues.Queue{Name: "checks-3", Host: queue.Host, Prefix: queue.Prefix, Service: queue.Service}

// cancelUnknown cancels a job that was never stored.
func cancelUnknown(c *qt.C, host *intake.Intake) {
	c.Assert(intake.OutcomeOf(host.Cancel(context.Background(), queue, id, anyone)), qt.Equals, intake.NotFound)
}

// A cancelling must not be answered as refused if a commit that marks the job may have taken effect.
func TestUnansweredCancelIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		in, store, _ := newIntake()
		c.Assert(in.Submit(context.Background(), queue, newJob(), anyone), qt.IsNil)
		n := 0
		store.SetFault(func(op string) fakes.TableFault {
			if op == "commit" {
				n++
			}
			switch {
			case op == "commit" && n == 1:
				return fakes.TableReplyLost
			case op == "read" && n == 2:
				return fakes.TableUnavailable
			}
			return fakes.TableOK
		})
		err := in.Cancel(context.Background(), queue, id, anyone)
		c.Assert(intake.OutcomeOf(err), qt.Equals, intake.Unknown, qt.Commentf("%v", err))
		store.SetFault(nil)
		state, err := in.State(context.Background(), queue, id, anyone)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, graph.Cancelled)
	})
}

// holderGroups is an intake.Groups whose holder knows some jobs, or doesn't answer.
type holderGroups struct {
	noGroups
	// service is the one whose group the holder runs.
	service string
	jobs    []string
	silent  bool
}

// Stored implements intake.Groups.
func (h *holderGroups) Stored(ctx context.Context, service, _, job string, _ queues.Caller) bool {
	if h.silent {
		<-ctx.Done()
		return false
	}
	return service == h.service && slices.Contains(h.jobs, job)
}

// A request must not be answered as refused or unknown if the host that runs the group can tell that the job is stored, as it may be by an earlier
// request whose caller had no answer.
func TestJobThatItsHolderKnowsIsNotRefused(t *testing.T) {
	const maxDelay = 50 * time.Millisecond
	for _, test := range []struct {
		name   string
		queue  *queues.Queue
		groups *holderGroups
		fault  fakes.TableFault
		want   intake.Outcome
	}{
		{"refused, known", queue, &holderGroups{service: queue.Service, jobs: []string{id}}, fakes.TableUnavailable, intake.Done},
		{"unanswered, known", queue, &holderGroups{service: queue.Service, jobs: []string{id}}, fakes.TableReplyLost, intake.Done},
		{"refused, not known", queue, &holderGroups{}, fakes.TableUnavailable, intake.Refused},
		{"refused, no answer from the holder", queue, &holderGroups{silent: true}, fakes.TableUnavailable, intake.Refused},
		{"refused, known to the service before a move", movedQueue, &holderGroups{service: queue.Service, jobs: []string{id}}, fakes.TableUnavailable, intake.Done},
		{"unanswered, not known", queue, &holderGroups{}, fakes.TableNoReply, intake.Unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				in, store, _ := newIntake()
				in.Groups = test.groups
				submitEarlier(c, in, queue)
				submitEarlier(c, in, test.queue)
				store.SetFault(func(op string) fakes.TableFault { return test.fault })
				start := time.Now()
				err := in.Submit(context.Background(), test.queue, jobFor(test.queue), anyone)
				c.Assert(intake.OutcomeOf(err), qt.Equals, test.want, qt.Commentf("%v", err))
				if test.want == intake.Refused {
					c.Assert(time.Since(start) <= store.Latency+maxDelay, qt.IsTrue)
				}
			})
		})
	}
}

// A job was refused if the holder of a service that the queue has left doesn't answer, as nobody asked the holder that knows the job.
func TestSilentHolderDoesNotHideOthers(t *testing.T) {
	for _, silent := range []string{queue.Service, movedQueue.Service} {
		t.Run(silent, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				in, store, _ := newIntake()
				submitEarlier(c, in, queue)
				submitEarlier(c, in, movedQueue)
				in.Groups = &oneSilentGroup{service: silent}
				store.SetFault(func(string) fakes.TableFault { return fakes.TableUnavailable })
				c.Assert(in.Submit(context.Background(), movedQueue, jobFor(movedQueue), anyone), qt.IsNil)
			})
		})
	}
}

// oneSilentGroup is an intake.Groups of which one service's holder doesn't answer, and all others know all jobs.
type oneSilentGroup struct {
	noGroups
	service string
}

// Stored implements intake.Groups.
func (g *oneSilentGroup) Stored(ctx context.Context, service, _, _ string, _ queues.Caller) bool {
	if service == g.service {
		<-ctx.Done()
	}
	return ctx.Err() == nil
}

// A refusal waited beyond its limit for a busy runner on this host, whose lock knows no deadline.
func TestBusyRunnerDoesNotDelayRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const maxDelay = 50 * time.Millisecond
		in, store, _ := newIntake()
		submitEarlier(c, in, queue)
		in.Groups = &busyGroups{}
		store.SetFault(func(string) fakes.TableFault { return fakes.TableUnavailable })
		start := time.Now()
		err := in.Submit(context.Background(), queue, jobFor(queue), anyone)
		c.Assert(intake.OutcomeOf(err), qt.Equals, intake.Refused)
		c.Assert(time.Since(start) <= store.Latency+maxDelay, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
		time.Sleep(busyTime)
	})
}

// busyTime is how long busyGroups is busy.
const busyTime = time.Second

// busyGroups is an intake.Groups that answers late, whatever the deadline.
type busyGroups struct {
	noGroups
}

// Stored implements intake.Groups.
func (*busyGroups) Stored(context.Context, string, string, string, queues.Caller) bool {
	time.Sleep(busyTime)
	return false
}
