package quota_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sirupsen/logrus"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/quota"
	"github.com/corianderdrift/corianderdrift/unit"
)

const (
	owner = "team"
	limit = 16000
)

// cluster is a group of hosts that share one owner's quota and receive each other's reports without delay.
type cluster struct {
	table      *fakes.PlatformClient
	allocators []*quota.Allocator
}

func newCluster(ctx context.Context, hosts int, fault func() fakes.PlatformFault) *cluster {
	cl := &cluster{table: fakes.NewPlatform(fakes.WritesPerSecond, fakes.ReadsPerSecond).NewClient()}
	cl.table.SetFaultFunc(fault)
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range hosts {
		cl.allocators = append(cl.allocators, quota.NewAllocator(quota.Config{
			Self: fmt.Sprintf("h%d@1", i), DataCenter: "here", Table: cl.table, Writer: cl.table,
			Quota:        func(string) entry.Quota { return entry.Quota{CPUMilli: limit} },
			CanDropShare: func(string, string) bool { return false }, IsAlive: func(string) bool { return true },
			AdoptionsCovered: func() bool { return true }, ContendedOwners: cl.contendedOwners, Dispatch: func() {}, Log: log,
		}))
	}
	for _, a := range cl.allocators {
		go func() { _ = a.Run(ctx) }()
	}
	return cl
}

func (cl *cluster) contendedOwners() map[string]bool {
	owners := map[string]bool{}
	for _, a := range cl.allocators {
		for _, waitingFor := range a.WaitingOwners() {
			owners[waitingFor] = true
		}
	}
	return owners
}

func noFault() fakes.PlatformFault { return fakes.PlatformOK }

func cpuSize(cpu int64) unit.Size { return unit.Size{CPUMilli: cpu} }

func TestTasksOnAllHostsStayWithinQuota(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				rng := rand.New(rand.NewPCG(seed, 3))
				faults := rand.New(rand.NewPCG(seed, 4))
				// A tenth of the calls fail, half of these after they took effect.
				cl := newCluster(ctx, 4, func() fakes.PlatformFault { return fakes.PlatformFault(max(0, faults.IntN(20)-17)) })
				running := make([][]int64, len(cl.allocators))
				var used int64
				numGranted := 0
				for range 3000 {
					i := rng.IntN(len(cl.allocators))
					if n := len(running[i]); n > 0 && rng.IntN(2) == 0 {
						cl.allocators[i].Release(owner, cpuSize(running[i][n-1]))
						used -= running[i][n-1]
						running[i] = running[i][:n-1]
					} else if cpu := int64(1+rng.IntN(8)) * 500; cl.allocators[i].Reserve(owner, cpuSize(cpu)) {
						running[i] = append(running[i], cpu)
						used += cpu
						numGranted++
					}
					c.Assert(used <= limit, qt.IsTrue, qt.Commentf("running tasks use %d, the quota is %d", used, limit))
					time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
				}
				c.Check(numGranted > 300, qt.IsTrue, qt.Commentf("%d of 3000 attempts were granted", numGranted))
			})
		})
	}
}

func TestEveryWaitingHostGetsShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cl := newCluster(ctx, 5, noFault)
		// The first host reserves the whole quota and keeps requesting more; its tasks end one after another.
		const cpu = 1000
		for reserved := 0; reserved < limit; {
			if cl.allocators[0].Reserve(owner, cpuSize(cpu)) {
				reserved += cpu
			}
			time.Sleep(10 * time.Millisecond)
		}
		waitingSince := map[int]time.Time{1: time.Now(), 2: time.Now(), 3: time.Now(), 4: time.Now()}
		for range 2000 {
			cl.allocators[0].Release(owner, cpuSize(cpu))
			if !cl.allocators[0].Reserve(owner, cpuSize(cpu)) {
				cl.allocators[0].Adopt(owner, unit.Size{})
			}
			for i, since := range waitingSince {
				if cl.allocators[i].Reserve(owner, cpuSize(cpu)) {
					t.Logf("host %d got a share after %s", i, time.Since(since))
					delete(waitingSince, i)
				}
			}
			if len(waitingSince) == 0 {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		c.Errorf("%d hosts are still waiting after 20 s", len(waitingSince))
	})
}

func TestRowsAreRarelyReadWithoutWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		cl := newCluster(ctx, 4, noFault)
		for _, a := range cl.allocators {
			for !a.Reserve(owner, cpuSize(1000)) {
				time.Sleep(10 * time.Millisecond)
			}
		}
		time.Sleep(20 * time.Second)
		before := cl.table.NumReads()
		time.Sleep(100 * time.Second)
		reads := cl.table.NumReads() - before
		c.Check(reads > 0 && reads <= 4*10, qt.IsTrue, qt.Commentf("%d reads by 4 hosts in 100 s", reads))
		c.Check(cl.contendedOwners()[owner], qt.IsFalse)
	})
}
