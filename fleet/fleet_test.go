package fleet

import (
	"context"
	"io"
	"net"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/corianderdrift/corianderdrift/clock"
	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/holder"
	"github.com/corianderdrift/corianderdrift/jobs"
	"github.com/corianderdrift/corianderdrift/learn"
	"github.com/corianderdrift/corianderdrift/peerpb"
	"github.com/corianderdrift/corianderdrift/peers"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/unit"
	"github.com/corianderdrift/corianderdrift/worker"
)

// noStats discards the metrics.
type noStats struct{}

func (noStats) Retry(reason.Reason)          {}
func (noStats) Started(string)               {}
func (noStats) Waited(string, time.Duration) {}
func (noStats) WorkerEvent(string)           {}
func (noStats) Preempted()                   {}

// fakeServer is this host's server, which gives the same reply to all calls.
type fakeServer struct {
	LocalServer
	mu    sync.Mutex
	reply *peerpb.TaskReply
}

func (s *fakeServer) setReply(reply *peerpb.TaskReply) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reply = reply
}

func (s *fakeServer) Inspect(context.Context, *peerpb.TaskQuery) (*peerpb.TaskReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reply, nil
}

func (s *fakeServer) Start(context.Context, *peerpb.StartRequest) (*peerpb.TaskReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reply, nil
}

// newTestFleet returns a fleet of one host, in data centre "here", that holds worker "w" if holds is set.
func newTestFleet(c *qt.C, local LocalServer, holds bool, listedHosts []string) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	c.Cleanup(cancel)
	log := logrus.New()
	log.SetOutput(io.Discard)
	pool := holder.NewPool(holder.Config{Holder: "host@1", LeaseTTL: time.Minute, TaskTTL: time.Hour}, learn.NewEstimator(), noStats{}, log)
	if holds {
		w := fakes.NewWorker(fakes.WorkerConfig{Name: "w", DataCenter: "here", Capacity: unit.Size{CPUMilli: 2000}})
		server := httptest.NewServer(w.Handler())
		c.Cleanup(func() {
			server.Close()
			w.Close()
		})
		pool.SetWorkers(ctx, []holder.Info{{
			Name: "w", Address: netip.MustParseAddrPort(server.Listener.Addr().String()), ShouldHold: true,
		}})
		for len(pool.Load().Held) == 0 {
			clock.Pause(ctx, time.Millisecond)
		}
	}
	members := peers.NewMembership("host", "here")
	transport := peers.NewTransport(members, insecure.NewCredentials(), &net.Dialer{}, func() *peerpb.HostState { return &peerpb.HostState{} })
	c.Cleanup(transport.Close)
	return New("host", "here", local, pool, members, transport, func() uint64 { return 1 },
		func(context.Context, *jobs.Job) ([]byte, error) { return nil, nil }, func(string) []string { return listedHosts })
}

// Guards against reporting a start as not run because a holder that has lost its lease can't tell whether it had an effect.
func TestUncertainStartAtFormerHolderIsUnknown(t *testing.T) {
	c := qt.New(t)
	uncertain := peers.EncodeRefusal(reason.Uncertain(reason.LeaseLost, "the first start was not answered"))
	f := newTestFleet(c, &fakeServer{reply: &peerpb.TaskReply{Refusal: uncertain}}, true, nil)
	_, err := f.Start(context.Background(), "a", entry.Work{Name: "check"}, jobs.Placement{Worker: "w", DataCenter: "here"}, &jobs.Job{})
	c.Assert(err, qt.IsNotNil)
	c.Assert(reason.From(err).Outcome, qt.Equals, reason.Unknown, qt.Commentf("%v", err))
}

