package intake_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/intake"
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
				_ = in.Submit(context.Background(), queue, jobFor(queue))
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
	} {
		c.Check(intake.OutcomeOf(test.err), qt.Equals, test.want, qt.Commentf("%v", test.err))
	}
}
