// Package fleet tracks the registered backend servers and selects one for each request
// by expected response time: network distance, work in flight, prompt tokens still to be
// processed, and recent failures.
//
// # Usage
//
//	f := fleet.New(topology)
//	f.Upsert(fleet.Server{ID: "s1", Service: "orders", ...})
//	q := fleet.Query{Service: "orders", Now: now}
//	m := f.Reserve(q)
//	defer m.Release(q, false)
//	m.RecordSuccess(elapsed, now)
package fleet

import (
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabeam/core/serverlimit"
	"cicadabeam/core/slotshare"
)

// Server is a backend server as given in its registry entry.
type Server struct {
	ID         string
	Service    string
	Address    string // IP address and port
	DataCentre string
	Version    string // of its software, "" if unknown
	Slots      int
	Leaving    bool
	StartedMS  int64 // Unix time in milliseconds, 0 if unknown
}

// Topology describes the network topology as seen from this node: its own data centre and
// the region of each data centre.
type Topology struct {
	DataCentre string
	Node       string            // name of this node
	Regions    map[string]string // region by data centre
}

// Cost added for a server in another data centre of the region, or in another region. It
// accounts for network latency and for the price of the traffic.
const (
	regionDistance = 15 * time.Millisecond
	remoteDistance = 120 * time.Millisecond
)

func (t Topology) region(dataCentre string) string { return t.Regions[dataCentre] }

// SameRegion reports whether two data centres are in the same region.
func (t Topology) SameRegion(a, b string) bool { return t.region(a) == t.region(b) }

func (t Topology) distance(dataCentre string) time.Duration {
	switch {
	case dataCentre == t.DataCentre:
		return 0
	case t.SameRegion(dataCentre, t.DataCentre):
		return regionDistance
	default:
		return remoteDistance
	}
}

// Fleet is the set of known servers.
type Fleet struct {
	topology Topology

	mu        sync.RWMutex
	members   map[string]*Member
	addresses map[string][]*Member // those of members, by address
	services  map[string][]*Member
	outages   outages
	leaving   leavingServers

	peerWorkMu sync.Mutex
	peerWork   map[string]map[string]Work // last report of each node, by server ID

	lastPeerWork atomic.Pointer[time.Time] // time of the last work report from another node

	limits *serverlimit.Table // of servers, by incarnation
	slots  *slotshare.Table   // of brittle servers
}

// New returns an empty fleet.
func New(t Topology) *Fleet {
	return &Fleet{slots: slotshare.New(t.DataCentre + "/" + t.Node), topology: t, members: make(map[string]*Member), addresses: make(map[string][]*Member), services: make(map[string][]*Member), peerWork: make(map[string]map[string]Work), limits: serverlimit.NewTable()}
}

// Upsert adds a server or updates its state. It reports whether anything changed.
func (f *Fleet) Upsert(s Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[s.ID]
	if m != nil && m.identity() == (identity{s.Service, s.Address, s.Version, s.StartedMS}) {
		return m.update(s)
	}
	added := &Member{server: s, saidLeaving: f.leaving.contains(s.key())}
	if m != nil && m.key() == s.key() {
		added.deferral = m.currentDeferral()
	}
	f.linkSuccessor(added)
	if m != nil {
		f.unlist(m)
		m.end(added)
	}
	f.members[s.ID] = added
	f.addresses[s.Address] = append(f.addresses[s.Address], added)
	f.services[s.Service] = append(f.services[s.Service], added)
	return true
}

// Deregister records that the registry entry of a server is missing. The server gets no
// requests from time at onwards, unless the entry reappears. Deregister reports whether
// the server was known and not yet deregistered.
func (f *Fleet) Deregister(id string, at time.Time) bool {
	m := f.Find(id)
	return m != nil && m.deregister(at)
}

// UsableServers returns the usable servers of a service in a data centre.
func (f *Fleet) UsableServers(service, dataCentre string, now time.Time) []*Member {
	return slices.DeleteFunc(f.Usable(service, now), func(m *Member) bool { return m.DataCentre() != dataCentre })
}

// Knows reports whether a server is known, deregistered or not.
func (f *Fleet) Knows(id string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.members[id] != nil
}

// IDs returns the IDs of all servers.
func (f *Fleet) IDs() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	all := make([]string, 0, len(f.members))
	for id := range f.members {
		all = append(all, id)
	}
	return all
}

