// Package serverlimit keeps the requests that all nodes together send to a server below the rate
// that the server names in its responses.
//
// Each node may send at its part of the limit. A small share of the limit is divided equally, the
// rest by demand: how often the nodes wanted to send to the server lately, which they report to
// each other. A node counts its own demand only as of some time ago, when the reports of others
// that it divides by did not contain more of it, so that the parts add up to no more than the limit
// while demand rises anywhere. A node that hears only some of the others divides its part by as
// much, unless they have been a majority for a while.
//
// A part of less than one request at a time adds up from wish to wish, and an unused one is kept
// for a short time only. As each node begins with a random part of a request, hundreds of
// nodes send no more at a time than by chance, and a few nodes more evenly. Requests that other nodes
// report to have sent count against a bound on the sum.
//
// A limit holds until a response of the server does not name it any more. Nodes tell each other
// which statement of a server is the newest.
//
// # Usage
//
//	t := serverlimit.NewTable()
//	t.Name("server-1", 8.3, now)               // a response named the limit
//	if !t.Allow("server-1", nodes, now) { ... } // before each request
//	t.End("server-1", now)                     // a response did not name it
//	t.Merge("node-2", report, 1, now)          // reported by another node
package serverlimit

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// equalShare is the share of a limit that is divided equally between all nodes, and
	// firstEqualShare that in the time firstTime after a node has learned of the limit, when the
	// demand is not known yet.
	equalShare      = 0.2
	firstEqualShare = 0.8
	firstTime       = 3 * time.Second
	// minRate is assumed for limits below it, in requests a second, so that some request finds out
	// when the limit ends.
	minRate = 0.1
	// burstTime is the time for which an unused part is kept, and rareBurstTime that for a part of
	// less than one request in it.
	burstTime     = time.Second
	rareBurstTime = 3 * time.Second
	// sentWindow is the time in which requests are counted. From sentFactor times what the limit
	// allows in it, and sentExtra, nothing is sent.
	sentWindow = 4 * time.Second
	sentFactor = 1.25
	sentExtra  = 2
	// reportTTL is how long a report of other nodes is valid, and majorityTime how long after a
	// node was lost a majority uses the whole limit.
	reportTTL    = 3 * time.Second
	majorityTime = 5 * time.Second
	// endGrace is the time after a response that named a limit in which one that does not is taken
	// for an older one.
	endGrace = 500 * time.Millisecond
	// staleTime is the time without a statement of the server after which a request is to find
	// out whether the limit holds.
	staleTime = 3 * time.Second
	// endReportTime is how long the end of a limit is reported, and retention how long a limit is
	// kept without a statement of the server.
	endReportTime = 10 * time.Second
	retention     = 10 * time.Minute
	maxServers    = 1024
	// minWait and maxWait bound the time after which a caller is asked to come back.
	minWait = 250 * time.Millisecond
	maxWait = 5 * time.Second
)

// Report is what nodes report to each other, by server.
type Report map[string]ServerReport

// ServerReport is the newest statement of a server that a node knows, and the node's use of the
// server.
type ServerReport struct {
	Limit  float64 // requests a second
	Ended  bool    // the server names no limit any more
	Age    time.Duration
	Demand float64 // requests a second that the node wanted to send
	Sent   int     // within the last four seconds
}

// Table holds the limits of servers. It is safe for concurrent use.
type Table struct {
	limited atomic.Int32 // number of servers with a limit

	mu           sync.Mutex
	servers      map[string]*server
	nodes        map[string]heard
	heardNodes   int       // at the last count
	lastDecrease time.Time // when heardNodes last decreased
}

// heard is when a report arrived that covers some other nodes.
type heard struct {
	nodes int
	at    time.Time
}

type server struct {
	limit     float64
	ended     bool
	statedAt  time.Time // the newest statement of the server
	learnedAt time.Time // when this node learned of the limit
	demand    average
	sent      counter
	tokens    float64
	tokensAt  time.Time
	// credit is what has come together of parts of less than a request. It begins at random, so
	// that nodes whose demand begins at the same time send at different times.
	credit float64
	others map[string]use
}

// use is the use of a server that other nodes reported.
type use struct {
	demand float64
	sent   int
	at     time.Time
}

// NewTable returns a table without limits.
func NewTable() *Table {
	return &Table{servers: make(map[string]*server), nodes: make(map[string]heard)}
}

// Name records that a server named its limit, in requests a second. It reports whether the limit
// is new or another one.
func (t *Table) Name(name string, limit float64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(name, limit, limit >= maxLimit, now, now)
}

