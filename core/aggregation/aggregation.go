// Package aggregation decides which aggregated reports of data centres a node sends to a peer, and
// how much of them. Aggregates go through the gateways of a data centre; without a record of what
// a peer has already, each node of a data centre would send all of them to each other one.
//
// # Usage
//
//	f := aggregation.NewForwarding()
//	f.RecordKnown("node-2", ages, now)            // with each report of a peer
//	if due, full := f.Due("node-2", losses, now); due {
//		if f.Needs("node-2", "dakar-a", asOf, gateway, now) { ... }
//	}
package aggregation

import (
	"sync"
	"time"
)

const (
	// interval is the minimum time between two sets of aggregates sent to a peer.
	interval = 500 * time.Millisecond
	// intervalOnLoss applies while servers are being lost, because the outage of a data centre
	// is over after little more than a second.
	intervalOnLoss = 60 * time.Millisecond
	// RecentAge is the age of the events that a set contains which is not full.
	RecentAge = 300 * time.Millisecond
	// transferTime is by how much the same aggregate may seem newer at a peer, which doesn't know
	// how long it was on its way.
	transferTime = 50 * time.Millisecond
	// fallbackDelay is how much older than this node's a peer's aggregate is when another node than a
	// gateway sends it: the peer doesn't reach the gateways.
	fallbackDelay = 900 * time.Millisecond
	// peerRetention is how long a peer is remembered after its last report.
	peerRetention = time.Minute
)

// Forwarding records what the peers of a node know. It is safe for concurrent use.
type Forwarding struct {
	mu    sync.Mutex
	peers map[string]*peer
}

type peer struct {
	sentAt, fullAt time.Time
	reportedAt     time.Time            // of known
	known          map[string]time.Time // as of when the peer has an aggregate, by data centre
	sent           map[string]sent
	reports        bool // the peer says what it has
}

// sent is an aggregate as of a time that was sent to a peer.
type sent struct{ asOf, when time.Time }

// NewForwarding returns a Forwarding without peers.
func NewForwarding() *Forwarding { return &Forwarding{peers: make(map[string]*peer)} }

func (f *Forwarding) peer(name string) *peer {
	p := f.peers[name]
	if p == nil {
		p = &peer{known: make(map[string]time.Time), sent: make(map[string]sent)}
		f.peers[name] = p
	}
	return p
}

// RecordKnown records the ages of the aggregates that a peer has, as it reported them. A peer of an
// earlier version reports none (nil), and gets all aggregates each time.
func (f *Forwarding) RecordKnown(name string, ages map[string]time.Duration, now time.Time) {
	if ages == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peer(name)
	p.reports, p.reportedAt = true, now
	clear(p.known)
	for dataCentre, age := range ages {
		p.known[dataCentre] = now.Add(-age)
	}
	for other, x := range f.peers {
		if x.reports && now.Sub(x.reportedAt) > peerRetention {
			delete(f.peers, other)
		}
	}
}

// Due reports whether a set of aggregates may be sent to a peer now, and whether it is a full one.
// Others contain only events that are at most RecentAge old.
func (f *Forwarding) Due(name string, losses bool, now time.Time) (due, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peer(name)
	full = now.Sub(p.fullAt) >= interval
	if !full && (!losses || now.Sub(p.sentAt) < intervalOnLoss) {
		return false, false
	}
	p.sentAt = now
	if full {
		p.fullAt = now
	}
	return true, full
}

// Needs reports whether a peer is to be sent the aggregate of a data centre as of a time, and records
// that it is. Nodes that are no gateways send it only if the peer seems to get none from the gateways.
func (f *Forwarding) Needs(name, dataCentre string, asOf time.Time, gateway bool, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.peer(name)
	if p.reports {
		has := p.known[dataCentre]
		if s := p.sent[dataCentre]; !s.when.Before(p.reportedAt) && s.asOf.After(has) {
			has = s.asOf
		}
		margin := transferTime
		if !gateway {
			margin = fallbackDelay
		}
		if !asOf.After(has.Add(margin)) {
			return false
		}
	}
	p.sent[dataCentre] = sent{asOf: asOf, when: now}
	return true
}