// Guards against a second run of a task that counts as expired although no host was asked.
func TestTaskExpiresOnlyIfAllListedHostsConfirm(t *testing.T) {
	for _, test := range []struct {
		name       string
		listed     []string
		dataCenter string
		expired    bool
	}{
		{"the only host of its data centre", []string{"host"}, "here", true},
		{"another host has not answered", []string{"host", "other"}, "here", false},
		{"the list of hosts was never read", nil, "here", false},
		{"no host is known of another data centre", nil, "there", false},
		{"no host of another data centre has answered", []string{"other"}, "there", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestFleet(c, &fakeServer{reply: &peerpb.TaskReply{State: StateExpired}}, false, test.listed)
			answer, err := f.Inspect(context.Background(), "a", jobs.Placement{Worker: "w", DataCenter: test.dataCenter})
			if test.expired {
				c.Assert(err, qt.IsNil)
				c.Assert(answer.State, qt.Equals, worker.Stopped)
				return
			}
			c.Assert(reason.Is(err, reason.LeaseLost), qt.IsTrue, qt.Commentf("state %q", answer.State))
		})
	}
}

// peerServer is another host that answers each inspection with the reply of inspect.
type peerServer struct {
	peerpb.UnimplementedPeerServer
	inspect func() *peerpb.TaskReply
}

func (s *peerServer) Inspect(context.Context, *peerpb.TaskQuery) (*peerpb.TaskReply, error) {
	return s.inspect(), nil
}

// addPeer adds another host of the fleet's data centre, whose last report has the given age.
func (f *Fleet) addPeer(c *qt.C, name string, age time.Duration, inspect func() *peerpb.TaskReply) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := grpc.NewServer()
	peerpb.RegisterPeerServer(server, &peerServer{inspect: inspect})
	go func() { _ = server.Serve(l) }()
	c.Cleanup(server.Stop)
	f.members.Observe(&peerpb.HostState{
		Name: name, Incarnation: "1", Address: l.Addr().String(), DataCenter: "here", AgeMicros: age.Microseconds(),
	}, time.Now())
}

// Guards against a second run of a task whose worker's lease is acquired by a host that has confirmed the expiry, before another confirms it.
func TestTaskIsNotExpiredIfLeaseIsAcquiredMeanwhile(t *testing.T) {
	for _, test := range []struct {
		name     string
		acquires bool
		expired  bool
	}{{"acquired meanwhile", true, false}, {"not acquired", false, true}} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			local := &fakeServer{reply: &peerpb.TaskReply{State: StateExpired}}
			f := newTestFleet(c, local, false, []string{"host", "other"})
			f.addPeer(c, "other", 0, func() *peerpb.TaskReply {
				if test.acquires {
					// The task still ran, since the other host had renewed the lease until it lost it.
					local.setReply(&peerpb.TaskReply{State: string(worker.Running)})
				}
				return &peerpb.TaskReply{State: StateExpired}
			})
			answer, err := f.Inspect(context.Background(), "a", jobs.Placement{Worker: "w", DataCenter: "here"})
			c.Check(err == nil && answer.State == worker.Stopped, qt.Equals, test.expired, qt.Commentf("state %q, error %v", answer.State, err))
		})
	}
}

// Guards against a second run of a task that a host keeps alive, or kept alive until a moment ago, which the platform no longer lists.
func TestUnlistedHostMayHaveRenewedLease(t *testing.T) {
	for _, test := range []struct {
		name string
		// lastReport is the time since the last report of the host that is no longer listed.
		lastReport time.Duration
		answers    bool
		expired    bool
	}{
		{"late reports", 5 * time.Second, true, false},
		{"no answer", 5 * time.Second, false, false},
		{"gone for long", 24 * time.Hour, false, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newTestFleet(c, &fakeServer{reply: &peerpb.TaskReply{State: StateExpired}}, false, []string{"host"})
			f.addPeer(c, "other", test.lastReport, func() *peerpb.TaskReply {
				if !test.answers {
					return &peerpb.TaskReply{Refusal: peers.EncodeRefusal(reason.Uncertain(reason.PeerSilent, "test"))}
				}
				return &peerpb.TaskReply{State: string(worker.Running)}
			})
			answer, err := f.Inspect(context.Background(), "a", jobs.Placement{Worker: "w", DataCenter: "here"})
			c.Check(err == nil && answer.State == worker.Stopped, qt.Equals, test.expired, qt.Commentf("state %q, error %v", answer.State, err))
		})
	}
}
