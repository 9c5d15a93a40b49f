// Package shard provides a concurrent map that is split into shards with a lock
// each, so that goroutines working on different keys rarely contend for a lock.
//
// # Usage
//
//	m := shard.New[string, *session]()
//	s, found := m.GetOrPut(id, newSession)
//	m.Delete(id)
package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 64

// Map is a concurrent map from K to V.
type Map[K ~string, V any] struct {
	shards [shardCount]shard[K, V]
}

type shard[K ~string, V any] struct {
	mu      sync.Mutex
	entries map[K]V
}

// New returns an empty map.
func New[K ~string, V any]() *Map[K, V] {
	m := &Map[K, V]{}
	for i := range m.shards {
		m.shards[i].entries = make(map[K]V)
	}
	return m
}

func (m *Map[K, V]) shard(key K) *shard[K, V] {
	return &m.shards[xxhash.Sum64String(string(key))%shardCount]
}

// Get returns the value of key and whether the key is present.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, found := s.entries[key]
	return v, found
}

// GetOrPut returns the value of key. If the key is absent, it stores the result of
// create first. create runs under the shard's lock, so only one caller creates the
// value; it must not call the map. The second result reports whether the key was
// already present.
func (m *Map[K, V]) GetOrPut(key K, create func() V) (V, bool) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, found := s.entries[key]
	if found {
		return v, true
	}
	v = create()
	s.entries[key] = v
	return v, false
}

// Put sets the value of key.
func (m *Map[K, V]) Put(key K, value V) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[key] = value
}

// Delete deletes key; it does nothing if the key is absent.
func (m *Map[K, V]) Delete(key K) {
	s := m.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, key)
}

// DeleteIf deletes the entries for which drop returns true and returns their
// number. drop runs under the shard's lock and must not call the map.
func (m *Map[K, V]) DeleteIf(drop func(K, V) bool) int {
	removed := 0
	for i := range m.shards {
		removed += m.shards[i].deleteIf(drop)
	}
	return removed
}

func (s *shard[K, V]) deleteIf(drop func(K, V) bool) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := len(s.entries)
	for k, v := range s.entries {
		if drop(k, v) {
			delete(s.entries, k)
		}
	}
	return before - len(s.entries)
}

// Values returns the values in no particular order. Each shard is locked in turn, so
// the result is not a snapshot of the whole map.
func (m *Map[K, V]) Values() []V {
	var all []V
	for i := range m.shards {
		all = m.shards[i].appendValues(all)
	}
	return all
}

func (s *shard[K, V]) appendValues(all []V) []V {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.entries {
		all = append(all, v)
	}
	return all
}

// Len returns the number of entries, counted one shard at a time.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		n += len(m.shards[i].entries)
		m.shards[i].mu.Unlock()
	}
	return n
}
