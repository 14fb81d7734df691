package fleet

import (
	"context"
	"io"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

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

// fakeServer is this host's server with a fixed reply.
type fakeServer struct {
	LocalServer
	reply *peerpb.TaskReply
}

func (s *fakeServer) Inspect(context.Context, *peerpb.TaskQuery) (*peerpb.TaskReply, error) {
	return s.reply, nil
}

func (s *fakeServer) Start(context.Context, *peerpb.StartRequest) (*peerpb.TaskReply, error) {
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
	return New("host", "here", local, pool, members, nil, func() uint64 { return 1 },
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
