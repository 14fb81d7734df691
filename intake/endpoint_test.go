package intake_test

import (
	"context"
	"errors"
	"sync"
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

// movedQueue is at the endpoint of queue, in a later version of the configuration.
var movedQueue = &queues.Queue{Name: "checks-2", Host: "DESK.example", Prefix: "/checks/", Service: "eyes"}

// numStored returns how many services have the job in their tables, to be run.
func numStored(store *fakes.Table, services ...string) int {
	n := 0
	for _, service := range services {
		row, _ := store.Get(runner.JobKey(service, id))
		if job, err := graph.DecodeJob(row.Value); err == nil && job.Service == service {
			n++
		}
	}
	return n
}

// A job must remain one job for its callers, and be run once, whatever queue and service later versions of the configuration name for its
// endpoint.
func TestJobOfMovedQueueRemainsOneJob(t *testing.T) {
	renamed := &queues.Queue{Name: "checks-3", Host: queue.Host, Prefix: queue.Prefix, Service: queue.Service}
	for _, test := range []struct {
		name     string
		accepted *queues.Queue
		// earlier is a queue that the endpoint had before, and later are those that it has afterwards.
		earlier *queues.Queue
		later   []*queues.Queue
	}{
		{"moved", queue, queue, []*queues.Queue{movedQueue}},
		{"renamed", queue, queue, []*queues.Queue{renamed}},
		{"moved away and back", queue, queue, []*queues.Queue{movedQueue, queue}},
		{"accepted after a move", movedQueue, queue, []*queues.Queue{movedQueue, queue, renamed}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, ctx := qt.New(t), context.Background()
				first, store, groups := newIntake()
				submitEarlier(c, first, test.earlier)
				c.Assert(first.Submit(ctx, test.accepted, jobFor(test.accepted), anyone), qt.IsNil)
				c.Assert(groups.accepted, qt.Equals, 2)
				for _, q := range test.later {
					fresh, freshGroups := newHost(store)
					for _, in := range []*intake.Intake{first, fresh} {
						state, err := in.State(ctx, q, id, anyone)
						c.Assert(err, qt.IsNil)
						c.Assert(state, qt.Equals, graph.Queued)
						c.Assert(in.Submit(ctx, q, jobFor(q), anyone), qt.IsNil)
						c.Assert(numStored(store, "desk", "eyes"), qt.Equals, 1)
					}
					c.Assert(groups.accepted, qt.Equals, 2)
					c.Assert(freshGroups.accepted, qt.Equals, 0)
				}
				last := test.later[len(test.later)-1]
				c.Assert(first.Cancel(ctx, last, id, anyone), qt.IsNil)
				for _, q := range append(test.later, test.accepted) {
					state, err := first.State(ctx, q, id, anyone)
					c.Assert(err, qt.IsNil)
					c.Assert(state, qt.Equals, graph.Cancelled)
				}
			})
		})
	}
}

// Hosts with different versions of the configuration must not accept a job for two services.
func TestHostsWithDifferentVersionsAcceptJobOnce(t *testing.T) {
	const maxLead = 60 * time.Millisecond
	for _, registered := range []bool{false, true} {
		for lead := -maxLead; lead <= maxLead; lead += time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				c, ctx := qt.New(t), context.Background()
				old, store, groups := newIntake()
				next, nextGroups := newHost(store)
				if registered {
					submitEarlier(c, old, queue)
					groups.accepted = 0
				}
				var wg sync.WaitGroup
				wg.Go(func() {
					time.Sleep(max(0, lead))
					qt.Check(t, old.Submit(ctx, queue, jobFor(queue), anyone), qt.IsNil)
				})
				wg.Go(func() {
					time.Sleep(max(0, -lead))
					qt.Check(t, next.Submit(ctx, movedQueue, jobFor(movedQueue), anyone), qt.IsNil)
				})
				wg.Wait()
				c.Assert(groups.accepted+nextGroups.accepted, qt.Equals, 1)
				c.Assert(numStored(store, "desk", "eyes"), qt.Equals, 1)
			})
		}
	}
}

