// Package balance chooses the backend server for a request: near before far,
// the one with the prefix cached if it isn't overloaded, else the least loaded of
// a few random ones.
//
// # Usage
//
//	t := balance.New()
//	t.Report(r, now)
//	s, result := t.Reserve(balance.Query{...})
//	defer t.Release(s.Name())
package balance

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"cicadabeam/core/config"
	"cicadabeam/core/membership"
	"cicadabeam/core/shard"
)

// affinitySlack is how far above the mean load, in parts of it and in whole
// requests, the server with the cached prefix may be.
const (
	affinitySlack      = 1.25
	affinitySlackCount = 1
)

// manyChoosers is the number of nodes from which on a request compares sampleOfMany
// servers instead of sampleOfFew.
const (
	manyChoosers = 16
	sampleOfMany = 2
	sampleOfFew  = 3
)

// Query describes a request that needs a server.
type Query struct {
	Candidates []config.Server
	// Tier returns how far a data centre is: 0 the same, 1 the same region, 2
	// another region.
	Tier     func(dataCentre string) int
	Recovery config.Recovery
	// Prefix is the key of the prompt's prefix, for the cache.
	Prefix string
	// Exclude names servers on which the request has failed.
	Exclude map[string]bool
	// Suspect marks a request that was running on a server as it died.
	Suspect bool
	// Choosers is the number of nodes that choose by the same reports.
	Choosers int
	Now      time.Time
}

// Result tells why a server was or wasn't found.
type Result int

// Found: a server was reserved. Full: those that could serve have no free
// slot. None: there is no server that could serve.
const (
	Found Result = iota
	Full
	None
)

// Table holds the loads of the backend servers.
type Table struct {
	loads *shard.Map[serverName, *load]
}

type serverName string

// New returns a table without reports.
func New() *Table {
	return &Table{loads: shard.New[serverName, *load]()}
}

func (t *Table) load(name string) *load {
	l, _ := t.loads.GetOrPut(serverName(name), func() *load { return &load{name: name, notices: make(map[Source]Notice)} })
	return l
}

// Report takes a server's word about its load. An older report than the last
// one is dropped.
func (t *Table) Report(r Report, now time.Time) {
	t.load(r.Server).take(r, now)
}

