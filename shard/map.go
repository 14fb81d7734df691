package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const parts = 32

// Map is a map from text to V that many goroutines may use at once.
type Map[V any] struct {
	parts [parts]part[V]
}

type part[V any] struct {
	mu     sync.Mutex
	values map[string]V
}

// NewMap returns an empty map.
func NewMap[V any]() *Map[V] {
	m := &Map[V]{}
	for i := range m.parts {
		m.parts[i].values = map[string]V{}
	}
	return m
}

func (m *Map[V]) part(key string) *part[V] {
	return &m.parts[xxhash.Sum64String(key)%parts]
}

// Get returns the value under key.
func (m *Map[V]) Get(key string) (V, bool) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	return v, ok
}

// Put sets the value under key.
func (m *Map[V]) Put(key string, v V) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.values[key] = v
}

// GetOrPut returns the value under key, having put v there if there was none.
func (m *Map[V]) GetOrPut(key string, v V) (V, bool) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.values[key]; ok {
		return old, true
	}
	p.values[key] = v
	return v, false
}

// Delete removes the value under key and returns it.
func (m *Map[V]) Delete(key string) (V, bool) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.values[key]
	delete(p.values, key)
	return v, ok
}

// Len returns the number of values.
func (m *Map[V]) Len() int {
	total := 0
	for i := range m.parts {
		p := &m.parts[i]
		p.mu.Lock()
		total += len(p.values)
		p.mu.Unlock()
	}
	return total
}

// Each calls visit with a copy of every key and value, part by part.
func (m *Map[V]) Each(visit func(key string, v V)) {
	for i := range m.parts {
		p := &m.parts[i]
		p.mu.Lock()
		copied := make(map[string]V, len(p.values))
		for key, v := range p.values {
			copied[key] = v
		}
		p.mu.Unlock()
		for key, v := range copied {
			visit(key, v)
		}
	}
}