// A job that was to be stored for another service, and wasn't, must be stored by the next request, by which host ever.
func TestInterruptedAcceptanceOfMovedQueueIsCompleted(t *testing.T) {
	for _, repeated := range []*queues.Queue{queue, movedQueue} {
		t.Run(repeated.Service, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, ctx := qt.New(t), context.Background()
				in, store, _ := newIntake()
				submitEarlier(c, in, queue)
				commits := 0
				store.SetFault(func(op string) fakes.TableFault {
					if op == "commit" {
						commits++
					}
					if commits > 2 {
						return fakes.TableUnavailable
					}
					return fakes.TableOK
				})
				var refused *intake.RefusedError
				c.Assert(errors.As(in.Submit(ctx, movedQueue, jobFor(movedQueue), anyone), &refused), qt.IsTrue)
				store.SetFault(nil)
				var notFound *intake.NotFoundError
				_, err := in.State(ctx, movedQueue, id, anyone)
				c.Assert(errors.As(err, &notFound), qt.IsTrue)
				host, groups := newHost(store)
				c.Assert(host.Submit(ctx, repeated, jobFor(repeated), anyone), qt.IsNil)
				c.Assert(groups.accepted, qt.Equals, 1)
				c.Assert(numStored(store, "eyes"), qt.Equals, 1)
			})
		})
	}
}

// An ID that is in use at another endpoint of the same service must not be answered as if the job were accepted.
func TestIDOfOtherEndpointIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), context.Background()
		in, _, _ := newIntake()
		other := &queues.Queue{Name: "rosters", Host: queue.Host, Prefix: "/rosters/", Service: queue.Service}
		c.Assert(in.Submit(ctx, queue, newJob(), anyone), qt.IsNil)
		var refused *intake.RefusedError
		c.Assert(errors.As(in.Submit(ctx, other, jobFor(other), anyone), &refused), qt.IsTrue)
		var notFound *intake.NotFoundError
		_, err := in.State(ctx, other, id, anyone)
		c.Assert(errors.As(err, &notFound), qt.IsTrue)
		c.Assert(errors.As(in.Cancel(ctx, other, id, anyone), &notFound), qt.IsTrue)
		state, err := in.State(ctx, queue, id, anyone)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, graph.Queued)
	})
}

// countedGroups is an intake.Groups with numbers of pending jobs, by service and queue.
type countedGroups struct {
	noGroups
	pending map[graph.Owner]int
}

// Pending implements intake.Groups.
func (g *countedGroups) Pending(_ context.Context, service, queue string, _ queues.Caller) (int, bool) {
	n, ok := g.pending[graph.Owner{Queue: queue, Service: service}]
	return n, ok
}

// Jobs that wait in the queue and service that an endpoint had before are still pending there.
func TestPendingCountsJobsOfEarlierQueues(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), context.Background()
		in, store, _ := newIntake()
		c.Assert(in.Submit(ctx, queue, newJob(), anyone), qt.IsNil)
		host, _ := newHost(store)
		groups := &countedGroups{pending: map[graph.Owner]int{{Queue: "checks", Service: "desk"}: 3, {Queue: "checks-2", Service: "eyes"}: 2}}
		host.Groups = groups
		n, err := host.Pending(ctx, movedQueue, anyone)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 5)
		delete(groups.pending, graph.Owner{Queue: "checks", Service: "desk"})
		n, err = host.Pending(ctx, movedQueue, anyone)
		c.Assert(err, qt.IsNil)
		c.Assert(n, qt.Equals, 2)
	})
}

// Jobs that were stored before endpoints had records must still be found, and not be accepted again.
func TestJobStoredBeforeEndpointRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, ctx := qt.New(t), context.Background()
		in, store, groups := newIntake()
		raw, err := newJob().Encode()
		c.Assert(err, qt.IsNil)
		key := runner.JobKey("desk", id)
		_, err = store.Apply(table.Tx{Writes: []table.Write{{Key: key, Value: raw}}})
		c.Assert(err, qt.IsNil)
		state, err := in.State(ctx, queue, id, anyone)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, graph.Queued)
		c.Assert(in.Submit(ctx, queue, newJob(), anyone), qt.IsNil)
		c.Assert(groups.accepted, qt.Equals, 0)
		c.Assert(in.Cancel(ctx, movedQueue, id, anyone), qt.IsNil)
		state, err = in.State(ctx, queue, id, anyone)
		c.Assert(err, qt.IsNil)
		c.Assert(state, qt.Equals, graph.Cancelled)
	})
}