// Registration is a server and, if its registry entry is missing, the time of its
// deregistration.
type Registration struct {
	Server         Server
	DeregisteredAt time.Time
}

// Registered returns all known servers.
func (f *Fleet) Registered() []Registration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	all := make([]Registration, 0, len(f.members))
	for _, m := range f.members {
		all = append(all, m.registration())
	}
	return all
}

// Expire removes deregistered servers that have no requests of this node in flight.
func (f *Fleet) Expire(now time.Time) {
	f.leaving.expire(now)
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, m := range f.members {
		if m.expired(now) {
			f.unlist(m)
			delete(f.members, id)
		}
	}
}

// unlist removes a server from those of its service and of its address.
func (f *Fleet) unlist(m *Member) {
	f.services[m.Service()] = without(f.services[m.Service()], m)
	address := m.server.Address
	if f.addresses[address] = without(f.addresses[address], m); len(f.addresses[address]) == 0 {
		delete(f.addresses, address)
	}
}

// without returns a copy, as readers may hold the slice.
func without(all []*Member, m *Member) []*Member {
	kept := make([]*Member, 0, len(all))
	for _, x := range all {
		if x != m {
			kept = append(kept, x)
		}
	}
	return kept
}

// Query describes a request that needs a server.
type Query struct {
	Service string
	// PromptTokens is the length of the prompt that the server has to process, 0 for plain
	// requests. Memory is the number of KV cache tokens that the whole run may need, and
	// Capacity is the number that a server's KV cache can hold, 0 for plain requests.
	PromptTokens int
	Memory       int
	Capacity     int
	// Prompt identifies the prompt. CachedOn is the server that processed it recently, if
	// known. ReturningCaller is set if the caller already received a part of the answer.
	Prompt          string
	CachedOn        string
	ReturningCaller bool
	// Begun is set if the caller has received a part of the answer in this request. What the
	// server gets at a time after it refused requests is not limited then, unless it is on trial.
	Begun bool
	// Version is the software version that the server must have, "" if any will do.
	Version string
	// Nodes is the number of nodes that share the limits that servers name.
	Nodes int
	// MaxConnections limits the connections from this node to one server.
	MaxConnections int
	// Exclude lists servers on which the request has already failed.
	Exclude map[string]bool
	// AvoidDataCentre is a data centre to use only if no other can serve the request.
	AvoidDataCentre string
	// Urgent is set for the kind with the tightest latency goal, where the kinds of a service differ.
	Urgent bool
	// Policy selects among the servers, nil to use them in order of cost.
	Policy Policy
	Now    time.Time

	peerWorkKnown bool // work reports of other nodes are current
	hasQuota      bool // the server is brittle: this node may have quota requests there at a time
	quota         int
}

// Reserve selects a server and counts the request against it until Release. It returns
// nil if no server is available.
func (f *Fleet) Reserve(q Query) *Member {
	q.peerWorkKnown = f.peerWorkKnown(q.Now)
	for _, c := range q.selected(f.ranked(q)) {
		if f.reserve(c.member, q) && f.withinLimit(c.member, q) {
			return c.member
		}
	}
	return nil
}

