// Package fleet knows the backend servers and chooses one for a request, by the
// time in which each is expected to answer: distance, work under way there, prompts
// yet to be read, and how often it failed lately.
//
// # Usage
//
//	f := fleet.New(place)
//	f.Set(fleet.Server{ID: "s1", Service: "orders", ...})
//	q := fleet.Query{Service: "orders", Now: now}
//	m := f.Reserve(q)
//	defer m.Release(q, false)
//	m.Succeeded(elapsed, now)
package fleet

import (
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Server is a backend server as it registered itself.
type Server struct {
	ID         string
	Service    string
	Address    string // IP number and port
	DataCentre string
	Slots      int
	Leaving    bool
	StartedMS  int64 // Unix time in milliseconds, 0 if unknown
}

// Place tells how far data centres are from this node's.
type Place struct {
	DataCentre string
	Regions    map[string]string // region by data centre
}

// Distances stand for the time on the way and the price of the bytes.
const (
	regionDistance = 15 * time.Millisecond
	remoteDistance = 120 * time.Millisecond
)

func (p Place) region(dataCentre string) string { return p.Regions[dataCentre] }

// SameRegion tells whether two data centres are in one region.
func (p Place) SameRegion(a, b string) bool { return p.region(a) == p.region(b) }

func (p Place) distance(dataCentre string) time.Duration {
	switch {
	case dataCentre == p.DataCentre:
		return 0
	case p.SameRegion(dataCentre, p.DataCentre):
		return regionDistance
	default:
		return remoteDistance
	}
}

// Fleet is the set of servers known.
type Fleet struct {
	place Place

	mu       sync.RWMutex
	members  map[string]*Member
	services map[string][]*Member
	outages  outages

	toldMu sync.Mutex
	told   map[string]map[string]Work // the last word of each node, by server

	lastHeard atomic.Int64 // when another node told of its work, in Unix nanoseconds
}

// New returns an empty fleet.
func New(p Place) *Fleet {
	return &Fleet{place: p, members: make(map[string]*Member), services: make(map[string][]*Member), told: make(map[string]map[string]Work)}
}

// Set adds a server or takes its new state. It tells whether anything about it is new.
func (f *Fleet) Set(s Server) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	m := f.members[s.ID]
	if m != nil && m.identity() == (identity{s.Service, s.Address, s.StartedMS}) {
		return m.update(s)
	}
	if m != nil {
		f.drop(m)
		m.gone(longAgo)
	}
	m = &Member{server: s}
	f.supersede(m)
	f.members[s.ID] = m
	f.services[s.Service] = append(f.services[s.Service], m)
	return true
}

// longAgo is since when a server is gone that started again under its id.
var longAgo = time.Unix(0, 1)

// supersede notes which of two servers at one address started last. The entry of a
// server that crashed stays for some heartbeats after the next one has registered at
// its address. Should the later entry go first, the clocks were wrong, and the other
// server counts again.
func (f *Fleet) supersede(newest *Member) {
	for _, m := range f.members {
		if m.server.Address != newest.server.Address || m.server.StartedMS == 0 || newest.server.StartedMS == 0 {
			continue
		}
		if m.server.StartedMS < newest.server.StartedMS {
			m.supersede(newest)
		} else {
			newest.supersede(m)
		}
	}
}

// Gone notes that a server's entry is missing; it gets no work from at on, unless
// the entry comes back.
func (f *Fleet) Gone(id string, at time.Time) bool {
	f.mu.RLock()
	m := f.members[id]
	f.mu.RUnlock()
	return m != nil && m.gone(at)
}

// Of returns the servers of a service in a data centre that may get work.
func (f *Fleet) Of(service, dataCentre string, now time.Time) []*Member {
	f.mu.RLock()
	all := f.services[service]
	f.mu.RUnlock()
	var found []*Member
	for _, m := range all {
		if m.DataCentre() == dataCentre && m.usable(now) {
			found = append(found, m)
		}
	}
	return found
}

// IDs returns the ids of all servers.
func (f *Fleet) IDs() []string {
	f.mu.RLock()
	defer f.mu.RUnlock()
	all := make([]string, 0, len(f.members))
	for id := range f.members {
		all = append(all, id)
	}
	return all
}

// Registration is a server and, if its entry is missing, when it is gone.
type Registration struct {
	Server Server
	GoneAt time.Time
}

// Registered returns all servers known.
func (f *Fleet) Registered() []Registration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	all := make([]Registration, 0, len(f.members))
	for _, m := range f.members {
		all = append(all, m.registration())
	}
	return all
}

// Expire forgets servers that are gone and have no work of this node's.
func (f *Fleet) Expire(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, m := range f.members {
		if m.expired(now) {
			f.drop(m)
			delete(f.members, id)
		}
	}
}

