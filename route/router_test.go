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

// hostScript lists how the hosts of a test handle the successive attempts of one task.
type hostScript struct {
	mu       sync.Mutex
	attempts []func(h *fakeHost, task string) (*peerpb.RunReply, error)
	starts   int
}

// fakeHost is an entry host that follows a script.
type fakeHost struct {
	peerpb.UnimplementedPeerServer
	script *hostScript
	// answers holds, by task id, the replies to later lookups.
	answers map[string]*peerpb.RunReply
}

func (h *fakeHost) Run(_ context.Context, req *peerpb.RunRequest) (*peerpb.RunReply, error) {
	s := h.script
	s.mu.Lock()
	defer s.mu.Unlock()
	if req.GetAttachOnly() {
		if reply, ok := h.answers[req.GetTask()]; ok {
			return reply, nil
		}
		return refusal(reason.Refuse(reason.NoSuchTask, "no task %s here", req.GetTask())), nil
	}
	if len(s.attempts) == 0 {
		return run(h, req.GetTask())
	}
	next := s.attempts[0]
	s.attempts = s.attempts[1:]
	return next(h, req.GetTask())
}

func refusal(err error) *peerpb.RunReply { return &peerpb.RunReply{Refusal: peers.EncodeRefusal(err)} }

// refuse proves that the work was not started and repeats the refusal in later lookups.
func refuse(h *fakeHost, task string) (*peerpb.RunReply, error) {
	h.answers[task] = refusal(reason.Refuse(reason.NoWorkers, "the last worker was lost"))
	return h.answers[task], nil
}

// loseStarted starts the work and then loses both the connection and the record.
func loseStarted(h *fakeHost, _ string) (*peerpb.RunReply, error) {
	h.script.starts++
	return nil, status.Error(codes.Unavailable, "connection lost")
}

// loseUnstarted loses the connection before the work has started.
func loseUnstarted(h *fakeHost, task string) (*peerpb.RunReply, error) {
	h.answers[task] = refusal(reason.Refuse(reason.NoWorkers, "the last worker was lost"))
	return nil, status.Error(codes.Unavailable, "connection lost")
}

// loseAnswer runs the work, but the connection is lost before the answer arrives.
func loseAnswer(h *fakeHost, task string) (*peerpb.RunReply, error) {
	h.answers[task], _ = run(h, task)
	return nil, status.Error(codes.Unavailable, "connection lost")
}

func run(h *fakeHost, _ string) (*peerpb.RunReply, error) {
	h.script.starts++
	return &peerpb.RunReply{Body: []byte("answer"), Worker: "w"}, nil
}

// newRouter returns a router that knows three fake hosts and whose own pool holds no worker.
func newRouter(t *testing.T, s *hostScript) *route.Router {
	t.Helper()
	c := qt.New(t)
	log := logrus.New()
	pool := holder.NewPool(holder.Config{}, learn.NewEstimator(), noStats{}, log)
	members := peers.NewMembership("a", "here")
	for i := range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		server := grpc.NewServer()
		peerpb.RegisterPeerServer(server, &fakeHost{script: s, answers: map[string]*peerpb.RunReply{}})
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(server.Stop)
		members.Observe(&peerpb.HostState{
			Name: fmt.Sprintf("h%d", i), Address: listener.Addr().String(), DataCenter: "here", Held: []string{"w"},
			MaxCpuMilli: 1000, MaxMemoryMib: 1000,
		}, time.Now())
	}
	self := func() *peerpb.HostState { return &peerpb.HostState{Name: "a"} }
	transport := peers.NewTransport(members, insecure.NewCredentials(), &net.Dialer{LocalAddr: net.TCPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0"))}, self)
	t.Cleanup(transport.Close)
	return route.NewRouter(members, transport, pool, noStats{})
}

func TestRequestIsRetriedOnlyOnProof(t *testing.T) {
	type attempts = []func(h *fakeHost, task string) (*peerpb.RunReply, error)
	tests := []struct {
		name     string
		attempts attempts
		outcome  reason.Outcome
		starts   int
	}{
		{"the first host runs it", attempts{run}, "", 1},
		{"one host proves that it did not run it", attempts{refuse, run}, "", 1},
		{"connection lost, the host has the answer", attempts{loseAnswer}, "", 1},
		{"connection lost, the host proves that it did not run it", attempts{loseUnstarted, run}, "", 1},
		{"connection lost, the host has no record", attempts{loseStarted}, reason.Unknown, 1},
		{"an earlier refusal is no proof for a later attempt", attempts{refuse, loseStarted}, reason.Unknown, 1},
		{"two earlier refusals are no proof for a later attempt", attempts{refuse, refuse, loseStarted}, reason.Unknown, 1},
		{"the workers are changing their holders", attempts{refuse, refuse, refuse, refuse, run}, "", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			s := &hostScript{attempts: test.attempts}
			limit := 30 * time.Second
			if test.outcome == reason.Unknown {
				// The router looks for the answer until the deadline.
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

// Guards against an answer of "unknown" for a request whose time was over before it was forwarded.
func TestRequestThatCanNotBeSentInTimeIsNotRun(t *testing.T) {
	c := qt.New(t)
	s := &hostScript{}
	deadline := time.Now()
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	_, err := newRouter(t, s).Run(ctx, route.Request{
		Task: "t", Work: entry.Work{Name: "check", Size: unit.Size{CPUMilli: 1}}, Deadline: deadline,
	})
	c.Assert(err, qt.IsNotNil)
	c.Check(reason.From(err).Outcome, qt.Equals, reason.NotRun, qt.Commentf("%v", err))
	c.Check(s.starts, qt.Equals, 0)
}
