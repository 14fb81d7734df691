package agent

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/corianderdrift/corianderdrift/cell"
	"github.com/corianderdrift/corianderdrift/cellpb"
	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// retryDelay is the delay between calls of a group.
const retryDelay = 20 * time.Millisecond

// serialAdvisor answers one call at a time, after a time that depends on the job, and carries out calls whose caller has left.
type serialAdvisor struct {
	costs  map[string]time.Duration
	mu     sync.Mutex
	freeAt time.Time
}

// Advise implements order.Advisor.
func (a *serialAdvisor) Advise(ctx context.Context, step graph.StepID, _ []string) ([]order.Permit, time.Duration, error) {
	a.mu.Lock()
	if now := time.Now(); a.freeAt.Before(now) {
		a.freeAt = now
	}
	a.freeAt = a.freeAt.Add(a.costs[step.Job])
	answer := time.NewTimer(time.Until(a.freeAt))
	a.mu.Unlock()
	defer answer.Stop()
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-answer.C:
		return nil, time.Second, nil
	}
}

// newLongCallBalancer returns the balancer of a host that is the only one for long calls.
func newLongCallBalancer(advisor order.Advisor) *advisorBalancer {
	h := newHosts("", "a")
	for _, name := range []string{"a-0", "a-1"} {
		h.known[name] = host{Name: name, DataCenter: "a"}
	}
	h.chooseFastPath()
	for name := range h.known {
		if !h.fastPath[name] {
			h.self = name
		}
	}
	h.sort()
	return newAdvisorBalancer(h.self, newAdvisorQueue(advisor, h.self), h)
}

// Guards against steps whose requests for advice expire behind longer calls that another group makes through the same hosts,
// which then count as unreachable.
func TestGroupsTakeTurnsAtAdvisor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const (
			longCall, shortCall = 630 * time.Millisecond, 190 * time.Millisecond
			duration            = 30 * time.Second
			minAnswered         = 20
		)
		b := newLongCallBalancer(&serialAdvisor{costs: map[string]time.Duration{"long": longCall, "short": shortCall}})
		server := &peerServer{a: &Agent{advisor: b.advisor}}
		ctx, cancel := context.WithTimeout(t.Context(), duration)
		defer cancel()
		longAnswered, shortAnswered := 0, 0
		var otherGroup sync.WaitGroup
		otherGroup.Go(func() {
			for clock.Pause(ctx, retryDelay) {
				call, cancel := context.WithTimeout(ctx, longCall+adviseSlack)
				if _, err := server.Advise(call, &cellpb.AdviseRequest{Job: "long"}); err == nil {
					longAnswered++
				}
				cancel()
			}
		})
		for clock.Pause(ctx, retryDelay) {
			name, ok := b.Reserve(shortCall)
			if !ok {
				continue
			}
			req := cell.AdviceRequest{Step: graph.StepID{Job: "short"}, Host: name, Cost: shortCall}
			if _, _, err := b.Advise(ctx, req); err == nil {
				shortAnswered++
			}
		}
		otherGroup.Wait()
		c.Assert(shortAnswered >= minAnswered && longAnswered >= minAnswered, qt.IsTrue,
			qt.Commentf("answered: %d short, %d long calls", shortAnswered, longAnswered))
	})
}

