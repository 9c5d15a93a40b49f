package canary

import (
	"fmt"
	"math"
	"slices"
)

const (
	// badAt is the log likelihood ratio from which a version is bad, with the evidence of any one server
	// left out where others have some: a crash or a server that fails is usual, on either version.
	// aloneRequests is how many requests condemn a version of which only one server got any.
	badAt         = 7.0
	aloneRequests = 8
	// soundAt is the one down to which a version is sound. A third of the requests failing reaches it
	// in 1 of 500 roll-outs; at 14% of usual failures it takes 60 responses.
	soundAt = -3.5
	// againstAt is the one from which a version is not shifted to, though it may be chance.
	againstAt = 4.0
	// enoughBad is the number of bad responses that end a roll-out if the evidence of all windows is at
	// enoughAt: callers tolerate 50, and 10 or so are on their way then.
	enoughBad = 35
	enoughAt  = 1.0
	// recentWindows is for how long evidence that doesn't suffice holds up a shift: until the responses
	// of streams show whether it was chance.
	recentWindows = 6
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
	v.Against = all.recent >= againstAt || all.now > 0
	v.Result, v.Reason = all.result("all routes")
	for _, route := range s.routes() {
		x := s.test(route)
		v.Against = v.Against || x.recent >= againstAt
		if r, reason := x.result("route " + route); r == Bad && v.Result != Bad {
			v.Result, v.Reason = r, reason
		}
	}
	if v.Result != Bad && v.Bad >= enoughBad && all.now > enoughAt {
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

// test is the outcome of sequential tests against several alternatives: log likelihood ratios, without
// the server of which that makes them least.
type test struct {
	requests int
	bad      float64
	servers  int     // that have evidence
	now      float64 // of all windows, for the least alternative
	settled  float64 // the same with all servers, of the windows whose slow responses are known
	// peak is the highest one between any two windows, so that a version that turns bad late is found,
	// and recent that up to one of the last recentWindows.
	peak   float64
	recent float64
}

// condemns reports whether the evidence suffices against the version.
func (x test) condemns() bool {
	return x.peak >= badAt && (x.servers > 1 || x.requests >= aloneRequests)
}

func (x test) result(what string) (Result, string) {
	text := fmt.Sprintf("%s: %.0f of %d requests bad, evidence %.1f on %d servers",
		what, x.bad, x.requests, x.peak, x.servers)
	switch {
	case x.condemns():
		return Bad, text
	case x.settled <= soundAt:
		return Sound, text
	}
	return Undecided, text
}

// test evaluates the requests of a route, or of all if it is empty.
func (s *sample) test(route string) test {
	var x test
	windows := s.windows()
	servers := make(map[string]map[int64]*clump)
	for _, i := range windows {
		for _, c := range s.cells[i] {
			if c.key.Server == "" || route != "" && c.key.Route != route {
				continue
			}
			m := servers[c.key.Server]
			if m == nil {
				m = make(map[int64]*clump)
				servers[c.key.Server] = m
			}
			if m[i] == nil {
				m[i] = &clump{}
			}
			m[i].add(s, c)
			x.requests += c.n
			x.bad += c.bad
		}
	}
	x.servers = len(servers)
	for k := range excesses {
		x.cross(k, windows, servers, s.correlation)
	}
	return x
}

// clump has the requests of a server in a window.
type clump struct{ all, settled outcomes }

// outcomes are a number of requests, how many of them were bad, and how many would usually be.
type outcomes struct{ n, bad, usual float64 }

func (x *clump) add(s *sample, c *cell) {
	if s.skipped[c.window] != "" && s.skipped[c.window] == c.key.DataCentre {
		return
	}
	p := s.usual(c.window, c.key)
	x.all.add(float64(c.n), c.bad, p)
	x.settled.add(float64(c.settledN), c.settledBad, p)
}

func (o *outcomes) add(n, bad, p float64) {
	o.n += n
	o.bad += bad
	o.usual += n * p
}

// weight returns the log likelihood ratio for an alternative. The number of bad responses is
// distributed by the beta-binomial distribution: those of one server and window are correlated, as
// a slow machine or a crash affects several.
func (o outcomes) weight(excess, correlation float64) float64 {
	if o.n == 0 {
		return 0
	}
	p := max(o.usual/o.n, excess/leastPart)
	q := p + excess*(1-p)
	m := (1 - correlation) / correlation
	return o.logLikelihood(q*m, (1-q)*m) - o.logLikelihood(p*m, (1-p)*m)
}

// logLikelihood returns that of the beta-binomial distribution with two parameters, up to a term that
// depends on their sum only.
func (o outcomes) logLikelihood(a, b float64) float64 {
	return logGamma(o.bad+a) - logGamma(a) + logGamma(o.n-o.bad+b) - logGamma(b)
}

func logGamma(x float64) float64 {
	y, _ := math.Lgamma(x)
	return y
}

// cross evaluates an alternative.
func (x *test) cross(k int, windows []int64, servers map[string]map[int64]*clump, correlation float64) {
	var sum, now, most float64
	without := make(map[string]float64) // the sum without a server
	total := make(map[string]float64)
	for _, i := range windows {
		w := 0.0
		byServer := make(map[string]float64)
		for server, m := range servers {
			if c := m[i]; c != nil {
				byServer[server] = c.all.weight(excesses[k], correlation)
				w += byServer[server]
				total[server] += byServer[server]
				if k == 0 {
					x.settled += c.settled.weight(excesses[0], correlation)
				}
			}
		}
		now += w
		sum = max(0, sum+w)
		least := sum
		for server := range servers {
			if len(servers) > 1 {
				without[server] = max(0, without[server]+w-byServer[server])
				least = min(least, without[server])
			}
		}
		x.peak = max(x.peak, least)
		if i > windows[len(windows)-1]-recentWindows {
			x.recent = max(x.recent, least)
		}
	}
	if k > 0 {
		return
	}
	for _, w := range total {
		most = max(most, w)
	}
	x.now = now
	if len(servers) > 1 {
		x.now -= most
	}
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
