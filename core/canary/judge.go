package canary

import (
	"fmt"
	"slices"
)

const (
	// badAt is the log likelihood ratio from which a version is bad, with the evidence of the worst
	// server left out where others have some: a crash or a server that fails is usual, on either
	// version. aloneRequests is how many requests condemn a version of which only one server got any.
	badAt         = 5.0
	aloneRequests = 8
	// soundAt is the one down to which a version is sound. A third of the requests failing reaches it
	// in 1 of 500 roll-outs; at 14% of usual failures it takes 60 responses.
	soundAt = -3.5
	// againstAt is the one from which a version is not shifted to: more than one failure by chance.
	againstAt = 2.5
	// enoughBad is the number of bad responses that end a roll-out if they are rather the version's:
	// callers tolerate 50.
	enoughBad = 35
	// rateWindows is the number of windows over which the rate of requests is measured.
	rateWindows = 3
)

// Judge collects the evidence on one order. It is not safe for concurrent use.
type Judge struct {
	evidence   *evidence
	exposed    int // totals of an earlier driver
	bad        int
	oldExposed int // of windows that were removed
	oldBad     float64
	counted    map[int64]total
	condemned  *Verdict
}

// total has the requests to the new version in a window.
type total struct {
	exposed int
	bad     float64
}

// NewJudge returns a Judge of an order. exposed and bad are totals of an earlier driver, whose
// windows this host may not have seen; the judge's own are used once they are higher.
func NewJudge(orderID uint64, exposed, bad int) *Judge {
	return &Judge{evidence: newEvidence(orderID), exposed: exposed, bad: bad, counted: make(map[int64]total)}
}

// Merge adds the report of an origin, a host or a data centre. Reports on other orders are ignored.
func (j *Judge) Merge(origin string, r ServiceReport) {
	if r.OrderID == j.evidence.orderID {
		j.evidence.merge(origin, r)
	}
}

// Verdict evaluates the evidence. Once it was Bad, it stays so.
func (j *Judge) Verdict() Verdict {
	first := j.evidence.newest()/windowMS - retentionWindows
	j.evidence.removeBefore(first)
	s := newSample(j.evidence)
	for i := range j.counted {
		if i < first {
			j.oldExposed += j.counted[i].exposed
			j.oldBad += j.counted[i].bad
			delete(j.counted, i)
		}
	}
	var v Verdict
	exposed, bad := j.oldExposed, j.oldBad
	for i, x := range s.totals() {
		j.counted[i] = x
	}
	for _, x := range j.counted {
		exposed += x.exposed
		bad += x.bad
	}
	v.Exposed, v.Bad = max(exposed, j.exposed), max(int(bad+0.5), j.bad)
	v.Rate = s.rate(j.evidence.newest()/windowMS, rateWindows)
	if j.condemned != nil {
		v.Result, v.Reason, v.Weight, v.Against = Bad, j.condemned.Reason, j.condemned.Weight, true
		return v
	}

	all := s.test("")
	v.Weight = all.now
	v.Against = all.highest() >= againstAt
	v.Result, v.Reason = all.result("all routes")
	for _, route := range s.routes() {
		x := s.test(route)
		v.Against = v.Against || x.highest() >= againstAt
		if r, reason := x.result("route " + route); r == Bad && v.Result != Bad {
			v.Result, v.Reason = r, reason
		}
	}
	if v.Result != Bad && v.Bad >= enoughBad && all.now > 0 {
		v.Result, v.Reason = Bad, fmt.Sprintf("%d bad responses of %d", v.Bad, v.Exposed)
	}
	switch {
	case v.Result == Bad:
		v.Against = true
		j.condemned = &v
	case v.Result == Sound && v.Against:
		v.Result = Undecided
	}
	return v
}

// test is the outcome of a sequential test, as log likelihood ratios.
type test struct {
	requests int
	bad      float64
	servers  int     // that have evidence
	now      float64 // of all windows
	settled  float64 // of the windows whose slow responses are known
	sum      float64 // since the window from which it is highest, so that a version that turns bad late is found
	rest     float64 // the same without the worst server
}

// highest returns the evidence against the version.
func (x test) highest() float64 {
	if x.servers > 1 {
		return min(x.sum, x.rest)
	}
	return x.sum
}

func (x test) result(what string) (Result, string) {
	text := fmt.Sprintf("%s: %.1f of %d requests bad, evidence %.1f", what, x.bad, x.requests, x.highest())
	switch {
	case x.highest() >= badAt && (x.servers > 1 || x.requests >= aloneRequests):
		return Bad, text
	case x.settled <= soundAt:
		return Sound, text
	}
	return Undecided, text
}

// test evaluates the requests of a route, or of all if it is empty.
func (s *sample) test(route string) test {
	var x test
	byServer := make(map[string]map[int64]float64)
	highest := make(map[string]float64)
	windows := s.windows()
	for _, i := range windows {
		for _, c := range s.cells[i] {
			if c.key.Server == "" || route != "" && c.key.Route != route {
				continue
			}
			x.requests += c.n
			x.bad += c.bad
			x.settled += s.weight(i, c.key, c.settledN, c.settledBad)
			w := s.weight(i, c.key, c.n, c.bad)
			x.now += w
			m := byServer[c.key.Server]
			if m == nil {
				m = make(map[int64]float64)
				byServer[c.key.Server] = m
			}
			m[i] += w
			highest[c.key.Server] += w
		}
	}
	x.servers = len(byServer)
	worst := ""
	for server := range byServer {
		if worst == "" || highest[server] > highest[worst] {
			worst = server
		}
	}
	for _, i := range windows {
		w, rest := 0.0, 0.0
		for server, m := range byServer {
			w += m[i]
			if server != worst {
				rest += m[i]
			}
		}
		x.sum, x.rest = max(0, x.sum+w), max(0, x.rest+rest)
	}
	return x
}

// routes returns the routes with requests to the new version.
func (s *sample) routes() []string {
	found := make(map[string]bool)
	for _, cells := range s.cells {
		for _, c := range cells {
			if c.key.Server != "" {
				found[c.key.Route] = true
			}
		}
	}
	var all []string
	for route := range found {
		all = append(all, route)
	}
	slices.Sort(all)
	return all
}
