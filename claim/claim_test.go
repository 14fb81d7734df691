package claim_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/claim"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/reason"
)

func newClient() *fakes.PlatformClient {
	return fakes.NewPlatform(fakes.WritesPerSecond, fakes.ReadsPerSecond).NewClient()
}

type noStats struct{}

func (noStats) Claimed(string) {}
func (noStats) Replayed()      {}

// deadPeers represents hosts that have ended.
type deadPeers struct{}

func (deadPeers) FirstRun(context.Context, string, string) (claim.Answer, error) {
	return claim.Answer{}, reason.Uncertain(reason.FirstRunUnknown, "gone")
}

func newRegistry(ctx context.Context, host string, client *fakes.PlatformClient) *claim.Registry {
	return claim.NewRegistry(ctx, host, client, client, deadPeers{}, noStats{}, logrus.New())
}

var key = claim.Key{Owner: "desk", Work: "grant", Key: "k"}

func TestRunOnceAndReplay(t *testing.T) {
	tests := []struct {
		name    string
		answer  claim.Answer
		err     error
		replay  bool
		reruns  int
		outcome reason.Outcome
	}{
		{"answered", claim.Answer{Body: []byte("granted")}, nil, true, 0, ""},
		{"large answer", claim.Answer{Body: make([]byte, 100<<10)}, nil, true, 0, ""},
		{"not run", claim.Answer{}, reason.Refuse(reason.QueueFull, "full"), false, 1, ""},
		{"unknown", claim.Answer{}, reason.Uncertain(reason.WorkerSilent, "silent"), false, 0, reason.Unknown},
		{"failed", claim.Answer{}, reason.Fail(reason.TaskFailed, "failed"), false, 0, reason.Failed},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				client := newClient()
				first, second := newRegistry(ctx, "a@1", client), newRegistry(ctx, "b@1", client)
				_, _, err := first.Run(ctx, key, "t1", 1, func() (claim.Answer, error) { return test.answer, test.err })
				c.Check(err == nil, qt.Equals, test.err == nil)
				synctest.Wait()
				numReruns := 0
				answer, replayed, err := second.Run(ctx, key, "t2", 1, func() (claim.Answer, error) {
					numReruns++
					return claim.Answer{Body: []byte("second")}, nil
				})
				c.Check(numReruns, qt.Equals, test.reruns)
				c.Check(replayed, qt.Equals, test.replay)
				if test.replay {
					c.Check(answer.Body, qt.DeepEquals, test.answer.Body)
				}
				if test.outcome != "" {
					c.Check(reason.From(err).Outcome, qt.Equals, test.outcome)
				}
				_, _, err = second.Run(ctx, key, "t3", 99, func() (claim.Answer, error) {
					c.Error("ran under a key that was used for other work")
					return claim.Answer{}, nil
				})
				c.Check(reason.Is(err, reason.KeyReused), qt.IsTrue, qt.Commentf("%v", err))
				cancel()
				time.Sleep(time.Minute)
			})
		})
	}
}

func TestSecondSenderWaitsForFirstRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		registry := newRegistry(ctx, "a@1", newClient())
		var wg sync.WaitGroup
		starts := 0
		for i := range 3 {
			wg.Go(func() {
				answer, _, err := registry.Run(ctx, key, string(rune('x'+i)), 1, func() (claim.Answer, error) {
					starts++
					time.Sleep(5 * time.Second)
					return claim.Answer{Body: []byte("granted")}, nil
				})
				c.Check(err, qt.IsNil)
				c.Check(string(answer.Body), qt.Equals, "granted")
			})
		}
		wg.Wait()
		c.Check(starts, qt.Equals, 1)
		cancel()
		time.Sleep(time.Minute)
	})
}

func TestUnconfirmedClaimIsRevoked(t *testing.T) {
	for _, written := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			client := newClient()
			registry, other := newRegistry(ctx, "a@1", client), newRegistry(ctx, "b@1", client)
			client.SetFault(fakes.PlatformDown)
			if written {
				client.SetFault(fakes.PlatformReplyLost)
			}
			_, _, err := registry.Run(ctx, key, "t1", 1, func() (claim.Answer, error) {
				c.Error("started without a claim")
				return claim.Answer{}, nil
			})
			c.Check(reason.From(err).Outcome, qt.Equals, reason.NotRun)
			c.Check(registry.NumUnwritten(), qt.Equals, 1)
			client.SetFault(fakes.PlatformOK)
			time.Sleep(10 * time.Second)
			c.Check(registry.NumUnwritten(), qt.Equals, 0)
			started := false
			_, _, err = other.Run(ctx, key, "t2", 1, func() (claim.Answer, error) {
				started = true
				return claim.Answer{}, nil
			})
			c.Check(err, qt.IsNil)
			c.Check(started, qt.IsTrue, qt.Commentf("the key is still claimed"))
			cancel()
			time.Sleep(time.Minute)
		})
	}
}

func TestRunOfDeadHostIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		client := newClient()
		dead, alive := newRegistry(ctx, "a@1", client), newRegistry(ctx, "b@1", client)
		go func() {
			_, _, _ = dead.Run(ctx, key, "t1", 1, func() (claim.Answer, error) {
				<-ctx.Done()
				return claim.Answer{}, ctx.Err()
			})
		}()
		synctest.Wait()
		_, _, err := alive.Run(ctx, key, "t2", 1, func() (claim.Answer, error) {
			c.Error("ran a second time")
			return claim.Answer{}, nil
		})
		c.Check(reason.From(err).Outcome, qt.Equals, reason.Unknown)
		cancel()
		time.Sleep(time.Minute)
	})
}
