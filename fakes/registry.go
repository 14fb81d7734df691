package fakes

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/corianderdrift/corianderdrift/order"
)

// Registry is an in-memory registry of workers.
type Registry struct {
	// Interval is the minimum interval between two reads of the changes.
	Interval time.Duration

	mu      sync.Mutex
	entries map[string]order.Worker
	changed chan struct{}
}

// NewRegistry returns an empty registry.
func NewRegistry(interval time.Duration) *Registry {
	return &Registry{Interval: interval, entries: map[string]order.Worker{}, changed: make(chan struct{})}
}

// Set adds or replaces the entry of a worker.
func (r *Registry) Set(w order.Worker) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.entries[w.ID] = w
	r.wake()
}

// Remove removes the entry of a worker.
func (r *Registry) Remove(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.entries, id)
	r.wake()
}

func (r *Registry) wake() {
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *Registry) snapshot() (map[string]order.Worker, <-chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.entries), r.changed
}

// Follow implements runner.Registry.
func (r *Registry) Follow(ctx context.Context, list func([]order.Worker), changed func(order.Worker), gone func(id string)) {
	known, wake := r.snapshot()
	list(slices.Collect(maps.Values(known)))
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		}
		if !sleep(ctx, r.Interval) {
			return
		}
		var next map[string]order.Worker
		next, wake = r.snapshot()
		for id, w := range next {
			if old, ok := known[id]; !ok || !equalEntries(&old, &w) {
				changed(w)
			}
		}
		for id := range known {
			if _, ok := next[id]; !ok {
				gone(id)
			}
		}
		known = next
	}
}

func equalEntries(a, b *order.Worker) bool {
	return a.StartedAt.Equal(b.StartedAt) && a.Address == b.Address && a.Capacity == b.Capacity && a.Draining == b.Draining && slices.Equal(a.Labels, b.Labels)
}
