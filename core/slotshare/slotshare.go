// Package slotshare divides the slots of brittle servers between nodes. A brittle server lets few
// requests wait and ends if it has to turn too many away in a second, so nodes send it no more
// requests at a time than it has slots for, all together.
//
// The nodes report to each other how many requests a second they want to send to a service. Each
// slot of each server belongs to one node at a time: a small part of the slots is divided equally,
// the rest by these reports, so that nodes with the same reports agree without asking each other.
// Where nodes have a report of another moment, they may disagree on a slot between two nodes. A node
// counts its own requests only as of some time ago, so that all don't take more while they rise.
//
// # Usage
//
//	t := slotshare.New("a/node-1")
//	t.Name("orders", now)                              // a response said that the servers are brittle
//	t.RecordRequest("orders", now)                     // for each request
//	n := t.Quota("orders", "server-1", 6, nodes, now)  // requests at a time
package slotshare

import (
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// equalShare is the part of the slots that is divided equally.
	equalShare = 0.1
	// demandTime is the time constant of the average of requests a second.
	demandTime = 2 * time.Second
	// slack is the part of a server's slots, one at least of several, that is left for requests of
	// nodes that disagree.
	slack = 0.1
	// reportLag is the time within which all nodes know the demand of a node, and sampleInterval
	// that between two kept values of it.
	reportLag      = 800 * time.Millisecond
	sampleInterval = 50 * time.Millisecond
	// reportTTL is how long a report of other nodes is valid.
	reportTTL = 3 * time.Second
	// endGrace is the time after a response of a brittle server in which one that does not say so
	// is taken for an older one.
	endGrace = 500 * time.Millisecond
	// retention is how long servers are taken for brittle without a response.
	retention = 10 * time.Second
	// refreshTime is how long a division is used.
	refreshTime = 50 * time.Millisecond
)

// Report is what nodes tell each other, by service.
type Report map[string]ServiceReport

// ServiceReport is the newest statement of a service's servers that a node knows, and how many
// requests a second it wants to send to the service.
type ServiceReport struct {
	Ended  bool // the servers are not brittle any more
	Age    time.Duration
	Demand float64
}

// Table holds the services with brittle servers. It is safe for concurrent use.
type Table struct {
	self   string
	active atomic.Int32 // number of services with brittle servers
	stated atomic.Int64 // Unix time in nanoseconds of the newest statement of a server

	mu       sync.Mutex
	services map[string]*service
}

type service struct {
	brittle  bool
	statedAt time.Time
	demand   float64 // as of demandAt
	demandAt time.Time
	samples  []sample          // of demand, in order of time, within reportLag
	others   map[string]demand // of other nodes, by name
	bounds   []float64         // of this node's part, between 0 and 1: its beginning and its end
	boundsAt time.Time
}

type sample struct {
	demand float64
	at     time.Time
}

type demand struct {
	nodes  int
	demand float64
	at     time.Time
}

// New returns a table of the node with a name. The names under which Merge knows nodes must sort
// alike on all of them.
func New(self string) *Table { return &Table{self: self, services: make(map[string]*service)} }

// Any reports whether servers of any service are brittle.
func (t *Table) Any() bool { return t.active.Load() > 0 }

func (t *Table) service(name string) *service {
	s := t.services[name]
	if s == nil {
		s = &service{others: make(map[string]demand)}
		t.services[name] = s
	}
	return s
}

func (t *Table) set(s *service, brittle bool, at time.Time) {
	if s.brittle != brittle {
		s.brittle = brittle
		t.active.Add(map[bool]int32{true: 1, false: -1}[brittle])
	}
	s.statedAt = at
	t.stated.Store(max(t.stated.Load(), at.UnixNano()))
}

// Name records that a server of a service said that it is brittle. It reports whether that is new.
func (t *Table) Name(name string, now time.Time) bool { return t.state(name, false, now) }

// End records that a server of a service did not say that it is brittle. It reports whether one
// had said so before.
func (t *Table) End(name string, now time.Time) bool {
	return t.Any() && t.state(name, true, now.Add(-endGrace))
}

func (t *Table) state(name string, ended bool, at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if !at.After(s.statedAt) || ended && !s.brittle {
		return false
	}
	changed := s.brittle == ended
	t.set(s, !ended, at)
	return changed
}

