package runner_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/corianderdrift/corianderdrift/fakes"
	"github.com/corianderdrift/corianderdrift/graph"
	"github.com/corianderdrift/corianderdrift/order"
)

// numDataCenters is the number of data centres of the workers.
const numDataCenters = 3

// partitionSeeds are the seeds of every test run.
var partitionSeeds = []uint64{
	1, 2, 3,
	// A holder that could not renew the group's lease started tasks again whose runs the next holder had adopted, since it could not
	// reach their worker itself.
	277, 318, 365, 444, 472, 639, 785, 859,
	// A holder stood still between the check of the group's lease and a poll, which renewed the lease of the worker for longer than
	// the next holder waited.
	4, 574, 710, 1420,
}

// pathLoss is the share of orders, and of replies, that a lossy path loses.
const pathLoss = 0.3

// partitionKinds returns the kinds of disruption around a change of the group's holder.
func partitionKinds() []disruption {
	return []disruption{
		{"host-isolated", func(d *disruptions) { d.isolateHost(d.likelyHolder(), d.between(1000, 9000)) }},
		{"host-core-cut", func(d *disruptions) { d.cutTable(d.likelyHolder(), d.between(1000, 9000)) }},
		{"host-lost", func(d *disruptions) { d.loseHost(d.likelyHolder()) }},
		{"host-paths-some", func(d *disruptions) {
			d.cutPaths(d.likelyHolder(), d.randomWorkers(), d.randomPathFault(), d.between(1000, 12000))
		}},
		{"paths-split", func(d *disruptions) { d.splitPaths(d.likelyHolder(), d.between(2000, 12000)) }},
		{"host-lost-behind-split-paths", func(d *disruptions) {
			name := d.likelyHolder()
			d.splitPaths(name, d.between(7000, 14000))
			d.later(0, 5500, func() { d.loseHost(name) })
		}},
		{"host-outlived", func(d *disruptions) { d.outliveHost(d.likelyHolder()) }},
		{"zone-cut", func(d *disruptions) { d.cutZone(d.likelyHolder(), d.randomWorkers(), d.between(1000, 12000)) }},
		{"host-slow", func(d *disruptions) { d.slowHost(d.likelyHolder(), d.between(1500, 8000)) }},
		{"host-freezes-repeatedly", func(d *disruptions) {
			name := d.likelyHolder()
			at := time.Duration(0)
			for range 2 + d.intN(4) {
				frozen := d.between(300, 2600)
				time.AfterFunc(at, func() { d.findHost(name).freeze(frozen) })
				at += frozen + d.between(50, 1500)
			}
		}},
		{"host-freeze-at-clock", func(d *disruptions) { d.freezeAtClock(d.likelyHolder()) }},
		{"host-freeze-at-commit", func(d *disruptions) { d.freezeAt(func(h *host) *time.Duration { return &h.freezeAtCommit }) }},
		{"host-freeze-after-start", func(d *disruptions) { d.freezeAt(func(h *host) *time.Duration { return &h.freezeAfterStart }) }},
		{"host-yields", func(d *disruptions) {
			h := d.findHost(d.likelyHolder())
			h.mu.Lock()
			stopRunner := h.stopRunner
			h.mu.Unlock()
			if stopRunner != nil {
				stopRunner()
			}
		}},
	}
}

// commonKinds names the kinds of TestRandomDisruptions that accompany partitions.
var commonKinds = []string{
	"host-kill", "host-stop", "host-freeze", "host-freeze-at-start", "table-down", "table-lost", "table-late", "table-slow", "orders-busy",
	"orders-mute", "orders-late", "worker-cut", "worker-cut-one-way", "worker-unlisted", "worker-crash", "worker-reborn-behind-cut",
}