// End records that a response of a server named no limit. It reports whether a limit ended.
func (t *Table) End(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil || s.ended || now.Sub(s.statedAt) < endGrace {
		return false
	}
	return t.state(name, s.limit, true, now, now)
}

// state records a statement that a server made at a time, if it is newer than the known one.
func (t *Table) state(name string, limit float64, ended bool, at, now time.Time) bool {
	s := t.servers[name]
	if s == nil {
		if ended || len(t.servers) >= maxServers {
			return false
		}
		s = &server{ended: true, credit: rand.Float64(), others: make(map[string]use)}
		t.servers[name] = s
	}
	if !at.After(s.statedAt) {
		return false
	}
	changed := s.ended != ended || s.limit != limit
	if s.ended && !ended {
		s.learnedAt, s.tokens, s.tokensAt = now, 0, now
	}
	s.limit, s.ended, s.statedAt = limit, ended, at
	t.count()
	return changed
}

func (t *Table) count() {
	n := 0
	for _, s := range t.servers {
		if !s.ended {
			n++
		}
	}
	t.limited.Store(int32(n))
}

// Any reports whether any server has a limit.
func (t *Table) Any() bool { return t.limited.Load() > 0 }

// Limit returns the limit of a server in requests a second, and whether it was stated a short
// time ago.
func (t *Table) Limit(name string, now time.Time) (limit float64, current, found bool) {
	if !t.Any() {
		return 0, false, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil || s.ended {
		return 0, false, false
	}
	return s.limit, now.Sub(s.statedAt) < staleTime, true
}

// Allow reports whether a request may be sent to a server, and counts it if so. nodes is the
// number of nodes that share the limit.
func (t *Table) Allow(name string, nodes int, now time.Time) bool {
	if !t.Any() {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil || s.ended {
		return true
	}
	s.demand.add(now)
	if !s.take(t.part(s, max(nodes, 1), now), now) || s.exhausted(now) {
		return false
	}
	s.sent.add(now)
	return true
}

// part returns the rate at which this node may send to a server.
func (t *Table) part(s *server, nodes int, now time.Time) float64 {
	equal := equalShare
	if now.Sub(s.learnedAt) < firstTime {
		equal = firstEqualShare
	}
	own := s.demand.at(now)
	all := own
	for _, x := range s.others {
		if now.Sub(x.at) <= reportTTL {
			all += x.demand
		}
	}
	byDemand := 0.0
	if all > 0 {
		byDemand = min(own, s.demand.before(now)) / all
	}
	return max(s.limit, minRate) * t.heardShare(nodes, now) * (equal/float64(nodes) + (1-equal)*byDemand)
}

// heardShare returns the share of the limits that the nodes that hear each other may use.
func (t *Table) heardShare(nodes int, now time.Time) float64 {
	n := 1
	for from, x := range t.nodes {
		if now.Sub(x.at) > reportTTL {
			delete(t.nodes, from)
			continue
		}
		n += x.nodes
	}
	if n < t.heardNodes {
		t.lastDecrease = now
	}
	t.heardNodes = n
	if n >= nodes || 2*n > nodes && now.Sub(t.lastDecrease) > majorityTime {
		return 1
	}
	return float64(n) / float64(nodes)
}

// take takes a request from what this node may send at a rate.
func (s *server) take(rate float64, now time.Time) bool {
	most := rate * rareBurstTime.Seconds()
	if most >= 1 {
		most = max(1, rate*burstTime.Seconds())
	}
	s.tokens = min(most, s.tokens+rate*now.Sub(s.tokensAt).Seconds())
	s.tokensAt = now
	if s.tokens >= 1 {
		s.tokens--
		return true
	}
	if most >= 1 {
		return false
	}
	s.credit += s.tokens
	s.tokens = 0
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}

// exhausted reports whether all nodes together have sent too much to the server.
func (s *server) exhausted(now time.Time) bool {
	sent := s.sent.count(now)
	for _, x := range s.others {
		if now.Sub(x.at) <= reportTTL {
			sent += x.sent
		}
	}
	return float64(sent) >= sentFactor*max(s.limit, minRate)*sentWindow.Seconds()+sentExtra
}

// Wait returns the time after which a caller that was refused because of the limit of a server is
// to come back: the longer the more requests there are for what the server takes.
func (t *Table) Wait(name string, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[name]
	if s == nil || s.ended {
		return 0
	}
	demand := s.demand.at(now)
	for _, x := range s.others {
		demand += x.demand
	}
	seconds := demand / max(s.limit, minRate) / 2
	return min(max(time.Duration(seconds*float64(time.Second)), minWait), maxWait)
}
