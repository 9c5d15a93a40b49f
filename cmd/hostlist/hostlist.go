// Package hostlist holds the entry hosts that a node knows.
//
// # Usage
//
//	var l hostlist.List
//	l.Set(hosts, asOf)           // a list from the store or a peer
//	l.Add(host)                  // a host that sent a report
//	n := l.Count()
//	all := l.Others("node-1")
package hostlist

import (
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabeam/core/records"
	"cicadabeam/io/neighbour"
)

const (
	// minListAdvance is by how much a peer's list must be newer than this node's to be
	// fetched. Lists that were read at the start of many nodes differ all the time.
	minListAdvance = 500 * time.Millisecond
	// assumedNodes is the number of nodes assumed before the host list is known.
	assumedNodes = 16
)

// List holds the known entry hosts: the last list from the store, read by this node or
// by a peer, and the hosts that reported since. The zero value is empty.
type List struct {
	mu     sync.Mutex
	hosts  map[string]records.EntryHost
	listed bool
	hash   uint64        // of the last list
	asOf   time.Duration // uptime at which the last list was read or later
	// revisions are those of the hosts' rows, by name, from lists that this node read. The
	// hosts in hosts have none, so that equal ones are equal whoever listed them.
	revisions map[string]uint64
}

// Count returns the number of known nodes, or assumedNodes before the host list is known.
func (l *List) Count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.hosts) == 0 {
		return assumedNodes
	}
	return len(l.hosts)
}

// Contains reports whether a host of a name is known.
func (l *List) Contains(name string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, found := l.hosts[name]
	return found
}

// ContainsHost reports whether a host is known with the same address and place.
func (l *List) ContainsHost(h records.EntryHost) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hosts[h.Name] == h
}

// KnownCount returns the number of known nodes, 0 before the host list is known.
func (l *List) KnownCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.hosts)
}

// Set replaces the known hosts by a list that was current at uptime asOf or later.
func (l *List) Set(list []records.EntryHost, asOf time.Duration) {
	hosts := make(map[string]records.EntryHost, len(list))
	hash := uint64(0)
	revisions := make(map[string]uint64, len(list))
	for _, h := range list {
		if h.Revision != 0 {
			revisions[h.Name] = h.Revision
		}
		h.Revision = 0
		hosts[h.Name] = h
		hash += xxhash.Sum64String(h.Name + "\x00" + h.Address + "\x00" + h.DataCentre + "\x00" + h.Region) // in any order
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listed && asOf < l.asOf {
		return
	}
	l.hosts, l.listed, l.hash, l.asOf = hosts, true, hash, asOf
	if len(revisions) > 0 {
		l.revisions = revisions
	}
}

// Revision returns the revision of a host's row, 0 if it is unknown.
func (l *List) Revision(name string) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.revisions[name]
}

// Freshness returns which list is known and the time since it was read.
func (l *List) Freshness(now time.Duration) neighbour.VersionInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	return neighbour.VersionInfo{Known: l.listed, Version: l.hash, Age: now - l.asOf}
}

// IsNewer reports whether a peer that was asked at uptime sent has another and newer list.
func (l *List) IsNewer(x neighbour.VersionInfo, sent time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return x.Known && (!l.listed || x.Version != l.hash && sent-x.Age > l.asOf+minListAdvance)
}

// HostList returns the known hosts for another node.
func (l *List) HostList(now time.Duration) neighbour.HostList {
	x := neighbour.HostList{Fact: l.Freshness(now)}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, h := range l.hosts {
		x.Hosts = append(x.Hosts, h)
	}
	return x
}

// Others returns the nodes other than self, ordered by name.
func (l *List) Others(self string) []records.EntryHost {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := make([]records.EntryHost, 0, len(l.hosts))
	for name, h := range l.hosts {
		if name != self {
			all = append(all, h)
		}
	}
	sort.Slice(all, func(a, b int) bool { return all[a].Name < all[b].Name })
	return all
}

// Add adds a node that sent a report.
func (l *List) Add(h records.EntryHost) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts == nil {
		l.hosts = make(map[string]records.EntryHost)
	}
	if h.Name != "" {
		l.hosts[h.Name] = h
	}
}
