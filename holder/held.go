package holder

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/lease"
	"github.com/corianderdrift/corianderdrift/ledger"
	"github.com/corianderdrift/corianderdrift/place"
	"github.com/corianderdrift/corianderdrift/unit"
	"github.com/corianderdrift/corianderdrift/worker"
)

type unitSize = unit.Size

// fieldWorker is the log field of a worker's name.
const fieldWorker = "worker"

// startDrainTime is how long the release of a lease waits for starts that are still being sent to the worker.
const startDrainTime = 300 * time.Millisecond

// renewalsPerTTL is how often a lease is renewed within its TTL.
const renewalsPerTTL = 3

// Info describes a worker according to the list of hosts.
type Info struct {
	Name    string
	Address netip.AddrPort
	Rack    string
	// Leaving says that the list or an operator marks the worker as leaving.
	Leaving bool
	// ShouldHold says that this host should hold the worker.
	ShouldHold bool
}

// HeldWorker is this host's view of a worker, whether or not it holds the lease.
type HeldWorker struct {
	name   string
	client *worker.Client
	lease  lease.Lease
	pool   *Pool
	cancel context.CancelFunc
	wake   chan struct{}

	// The pool's lock guards the fields below.
	info    Info
	ledger  *ledger.Ledger
	running map[string]run
	// indexPos is the worker's position in the pool's indexes, or -1.
	indexPos int
	// ready says that this host holds the lease and has adopted the worker's tasks.
	ready bool
	// handingOver marks a worker whose lease is about to be released.
	handingOver bool
	// selfLeaving says that the worker itself reports that it is leaving.
	selfLeaving bool
	epoch       uint64
	// ackedEnd is the sequence number of the last reported task end, which the next renewal acknowledges.
	ackedEnd  uint64
	renewedAt time.Time
	// maybeRenewedAt is when the lease was last renewed or may have been, by the time at which the request was sent, or the latest at which one
	// without an answer may be carried out; unanswered marks such a request.
	maybeRenewedAt time.Time
	unanswered     bool
	lastHolder     string
	health         health
}

// run is one task with an allocation on a worker, running or suspended.
type run struct {
	work  string
	owner string
	// stateSince is when the run started, or was last suspended or resumed.
	stateSince     time.Time
	size           unit.Size
	usesQuota      bool
	checkpointable bool
	suspended      bool
	// uncertain marks a suspended task that may run, because a call to suspend or resume it was not answered; it keeps its
	// allocation.
	uncertain bool
	class     entry.Class
	// maybeStarted counts the starts of a job's task that are not proved to have had no effect.
	maybeStarted int
	// confirmed says that the worker has answered that the task runs, so that its end will be reported with a renewal.
	confirmed bool
	// reportedMemoryMiB is the memory that the worker last reported for the task.
	reportedMemoryMiB int64
	reportedAt        time.Time
	// peakMemoryMiB is the most memory that the worker has reported.
	peakMemoryMiB int64
}

// validLease returns the lease's epoch and whether the lease is valid now.
func (h *HeldWorker) validLease() (uint64, bool) { return h.lease.Valid(h.pool.cfg.SinceBoot()) }

// usable reports whether new work may go to the worker; the pool's lock is held.
func (h *HeldWorker) usable() bool {
	return h.ready && !h.handingOver && !h.info.Leaving && !h.selfLeaving && !h.health.ejected()
}

// Client returns the worker's client.
func (h *HeldWorker) Client() *worker.Client { return h.client }

// Name returns the worker's name.
func (h *HeldWorker) Name() string { return h.name }

// SetWorkers sets the workers of the pool's data centre and which of them the pool should hold.
func (p *Pool) SetWorkers(ctx context.Context, infos []Info) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[string]bool{}
	for _, info := range infos {
		listed[info.Name] = true
		h, ok := p.workers[info.Name]
		if ok && h.info.Address != info.Address {
			p.removeWorker(h)
			ok = false
		}
		if !ok {
			h = p.newHeldWorker(ctx, info)
		}
		changed := h.info != info
		h.info = info
		if changed {
			p.updateIndexes(h)
			h.wakeLoop()
		}
	}
	for name, h := range p.workers {
		if !listed[name] && !h.ready {
			p.removeWorker(h)
		}
	}
	p.dispatch()
}

func (p *Pool) newHeldWorker(ctx context.Context, info Info) *HeldWorker {
	ctx, cancel := context.WithCancel(ctx)
	h := &HeldWorker{
		name: info.Name, client: worker.NewClient(info.Name, info.Address, p.cfg.Source), pool: p, cancel: cancel,
		wake: make(chan struct{}, 1), info: info, indexPos: -1, running: map[string]run{},
	}
	p.workers[info.Name] = h
	go h.manageLease(ctx)
	return h
}

func (p *Pool) removeWorker(h *HeldWorker) {
	p.detach(h)
	h.cancel()
	delete(p.workers, h.name)
	maps.DeleteFunc(p.formerRenewals, func(_ string, at time.Time) bool {
		return time.Since(at) > p.cfg.TaskTTL+p.cfg.LeaseTTL
	})
	if h.maybeRenewedAt.After(p.formerRenewals[h.name]) {
		p.formerRenewals[h.name] = h.maybeRenewedAt
	}
}

func (h *HeldWorker) wakeLoop() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// addToIndex gives the worker a position in the indexes; p.mu is held.
func (p *Pool) addToIndex(h *HeldWorker) {
	if h.indexPos < 0 {
		for i, other := range p.indexedWorkers {
			if other == nil {
				h.indexPos = i
				break
			}
		}
		if h.indexPos < 0 {
			h.indexPos = len(p.indexedWorkers)
			p.indexedWorkers = append(p.indexedWorkers, nil)
		}
	}
	p.indexedWorkers[h.indexPos] = h
	p.totalCapacity = p.totalCapacity.Add(h.ledger.Capacity())
	if len(p.indexedWorkers) > p.shortIndex.Len() {
		p.rebuildIndexes()
		return
	}
	p.updateIndexes(h)
}

func (p *Pool) rebuildIndexes() {
	p.shortIndex, p.longIndex = place.NewIndex(2*len(p.indexedWorkers)), place.NewIndex(2*len(p.indexedWorkers))
	for _, h := range p.indexedWorkers {
		if h != nil {
			p.updateIndexes(h)
		}
	}
}

// detach frees all allocations on a worker whose lease was lost or is being released, and removes it from the indexes; p.mu
// is held.
func (p *Pool) detach(h *HeldWorker) {
	h.lease.Lost()
	if !h.ready {
		return
	}
	p.leaveBehind(h)
	for task := range h.running {
		p.releaseTask(h, task)
	}
	h.ready = false
	p.totalCapacity = p.totalCapacity.Sub(h.ledger.Capacity())
	p.shortIndex.Clear(h.indexPos)
	p.longIndex.Clear(h.indexPos)
	p.indexedWorkers[h.indexPos] = nil
	h.indexPos = -1
	if p.starvingTarget == h {
		p.starving, p.starvingTarget = nil, nil
	}
	if p.totalCapacity == (unit.Size{}) {
		p.refuseWaiting()
	}
}

// refuseWaiting refuses all waiting tasks when no worker is left; p.mu is held.
func (p *Pool) refuseWaiting() {
	for _, q := range p.lanes {
		p.refuseLane(q)
	}
}
