// Package changelog records at which version of the platform's store each server last changed, so
// that other nodes are sent only the changes that they do not have yet.
//
// # Usage
//
//	var l changelog.Log
//	l.Start(version)                 // all servers are known as of version
//	l.Add(id, later)
//	ids, complete := l.Since(version)
package changelog

import (
	"sync"

	"cicadabeam/core/freshness"
)

// maxChanges limits the number of servers, deregistered ones included, whose last change
// is recorded.
const maxChanges = 4096

// Log holds the changes of one era of the store.
type Log struct {
	mu           sync.Mutex
	era          uint64
	versions     map[string]uint64 // by server ID
	completeFrom uint64            // all changes after this version are recorded
	started      bool
}

// Start records that all servers are known as of a version. Only the first call in an era
// has an effect.
func (l *Log) Start(at freshness.StoreVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.started || at.Era > l.era {
		l.started, l.era, l.completeFrom, l.versions = true, at.Era, at.Version, nil
	}
}

// Add records that a server changed at or before a version. Changes in eras other than that
// of the last start are not recorded.
func (l *Log) Add(id string, at freshness.StoreVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.started && at.Era != l.era {
		return
	}
	if l.versions == nil {
		l.versions = make(map[string]uint64)
	}
	l.versions[id] = max(l.versions[id], at.Version)
	if len(l.versions) > maxChanges {
		l.evictOlder()
	}
}

// evictOlder removes the changes in the older half of the recorded range of versions.
func (l *Log) evictOlder() {
	threshold := l.completeFrom
	for _, v := range l.versions {
		threshold = max(threshold, v)
	}
	threshold = l.completeFrom + (threshold-l.completeFrom)/2
	for id, v := range l.versions {
		if v <= threshold {
			delete(l.versions, id)
		}
	}
	l.completeFrom = threshold
}

// Since returns the servers that changed after a version, and whether the list is
// complete.
func (l *Log) Since(at freshness.StoreVersion) ([]string, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.started || at.IsZero() || at.Era != l.era || at.Version < l.completeFrom {
		return nil, false
	}
	var ids []string
	for id, v := range l.versions {
		if v > at.Version {
			ids = append(ids, id)
		}
	}
	return ids, true
}
