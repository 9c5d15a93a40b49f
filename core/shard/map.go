// Package shard holds a map whose entries are spread over shards, each under
// its own lock, so that goroutines that work on different keys seldom wait for
// one another.
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
	shards [shardCount]part[K, V]
}

type part[K ~string, V any] struct {
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

func (m *Map[K, V]) part(key K) *part[K, V] {
	return &m.shards[xxhash.Sum64String(string(key))%shardCount]
}

// Get returns the value of key and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, found := p.entries[key]
	return v, found
}

// GetOrPut returns the value of key. A missing value is made by create, under
// the shard's lock, so that one caller creates it. The second result tells
// whether the value was there before.
func (m *Map[K, V]) GetOrPut(key K, create func() V) (V, bool) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, found := p.entries[key]
	if found {
		return v, true
	}
	v = create()
	p.entries[key] = v
	return v, false
}

// Put sets the value of key.
func (m *Map[K, V]) Put(key K, value V) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entries[key] = value
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.entries, key)
}

// DeleteIf removes the entries for which drop returns true and returns their
// number. drop runs under the shard's lock and must not call the map.
func (m *Map[K, V]) DeleteIf(drop func(K, V) bool) int {
	removed := 0
	for i := range m.shards {
		removed += m.shards[i].deleteIf(drop)
	}
	return removed
}

func (p *part[K, V]) deleteIf(drop func(K, V) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := len(p.entries)
	for k, v := range p.entries {
		if drop(k, v) {
			delete(p.entries, k)
		}
	}
	return before - len(p.entries)
}

// Values returns the values in no order.
func (m *Map[K, V]) Values() []V {
	var all []V
	for i := range m.shards {
		all = m.shards[i].appendValues(all)
	}
	return all
}

func (p *part[K, V]) appendValues(all []V) []V {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, v := range p.entries {
		all = append(all, v)
	}
	return all
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		m.shards[i].mu.Lock()
		n += len(m.shards[i].entries)
		m.shards[i].mu.Unlock()
	}
	return n
}
