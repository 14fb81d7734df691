package intake_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/intake"
	"github.com/corianderdrift/corianderdrift/queues"
)

// A job whose acceptance the table performs late must not run once its cancelling has been answered.
func TestLateAcceptanceDoesNotFollowCancel(t *testing.T) {
	for _, test := range []struct {
		name  string
		queue *queues.Queue
		// lateFrom is the number of the commit from which commits are performed late.
		lateFrom int
	}{
		{"first service", queue, 1},
		{"another service, none of its rows stored", movedQueue, 1},
		{"another service, the first row stored", movedQueue, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, ctx := qt.New(t), context.Background()
				in, store, _ := newIntake()
				submitEarlier(c, in, queue)
				submitEarlier(c, in, movedQueue)
				commits := 0
				store.SetFault(func(op string) fakes.TableFault {
					if op == "commit" {
						commits++
					}
					if op == "commit" && commits >= test.lateFrom {
						return fakes.TableLate
					}
					return fakes.TableOK
				})
				var unknown *intake.UnknownError
				c.Assert(errors.As(in.Submit(ctx, test.queue, jobFor(test.queue)), &unknown), qt.IsTrue)
				store.SetFault(nil)
				stored := numStored(store, "desk", "eyes")
				host, _ := newHost(store)
				err := host.Cancel(ctx, test.queue, id)
				var notFound *intake.NotFoundError
				c.Assert(err == nil || errors.As(err, &notFound), qt.IsTrue, qt.Commentf("%v", err))
				time.Sleep(time.Minute)
				c.Assert(numStored(store, "desk", "eyes"), qt.Equals, stored)
				state, err := host.State(ctx, test.queue, id)
				c.Assert(errors.As(err, &notFound) || state == graph.Cancelled, qt.IsTrue, qt.Commentf("%v, %v", state, err))
				var refused *intake.RefusedError
				err = host.Submit(ctx, test.queue, jobFor(test.queue))
				c.Assert(errors.As(err, &refused), qt.Equals, stored == 0, qt.Commentf("%v", err))
				c.Assert(numStored(store, "desk", "eyes"), qt.Equals, stored)
			})
		})
	}
}

// A cancelling and an acceptance at the same moment must not both take effect without the job being cancelled.
func TestCancelBesideAcceptance(t *testing.T) {
	const maxLead = 40 * time.Millisecond
	for _, q := range []*queues.Queue{queue, movedQueue} {
		for lead := -maxLead; lead <= maxLead; lead += time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				c, ctx := qt.New(t), context.Background()
				in, store, _ := newIntake()
				host, _ := newHost(store)
				submitEarlier(c, in, queue)
				accepted := make(chan error, 1)
				go func() {
					time.Sleep(max(0, lead))
					accepted <- in.Submit(ctx, q, jobFor(q))
				}()
				time.Sleep(max(0, -lead))
				err := host.Cancel(ctx, q, id)
				var notFound *intake.NotFoundError
				c.Assert(err == nil || errors.As(err, &notFound), qt.IsTrue, qt.Commentf("%v", err))
				var refused *intake.RefusedError
				acceptErr := <-accepted
				c.Assert(acceptErr == nil || errors.As(acceptErr, &refused), qt.IsTrue, qt.Commentf("%v", acceptErr))
				state, err := host.State(ctx, q, id)
				if acceptErr != nil {
					c.Assert(errors.As(err, &notFound), qt.IsTrue)
					return
				}
				c.Assert(state, qt.Equals, graph.Cancelled)
			})
		}
	}
}

// A cancelling that may not have taken effect must not be acknowledged.
func TestCancelIsNotAcknowledgedWithoutTable(t *testing.T) {
	for _, test := range []struct {
		name  string
		fault fakes.TableFault
	}{
		{"refused", fakes.TableUnavailable},
		{"silent", fakes.TableNoReply},
		{"late", fakes.TableLate},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, ctx := qt.New(t), context.Background()
				in, store, _ := newIntake()
				submitEarlier(c, in, queue)
				store.SetFault(func(op string) fakes.TableFault {
					if op == "commit" {
						return test.fault
					}
					return fakes.TableOK
				})
				err := in.Cancel(ctx, queue, id)
				var notFound *intake.NotFoundError
				c.Assert(err, qt.IsNotNil)
				c.Assert(errors.As(err, &notFound), qt.IsFalse)
			})
		})
	}
}
