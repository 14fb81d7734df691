package route_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/learn"
	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/route"
	"github.com/corianderdrift/corianderdrift/unit"
)

type noStats struct{}

func (noStats) Forwarded(string)             {}
func (noStats) Retry(reason.Reason)          {}
func (noStats) Started(string)               {}
func (noStats) Waited(string, time.Duration) {}
func (noStats) WorkerEvent(string)           {}
func (noStats) Preempted()                   {}

// script says what the hosts of a test do with the offers of one task, in the order in which they come.
type script struct {
	mu     sync.Mutex
	offers []func(h *fakeHost, task string) (*peerpb.RunReply, error)
	starts int
}

// fakeHost is an entry host as the router sees it.
type fakeHost struct {
	peerpb.UnimplementedPeerServer
	script *script
	// kept is what the host says of an offer when it is asked again, by the offer's id.
	kept map[string]*peerpb.RunReply
}

func (h *fakeHost) Run(_ context.Context, req *peerpb.RunRequest) (*peerpb.RunReply, error) {
	s := h.script
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.GetAttachOnly() {
		if reply, ok := h.kept[req.GetTask()]; ok {
			return reply, nil
		}
		return refusal(reason.Refuse(reason.NoSuchTask, "no task %s here", req.GetTask())), nil
	}
	if len(s.offers) == 0 {
		return runs(h, req.GetTask())
	}
	next := s.offers[0]
	s.offers = s.offers[1:]
	return next(h, req.GetTask())
}

func refusal(err error) *peerpb.RunReply { return &peerpb.RunReply{Refusal: peers.Refusal(err)} }

// refuses proves that the work was not started, and keeps that word for a while.
func refuses(h *fakeHost, task string) (*peerpb.RunReply, error) {
	h.kept[task] = refusal(reason.Refuse(reason.NoWorkers, "the last worker went"))
	return h.kept[task], nil
}

// dies starts the work and is lost with it.
func dies(h *fakeHost, _ string) (*peerpb.RunReply, error) {
	h.script.starts++
	return nil, status.Error(codes.Unavailable, "connection lost")
}

// stalls loses the connection and has not started the work.
func stalls(h *fakeHost, task string) (*peerpb.RunReply, error) {
	h.kept[task] = refusal(reason.Refuse(reason.NoWorkers, "the last worker went"))
	return nil, status.Error(codes.Unavailable, "connection lost")
}

// answersLate runs the work, but the connection is lost before the answer has come.
func answersLate(h *fakeHost, task string) (*peerpb.RunReply, error) {
	h.kept[task], _ = runs(h, task)
	return nil, status.Error(codes.Unavailable, "connection lost")
}

func runs(h *fakeHost, _ string) (*peerpb.RunReply, error) {
	h.script.starts++
	return &peerpb.RunReply{Body: []byte("answer"), Worker: "w"}, nil
}

// newRouter returns a router that knows three fake hosts and holds no worker itself.
func newRouter(t *testing.T, s *script) *route.Router {
	t.Helper()
	c := qt.New(t)
	log := logrus.New()
	pool := holder.NewPool(holder.Config{}, learn.NewBook(), noStats{}, log)
	table := peers.NewTable("a", "here")
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		server := grpc.NewServer()
		peerpb.RegisterPeerServer(server, &fakeHost{script: s, kept: map[string]*peerpb.RunReply{}})
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(server.Stop)
		table.Observe(&peerpb.HostState{
			Name: fmt.Sprintf("h%d", i), Address: listener.Addr().String(), DataCenter: "here", Held: []string{"w"},
			MaxCpuMilli: 1000, MaxMemoryMib: 1000,
		}, time.Now())
	}
	self := func() *peerpb.HostState { return &peerpb.HostState{Name: "a"} }
	n := peers.NewNet(table, insecure.NewCredentials(), &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0"))}, self)
	t.Cleanup(n.Close)
	return route.NewRouter(table, n, pool, noStats{})
}

func TestAnOfferIsRepeatedOnlyOnProof(t *testing.T) {
	type offers = []func(h *fakeHost, task string) (*peerpb.RunReply, error)
	tests := []struct {
		name    string
		offers  offers
		outcome reason.Outcome
		starts  int
	}{
		{"the first runs it", offers{runs}, "", 1},
		{"one proves that it did not", offers{refuses, runs}, "", 1},
		{"the asked one was lost and knows", offers{answersLate}, "", 1},
		{"the asked one was lost and proves that it did not", offers{stalls, runs}, "", 1},
		{"the asked one is lost", offers{dies}, reason.Unknown, 1},
		{"an earlier refusal is no proof for a later offer", offers{refuses, dies}, reason.Unknown, 1},
		{"two earlier refusals are none either", offers{refuses, refuses, dies}, reason.Unknown, 1},
		{"the workers change their holders", offers{refuses, refuses, refuses, refuses, runs}, "", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &script{offers: test.offers}
			limit := 30 * time.Second
			if test.outcome == reason.Unknown {
				// The answer is looked for until the deadline.
				limit = time.Second
			}
			_, err := newRouter(t, s).Run(context.Background(), route.Request{
				Task: "t", Work: entry.Work{Name: "check", Size: unit.Size{CPUMilli: 1}}, Deadline: time.Now().Add(limit),
			})
			if test.outcome == "" {
				c.Check(err, qt.IsNil)
			} else {
				var refused *reason.Refusal
				c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%v", err))
				c.Check(refused.Outcome, qt.Equals, test.outcome)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			c.Check(s.starts, qt.Equals, test.starts)
		})
	}
}
