package holder

import (
	"slices"
	"time"

	"github.com/corianderdrift/corianderdrift/entry"
	"github.com/corianderdrift/corianderdrift/ledger"
	"github.com/corianderdrift/corianderdrift/place"
	"github.com/corianderdrift/corianderdrift/queue"
	"github.com/corianderdrift/corianderdrift/reason"
)

const (
	// maxBlockedOwners is how many owners' first items may find no free capacity before a scan ends.
	maxBlockedOwners = 16
	// starvationDelay is how long a task waits before a worker is kept free for it.
	starvationDelay = 2 * time.Second
)

// dispatch places waiting tasks on workers; p.mu is held.
func (p *Pool) dispatch() {
	now := time.Now()
	first, second := laneShort, laneLong
	if p.lanes[laneLong].Len() > 0 && p.virtualTime[laneLong] < p.virtualTime[laneShort] {
		first, second = laneLong, laneShort
	}
	p.scanLane(first, now)
	p.scanLane(second, now)
}

func (p *Pool) scanLane(lane int, now time.Time) {
	q := p.lanes[lane]
	if q.Len() == 0 {
		p.virtualTime[lane] = max(p.virtualTime[lane], p.virtualTime[numLanes-1-lane])
		return
	}
	maxBlocked := maxBlockedOwners
	if p.cfg.Plain {
		maxBlocked = 1
	}
	q.Scan(maxBlocked, func(item *queue.Item[*waiter]) queue.Verdict {
		return p.tryPlace(item.Value, lane, now)
	})
}

func (p *Pool) tryPlace(w *waiter, lane int, now time.Time) queue.Verdict {
	if !p.cfg.Plain && !w.need.Deadline.IsZero() && now.Add(w.estimate.P90).After(w.need.Deadline) {
		p.updateWaitCorrection(w, now.Sub(w.waitingSince))
		w.result <- outcome{err: reason.Refuse(reason.DeadlineUnreachable, "no room came in time")}
		return queue.Dropped
	}
	if p.cfg.Quotas != nil && !p.cfg.Quotas.Reserve(w.need.Work.Owner, w.size) {
		return queue.Blocked
	}
	h := p.pickWorker(w)
	if h == nil {
		if p.cfg.Quotas != nil {
			p.cfg.Quotas.Release(w.need.Work.Owner, w.size)
		}
		p.reserveForStarving(w, now)
		return queue.Blocked
	}
	if _, ok := h.running[w.need.Task]; ok {
		if p.cfg.Quotas != nil {
			p.cfg.Quotas.Release(w.need.Work.Owner, w.size)
		}
		w.result <- outcome{err: reason.Refuse(reason.KeyInUse, "task %s has an allocation on worker %s", w.need.Task, h.name)}
		return queue.Dropped
	}
	item := ledger.Item{Task: w.need.Task, Size: w.size, Long: w.long}
	if err := h.ledger.Reserve(item); err != nil {
		if p.cfg.Quotas != nil {
			p.cfg.Quotas.Release(w.need.Work.Owner, w.size)
		}
		return queue.Blocked
	}
	p.assign(w, h, lane, now)
	return queue.Accepted
}

func (p *Pool) assign(w *waiter, h *HeldWorker, lane int, now time.Time) {
	if p.starving == w {
		p.starving, p.starvingTarget = nil, nil
	}
	h.running[w.need.Task] = run{
		work: w.need.Work.Name, owner: w.need.Work.Owner, stateSince: now, size: w.size, usesQuota: true,
		checkpointable: w.need.Work.Checkpointable, class: w.need.Work.Class,
	}
	if w.long {
		p.longUsed = p.longUsed.Add(w.size)
	}
	p.updateIndexes(h)
	p.virtualTime[lane] += w.item.Cost / laneWeights[lane]
	waited := now.Sub(w.waitingSince)
	p.updateWaitCorrection(w, waited)
	p.stats.Waited(string(w.need.Work.Class), waited)
	w.result <- outcome{grant: &Grant{
		Worker: h, Task: w.need.Task, Size: w.size, Rack: h.info.Rack, Owner: w.need.Work.Owner, epoch: h.epoch,
	}}
}

// reserveForStarving keeps the least used suitable worker free of other long work, for a task that has waited for
// starvationDelay; one task at a time has such a worker.
func (p *Pool) reserveForStarving(w *waiter, now time.Time) {
	if p.starving != nil || p.cfg.Plain || now.Sub(w.waitingSince) < starvationDelay {
		return
	}
	var best *HeldWorker
	for _, h := range p.indexedWorkers {
		if h == nil || !h.usable() || !w.size.Fits(h.ledger.Capacity()) || slices.Contains(w.need.Avoid, h.name) {
			continue
		}
		if best == nil || h.ledger.Used().Share(h.ledger.Capacity()) < best.ledger.Used().Share(best.ledger.Capacity()) {
			best = h
		}
	}
	if best != nil {
		p.starving, p.starvingTarget = w, best
	}
}

// pickWorker chooses the worker for a task, or nil if none has enough free capacity.
func (p *Pool) pickWorker(w *waiter) *HeldWorker {
	p.clearServedStarving()
	now := p.cfg.SinceBoot()
	index := p.shortIndex
	if w.long {
		index = p.longIndex
	}
	best := index.Best(w.size, func(i int, _ unitSize) float64 {
		h := p.indexedWorkers[i]
		if _, ok := h.lease.Valid(now); !ok || slices.Contains(w.need.Avoid, h.name) || !h.usable() {
			return -1
		}
		if p.starvingTarget == h && p.starving != w && w.long {
			return -1
		}
		return p.score(w, h)
	})
	if best < 0 {
		return nil
	}
	return p.indexedWorkers[best]
}

func (p *Pool) clearServedStarving() {
	if p.starving != nil && len(p.starving.result) > 0 {
		p.starving, p.starvingTarget = nil, nil
	}
}

func (p *Pool) score(w *waiter, h *HeldWorker) float64 {
	capacity := h.ledger.Capacity()
	free := h.ledger.Free(false)
	numSameRack := 0
	for _, rack := range w.need.AvoidRacks {
		if rack == h.info.Rack {
			numSameRack++
		}
	}
	if p.cfg.Plain || w.need.Work.Class == entry.Service || w.need.Work.Class == entry.Request {
		return place.SpreadScore(w.size, free, capacity, numSameRack)
	}
	return place.PackScore(w.size, free, capacity)
}

// releaseTask frees a task's allocation and quota; p.mu is held.
func (p *Pool) releaseTask(h *HeldWorker, task string) {
	if h.ledger == nil {
		return
	}
	item, ok := h.ledger.Get(task)
	if !ok {
		p.releaseLeftTask(h.name, task)
		return
	}
	if item.Long && !item.Suspended {
		p.longUsed = p.longUsed.Sub(item.Size)
	}
	h.ledger.Release(task)
	r := h.running[task]
	delete(h.running, task)
	if r.usesQuota && p.cfg.Quotas != nil {
		p.cfg.Quotas.Release(r.owner, r.size)
	}
	p.updateIndexes(h)
}

// updateIndexes copies the free capacity in a worker's ledger to the indexes; p.mu is held.
func (p *Pool) updateIndexes(h *HeldWorker) {
	if h.indexPos < 0 {
		return
	}
	if !h.usable() {
		p.shortIndex.Clear(h.indexPos)
		p.longIndex.Clear(h.indexPos)
		return
	}
	p.shortIndex.Set(h.indexPos, h.ledger.Free(false))
	p.longIndex.Set(h.indexPos, h.ledger.Free(true))
}
