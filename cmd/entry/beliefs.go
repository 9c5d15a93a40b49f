package entry

import (
	"time"

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
		n.install(newest, v.sent, "store")
		return
	}
	if c := n.holder.Catalog(); c != nil && !n.undecoded.Load() {
		n.holder.Confirm(c.Revision(), v.sent)
	}
}

// install takes a configuration that was the newest at some time after sent.
func (n *Node) install(value []byte, sent time.Duration, from string) {
	c, err := platform.DecodeConfiguration(value)
	if err != nil {
		n.undecoded.Store(true)
		n.recorder.Record("configuration rejected", relay.Fields{"from": from, "error": err.Error()})
		return
	}
	n.undecoded.Store(false)
	newer := n.holder.Prove(c, sent)
	if newer {
		n.raw.Store(&rawConfiguration{revision: c.Revision(), value: value})
	}
	n.recorder.Record("configuration", relay.Fields{"revision": c.Revision(), "newer": newer, "from": from})
}

type rawConfiguration struct {
	revision uint64
	value    []byte
}

// takeServers takes what the store says about the backend servers.
func (n *Node) takeServers(v view) {
	now := time.Now()
	gone := now
	if back := n.servers.returned.Add(returnWait); !n.servers.returned.IsZero() && back.After(now) {
		gone = back
	}
	named := make(map[string]bool, len(v.page.Rows))
	for _, r := range v.page.Rows {
		named[r.Key] = true
		n.takeServer(r, now, gone)
	}
	if v.whole {
		for _, id := range n.fleet.IDs() {
			if !named[id] {
				n.loseServer(id, gone)
			}
		}
	}
	n.serversVersion.Store(v.page.Version)
	n.serversKnown.Store(true)
}

func (n *Node) takeServer(r platform.Row, now, gone time.Time) {
	if r.Deleted {
		n.loseServer(r.Key, gone)
		return
	}
	s, err := platform.DecodeServer(r)
	if err != nil {
		n.recorder.Record("entry unreadable", relay.Fields{"server": r.Key, "version": r.Version, "error": err.Error()})
		n.loseServer(r.Key, now)
		return
	}
	if n.fleet.Set(s) {
		n.recorder.Record("server", relay.Fields{"server": s.ID, "service": s.Service, "address": s.Address, "leaving": s.Leaving, "version": r.Version})
	}
}

func (n *Node) loseServer(id string, at time.Time) {
	if n.fleet.Gone(id, at) {
		n.recorder.Record("server gone", relay.Fields{"server": id, "in_ms": time.Until(at).Milliseconds()})
	}
}