// partitionDisruptions returns the kinds of disruption to draw from, mostly those around a change of the group's holder.
func partitionDisruptions() []disruption {
	kinds := slices.Repeat(partitionKinds(), 2)
	for _, k := range allDisruptions() {
		if slices.Contains(commonKinds, k.name) {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// maxClockReads limits how often a host reads its clock before it freezes.
const maxClockReads = 20

// likelyHolder returns the name of the host that runs the group, mostly, or of any other.
func (d *disruptions) likelyHolder() string {
	if d.intN(4) > 0 {
		for i := range numHosts {
			if h := d.findHost(hostName(i)); h.currentRunner() != nil {
				return h.name
			}
		}
	}
	return hostName(d.intN(numHosts))
}

func hostName(rank int) string { return fmt.Sprintf("host%d", rank) }

// randomWorkers returns some but not all workers.
func (d *disruptions) randomWorkers() map[string]bool {
	mask := 1 + d.intN(1<<numWorkers-2)
	workers := map[string]bool{}
	for i := range numWorkers {
		if mask&(1<<i) != 0 {
			workers[fmt.Sprintf("w%d", i)] = true
		}
	}
	return workers
}

// pathFault returns the fault of an order over a harmed path.
type pathFault func(d *disruptions, host string, call fakes.OrderCall) fakes.OrderFaultKind

func (d *disruptions) randomPathFault() pathFault {
	if d.intN(5) == 0 {
		return lossyPath
	}
	kind := []fakes.OrderFaultKind{fakes.OrderDropped, fakes.OrderDropped, fakes.OrderNoReply, fakes.OrderReset, fakes.OrderRefused}[d.intN(5)]
	return func(*disruptions, string, fakes.OrderCall) fakes.OrderFaultKind { return kind }
}

func lossyPath(d *disruptions, host string, call fakes.OrderCall) fakes.OrderFaultKind {
	rng := d.callRNG(fmt.Sprint(host, call))
	lost, replyLost := rng.Float64() < pathLoss, rng.Float64() < pathLoss
	switch {
	case lost:
		return fakes.OrderDropped
	case replyLost:
		return fakes.OrderNoReply
	default:
		return fakes.OrderOK
	}
}

// partition applies a cut for some time.
func (d *disruptions) partition(c *cut, duration time.Duration) {
	time.AfterFunc(duration, d.addCut(c))
}

// cutPaths harms the paths from a host to some workers.
func (d *disruptions) cutPaths(name string, workers map[string]bool, fault pathFault, duration time.Duration) {
	d.partition(&cut{order: func(from string, call fakes.OrderCall) fakes.OrderFaultKind {
		if from == name && workers[call.Worker] {
			return fault(d, from, call)
		}
		return fakes.OrderOK
	}}, duration)
}

// splitPaths harms the paths from a host to some workers, and those from the other hosts to some of the rest.
func (d *disruptions) splitPaths(name string, duration time.Duration) {
	lost, fault := d.randomWorkers(), d.randomPathFault()
	lostToOthers, otherFault := d.randomWorkers(), d.randomPathFault()
	d.cutPaths(name, lost, fault, duration)
	delay := d.between(0, 4000)
	time.AfterFunc(delay, func() {
		d.partition(&cut{order: func(from string, call fakes.OrderCall) fakes.OrderFaultKind {
			if from != name && lostToOthers[call.Worker] && !lost[call.Worker] {
				return otherFault(d, from, call)
			}
			return fakes.OrderOK
		}}, max(time.Second, duration-delay))
	})
}

// isolateHost cuts a host off from the other hosts.
func (d *disruptions) isolateHost(name string, duration time.Duration) {
	d.partition(&cut{call: func(from, to string) bool { return from == name || to == name }}, duration)
}

// cutTable cuts a host off from the table.
func (d *disruptions) cutTable(name string, duration time.Duration) {
	fault := []fakes.TableFault{fakes.TableNoReply, fakes.TableUnavailable}[d.intN(2)]
	d.partition(&cut{table: func(host string) fakes.TableFault {
		if host == name {
			return fault
		}
		return fakes.TableOK
	}}, duration)
}

// loseHost cuts a host off from the table and from the other hosts.
func (d *disruptions) loseHost(name string) {
	duration := d.between(2000, 10000)
	d.isolateHost(name, duration)
	d.cutTable(name, duration+d.between(0, 1500))
}

// outliveHost cuts a host off from the table and from the other hosts, which don't reach some of the workers that it reaches, and freezes
// it or slows it down when it has to stop sending orders.
func (d *disruptions) outliveHost(name string) {
	lost := d.randomWorkers()
	d.partition(&cut{order: func(from string, call fakes.OrderCall) fakes.OrderFaultKind {
		if from != name && lost[call.Worker] {
			return fakes.OrderDropped
		}
		return fakes.OrderOK
	}}, d.between(13000, 18000))
	duration := d.between(7000, 11000)
	d.isolateHost(name, duration)
	d.cutTable(name, duration)
	switch d.intN(3) {
	case 0:
		d.later(2500, 6000, func() { d.freezeAtClock(name) })
	case 1:
		d.later(2500, 5500, func() { d.slowHost(name, 4*time.Second) })
	}
}

// freezeAtClock freezes a host right after one of its next looks at the clock.
func (d *disruptions) freezeAtClock(name string) {
	h, duration, reads := d.findHost(name), d.between(300, 5000), d.intN(maxClockReads)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.freezeAtClock, h.readsUntilFreeze = duration, reads
}

// cutZone cuts a host and some workers, which reach each other, off from the table, the registry and the rest.
func (d *disruptions) cutZone(name string, workers map[string]bool, duration time.Duration) {
	d.isolateHost(name, duration)
	d.partition(&cut{
		order: func(from string, call fakes.OrderCall) fakes.OrderFaultKind {
			if (from == name) != workers[call.Worker] {
				return fakes.OrderDropped
			}
			return fakes.OrderOK
		},
		table: func(host string) fakes.TableFault {
			if host == name {
				return fakes.TableNoReply
			}
			return fakes.TableOK
		},
	}, duration)
	for worker := range workers {
		d.unlist(worker)
		time.AfterFunc(duration, func() { d.relist(worker) })
	}
}

// slowHost makes a host take up to some hundred milliseconds for each piece of work.
func (d *disruptions) slowHost(name string, duration time.Duration) {
	h, most := d.findHost(name), d.between(100, 900)
	set := func(slowness func() time.Duration) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.slowness = slowness
	}
	set(func() time.Duration { return time.Duration(d.callRNG(name).Int64N(int64(most))) })
	time.AfterFunc(duration, func() { set(nil) })
}

// freezeAt freezes the likely holder at a point of its work.
func (d *disruptions) freezeAt(point func(h *host) *time.Duration) {
	h, duration := d.findHost(d.likelyHolder()), d.between(300, 9000)
	h.mu.Lock()
	defer h.mu.Unlock()
	*point(h) = duration
}

// partitionResult lets runs end often or last longer than a lease, by their job.
func (d *disruptions) partitionResult(_ string, task graph.TaskID, run int) (time.Duration, order.EndKind) {
	job, n := d.findJob(task.Job), task.Index*37+run*91+task.Step*53
	kind := order.EndDone
	switch {
	case job.lasting:
		return time.Hour, kind
	case job.mayFail && n%3 == 0:
		kind = order.EndFailed
	}
	if job.long {
		return time.Duration(5000+n*7%15000) * time.Millisecond, kind
	}
	return time.Duration(30+n%500) * time.Millisecond, kind
}

// submitShortOrLong submits a job whose tasks end soon or last longer than a lease.
func (d *disruptions) submitShortOrLong() {
	job := &jobRef{id: jobName(len(d.jobs)), queue: d.queue, long: d.intN(2) == 0, mayFail: d.intN(5) == 0}
	steps := []graph.Step{{Count: 1 + d.intN(3), Size: cores(1)}}
	switch d.intN(6) {
	case 0:
		steps = append(steps, graph.Step{Count: 1 + d.intN(2), Size: cores(1), After: []int{0}})
	case 1:
		steps[0].MaxPerWorker = 1
	case 2:
		job.lasting, job.mayFail = true, false
		steps[0].LongRunning, steps[0].MaxUnavailable = true, -1
	}
	d.submit(job, &graph.Job{
		ID: job.id, Queue: d.queue, Service: service, Steps: steps, AcceptedAt: time.Now(), MaxAttempts: 3, Stretch: 2, Priority: d.intN(3),
	})
}

// Hosts and workers reach each other, the table and other hosts only in part while the group's holder changes: partitions, slow hosts
// and repeated freezes come in quick succession. No task may run twice, no worker may be overcommitted, and every job ends. By hand,
// the variables of TestRandomDisruptions apply.
func TestRandomPartitions(t *testing.T) {
	for _, seed := range seedRange(qt.New(t), partitionSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				d := newDisruptions(t, seed, guardedQueue, numDataCenters)
				d.allKinds = partitionDisruptions()
				d.workers.Outcome = d.partitionResult
				time.Sleep(time.Second)
				for range 5 {
					d.episode()
				}
				d.heal()
				d.awaitJobs(3 * time.Minute)
				d.close()
				d.report()
			})
		})
	}
}

// episode applies a few disruptions in quick succession, while jobs are submitted.
func (d *disruptions) episode() {
	kinds := d.kinds()
	for range 1 + d.intN(3) {
		d.submitShortOrLong()
		time.Sleep(d.between(0, 700))
	}
	for range 2 + d.intN(4) {
		k := kinds[d.intN(len(kinds))]
		d.network.log.WithField("kind", k.name).Info("harness: disruption")
		k.apply(d)
		if d.intN(2) == 0 {
			d.submitShortOrLong()
		}
		time.Sleep(d.between(0, 2500))
	}
	for end := time.Now().Add(d.between(3000, 14000)); time.Now().Before(end); time.Sleep(d.between(300, 1500)) {
		if d.intN(3) == 0 {
			d.submitShortOrLong()
		}
	}
}
