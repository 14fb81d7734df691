package holder

import (
	"context"
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

// startGrace is how long a start may be on its way to its worker while the lease is given back.
const startGrace = 300 * time.Millisecond

// renewalsPerTTL is how often a lease is renewed in the time that it lasts.
const renewalsPerTTL = 3

// Info is what the list of hosts says about a worker.
type Info struct {
	Name    string
	Address netip.AddrPort
	Rack    string
	// Leaving is the list's word or an operator's.
	Leaving bool
	// Wanted says that this host should hold the worker.
	Wanted bool
}

// Held is a worker as this host sees it, whether or not it holds the lease.
type Held struct {
	name   string
	client *worker.Client
	lease  lease.Lease
	pool   *Pool
	cancel context.CancelFunc
	wake   chan struct{}

	// The rest is guarded by the pool's lock.
	info    Info
	ledger  *ledger.Ledger
	running map[string]run
	place   int
	ready   bool
	// handing marks a worker whose lease is about to be given back.
	handing    bool
	selfLeaves bool
	epoch      uint64
	acked      uint64
	renewed    time.Time
	lastHolder string
	health     health
}

// run is one task that holds room.
type run struct {
	work           string
	owner          string
	since          time.Time
	size           unit.Size
	quota          bool
	checkpointable bool
	suspended      bool
	class          entry.Class
	// seen is the memory in MiB that the worker last reported for the task.
	seen   int64
	seenAt time.Time
}

// usable reports whether new work may go to the worker; the pool's lock is held.
func (h *Held) usable() bool {
	return h.ready && !h.handing && !h.info.Leaving && !h.selfLeaves && !h.health.ejected()
}

// Client returns the worker's client.
func (h *Held) Client() *worker.Client { return h.client }

// Name returns the worker's name.
func (h *Held) Name() string { return h.name }

// SetWorkers tells the pool which workers its data centre has and which of them it should hold.
func (p *Pool) SetWorkers(ctx context.Context, infos []Info) {
	p.mu.Lock()
	defer p.mu.Unlock()
	seen := map[string]bool{}
	for _, info := range infos {
		seen[info.Name] = true
		h, ok := p.workers[info.Name]
		if ok && h.info.Address != info.Address {
			p.forget(h)
			ok = false
		}
		if !ok {
			h = p.newHeld(ctx, info)
		}
		changed := h.info != info
		h.info = info
		if changed {
			p.reindex(h)
			h.poke()
		}
	}
	for name, h := range p.workers {
		if !seen[name] && !h.ready {
			p.forget(h)
		}
	}
	p.dispatch()
}

func (p *Pool) newHeld(ctx context.Context, info Info) *Held {
	ctx, cancel := context.WithCancel(ctx)
	h := &Held{
		name: info.Name, client: worker.NewClient(info.Name, info.Address, p.cfg.Source), pool: p, cancel: cancel,
		wake: make(chan struct{}, 1), info: info, place: -1, running: map[string]run{},
	}
	p.workers[info.Name] = h
	go h.keep(ctx)
	return h
}

func (p *Pool) forget(h *Held) {
	p.drop(h)
	h.cancel()
	delete(p.workers, h.name)
}

func (h *Held) poke() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// enter gives the worker a place in the trees; p.mu is held.
func (p *Pool) enter(h *Held) {
	if h.place < 0 {
		for i, other := range p.places {
			if other == nil {
				h.place = i
				break
			}
		}
		if h.place < 0 {
			h.place = len(p.places)
			p.places = append(p.places, nil)
		}
	}
	p.places[h.place] = h
	p.total = p.total.Add(h.ledger.Capacity())
	if len(p.places) > p.short.Len() {
		p.rebuild()
		return
	}
	p.reindex(h)
}

func (p *Pool) rebuild() {
	p.short, p.long = place.NewIndex(2*len(p.places)), place.NewIndex(2*len(p.places))
	for _, h := range p.places {
		if h != nil {
			p.reindex(h)
		}
	}
}

// drop forgets a worker's ledger after its lease went; p.mu is held.
func (p *Pool) drop(h *Held) {
	h.lease.Lost()
	if !h.ready {
		return
	}
	for task := range h.running {
		p.releaseTask(h, task)
	}
	h.ready = false
	p.total = p.total.Sub(h.ledger.Capacity())
	p.short.Clear(h.place)
	p.long.Clear(h.place)
	p.places[h.place] = nil
	h.place = -1
	if p.starvedOn == h {
		p.starving, p.starvedOn = nil, nil
	}
	if p.total == (unit.Size{}) {
		p.failWaiting()
	}
}

// failWaiting refuses everything that waits after the last worker went; p.mu is held.
func (p *Pool) failWaiting() {
	for _, q := range p.lanes {
		p.drainQueue(q)
	}
}
