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
	// scanMisses is how many owners' first items may find no room before a scan ends.
	scanMisses = 16
	// starvingAfter is how long a piece of work waits before a worker is kept free for it.
	starvingAfter = 2 * time.Second
)

// dispatch gives room to what waits; p.mu is held.
func (p *Pool) dispatch() {
	now := time.Now()
	first, second := laneShort, laneLong
	if p.lanes[laneLong].Len() > 0 && p.virtual[laneLong] < p.virtual[laneShort] {
		first, second = laneLong, laneShort
	}
	p.scan(first, now)
	p.scan(second, now)
}

func (p *Pool) scan(lane int, now time.Time) {
	q := p.lanes[lane]
	if q.Len() == 0 {
		p.virtual[lane] = max(p.virtual[lane], p.virtual[lanes-1-lane])
		return
	}
	misses := scanMisses
	if p.cfg.Plain {
		misses = 1
	}
	q.Scan(misses, func(item *queue.Item[*waiter]) queue.Verdict {
		return p.offer(item.Value, lane, now)
	})
}

func (p *Pool) offer(w *waiter, lane int, now time.Time) queue.Verdict {
	if !p.cfg.Plain && !w.need.Deadline.IsZero() && now.Add(w.estimate.P90).After(w.need.Deadline) {
		p.learnDrift(w, now.Sub(w.since))
		w.ready <- outcome{err: reason.Refuse(reason.DeadlineUnreachable, "no room came in time")}
		return queue.Dropped
	}
	if p.cfg.Quotas != nil && !p.cfg.Quotas.Take(w.need.Work.Owner, w.size) {
		return queue.Blocked
	}
	h := p.pick(w, now)
	if h == nil {
		if p.cfg.Quotas != nil {
			p.cfg.Quotas.Give(w.need.Work.Owner, w.size)
		}
		p.noteStarving(w, now)
		return queue.Blocked
	}
	item := ledger.Item{Task: w.need.Task, Size: w.size, Long: w.long}
	if err := h.ledger.Reserve(item); err != nil {
		if p.cfg.Quotas != nil {
			p.cfg.Quotas.Give(w.need.Work.Owner, w.size)
		}
		return queue.Blocked
	}
	p.granted(w, h, lane, now)
	return queue.Taken
}

func (p *Pool) granted(w *waiter, h *Held, lane int, now time.Time) {
	if p.starving == w {
		p.starving, p.starvedOn = nil, nil
	}
	h.running[w.need.Task] = run{
		work: w.need.Work.Name, owner: w.need.Work.Owner, since: now, size: w.size, quota: true,
		checkpointable: w.need.Work.Checkpointable, class: w.need.Work.Class,
	}
	if w.long {
		p.longUsed = p.longUsed.Add(w.size)
	}
	p.reindex(h)
	p.virtual[lane] += w.item.Cost / laneWeights[lane]
	waited := now.Sub(w.since)
	p.learnDrift(w, waited)
	p.stats.Waited(string(w.need.Work.Class), waited)
	w.ready <- outcome{grant: &Grant{
		Held: h, Task: w.need.Task, Size: w.size, Rack: h.info.Rack, Owner: w.need.Work.Owner,
	}}
}

// noteStarving keeps the fullest fitting worker free for work that has waited long.
func (p *Pool) noteStarving(w *waiter, now time.Time) {
	if p.starving != nil || p.cfg.Plain || now.Sub(w.since) < starvingAfter {
		return
	}
	var best *Held
	for _, h := range p.places {
		if h == nil || !h.usable() || !w.size.Fits(h.ledger.Capacity()) || slices.Contains(w.need.Avoid, h.name) {
			continue
		}
		if best == nil || h.ledger.Used().Share(h.ledger.Capacity()) < best.ledger.Used().Share(best.ledger.Capacity()) {
			best = h
		}
	}
	if best != nil {
		p.starving, p.starvedOn = w, best
	}
}

// pick chooses the worker for a task, or nil if none has room.
func (p *Pool) pick(w *waiter, now time.Time) *Held {
	p.dropStaleStarving()
	index := p.short
	if w.long {
		index = p.long
	}
	best := index.Best(w.size, func(i int, _ unitSize) float64 {
		h := p.places[i]
		if _, ok := h.lease.Valid(now); !ok || slices.Contains(w.need.Avoid, h.name) || !h.usable() {
			return -1
		}
		if p.starvedOn == h && p.starving != w && w.long {
			return -1
		}
		return p.score(w, h)
	})
	if best < 0 {
		return nil
	}
	return p.places[best]
}

func (p *Pool) dropStaleStarving() {
	if p.starving != nil && len(p.starving.ready) > 0 {
		p.starving, p.starvedOn = nil, nil
	}
}

func (p *Pool) score(w *waiter, h *Held) float64 {
	capacity := h.ledger.Capacity()
	free := h.ledger.Free(false)
	sameRack := 0
	for _, rack := range w.need.AvoidRacks {
		if rack == h.info.Rack {
			sameRack++
		}
	}
	if p.cfg.Plain || w.need.Work.Class == entry.Service || w.need.Work.Class == entry.Request {
		return place.Spread(w.size, free, capacity, sameRack)
	}
	return place.Tight(w.size, free, capacity)
}

// releaseTask frees what a task holds; p.mu is held.
func (p *Pool) releaseTask(h *Held, task string) {
	if h.ledger == nil {
		return
	}
	item, ok := h.ledger.Get(task)
	if !ok {
		return
	}
	if item.Long && !item.Free {
		p.longUsed = p.longUsed.Sub(item.Size)
	}
	h.ledger.Release(task)
	r := h.running[task]
	delete(h.running, task)
	if r.quota && p.cfg.Quotas != nil {
		p.cfg.Quotas.Give(r.owner, r.size)
	}
	p.reindex(h)
}

// reindex brings the trees up to date with a worker's ledger; p.mu is held.
func (p *Pool) reindex(h *Held) {
	if h.place < 0 {
		return
	}
	if !h.usable() {
		p.short.Clear(h.place)
		p.long.Clear(h.place)
		return
	}
	p.short.Set(h.place, h.ledger.Free(false))
	p.long.Set(h.place, h.ledger.Free(true))
}
