// Package balance chooses the backend server for a request. It prefers nearer
// data centres; within a tier it takes the server that has the prompt's prefix
// cached, unless that is overloaded, and otherwise the least loaded of a few
// random servers.
//
// # Usage
//
//	t := balance.New()
//	t.Report(r, now)
//	s, result := t.Reserve(balance.Query{...})
//	defer t.Release(s.Name(), false)
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

// The server with the cached prefix counts as overloaded above the mean
// utilisation times affinityLoadFactor plus affinityExtraRequests requests.
const (
	affinityLoadFactor    = 1.25
	affinityExtraRequests = 1
)

// A request compares largeSample servers, or smallSample if more than manyNodes
// nodes choose servers by the same load reports.
const (
	manyNodes   = 16
	smallSample = 2
	largeSample = 3
)

// Query describes a request that needs a backend server.
type Query struct {
	Candidates []config.Server
	// Tier returns the distance of a data centre: 0 for the node's own, 1 for
	// another one in its region, 2 for one in another region.
	Tier     func(dataCentre string) int
	Recovery config.Recovery
	// Prefix is the key of the prompt's prefix in the servers' caches; "" for none.
	Prefix string
	// Exclude names servers on which the request has failed.
	Exclude map[string]bool
	// Suspect marks a request that was running on a server when the server crashed.
	Suspect bool
	// SelectingNodes is the number of nodes that choose servers by the same load reports.
	SelectingNodes int
	Now            time.Time
}

// Result is the outcome of Table.Reserve.
type Result int

// Values of Result. Reserved: a server was reserved. Full: none of the usable
// servers considered has a free slot. NoServer: there is no usable server.
const (
	Reserved Result = iota
	Full
	NoServer
)

// Table tracks the load of the backend servers.
type Table struct {
	loads *shard.Map[serverName, *serverLoad]
}

type serverName string

// New returns an empty table.
func New() *Table {
	return &Table{loads: shard.New[serverName, *serverLoad]()}
}

func (t *Table) serverLoad(name string) *serverLoad {
	l, _ := t.loads.GetOrPut(serverName(name), func() *serverLoad { return &serverLoad{name: name, notices: make(map[Source]LeaveNotice)} })
	return l
}

// Report records a server's load report. A report older than the last one is
// ignored.
func (t *Table) Report(r Report, now time.Time) {
	t.serverLoad(r.Server).applyReport(r, now)
}