// SelectBackup selects a server to hold a copy of the KV cache of a run on primary: the one
// with the lowest cost, preferably in another data centre of the same region. It has primary's
// software version, as the run can't go on at another one.
func (f *Fleet) SelectBackup(q Query, primary *Member) *Member {
	if q.Version = primary.Version(); q.Version == "" {
		return nil
	}
	q.AvoidDataCentre = primary.DataCentre()
	q.Exclude = withID(q.Exclude, primary.ID())
	best := f.ranked(q)
	for _, c := range best {
		if c.member.DataCentre() != q.AvoidDataCentre && f.topology.SameRegion(c.member.DataCentre(), q.AvoidDataCentre) {
			return c.member
		}
	}
	for _, c := range best {
		if c.member.DataCentre() != q.AvoidDataCentre {
			return c.member
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[0].member
}

// KVCacheUse returns the part of the KV caches of a service's servers, each of which holds
// capacity tokens, that the runs of all nodes may need. Servers that are not usable or were
// just unreachable don't count. It is 1 if there are none.
func (f *Fleet) KVCacheUse(service string, capacity int, now time.Time) float64 {
	f.mu.RLock()
	all := f.services[service]
	f.mu.RUnlock()
	needed, servers := 0, 0
	for _, m := range all {
		if memory, reachable := m.kvCacheNeed(now); reachable {
			needed += memory
			servers++
		}
	}
	if servers == 0 || capacity <= 0 {
		return 1
	}
	return float64(needed) / float64(servers*capacity)
}

func withID(set map[string]bool, id string) map[string]bool {
	all := make(map[string]bool, len(set)+1)
	for x := range set {
		all[x] = true
	}
	all[id] = true
	return all
}

// Find returns the server with the given ID, or nil if it is unknown.
func (f *Fleet) Find(id string) *Member {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.members[id]
}

// FindUsable returns the server with the given ID, or nil if it is unknown or not usable.
func (f *Fleet) FindUsable(id string, now time.Time) *Member {
	m := f.Find(id)
	if m == nil || !m.usable(now) {
		return nil
	}
	return m
}

// outagesByDataCentre reports for each data centre whether it is in an outage.
func (f *Fleet) outagesByDataCentre(service string, all []*Member, now time.Time) map[string]bool {
	members := make(map[string]int)
	for _, m := range all {
		members[m.DataCentre()]++
	}
	out := make(map[string]bool, len(members))
	for dataCentre, n := range members {
		out[dataCentre] = f.inOutage(outageKey{service, dataCentre}, n, now)
	}
	return out
}

type candidate struct {
	member  *Member
	cost    time.Duration
	rank    uint64
	avoided bool // it may be gone
}

// ranked returns the servers that may get the request, best first. Servers that were
// unreachable a moment ago come last.
func (f *Fleet) ranked(q Query) []candidate {
	f.mu.RLock()
	all := f.services[q.Service]
	f.mu.RUnlock()
	found := make([]candidate, 0, len(all))
	q.peerWorkKnown = f.peerWorkKnown(q.Now)
	out := f.outagesByDataCentre(q.Service, all, q.Now)
	for _, m := range all {
		if q.Exclude[m.ID()] || !m.matches(q) || !m.usable(q.Now) {
			continue
		}
		c := m.cost(q) + f.topology.distance(m.DataCentre())
		avoided := out[m.DataCentre()] && !m.recentlyContacted(q.Now)
		if avoided {
			c += outagePenalty
		}
		if q.AvoidDataCentre != "" && m.DataCentre() == q.AvoidDataCentre {
			c += avoidPenalty
		}
		if m.doubted(q.Now) {
			c += doubtPenalty
			avoided = true
		}
		found = append(found, candidate{m, c + f.limitPenalty(m, q.Now), q.rank(m.ID()), avoided})
	}
	if q.ReturningCaller && q.CachedOn == "" {
		q.equalizeNearBest(found)
	}
	sort.Slice(found, func(a, b int) bool {
		if found[a].cost != found[b].cost {
			return found[a].cost < found[b].cost
		}
		return found[a].rank < found[b].rank
	})
	return found
}

// rank orders servers of equal cost: by a hash of the prompt, so that a repeated prompt
// is sent to the same server, or else at random.
func (q Query) rank(id string) uint64 {
	if q.Prompt == "" {
		return rand.Uint64()
	}
	return rank(q.Prompt, id)
}

// rank orders servers by rendezvous hashing: differently for each prompt, but in the
// same order on all nodes.
func rank(prompt, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(prompt)
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// returningCostSlack is how much higher the cost of a server may be that has
// probably processed the prompt of a returning caller.
const returningCostSlack = 1200 * time.Millisecond

// equalizeNearBest gives the servers whose cost is within returningCostSlack of the
// lowest the same cost. The first of them by rank has most likely processed the prompt.
func (q Query) equalizeNearBest(all []candidate) {
	if len(all) == 0 {
		return
	}
	best := all[0].cost
	for _, c := range all {
		best = min(best, c.cost)
	}
	for i := range all {
		if all[i].cost <= best+returningCostSlack {
			all[i].cost = best
		}
	}
}

// HasAddress reports whether a known server has an address.
func (f *Fleet) HasAddress(address string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.addresses[address]) > 0
}

// Count returns the number of known servers.
func (f *Fleet) Count() int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.members)
}

// Usable returns the usable servers of a service.
func (f *Fleet) Usable(service string, now time.Time) []*Member {
	f.mu.RLock()
	all := f.services[service]
	f.mu.RUnlock()
	var found []*Member
	for _, m := range all {
		if m.usable(now) {
			found = append(found, m)
		}
	}
	return found
}