// Brittle reports whether the servers of a service are brittle.
func (t *Table) Brittle(name string, now time.Time) bool {
	if !t.Any() {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.services[name]
	return s != nil && s.brittle && now.Sub(s.statedAt) <= retention
}

// RecordRequest counts a request for a service while servers are brittle.
func (t *Table) RecordRequest(name string, now time.Time) {
	if !t.Any() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	s.sample(now)
	s.demand = s.demandAtTime(now) + 1/demandTime.Seconds()
	s.demandAt = now
}

// sample keeps the demand as of now, and drops older values than are needed.
func (s *service) sample(now time.Time) {
	if n := len(s.samples); n > 0 && now.Sub(s.samples[n-1].at) < sampleInterval {
		return
	}
	s.samples = append(s.samples, sample{s.demandAtTime(now), now})
	for len(s.samples) > 1 && now.Sub(s.samples[1].at) >= reportLag {
		s.samples = s.samples[1:]
	}
}

// knownDemand returns the demand that the other nodes know at least: what has risen within reportLag
// is left out, as they divide without it.
func (s *service) knownDemand(now time.Time) float64 {
	least := s.demandAtTime(now)
	for i, x := range s.samples {
		if i+1 < len(s.samples) && now.Sub(s.samples[i+1].at) >= reportLag {
			continue // the next one tells what was known then
		}
		least = min(least, x.demand)
	}
	return least
}

func (s *service) demandAtTime(now time.Time) float64 {
	return s.demand * math.Exp(-float64(now.Sub(s.demandAt))/float64(demandTime))
}

// Report returns what this node tells others.
func (t *Table) Report(now time.Time) Report {
	if now.Sub(time.Unix(0, t.stated.Load())) > retention && !t.Any() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r := make(Report)
	for name, s := range t.services {
		if age := now.Sub(s.statedAt); !s.statedAt.IsZero() && age <= retention {
			r[name] = ServiceReport{Ended: !s.brittle, Age: age, Demand: s.demandAtTime(now)}
		} else if s.brittle {
			t.set(s, false, s.statedAt)
		}
	}
	return r
}

// Add adds the report of another node, received some time ago, to one for other data centres.
func (r Report) Add(x Report, age time.Duration) Report {
	if r == nil && len(x) > 0 {
		r = make(Report)
	}
	for name, s := range x {
		s.Age += age
		sum, known := r[name]
		if !known || s.Age < sum.Age {
			sum.Ended, sum.Age = s.Ended, s.Age
		}
		sum.Demand += s.Demand
		r[name] = sum
	}
	return r
}

// Merge applies the report of some other nodes as of a time. It returns the services whose servers
// have become brittle by it, or are not any more.
func (t *Table) Merge(from string, r Report, nodes int, at time.Time) []string {
	var changed []string
	for name, x := range r {
		if t.state(name, x.Ended, at.Add(-x.Age)) {
			changed = append(changed, name)
		}
	}
	if !t.Any() {
		return changed
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.services {
		s.others[from] = demand{nodes: nodes, demand: r[name].Demand, at: at}
	}
	return changed
}

// Quota returns how many requests this node may have at a time on a server with some slots, if nodes
// share it.
func (t *Table) Quota(name, server string, slots, nodes int, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.service(name)
	if now.Sub(s.boundsAt) > refreshTime {
		s.bounds = t.part(s, nodes, now)
		s.boundsAt = now
	}
	slots = max(1, slots-max(1, int(slack*float64(slots))))
	offset := float64(xxhash.Sum64String(server)%1024) / 1024
	at := func(x float64) int { return int(math.Floor(x*float64(slots) + offset)) }
	return at(s.bounds[1]) - at(s.bounds[0])
}

// part returns the beginning and the end of this node's part of each server, between 0 and 1.
func (t *Table) part(s *service, nodes int, now time.Time) []float64 {
	own := demand{nodes: 1, demand: s.knownDemand(now)}
	all := map[string]demand{t.self: own}
	known, total := 1, own.demand
	for name, x := range s.others {
		if now.Sub(x.at) > reportTTL {
			delete(s.others, name)
			continue
		}
		all[name] = x
		known, total = known+x.nodes, total+x.demand
	}
	nodes = max(nodes, known)
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	sort.Strings(names)
	begin := 0.0
	for _, name := range names {
		x := all[name]
		width := float64(x.nodes) / float64(nodes)
		if total > 0 {
			width = equalShare*width + (1-equalShare)*x.demand/total
		}
		if name == t.self {
			return []float64{begin, begin + width}
		}
		begin += width
	}
	return []float64{0, 0}
}