// SetDown keeps new work from a server until a time.
func (t *Table) SetDown(name string, till time.Time) {
	l := t.load(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downTill = till
}

// Reserve chooses a server and counts the request there until Release.
func (t *Table) Reserve(q Query) (config.Server, Result) {
	tiers := t.usable(q)
	result := None
	for tier, servers := range tiers {
		if len(servers) == 0 {
			continue
		}
		if tier == farTier && result == Full {
			break
		}
		s, found := t.pick(servers, q)
		if found {
			return s, Found
		}
		result = Full
		if q.Recovery == config.Cost {
			break
		}
	}
	return config.Server{}, result
}

const (
	tierCount = 3
	farTier   = tierCount - 1
)

// Usable tells whether any server may get the request, now or once it has a free
// slot.
func (t *Table) Usable(q Query) bool {
	for _, servers := range t.usable(q) {
		if len(servers) > 0 {
			return true
		}
	}
	return false
}

// Free tells whether any server that may get the request is thought to have a
// free slot.
func (t *Table) Free(q Query) bool {
	for _, servers := range t.usable(q) {
		for _, s := range servers {
			if t.relative(s, q.Now) < 1 {
				return true
			}
		}
	}
	return false
}

// Queues tells whether a server's last report says that requests wait there.
func (t *Table) Queues(name string) bool {
	l := t.load(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report.Waiting > 0
}

// usable sorts the servers that may get new work by their distance.
func (t *Table) usable(q Query) [tierCount][]config.Server {
	var tiers [tierCount][]config.Server
	for _, s := range q.Candidates {
		if q.Exclude[s.Name()] || s.Leaving() || !t.open(s.Name(), q.Now) {
			continue
		}
		tier := q.Tier(s.DataCentre())
		tiers[tier] = append(tiers[tier], s)
	}
	return tiers
}

func (t *Table) open(name string, now time.Time) bool {
	l := t.load(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.isLeaving() && !now.Before(l.downTill)
}

func (t *Table) pick(servers []config.Server, q Query) (config.Server, bool) {
	if q.Suspect {
		return t.pickSuspect(servers, q)
	}
	if s, found := t.pickAffine(servers, q); found {
		return s, true
	}
	return t.pickRandom(servers, q)
}

// pickAffine reserves the server that has the prefix, unless it is overloaded.
func (t *Table) pickAffine(servers []config.Server, q Query) (config.Server, bool) {
	if q.Prefix == "" {
		return config.Server{}, false
	}
	total := 0.0
	for _, s := range servers {
		total += t.relative(s, q.Now)
	}
	limit := total / float64(len(servers)) * affinitySlack
	best := membership.Rank(servers, config.Server.Name, q.Prefix)[0]
	if t.relative(best, q.Now) > limit+affinitySlackCount/float64(best.Slots()) {
		return config.Server{}, false
	}
	return best, t.reserve(best, q.Now, false)
}

// pickRandom reserves the least loaded of a few random servers; if those are full,
// any that is not.
func (t *Table) pickRandom(servers []config.Server, q Query) (config.Server, bool) {
	order := rand.Perm(len(servers))
	few := order[:min(q.sampleSize(), len(order))]
	expected := t.expected(servers, q.Now)
	sort.SliceStable(few, func(a, b int) bool { return expected[few[a]] < expected[few[b]] })
	for _, i := range order {
		if t.reserve(servers[i], q.Now, false) {
			return servers[i], true
		}
	}
	return config.Server{}, false
}

// sampleSize is how many servers a request compares. Many nodes that compare many
// servers by the same reports would all find the same one.
func (q Query) sampleSize() int {
	if q.Choosers > manyChoosers {
		return sampleOfMany
	}
	return sampleOfFew
}

// expected returns the load of each server in parts of its slots. What other nodes
// have there is taken from the last report, and the older that is the more from
// the mean over all servers.
func (t *Table) expected(servers []config.Server, now time.Time) []float64 {
	views := make([]view, len(servers))
	mean := 0.0
	for i, s := range servers {
		views[i] = t.load(s.Name()).view(s.Slots(), now)
		mean += views[i].others / float64(len(servers))
	}
	loads := make([]float64, len(servers))
	for i, v := range views {
		trust := math.Exp(-float64(v.age) / float64(reportTrust))
		loads[i] = v.own + mean + (v.others-mean)*trust
	}
	return loads
}

// pickSuspect keeps requests that may have crashed a server apart, so that the
// next crash tells which one it was.
func (t *Table) pickSuspect(servers []config.Server, q Query) (config.Server, bool) {
	ranked := membership.Rank(servers, config.Server.Name, q.Prefix)
	for _, s := range ranked {
		if t.suspects(s.Name()) == 0 && t.reserve(s, q.Now, true) {
			return s, true
		}
	}
	for _, s := range ranked {
		if t.reserve(s, q.Now, true) {
			return s, true
		}
	}
	return config.Server{}, false
}

func (t *Table) suspects(name string) int {
	l := t.load(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspects
}

func (t *Table) relative(s config.Server, now time.Time) float64 {
	l := t.load(s.Name())
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate(now) / float64(s.Slots())
}

func (t *Table) reserve(s config.Server, now time.Time, suspect bool) bool {
	l := t.load(s.Name())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.estimate(now) >= float64(s.Slots()) {
		return false
	}
	l.own++
	if suspect {
		l.suspects++
	}
	return true
}

// Release ends what Reserve counted.
func (t *Table) Release(name string, suspect bool) {
	l := t.load(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own--
	if suspect {
		l.suspects--
	}
}

// Status is one server's state for operators.
type Status struct {
	Server    string  `json:"server"`
	Own       int     `json:"own"`
	Estimate  float64 `json:"estimate"`
	Running   int     `json:"running"`
	Waiting   int     `json:"waiting"`
	ReportAge float64 `json:"report_age_seconds"`
	Down      bool    `json:"down"`
	Leaving   bool    `json:"leaving"`
}

// Status returns the state of a server.
func (t *Table) Status(name string, now time.Time) Status {
	l := t.load(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	age := -1.0
	if !l.reported.IsZero() {
		age = now.Sub(l.reported).Seconds()
	}
	return Status{
		Server: name, Own: l.own, Estimate: l.estimate(now), Running: l.report.Running, Waiting: l.report.Waiting,
		ReportAge: age, Down: now.Before(l.downTill), Leaving: l.isLeaving(),
	}
}

// Leaving tells whether any source says that a server leaves.
func (t *Table) Leaving(name string) bool {
	l := t.load(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isLeaving()
}