// SetDown excludes a server from new requests until the given time.
func (t *Table) SetDown(name string, until time.Time) {
	l := t.serverLoad(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.downUntil = until
}

// Reserve chooses a server and counts the request as running there until Release.
// It goes to another region only if no nearer server is usable, and with
// config.RecoveryCost it does not go beyond the nearest tier with a usable server.
func (t *Table) Reserve(q Query) (config.Server, Result) {
	tiers := t.usableByTier(q)
	result := NoServer
	for tier, servers := range tiers {
		if len(servers) == 0 {
			continue
		}
		if tier == otherRegionTier && result == Full {
			break
		}
		s, found := t.reserveInTier(servers, q)
		if found {
			return s, Reserved
		}
		result = Full
		if q.Recovery == config.RecoveryCost {
			break
		}
	}
	return config.Server{}, result
}

const (
	tierCount       = 3
	otherRegionTier = tierCount - 1
)

// HasUsable reports whether any server may get the request, now or once it has a
// free slot.
func (t *Table) HasUsable(q Query) bool {
	for _, servers := range t.usableByTier(q) {
		if len(servers) > 0 {
			return true
		}
	}
	return false
}

// HasFreeSlot reports whether any usable server is estimated to have a free slot.
func (t *Table) HasFreeSlot(q Query) bool {
	for _, servers := range t.usableByTier(q) {
		for _, s := range servers {
			if t.utilisation(s, q.Now) < 1 {
				return true
			}
		}
	}
	return false
}

// HasQueue reports whether requests were waiting on a server at its last report.
func (t *Table) HasQueue(name string) bool {
	l := t.serverLoad(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.report.Waiting > 0
}

// usableByTier groups the servers that may get new requests by their tier.
func (t *Table) usableByTier(q Query) [tierCount][]config.Server {
	var tiers [tierCount][]config.Server
	for _, s := range q.Candidates {
		if q.Exclude[s.Name()] || s.Leaving() || !t.acceptsWork(s.Name(), q.Now) {
			continue
		}
		tier := q.Tier(s.DataCentre())
		tiers[tier] = append(tiers[tier], s)
	}
	return tiers
}

func (t *Table) acceptsWork(name string, now time.Time) bool {
	l := t.serverLoad(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.isLeaving() && !now.Before(l.downUntil)
}

func (t *Table) reserveInTier(servers []config.Server, q Query) (config.Server, bool) {
	if q.Suspect {
		return t.reserveSuspect(servers, q)
	}
	if s, found := t.reserveAffine(servers, q); found {
		return s, true
	}
	return t.reserveRandom(servers, q)
}

// reserveAffine reserves the server that is expected to have the prefix cached, which
// is the first in the rendezvous order of the prefix, unless that server is overloaded.
func (t *Table) reserveAffine(servers []config.Server, q Query) (config.Server, bool) {
	if q.Prefix == "" {
		return config.Server{}, false
	}
	total := 0.0
	for _, s := range servers {
		total += t.utilisation(s, q.Now)
	}
	limit := total / float64(len(servers)) * affinityLoadFactor
	best := membership.RendezvousOrder(servers, config.Server.Name, q.Prefix)[0]
	if t.utilisation(best, q.Now) > limit+affinityExtraRequests/float64(best.Slots()) {
		return config.Server{}, false
	}
	return best, t.reserve(best, q.Now, false)
}

// reserveRandom reserves the least loaded server of a random sample. If the whole
// sample is full, it takes any server with a free slot.
func (t *Table) reserveRandom(servers []config.Server, q Query) (config.Server, bool) {
	perm := rand.Perm(len(servers))
	sample := perm[:min(q.sampleSize(), len(perm))]
	expectedLoads := t.expectedLoads(servers, q.Now)
	sort.SliceStable(sample, func(a, b int) bool { return expectedLoads[sample[a]] < expectedLoads[sample[b]] })
	for _, i := range perm {
		if t.reserve(servers[i], q.Now, false) {
			return servers[i], true
		}
	}
	return config.Server{}, false
}

// sampleSize returns how many servers a request compares. If many nodes compare
// large samples by the same load reports, they all choose the same server.
func (q Query) sampleSize() int {
	if q.SelectingNodes > manyNodes {
		return smallSample
	}
	return largeSample
}

// expectedLoads returns the expected utilisation of each server, as a fraction of
// its slots. The load from other nodes is taken from the server's last report; the
// older the report, the more the mean over all servers replaces it.
func (t *Table) expectedLoads(servers []config.Server, now time.Time) []float64 {
	shares := make([]loadShares, len(servers))
	mean := 0.0
	for i, s := range servers {
		shares[i] = t.serverLoad(s.Name()).loadShares(s.Slots(), now)
		mean += shares[i].others / float64(len(servers))
	}
	loads := make([]float64, len(servers))
	for i, v := range shares {
		weight := math.Exp(-float64(v.age) / float64(reportDecayTime))
		loads[i] = v.own + mean + (v.others-mean)*weight
	}
	return loads
}

// reserveSuspect places requests that may have crashed a server on different
// servers if possible, so that the next crash identifies the request that caused it.
func (t *Table) reserveSuspect(servers []config.Server, q Query) (config.Server, bool) {
	ranked := membership.RendezvousOrder(servers, config.Server.Name, q.Prefix)
	for _, s := range ranked {
		if t.suspectCount(s.Name()) == 0 && t.reserve(s, q.Now, true) {
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

func (t *Table) suspectCount(name string) int {
	l := t.serverLoad(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspectCount
}

func (t *Table) utilisation(s config.Server, now time.Time) float64 {
	l := t.serverLoad(s.Name())
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.estimate(now) / float64(s.Slots())
}

func (t *Table) reserve(s config.Server, now time.Time, suspect bool) bool {
	l := t.serverLoad(s.Name())
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.estimate(now) >= float64(s.Slots()) {
		return false
	}
	l.own++
	if suspect {
		l.suspectCount++
	}
	return true
}

// Release frees the slot that Reserve took.
func (t *Table) Release(name string, suspect bool) {
	l := t.serverLoad(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own--
	if suspect {
		l.suspectCount--
	}
}

// Status is the state of one server as shown to operators.
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
	l := t.serverLoad(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	age := -1.0
	if !l.reported.IsZero() {
		age = now.Sub(l.reported).Seconds()
	}
	return Status{
		Server: name, Own: l.own, Estimate: l.estimate(now), Running: l.report.Running, Waiting: l.report.Waiting,
		ReportAge: age, Down: now.Before(l.downUntil), Leaving: l.isLeaving(),
	}
}

// Leaving reports whether any source has announced that a server is leaving.
func (t *Table) Leaving(name string) bool {
	l := t.serverLoad(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isLeaving()
}
