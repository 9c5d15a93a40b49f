package entry

import (
	"strings"
	"time"

	"cicadabeam/core/catalog"
	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/io/neighbour"
	"cicadabeam/io/relay"
	"cicadabeam/platform"
)

// serverList is what the store or a peer says of the servers as of a version of the store.
type serverList struct {
	version freshness.StoreVersion
	asOf    time.Duration // that version was the newest at this uptime or later
	from    string
	changes []serverChange
	// whole is set if the list is complete: other servers are deregistered at othersGone.
	whole      bool
	othersGone time.Time
}

// serverChange is the state of a server, or the time at which it is deregistered.
type serverChange struct {
	server fleet.Server // only the ID if it is gone
	goneAt time.Time    // zero if it is there
}

// applyServers makes the known servers those of a list, unless they are as new or newer. A list may
// arrive at any time after others that were sent later: from the store, whose answer was held up, or
// from a peer. It reports whether it did. The caller holds serversMu.
func (n *Node) applyServers(l serverList) bool {
	known, at := n.serverFreshness.at()
	if known && !l.version.After(at) {
		if l.version == at {
			n.serverFreshness.confirm(at, l.asOf)
		}
		return false
	}
	n.enterEra(l.version, time.Now())
	if l.whole {
		n.changeLog.Start(l.version)
	}
	n.setVersions(l.changes)
	defer n.setVersions(nil)
	listed := make(map[string]bool, len(l.changes))
	for _, c := range l.changes {
		listed[c.server.ID] = true
		if c.goneAt.IsZero() {
			n.upsertServer(c.server, l.version, l.from)
			continue
		}
		n.deregisterServer(c.server.ID, l.version, c.goneAt)
	}
	if l.whole {
		n.deregisterOthers(listed, l.version, l.othersGone)
	}
	n.serverFreshness.confirm(l.version, l.asOf)
	n.checkSynced()
	return true
}

// applyServerUpdate applies an update of the server table.
func (n *Node) applyServerUpdate(u tableUpdate) {
	n.serversMu.Lock()
	defer n.serversMu.Unlock()
	now := time.Now()
	registerUntil := n.reregistrationEnd(now)
	l := serverList{version: u.page.At(), asOf: u.asOf, from: "store", whole: u.full, othersGone: registerUntil}
	for _, r := range n.unknownRows(u) {
		l.changes = append(l.changes, n.decodeServer(r, now, registerUntil))
	}
	if n.applyServers(l) {
		n.triggerExchange()
	}
}

// unknownRows returns the rows of an update that the known servers may lack, one for each server.
// Peers may have told of newer changes than the first ones of an update.
func (n *Node) unknownRows(u tableUpdate) []platform.Row {
	if u.full {
		return u.page.Rows
	}
	_, at := n.serverFreshness.at()
	last := make(map[string]int, len(u.page.Rows)) // changes are in order of version
	for i, r := range u.page.Rows {
		last[r.Key] = i
	}
	var rows []platform.Row
	for i, r := range u.page.Rows {
		if last[r.Key] == i && (u.page.Era != at.Era || r.Version > at.Version) {
			rows = append(rows, r)
		}
	}
	return rows
}

// decodeServer decodes a row of the server table. A server whose row was deleted is deregistered
// at registerUntil.
func (n *Node) decodeServer(r platform.Row, now, registerUntil time.Time) serverChange {
	gone := serverChange{server: fleet.Server{ID: r.Key}, goneAt: registerUntil}
	if r.Deleted {
		n.recordMissed(r.Key)
		return gone
	}
	s, err := platform.DecodeServer(r)
	if err != nil {
		n.recordUnusable(r.Key, freshness.StoreVersion{Era: n.eras.Current(), Version: r.Version}, "store", err)
		gone.goneAt = now
		return gone
	}
	return serverChange{server: s}
}

// maxErrorLength limits what a log line quotes of an entry that another writer may have left.
const maxErrorLength = 200

func briefly(err error) string {
	text := err.Error()
	return strings.ToValidUTF8(text[:min(len(text), maxErrorLength)], "")
}

func (n *Node) recordUnusable(id string, version freshness.StoreVersion, from string, err error) {
	n.recorder.Record("entry unreadable", relay.Fields{"server": id, "version": version.Version, "era": version.Era, "from": from, "error": briefly(err)})
}

// applyPeerServers applies the servers from a peer.
func (n *Node) applyPeerServers(x neighbour.ServerList, asOf time.Duration, from string) {
	n.serversMu.Lock()
	defer n.serversMu.Unlock()
	now := time.Now()
	l := serverList{version: x.Fact.At(), asOf: asOf, from: from, whole: x.Whole, othersGone: now}
	for _, c := range x.Changes {
		s := serverChange{server: c.Server}
		if c.Gone {
			n.recordMissed(c.Server.ID)
			s.goneAt = now.Add(c.In)
		}
		l.changes = append(l.changes, s)
	}
	n.applyServers(l)
}

// upsertServer adds or updates a server, if its entry names one to use.
func (n *Node) upsertServer(s fleet.Server, version freshness.StoreVersion, from string) {
	if err := s.Validate(); err != nil {
		n.recordUnusable(s.ID, version, from, err)
		n.deregisterServer(s.ID, version, time.Now())
		return
	}
	n.observeVersion(s, n.tracker.Catalog())
	if n.fleet.Upsert(s) {
		n.changeLog.Add(s.ID, version)
		n.recorder.Record("server", relay.Fields{
			"server": s.ID, "service": s.Service, "address": s.Address, "software": s.Version, "leaving": s.Leaving, "version": version.Version, "era": version.Era, "from": from,
		})
	}
}

// observeVersion records the software version of a server of a configured service. Those of others
// are recorded once their service is configured.
func (n *Node) observeVersion(s fleet.Server, c *catalog.Catalog) {
	if c == nil {
		return
	}
	if _, configured := c.Service(s.Service); configured {
		n.streamVersions.Observe(s.Service, s.Version, time.Now())
	}
}

// installCatalog puts a configuration in force if it is newer, and reports whether it is.
func (n *Node) installCatalog(c *catalog.Catalog) bool {
	n.serversMu.Lock()
	defer n.serversMu.Unlock()
	for _, r := range n.fleet.Registered() {
		if r.DeregisteredAt.IsZero() {
			n.observeVersion(r.Server, c)
		}
	}
	return n.tracker.Install(c)
}

// deregisterOthers deregisters the servers that are not in listed.
func (n *Node) deregisterOthers(listed map[string]bool, version freshness.StoreVersion, at time.Time) {
	for _, id := range n.fleet.IDs() {
		if !listed[id] {
			n.deregisterServer(id, version, at)
		}
	}
}

func (n *Node) deregisterServer(id string, version freshness.StoreVersion, at time.Time) {
	if n.fleet.Deregister(id, at) {
		n.changeLog.Add(id, version)
		n.recorder.Record("server gone", relay.Fields{"server": id, "in_ms": time.Until(at).Milliseconds()})
	}
}
