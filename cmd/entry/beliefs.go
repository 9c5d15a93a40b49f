package entry

import (
	"sync"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/io/neighbour"
	"cicadabeam/io/relay"
	"cicadabeam/platform"
)

// returnWait is how long servers that are alive may take to register again after
// the store was away.
const returnWait = 2 * time.Second

// takeConfiguration takes what the store says about the configuration.
func (n *Node) takeConfiguration(v view) {
	var newest []byte
	for _, r := range v.page.Rows { // in order; a row stands there once for each of its changes
		if r.Key == platform.ConfigKey && !r.Deleted {
			newest = r.Value
		}
	}
	if newest != nil {
		n.install(newest, v.as, "store")
		return
	}
	if c := n.holder.Catalog(); c != nil && !n.undecoded.Load() {
		n.holder.Confirm(c.Revision(), v.as)
	}
}

// install takes a configuration that was the newest at the uptime as or later.
func (n *Node) install(value []byte, as time.Duration, from string) {
	c, err := platform.DecodeConfiguration(value)
	if err != nil {
		n.undecoded.Store(true)
		n.recorder.Record("configuration rejected", relay.Fields{"from": from, "error": err.Error()})
		return
	}
	n.undecoded.Store(false)
	newer := n.holder.Update(c, as)
	if newer {
		n.raw.Store(&rawConfiguration{revision: c.Revision(), value: value})
		n.tell()
	}
	n.noteKnown()
	n.recorder.Record("configuration", relay.Fields{"revision": c.Revision(), "newer": newer, "from": from})
}

// noteKnown notes that configuration and servers are known, if they are.
func (n *Node) noteKnown() {
	if n.holder.Catalog() != nil && n.registry.fact(0).Known {
		n.knownOnce.Do(func() { close(n.known) })
	}
}

type rawConfiguration struct {
	revision uint64
	value    []byte
}

// registry notes how new the servers known are.
type registry struct {
	mu      sync.Mutex
	known   bool
	version uint64
	as      time.Duration
}

// prove notes that the servers are those of a version of the store at the uptime
// as or later. It tells whether the version is newer.
func (r *registry) prove(version uint64, as time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	newer := !r.known || version > r.version
	if !r.known || as > r.as {
		r.as = as
	}
	r.known = true
	r.version = max(r.version, version)
	return newer
}

func (r *registry) fact(now time.Duration) neighbour.Fact {
	r.mu.Lock()
	defer r.mu.Unlock()
	return neighbour.Fact{Known: r.known, Version: r.version, Age: now - r.as}
}

// takeServers takes what the store says about the backend servers.
func (n *Node) takeServers(v view) {
	n.beliefs.Lock()
	defer n.beliefs.Unlock()
	now := time.Now()
	gone := now
	if back := n.servers.returned.Add(returnWait); !n.servers.returned.IsZero() && back.After(now) {
		gone = back
	}
	named := make(map[string]bool, len(v.page.Rows))
	for _, r := range v.page.Rows {
		named[r.Key] = true
		n.takeServer(r, v.page.Version, now, gone)
	}
	if v.whole {
		n.loseOthers(named, v.page.Version, gone)
		n.changes.begin(v.page.Version)
	}
	if n.registry.prove(v.page.Version, v.as) {
		n.tell()
	}
	n.noteKnown()
}

// takeServer takes a row as of a version of the store.
func (n *Node) takeServer(r platform.Row, version uint64, now, gone time.Time) {
	if r.Deleted {
		n.loseServer(r.Key, version, gone)
		return
	}
	s, err := platform.DecodeServer(r)
	if err != nil {
		n.recorder.Record("entry unreadable", relay.Fields{"server": r.Key, "version": r.Version, "error": err.Error()})
		n.loseServer(r.Key, version, now)
		return
	}
	n.setServer(s, version, "store")
}

func (n *Node) setServer(s fleet.Server, version uint64, from string) {
	if n.fleet.Upsert(s) {
		n.changes.add(s.ID, version)
		n.recorder.Record("server", relay.Fields{
			"server": s.ID, "service": s.Service, "address": s.Address, "leaving": s.Leaving, "version": version, "from": from,
		})
	}
}

// loseOthers loses the servers that aren't named.
func (n *Node) loseOthers(named map[string]bool, version uint64, at time.Time) {
	for _, id := range n.fleet.IDs() {
		if !named[id] {
			n.loseServer(id, version, at)
		}
	}
}

func (n *Node) loseServer(id string, version uint64, at time.Time) {
	if n.fleet.Deregister(id, at) {
		n.changes.add(id, version)
		n.recorder.Record("server gone", relay.Fields{"server": id, "in_ms": time.Until(at).Milliseconds()})
	}
}
