package entry

import (
	"sync"
	"time"

	"cicadabeam/core/freshness"
	"cicadabeam/io/neighbour"
	"cicadabeam/io/relay"
	"cicadabeam/platform"
)

// reregistrationGrace is how long running servers have to register again after the
// store was unavailable.
const reregistrationGrace = 2 * time.Second

// applyConfigurationUpdate applies an update of the configuration table.
func (n *Node) applyConfigurationUpdate(u tableUpdate) {
	n.applyOrders(u)
	var newest []byte
	for _, r := range u.page.Rows { // changes are in order of version; a row occurs once for each of its changes
		if r.Key == platform.ConfigKey && !r.Deleted {
			newest = r.Value
		}
	}
	switch {
	case newest != nil && !u.full:
		n.rewrittenIn = u.page.Era
	case newest == nil && u.full:
		n.storedRevision = 0
	}
	if newest != nil {
		n.storedRevision = n.installConfiguration(newest, u.asOf, n.settled(u.asOf), "store")
		return
	}
	n.confirmStored(u.asOf)
}

// installConfiguration decodes and installs a configuration and returns its revision, 0 if
// it can't be decoded. If newest is set, it was the newest one at uptime asOf or later.
func (n *Node) installConfiguration(value []byte, asOf time.Duration, newest bool, from string) uint64 {
	c, err := platform.DecodeConfiguration(value)
	if err != nil {
		n.configurationInvalid.Store(true)
		n.recorder.Record("configuration rejected", relay.Fields{"from": from, "error": briefly(err)})
		return 0
	}
	n.configurationInvalid.Store(false)
	newer := n.installCatalog(c)
	if newest {
		n.tracker.Confirm(c.Revision(), asOf)
	}
	if newer {
		n.encoded.Store(newRawConfiguration(c.Revision(), value))
		n.triggerExchange()
	}
	n.checkSynced()
	n.recorder.Record("configuration", relay.Fields{"revision": c.Revision(), "newer": newer, "from": from})
	return c.Revision()
}

// checkSynced closes n.synced once both the configuration and the servers are known, and it was tried
// to read the causes of crashes.
func (n *Node) checkSynced() {
	if n.tracker.Catalog() != nil && n.serverFreshness.freshness(0).Known {
		n.syncedOnce.Do(n.syncWithCauses)
	}
}

// serverFreshness records which version of the server table is known, and when that
// version was last confirmed as the newest.
type serverFreshness struct {
	mu      sync.Mutex
	known   bool
	version freshness.StoreVersion
	asOf    time.Duration
}

// confirm records that the known servers match a version of the store that was current
// at uptime asOf or later. It reports whether the version is newer than the previous one.
func (f *serverFreshness) confirm(version freshness.StoreVersion, asOf time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	newer := !f.known || version.After(f.version)
	if !f.known || asOf > f.asOf {
		f.asOf = asOf
	}
	f.known = true
	if newer {
		f.version = version
	}
	return newer
}

// at returns the known version, and whether there is one.
func (f *serverFreshness) at() (bool, freshness.StoreVersion) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.known, f.version
}

func (f *serverFreshness) freshness(now time.Duration) neighbour.VersionInfo {
	f.mu.Lock()
	defer f.mu.Unlock()
	return neighbour.VersionInfo{Known: f.known, Era: f.version.Era, Version: f.version.Version, Age: now - f.asOf}
}
