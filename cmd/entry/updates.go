package entry

import (
	"sync"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/io/neighbour"
	"cicadabeam/io/relay"
	"cicadabeam/platform"
)

// reregistrationGrace is how long running servers have to register again after the
// store was unavailable.
const reregistrationGrace = 2 * time.Second

// applyConfigurationUpdate applies an update of the configuration table.
func (n *Node) applyConfigurationUpdate(u tableUpdate) {
	var newest []byte
	for _, r := range u.page.Rows { // changes are in order of version; a row occurs once for each of its changes
		if r.Key == platform.ConfigKey && !r.Deleted {
			newest = r.Value
		}
	}
	if newest != nil {
		n.installConfiguration(newest, u.asOf, "store")
		return
	}
	if c := n.tracker.Catalog(); c != nil && !n.configurationInvalid.Load() {
		n.tracker.Confirm(c.Revision(), u.asOf)
	}
}

// installConfiguration decodes and installs a configuration that was the newest one
// at uptime asOf or later.
func (n *Node) installConfiguration(value []byte, asOf time.Duration, from string) {
	c, err := platform.DecodeConfiguration(value)
	if err != nil {
		n.configurationInvalid.Store(true)
		n.recorder.Record("configuration rejected", relay.Fields{"from": from, "error": err.Error()})
		return
	}
	n.configurationInvalid.Store(false)
	newer := n.tracker.Update(c, asOf)
	if newer {
		n.encoded.Store(&rawConfiguration{revision: c.Revision(), value: value})
		n.triggerExchange()
	}
	n.checkSynced()
	n.recorder.Record("configuration", relay.Fields{"revision": c.Revision(), "newer": newer, "from": from})
}

// checkSynced closes n.synced once both the configuration and the servers are known.
func (n *Node) checkSynced() {
	if n.tracker.Catalog() != nil && n.serverFreshness.freshness(0).Known {
		n.syncedOnce.Do(func() { close(n.synced) })
	}
}

// rawConfiguration is a configuration as encoded in the store.
type rawConfiguration struct {
	revision uint64
	value    []byte
}

// serverFreshness records which version of the server table is known, and when that
// version was last confirmed as the newest.
type serverFreshness struct {
	mu      sync.Mutex
	known   bool
	version uint64
	asOf    time.Duration
}

// confirm records that the known servers match a version of the store that was current
// at uptime asOf or later. It reports whether the version is newer than the previous one.
func (f *serverFreshness) confirm(version uint64, asOf time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := !f.known || version > f.version
	if !f.known || asOf > f.asOf {
		f.asOf = asOf
	}
	f.known = true
	f.version = max(f.version, version)
	return newer
}

func (f *serverFreshness) freshness(now time.Duration) neighbour.VersionInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	return neighbour.VersionInfo{Known: f.known, Version: f.version, Age: now - f.asOf}
}

// applyServerUpdate applies an update of the server table.
func (n *Node) applyServerUpdate(u tableUpdate) {
	n.serversMu.Lock()
	defer n.serversMu.Unlock()
	now := time.Now()
	deregisterAt := now
	if graceEnd := n.serverWatcher.recoveredAt.Add(reregistrationGrace); !n.serverWatcher.recoveredAt.IsZero() && graceEnd.After(now) {
		deregisterAt = graceEnd
	}
	listed := make(map[string]bool, len(u.page.Rows))
	for _, r := range u.page.Rows {
		listed[r.Key] = true
		n.applyServerRow(r, u.page.Version, now, deregisterAt)
	}
	if u.full {
		n.deregisterOthers(listed, u.page.Version, deregisterAt)
		n.changeLog.start(u.page.Version)
	}
	if n.serverFreshness.confirm(u.page.Version, u.asOf) {
		n.triggerExchange()
	}
	n.checkSynced()
}

// applyServerRow applies one row of the server table as of a version of the store. A
// server whose row was deleted is deregistered at deregisterAt.
func (n *Node) applyServerRow(r platform.Row, version uint64, now, deregisterAt time.Time) {
	if r.Deleted {
		n.deregisterServer(r.Key, version, deregisterAt)
		return
	}
	s, err := platform.DecodeServer(r)
	if err != nil {
		n.recorder.Record("entry unreadable", relay.Fields{"server": r.Key, "version": r.Version, "error": err.Error()})
		n.deregisterServer(r.Key, version, now)
		return
	}
	n.upsertServer(s, version, "store")
}

func (n *Node) upsertServer(s fleet.Server, version uint64, from string) {
	if n.fleet.Upsert(s) {
		n.changeLog.add(s.ID, version)
		n.recorder.Record("server", relay.Fields{
			"server": s.ID, "service": s.Service, "address": s.Address, "leaving": s.Leaving, "version": version, "from": from,
		})
	}
}

// deregisterOthers deregisters the servers that are not in listed.
func (n *Node) deregisterOthers(listed map[string]bool, version uint64, at time.Time) {
	for _, id := range n.fleet.IDs() {
		if !listed[id] {
			n.deregisterServer(id, version, at)
		}
	}
}

func (n *Node) deregisterServer(id string, version uint64, at time.Time) {
	if n.fleet.Deregister(id, at) {
		n.changeLog.add(id, version)
		n.recorder.Record("server gone", relay.Fields{"server": id, "in_ms": time.Until(at).Milliseconds()})
	}
}