func (f *Fleet) drop(m *Member) {
	all := f.services[m.service()]
	kept := make([]*Member, 0, len(all))
	for _, x := range all {
		if x != m {
			kept = append(kept, x)
		}
	}
	f.services[m.service()] = kept
}

// Query describes a request that needs a server.
type Query struct {
	Service string
	// Tokens is the length of the prompt that the server has to read, 0 for plain
	// requests. Memory is what the whole run may need, Capacity what a server has.
	Tokens   int
	Memory   int
	Capacity int
	// Prompt names the prompt, ReadBy the server that read it lately, if known, and
	// ComesAgain that the caller had a part of the answer before.
	Prompt     string
	ReadBy     string
	ComesAgain bool
	// Connections is the number that this node may have to one server.
	Connections int
	// Exclude names servers that the request has failed on.
	Exclude map[string]bool
	// Avoid names a data centre to stay away from where others can serve.
	Avoid string
	Now   time.Time

	informed bool // other nodes' words are at hand
}

// Reserve chooses a server and counts the request there until Release. It returns
// nil if there is none.
func (f *Fleet) Reserve(q Query) *Member {
	for _, c := range f.ranked(q) {
		if c.member.reserve(q) {
			return c.member
		}
	}
	return nil
}

// Backup chooses a server that can keep a copy of a run's memory: in another data
// centre of the same region if there is one, with the least in use.
func (f *Fleet) Backup(q Query, runs *Member) *Member {
	q.Avoid = runs.DataCentre()
	q.Exclude = with(q.Exclude, runs.ID())
	best := f.ranked(q)
	for _, c := range best {
		if c.member.DataCentre() != q.Avoid && f.place.SameRegion(c.member.DataCentre(), q.Avoid) {
			return c.member
		}
	}
	for _, c := range best {
		if c.member.DataCentre() != q.Avoid {
			return c.member
		}
	}
	if len(best) == 0 {
		return nil
	}
	return best[0].member
}

func with(set map[string]bool, id string) map[string]bool {
	all := make(map[string]bool, len(set)+1)
	for x := range set {
		all[x] = true
	}
	all[id] = true
	return all
}

// Find returns a server that may get work.
func (f *Fleet) Find(id string, now time.Time) *Member {
	f.mu.RLock()
	m := f.members[id]
	f.mu.RUnlock()
	if m == nil || !m.usable(now) {
		return nil
	}
	return m
}

// outagesOf returns the data centres that are in an outage.
func (f *Fleet) outagesOf(service string, all []*Member, now time.Time) map[string]bool {
	members := make(map[string]int)
	for _, m := range all {
		members[m.DataCentre()]++
	}
	out := make(map[string]bool, len(members))
	for dataCentre, n := range members {
		out[dataCentre] = f.outage(outageKey{service, dataCentre}, n, now)
	}
	return out
}

type candidate struct {
	member *Member
	cost   time.Duration
	rank   uint64
}

// ranked returns the servers that may get the request, the best first. Those that
// were unreachable a moment ago come last.
func (f *Fleet) ranked(q Query) []candidate {
	f.mu.RLock()
	all := f.services[q.Service]
	f.mu.RUnlock()
	found := make([]candidate, 0, len(all))
	q.informed = f.informed(q.Now)
	out := f.outagesOf(q.Service, all, q.Now)
	for _, m := range all {
		if q.Exclude[m.ID()] || !m.usable(q.Now) {
			continue
		}
		c := m.cost(q) + f.place.distance(m.DataCentre())
		if out[m.DataCentre()] && !m.alive(q.Now) {
			c += outageCost
		}
		if q.Avoid != "" && m.DataCentre() == q.Avoid {
			c += avoidCost
		}
		found = append(found, candidate{m, c, q.rank(m.ID())})
	}
	if q.ComesAgain && q.ReadBy == "" {
		q.levelNear(found)
	}
	sort.Slice(found, func(a, b int) bool {
		if found[a].cost != found[b].cost {
			return found[a].cost < found[b].cost
		}
		return found[a].rank < found[b].rank
	})
	return found
}

// rank orders servers that cost the same: by the prompt, so that it comes to the same
// server again, or else at random.
func (q Query) rank(id string) uint64 {
	if q.Prompt == "" {
		return rand.Uint64()
	}
	return rank(q.Prompt, id)
}

// levelNear makes the servers alike that are little worse than the best: the first
// by rank among them has likely read the prompt.
func (q Query) levelNear(all []candidate) {
	if len(all) == 0 {
		return
	}
	best := all[0].cost
	for _, c := range all {
		best = min(best, c.cost)
	}
	for i := range all {
		if all[i].cost <= best+returnSlack {
			all[i].cost = best
		}
	}
}