// A host that is busy with other calls answers so, and goes on being used.
func TestBusyHostIsNotBackedOff(t *testing.T) {
	c := qt.New(t)
	busy := newLongCallBalancer(failingAdvisor{})
	queue := busy.advisor.(*advisorQueue)
	c.Assert(queue.slots.Acquire(t.Context(), maxShortInFlight), qt.IsNil)
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := grpc.NewServer()
	cellpb.RegisterCellsServer(server, &peerServer{a: &Agent{advisor: queue}})
	var serving sync.WaitGroup
	serving.Go(func() { _ = server.Serve(l) })
	c.Cleanup(func() { server.Stop(); serving.Wait() })

	b := newTestBalancer(2)
	b.hosts.known["b-0"] = host{Name: "b-0", DataCenter: "b", Address: netip.MustParseAddrPort(l.Addr().String())}
	b.hosts.sort()
	c.Cleanup(b.hosts.close)
	sent := time.Now()
	_, _, err = b.Advise(t.Context(), cell.AdviceRequest{Host: "b-0", Cost: time.Minute})
	c.Assert(status.Code(err), qt.Equals, codes.Aborted)
	c.Assert(b.hosts.usable(sent), qt.HasLen, len(b.hosts.known))

	queue.slots.Release(maxShortInFlight)
	_, _, err = b.Advise(t.Context(), cell.AdviceRequest{Host: "b-0", Cost: time.Minute})
	c.Assert(status.Code(err), qt.Equals, codes.Unavailable)
	c.Assert(b.hosts.usable(sent), qt.HasLen, len(b.hosts.known)-1)
}

// A group doesn't know the calls of others through the same host. Its own used to wait there for 200 ms and then fail, one after the other, for as
// long as a long call took: 600 times on a heavy day. Load: another group makes calls of 1.6 s through the only host, this one calls of 190 ms.
func TestHostTellsHowLongItIsBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const longCall, shortCall = 1600 * time.Millisecond, 190 * time.Millisecond
		b := newLongCallBalancer(&serialAdvisor{costs: map[string]time.Duration{"long": longCall, "short": shortCall}})
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		longAnswered, answered, failed := 0, 0, 0
		var otherGroup sync.WaitGroup
		otherGroup.Go(func() {
			for clock.Pause(ctx, retryDelay) {
				call, cancel := context.WithTimeout(ctx, longCall+adviseSlack)
				if _, _, err := b.advisor.Advise(call, graph.StepID{Job: "long"}, nil); err == nil {
					longAnswered++
				}
				cancel()
			}
		})
		for clock.Pause(ctx, retryDelay) {
			name, ok := b.Reserve(shortCall)
			if !ok {
				continue
			}
			_, _, err := b.Advise(ctx, cell.AdviceRequest{Step: graph.StepID{Job: "short"}, Host: name, Cost: shortCall})
			if err == nil {
				answered++
			} else {
				failed++
			}
		}
		otherGroup.Wait()
		t.Logf("%d long calls, %d short ones, %d failed", longAnswered, answered, failed)
		c.Check(failed <= longAnswered+2, qt.IsTrue, qt.Commentf("%d calls failed", failed))
		c.Check(answered >= longAnswered-1, qt.IsTrue, qt.Commentf("%d calls were answered, and %d long ones", answered, longAnswered))
		c.Check(longAnswered >= 12, qt.IsTrue, qt.Commentf("%d long calls were answered", longAnswered))
	})
}

// A host that another one has told that it is busy used to be asked again at once. It must be left out until it is free, and the other hosts that
// make long calls be used, but not those for short calls.
func TestHostThatIsBusyWithOtherGroupsIsLeftOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const cost = time.Second
		b := newTestBalancer(3)
		busy := busyError("x", busyStatus(&order.HostBusyError{Host: "x", For: 700 * time.Millisecond}).Err())
		numLong := 0
		for {
			name, ok := b.Reserve(cost)
			if !ok {
				break
			}
			numLong++
			c.Assert(b.hosts.fastPath[name], qt.IsFalse)
			b.finish(cell.AdviceRequest{Host: name, Cost: cost}, cost, time.Millisecond, busy)
		}
		c.Assert(numLong, qt.Equals, len(b.hosts.known)-len(b.hosts.fastPath))
		c.Assert(b.hosts.anyInBackoff(time.Now()), qt.IsFalse)
		time.Sleep(690 * time.Millisecond)
		c.Assert(b.HasSlot(cost), qt.IsFalse)
		c.Assert(b.HasSlot(10*time.Millisecond), qt.IsTrue)
		time.Sleep(10 * time.Millisecond)
		c.Assert(b.HasSlot(cost), qt.IsTrue)
	})
}
