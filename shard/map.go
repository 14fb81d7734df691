package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const numShards = 32

// Map is a map from string to V that is safe for concurrent use.
type Map[V any] struct {
	shards [numShards]shard[V]
}

type shard[V any] struct {
	mu     sync.Mutex
	values map[string]V
}

// NewMap returns an empty map.
func NewMap[V any]() *Map[V] {
	m := &Map[V]{}
	for i := range m.shards {
		m.shards[i].values = map[string]V{}
	}
	return m
}

func (m *Map[V]) shardFor(key string) *shard[V] {
	return &m.shards[xxhash.Sum64String(key)%numShards]
}

// Get returns the value under key.
func (m *Map[V]) Get(key string) (V, bool) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	return v, ok
}

// Put sets the value under key.
func (m *Map[V]) Put(key string, v V) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.values[key] = v
}

// GetOrPut returns the value under key and true, or sets it to v and returns v and false if there was none.
func (m *Map[V]) GetOrPut(key string, v V) (V, bool) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.values[key]; ok {
		return old, true
	}
	s.values[key] = v
	return v, false
}

// Delete removes the value under key and returns it and whether there was one.
func (m *Map[V]) Delete(key string) (V, bool) {
	s := m.shardFor(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.values[key]
	delete(s.values, key)
	return v, ok
}

// Len returns the number of values.
func (m *Map[V]) Len() int {
	total := 0
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		total += len(s.values)
		s.mu.Unlock()
	}
	return total
}

// Each calls visit for every key and value. It copies one shard at a time and holds no lock while visit runs.
func (m *Map[V]) Each(visit func(key string, v V)) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		snapshot := make(map[string]V, len(s.values))
		for key, v := range s.values {
			snapshot[key] = v
		}
		s.mu.Unlock()
		for key, v := range snapshot {
			visit(key, v)
		}
	}
}
