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
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadabeam/core/placement"
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

	evenLoad atomic.Bool // see SetEvenLoad

	limits *serverlimit.Table // of servers, by incarnation
	slots  *slotshare.Table   // of brittle servers
}

// New returns an empty fleet.
func New(t Topology) *Fleet {
	return &Fleet{slots: slotshare.New(t.DataCentre + "/" + t.Node), topology: t, members: make(map[string]*Member), addresses: make(map[string][]*Member), services: make(map[string][]*Member), peerWork: make(map[string]map[string]Work), limits: serverlimit.NewTable()}
}

// SetEvenLoad sets whether requests are spread evenly (placement.OrderEvenly) over the servers of all
// services, not only of those whose servers report the slowdown of their machines.
func (f *Fleet) SetEvenLoad(on bool) { f.evenLoad.Store(on) }

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
	// Version is the software version that the server must have, "" if any will do. Versions limits
	// the others while the service changes to another one; nil for no limit.
	Version  string
	Versions Versions
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

	peerWorkKnown bool          // work reports of other nodes are current
	answerTime    time.Duration // see placement.Request
	evenly        bool          // costs are not rounded, see placement.OrderEvenly
	hasQuota      bool          // the server is brittle: this node may have quota requests there at a time
	quota         int
}

// Versions tells which servers of a service may be used while it changes to another software version.
type Versions interface {
	Allows(version string) bool
	// LastResort reports whether servers of a version may be used only if no other one is usable.
	LastResort(version string) bool
	// Subset returns the servers of a version that may be used. ids are all that it has.
	Subset(version string, ids []string) []string
}

// Reserve selects a server and counts the request against it until Release. It returns
// nil if no server is available.
func (f *Fleet) Reserve(q Query) *Member {
	q.peerWorkKnown = f.peerWorkKnown(q.Now)
	for _, c := range q.selected(f.ranked(q)) {
		if f.reserve(c.Server, q) && f.withinLimit(c.Server, q) {
			return c.Server
		}
	}
	return nil
}

// SelectBackup selects a server to hold a copy of the KV cache of a run on primary: the one
// with the lowest cost, preferably in another data centre of the same region. It has primary's
// software version, as the run can't go on at another one.
func (f *Fleet) SelectBackup(q Query, primary *Member) *Member {
	if q.Version, q.Versions = primary.Version(), nil; q.Version == "" {
		return nil
	}
	q.AvoidDataCentre = primary.DataCentre()
	q.Exclude = withID(q.Exclude, primary.ID())
	best := f.ranked(q)
	for _, c := range best {
		if c.Server.DataCentre() != q.AvoidDataCentre && f.topology.SameRegion(c.Server.DataCentre(), q.AvoidDataCentre) {
			return c.Server
		}
	}
	for _, c := range best {
		if c.Server.DataCentre() != q.AvoidDataCentre {
			return c.Server
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[0].Server
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

// zones returns the data centres of a service's servers, and whether one of these reports the slowdown
// of its machine.
func (f *Fleet) zones(service string, all []*Member, now time.Time) (z placement.Zones, reportsSlowdown bool) {
	z = make(placement.Zones, 0, 8)
	for _, m := range all {
		i := z.Index(m.DataCentre())
		if i < 0 {
			i = int32(len(z))
			z = append(z, placement.Zone{Name: m.DataCentre(), Distance: f.topology.distance(m.DataCentre())})
		}
		z[i].Servers++
		reportsSlowdown = reportsSlowdown || m.reportsSlowdown.Load()
	}
	for i := range z {
		z[i].Outage = f.inOutage(outageKey{service, z[i].Name}, z[i].Servers, now)
	}
	return z, reportsSlowdown
}

type candidate = placement.Candidate[*Member]

// ranked returns the servers that may get the request, best first. Servers that were
// unreachable a moment ago come last.
func (f *Fleet) ranked(q Query) []candidate {
	f.mu.RLock()
	all := f.services[q.Service]
	f.mu.RUnlock()
	found := make([]candidate, 0, len(all))
	q.peerWorkKnown = f.peerWorkKnown(q.Now)
	if q.Capacity == 0 {
		q.answerTime = medianAnswerTime(all)
	}
	zones, reported := f.zones(q.Service, all, q.Now)
	q.evenly = (reported || f.evenLoad.Load()) && (!q.ReturningCaller || q.CachedOn != "")
	var tally placement.Tally
	for _, m := range q.selectable(all) {
		if q.Exclude[m.ID()] || !m.matches(q) || !m.usable(q.Now) {
			continue
		}
		zone := zones.Index(m.DataCentre())
		c := m.cost(q, &tally) + f.limitPenalty(m, q.Now)
		avoided := zones[zone].Outage && !m.recentlyContacted(q.Now)
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
		found = append(found, candidate{Server: m, Cost: c, Rank: q.rank(m.ID()), Zone: zone, Cached: q.cachedOn(m.ID()), Avoided: avoided})
	}
	switch {
	case q.evenly:
		placement.OrderEvenly(found, zones, tally.Unseen(q.need("")))
	case q.ReturningCaller && q.CachedOn == "":
		placement.OrderNearEqual(found, zones, returningCostSlack)
	default:
		placement.Order(found, zones)
	}
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

// returningCostSlack is how much higher the cost of a server may be that has
// probably processed the prompt of a returning caller.
const returningCostSlack = 1200 * time.Millisecond

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

// rank orders servers by rendezvous hashing: differently for each prompt, but in the
// same order on all nodes.
func rank(prompt, id string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(prompt)
	_, _ = d.WriteString(id)
	return d.Sum64()
}
