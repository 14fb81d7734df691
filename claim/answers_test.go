package claim_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/claim"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/reason"
	"github.com/corianderdrift/corianderdrift/store"
)

// livePeers asks the registries of the other hosts.
type livePeers map[string]*claim.Registry

func (p livePeers) FirstRun(ctx context.Context, host, task string) (claim.Answer, error) {
	if answer, ok, err := p[host].Wait(ctx, task); ok {
		return answer, err
	}
	return claim.Answer{}, reason.Uncertain(reason.FirstRunUnknown, "no record of %s", task)
}

// Guards against a second run under one key, and against "not run" for a request that ran, while the table loses answers and performs writes late.
func TestKeyRunsOnceOnUnreliableTable(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(seed, 1))
			ctx, cancel := context.WithCancel(context.Background())
			platform := fakes.NewPlatform(fakes.WritesPerSecond, fakes.ReadsPerSecond)
			log := logrus.New()
			log.SetOutput(io.Discard)
			hosts := []string{"a@1", "b@1", "c@1"}
			registries := livePeers{}
			var clients []*fakes.UnreliableClient
			for i, host := range hosts {
				client := platform.NewUnreliableClient(seed*uint64(len(hosts))+uint64(i), 9*time.Second)
				writer := store.NewBatcher(client)
				go func() { _ = writer.Run(ctx) }()
				registries[host] = claim.NewRegistry(ctx, host, client, writer, registries, noStats{}, log)
				clients = append(clients, client)
			}
			var mu sync.Mutex
			runs := map[string]int{}
			request := func(ctx context.Context, r *claim.Registry, name, task string, outcome reason.Outcome) {
				ctx, cancel := context.WithTimeout(ctx, 8*time.Second)
				defer cancel()
				ran := false
				_, _, err := r.Run(ctx, claim.Key{Owner: "o", Work: "w", Key: name}, task, 1, func() (claim.Answer, error) {
					time.Sleep(300 * time.Millisecond)
					if outcome == reason.NotRun {
						return claim.Answer{}, reason.Refuse(reason.QueueFull, "full")
					}
					ran = true
					mu.Lock()
					defer mu.Unlock()
					runs[name]++
					if outcome == reason.Unknown {
						return claim.Answer{}, reason.Uncertain(reason.WorkerSilent, "silent")
					}
					return claim.Answer{Body: []byte("done")}, nil
				})
				if err != nil && ran {
					c.Check(reason.From(err).Outcome, qt.Equals, reason.Unknown, qt.Commentf("seed %d: %s: %v", seed, task, err))
				}
			}
			var wg sync.WaitGroup
			for i := range 24 {
				name, task, r := fmt.Sprint("key-", i%4), fmt.Sprint("task-", i), registries[hosts[rng.IntN(len(hosts))]]
				delay := time.Duration(rng.Int64N(int64(12 * time.Second)))
				outcome := []reason.Outcome{"", reason.NotRun, reason.Unknown}[rng.IntN(3)]
				wg.Go(func() {
					time.Sleep(delay)
					request(ctx, r, name, task, outcome)
				})
			}
			wg.Wait()
			for _, client := range clients {
				client.SetReliable()
			}
			time.Sleep(time.Minute)
			for name, n := range runs {
				c.Check(n, qt.Equals, 1, qt.Commentf("seed %d: runs of %s", seed, name))
			}
			for host, r := range registries {
				c.Check(r.NumUnwritten(), qt.Equals, 0, qt.Commentf("seed %d: %s", seed, host))
			}
			cancel()
			time.Sleep(time.Minute)
		})
	}
}
