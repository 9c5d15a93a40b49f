// Package recency keeps when something last happened for each of a bounded number of keys. Callers
// choose the keys, so that a log without a bound would grow with them.
//
// # Usage
//
//	l := recency.New[string](1024)
//	l.Record("key", at)
//	if l.Since("key", t) { ... it happened after t ... }
//	l.DeleteFunc(func(key string, at time.Time) bool { return now.Sub(at) > time.Minute })
package recency

import (
	"iter"
	"maps"
	"time"
)

// Log holds the last times. It is not safe for concurrent use.
type Log[K comparable] struct {
	last    map[K]time.Time
	maxKeys int
}

// New returns an empty log for a number of keys.
func New[K comparable](maxKeys int) *Log[K] {
	return &Log[K]{last: make(map[K]time.Time), maxKeys: maxKeys}
}

// Record records that it happened at a time, unless a later one is known. A new key takes the place of
// any other one if there are too many.
func (l *Log[K]) Record(key K, at time.Time) {
	last, known := l.last[key]
	if !known && len(l.last) >= l.maxKeys {
		for x := range l.last {
			delete(l.last, x)
			break
		}
	}
	if at.After(last) {
		l.last[key] = at
	}
}

// Last returns when it last happened, or false if it is not known to have.
func (l *Log[K]) Last(key K) (at time.Time, known bool) {
	at, known = l.last[key]
	return at, known
}

// Since reports whether it happened after a time.
func (l *Log[K]) Since(key K, t time.Time) bool {
	at, known := l.last[key]
	return known && at.After(t)
}

// All iterates over the keys and their times.
func (l *Log[K]) All() iter.Seq2[K, time.Time] { return maps.All(l.last) }

// DeleteFunc deletes the keys for which del returns true.
func (l *Log[K]) DeleteFunc(del func(key K, at time.Time) bool) { maps.DeleteFunc(l.last, del) }
