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
	"github.com/corianderdrift/corianderdrift/runner"
	"github.com/corianderdrift/corianderdrift/table"
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
				c.Assert(errors.As(in.Submit(ctx, test.queue, jobFor(test.queue), anyone), &unknown), qt.IsTrue)
				store.SetFault(nil)
				stored := numStored(store, "desk", "eyes")
				host, _ := newHost(store)
				err := host.Cancel(ctx, test.queue, id, anyone)
				var notFound *intake.NotFoundError
				c.Assert(err == nil || errors.As(err, &notFound), qt.IsTrue, qt.Commentf("%v", err))
				time.Sleep(time.Minute)
				c.Assert(numStored(store, "desk", "eyes"), qt.Equals, stored)
				state, err := host.State(ctx, test.queue, id, anyone)
				c.Assert(errors.As(err, &notFound) || state == graph.Cancelled, qt.IsTrue, qt.Commentf("%v, %v", state, err))
				var refused *intake.RefusedError
				err = host.Submit(ctx, test.queue, jobFor(test.queue), anyone)
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
					accepted <- in.Submit(ctx, q, jobFor(q), anyone)
				}()
				time.Sleep(max(0, -lead))
				err := host.Cancel(ctx, q, id, anyone)
				var notFound *intake.NotFoundError
				c.Assert(err == nil || errors.As(err, &notFound), qt.IsTrue, qt.Commentf("%v", err))
				var refused *intake.RefusedError
				acceptErr := <-accepted
				c.Assert(acceptErr == nil || errors.As(acceptErr, &refused), qt.IsTrue, qt.Commentf("%v", acceptErr))
				state, err := host.State(ctx, q, id, anyone)
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
				err := in.Cancel(ctx, queue, id, anyone)
				var notFound *intake.NotFoundError
				c.Assert(err, qt.IsNotNil)
				c.Assert(errors.As(err, &notFound), qt.IsFalse)
			})
		})
	}
}

// A job must not be stored after a cancelling has been acknowledged that met the mark of an earlier one, which is about to be removed.
func TestRepeatedCancelIsAsGoodAsTheFirst(t *testing.T) {
	for _, test := range []struct {
		name  string
		queue *queues.Queue
		// lateFrom is the number of the submission's commit from which commits are performed late.
		lateFrom int
	}{
		{"first service", queue, 1},
		{"another service", movedQueue, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, ctx := qt.New(t), context.Background()
				in, store, _ := newIntake()
				submitEarlier(c, in, queue)
				submitEarlier(c, in, movedQueue)
				host, _ := newHost(store)
				if test.lateFrom > 1 {
					// The mark is set beside the row that names the service.
					store.SetFault(failCommits(test.lateFrom, fakes.TableUnavailable))
					c.Assert(in.Submit(ctx, test.queue, jobFor(test.queue), anyone), qt.IsNotNil)
					store.SetFault(nil)
				}
				cancelUnknown(c, host)
				job := runner.JobKey(test.queue.Service, id)
				mark, ok := store.Get(runner.CancelKey(job))
				c.Assert(ok, qt.IsTrue)
				time.Sleep(28 * time.Second)
				store.SetFault(failCommits(test.lateFrom, fakes.TableLate))
				c.Assert(intake.OutcomeOf(in.Submit(ctx, test.queue, jobFor(test.queue), anyone)), qt.Equals, intake.Unknown)
				store.SetFault(nil)
				cancelUnknown(c, host)
				// The group's runner removes the mark that it has seen 30 s before.
				_, _ = store.Apply(table.Tx{
					Checks: []table.Check{{Key: job}, {Key: mark.Key, Version: mark.Version}}, Removes: []table.Key{mark.Key},
				})
				time.Sleep(lateCommitsDone)
				c.Assert(numStored(store, "desk", "eyes"), qt.Equals, 0)
			})
		})
	}
}

// failCommits returns a fault of all commits from the nth on.
func failCommits(n int, fault fakes.TableFault) func(op string) fakes.TableFault {
	commits := 0
	return func(op string) fakes.TableFault {
		if op == "commit" {
			commits++
		}
		if op == "commit" && commits >= n {
			return fault
		}
		return fakes.TableOK
	}
}
