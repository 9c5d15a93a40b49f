// Package partition finds out whether this node is partitioned from all servers while other nodes
// reach them. Such a node sends its requests through another one; what it sees of servers itself is
// no evidence against them.
//
// Connections to servers may be refused, reset or hang, or live on while new ones are refused. So a
// node judges by new connections, which another node could open, and by requests without any
// response, while servers respond to other nodes.
//
// # Usage
//
//	d := partition.NewDetector()
//	d.RecordReachedByPeer("10.1.0.7:80", now) // this node could not connect, another one could
//	if d.Partitioned() { ... }
//	d.RecordProbe(now)                        // a server responded to this node itself
package partition

import (
	"sync"
	"time"
)

const (
	// minServers is the number of servers without a path, or of all known servers if there are
	// fewer, from which on a node is partitioned.
	minServers = 3
	// silenceLimit is how long requests may go without any response. peerContact is how recently a
	// server must have responded to another node then.
	silenceLimit = 600 * time.Millisecond
	peerContact  = 500 * time.Millisecond
	// evidenceWindow is how long a server counts as one without a path.
	evidenceWindow = 3 * time.Second
)

// Detector holds what a node sees of its own paths to servers.
type Detector struct {
	mu           sync.Mutex
	partitioned  bool
	unreached    map[string]time.Time // servers to which only other nodes could connect, by address
	unanswered   map[string]time.Time // servers that ended requests without any response
	pending      map[string]pending   // requests without any response yet, by server
	lastResponse time.Time            // on a path of this node's own
}

type pending struct {
	count int
	since time.Time
}

// NewDetector returns the detector of a node that is not partitioned.
func NewDetector() *Detector {
	d := &Detector{pending: make(map[string]pending)}
	d.clear()
	return d
}

func (d *Detector) clear() {
	d.unreached, d.unanswered = make(map[string]time.Time), make(map[string]time.Time)
}

// Partitioned reports whether this node is partitioned from all servers.
func (d *Detector) Partitioned() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.partitioned
}

// LastResponse returns when a server last responded to this node itself.
func (d *Detector) LastResponse() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lastResponse
}

// RecordConnected records that this node opened a connection to a server itself.
func (d *Detector) RecordConnected() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.unreached)
}

// RecordReachedByPeer records that this node could not connect to a server, and another node could.
func (d *Detector) RecordReachedByPeer(server string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unreached[server] = now
}

// Begin records that a request was sent to a server on a path of this node's own. end is to be
// called once the server has responded, or the request has ended without any response.
func (d *Detector) Begin(server string, now time.Time) (end func(responded, evidence bool)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pending[server]
	if p.count == 0 {
		p.since = now
	}
	p.count++
	d.pending[server] = p
	var once sync.Once
	return func(responded, evidence bool) { once.Do(func() { d.end(server, responded, evidence) }) }
}

func (d *Detector) end(server string, responded, evidence bool) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pending[server]
	if p.count--; p.count > 0 {
		if responded {
			p.since = now
		}
		d.pending[server] = p
	} else {
		delete(d.pending, server)
	}
	switch {
	case responded:
		d.lastResponse = now
		clear(d.unanswered)
	case evidence:
		d.unanswered[server] = now
	}
}

// Check decides whether this node is partitioned. known is the number of known servers, and peers is
// the time since a server last responded to another node itself. It reports whether that is news.
func (d *Detector) Check(known int, peers time.Duration, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expire(now)
	needed := max(1, min(minServers, known))
	silent := 0
	for _, p := range d.pending {
		if now.Sub(p.since) > silenceLimit {
			silent++
		}
	}
	for server := range d.unanswered {
		if p, found := d.pending[server]; !found || now.Sub(p.since) <= silenceLimit {
			silent++
		}
	}
	noResponse := silent >= needed && peers < peerContact
	responds := now.Sub(d.lastResponse) <= silenceLimit // over connections that live on, at least
	if d.partitioned || responds || len(d.unreached) < needed && !noResponse {
		return false
	}
	d.partitioned = true
	return true
}

func (d *Detector) expire(now time.Time) {
	for _, all := range []map[string]time.Time{d.unreached, d.unanswered} {
		for server, at := range all {
			if now.Sub(at) > evidenceWindow {
				delete(all, server)
			}
		}
	}
}

// RecordProbe records that a server responded to a probe of this node itself. It reports whether the
// node was partitioned until then.
func (d *Detector) RecordProbe(now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	was := d.partitioned
	d.partitioned, d.lastResponse = false, now
	d.clear()
	return was
}
