package canary

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// slowFactor is how many times the old version's median a slow response takes, on the scale of
	// position: 2.5 times.
	slowFactor = 2.644
	// leastBad is the least share of bad responses that the old version is assumed to have: one more
	// by chance has to weigh little.
	leastBad = 0.02
	// leastPart is how many times larger an alternative is than the share that is assumed beside it at
	// least, so that a bad response weighs no more than 2, and three condemn no version.
	leastPart = 6
	// mostBad keeps evidence finite where nearly all old responses are bad.
	mostBad = 0.98
	// localMedian is the number of responses from which the median of a few seconds is used.
	localMedian = 10
	// shrinkage is the number of requests of all windows that count beside those of a few seconds.
	shrinkage = 4
	// controls is the number of requests to the old version in a few seconds without which the new
	// one's failures can't be compared with those of an outage: the data centre with the most of them
	// is left out.
	controls = 5
	// usualCorrelation is assumed as if it had been seen in correlationPairs.
	usualCorrelation = 0.15
	correlationPairs = 200.0
	leastCorrelation = 0.12
	mostCorrelation  = 0.5
	// outageFailures and outageFactor tell an outage of a data centre: so many failures, and so many
	// times their share elsewhere.
	outageFailures = 3
	outageFactor   = 3
)

// excesses are the alternatives: the share of a bad version's responses that are bad and would not
// have been so. The least one is what callers are to be protected from; larger ones are found sooner
// with an alternative of their own.
var excesses = [...]float64{0.15, 0.4, 0.8}

// cell is what a stratum of a window says of all origins.
type cell struct {
	window     int64
	key        Stratum
	n          int // without cancelled ones
	failed     float64
	slow       float64
	bad        float64
	settledN   int // of origins whose slow responses are known
	settledBad float64
}

// place is a stratum of a window.
type place struct {
	window int64
	key    Stratum
}

// sample has the evidence in the form in which it is tested.
type sample struct {
	cells  map[int64][]*cell
	index  map[place]*cell
	limits map[int64]map[string]limits // beyond which a response is slow, by route
	failed map[string]float64          // share of failures of the old version, by route
	slow   map[string]share            // slow ones of the old version, by route
	// Of the old version by window, with the one before and the one after it:
	finished map[int64]float64            // part of the failures that are known already, by those of all windows
	outage   map[int64]map[string]float64 // share of failures beyond the usual, by data centre
	late     map[int64]map[string]share
	old      map[int64]int
	// skipped is the data centre that doesn't count in a window without controls.
	skipped map[int64]string
	// correlation is that of the responses of one server in one window: a slow machine or a crash
	// affects several.
	correlation float64
}

type share struct{ n, bad float64 }

func (s share) of() float64 {
	if s.n == 0 {
		return 0
	}
	return s.bad / s.n
}

// limits are positions beyond which times are slow.
type limits struct{ first, gap float64 }

func newSample(e *evidence) *sample {
	s := &sample{
		cells:  make(map[int64][]*cell),
		index:  make(map[place]*cell),
		limits: make(map[int64]map[string]limits),
	}
	s.setLimits(e)
	for _, o := range e.origins {
		for i, w := range o.windows {
			for k, c := range w {
				s.cell(i, k).add(c, s.limits[i][k.Route], float64(o.atMS-(i+1)*windowMS))
			}
		}
	}
	s.setUsual()
	s.setCorrelation()
	return s
}

func (s *sample) cell(i int64, k Stratum) *cell {
	at := place{i, k}
	c := s.index[at]
	if c == nil {
		c = &cell{window: i, key: k}
		s.index[at] = c
		s.cells[i] = append(s.cells[i], c)
	}
	return c
}

func (s *sample) windows() []int64 { return slices.Sorted(maps.Keys(s.cells)) }

// around returns a window, the one before and the one after it.
func around(i int64) []int64 { return []int64{i - 1, i, i + 1} }

// setLimits sets what is slow from the old version's medians, in the same seconds where there are
// enough responses and else of all windows. The larger one holds: the whole service may be
// slower for a while.
func (s *sample) setLimits(e *evidence) {
	type histograms struct{ first, gap histogram }
	byWindow := make(map[int64]map[string]*histograms)
	all := make(map[string]*histograms)
	windows := make(map[int64]bool)
	for _, o := range e.origins {
		for i, w := range o.windows {
			windows[i] = true
			for k, c := range w {
				if all[k.Route] == nil {
					all[k.Route] = &histograms{}
				}
				if k.Server != "" {
					continue
				}
				if byWindow[i] == nil {
					byWindow[i] = make(map[string]*histograms)
				}
				h := byWindow[i][k.Route]
				if h == nil {
					h = &histograms{}
					byWindow[i][k.Route] = h
				}
				h.first.add(c.First)
				h.first.pending += c.pending()
				h.gap.add(c.Gap)
			}
		}
	}
	for _, m := range byWindow {
		for route, h := range m {
			all[route].first.merge(&h.first)
			all[route].gap.merge(&h.gap)
		}
	}
	for i := range windows {
		s.limits[i] = make(map[string]limits)
		for route, whole := range all {
			var near histograms
			for _, j := range around(i) {
				if h := byWindow[j][route]; h != nil {
					near.first.merge(&h.first)
					near.gap.merge(&h.gap)
				}
			}
			s.limits[i][route] = limits{slowFrom(&near.first, &whole.first), slowFrom(&near.gap, &whole.gap)}
		}
	}
}

func slowFrom(near, whole *histogram) float64 {
	m := whole.median()
	if near.n+near.pending >= localMedian {
		m = max(m, near.median())
	}
	return m + slowFactor
}

// pending returns the number of requests without an outcome.
func (c Counts) pending() int {
	n := c.Sent - c.Cancelled - c.Lost - c.Untimed
	for _, x := range c.First {
		n -= x
	}
	return max(0, n)
}

// add adds the counts of an origin, as they were some time (in ms) after the end of the window.
func (c *cell) add(x Counts, l limits, after float64) {
	n := max(0, x.Sent-x.Cancelled)
	late, pending := above(x.First, l.first), x.pending()
	settled := pending == 0
	if !math.IsInf(l.first, 1) && after >= float64(duration(l.first))/float64(time.Millisecond) {
		settled = true
		late += float64(pending)
	}
	slow := max(late, above(x.Gap, l.gap))
	bad := min(float64(n), float64(x.Failed)+slow)
	c.n += n
	c.failed += float64(min(n, x.Failed))
	c.slow += slow
	c.bad += bad
	if settled {
		c.settledN += n
		c.settledBad += bad
	}
}

// setUsual sets what is usual for the old version.
func (s *sample) setUsual() {
	routes := make(map[string]share)
	s.slow = make(map[string]share)
	for _, cells := range s.cells {
		for _, c := range cells {
			if c.key.Server != "" {
				continue
			}
			x, y := routes[c.key.Route], s.slow[c.key.Route]
			x.n, x.bad = x.n+float64(c.n), x.bad+c.failed
			y.n, y.bad = y.n+float64(c.n), y.bad+c.slow
			routes[c.key.Route], s.slow[c.key.Route] = x, y
		}
	}
	s.failed = make(map[string]float64)
	for route, x := range routes {
		s.failed[route] = x.of()
	}
	s.finished = make(map[int64]float64)
	s.outage = make(map[int64]map[string]float64)
	s.late = make(map[int64]map[string]share)
	s.old = make(map[int64]int)
	s.skipped = make(map[int64]string)
	for i := range s.cells {
		s.late[i] = make(map[string]share)
		near := s.centres(around(i)...)
		s.finished[i] = finished(near)
		s.outage[i] = make(map[string]float64)
		same := s.centres(i)
		for name, x := range near {
			s.outage[i][name] = max(x.outage(s.finished[i]), same[name].outage(s.finished[i]))
		}
		for _, j := range around(i) {
			for _, c := range s.cells[j] {
				if c.key.Server != "" {
					continue
				}
				s.old[i] += c.n
				x := s.late[i][c.key.Route]
				s.late[i][c.key.Route] = share{x.n + float64(c.n), x.bad + c.slow}
			}
		}
		if s.old[i] < controls {
			s.skipped[i] = s.mostFailed(i)
		}
	}
}

// centre has the requests of a data centre to the old version in some windows.
type centre struct {
	n, failed float64
	usual     float64 // failures, by the shares of the routes
}

// centres returns the requests to the old version in some windows by data centre.
func (s *sample) centres(windows ...int64) map[string]centre {
	all := make(map[string]centre)
	for _, i := range windows {
		for _, c := range s.cells[i] {
			if c.key.Server != "" || c.n == 0 {
				continue
			}
			x := all[c.key.DataCentre]
			x.n += float64(c.n)
			x.failed += c.failed
			x.usual += float64(c.n) * s.failed[c.key.Route]
			all[c.key.DataCentre] = x
		}
	}
	return all
}

// finished returns the part of the usual failures that are known: streams fail as late as they end,
// so that recent windows have few. A data centre with an outage doesn't count.
func finished(all map[string]centre) float64 {
	var sum centre
	worst := ""
	for name, x := range all {
		sum.n, sum.failed, sum.usual = sum.n+x.n, sum.failed+x.failed, sum.usual+x.usual
		if worst == "" || x.failed*all[worst].n > all[worst].failed*x.n {
			worst = name
		}
	}
	x := all[worst]
	if x.failed >= outageFailures && x.failed*(sum.n-x.n) > outageFactor*(sum.failed-x.failed)*x.n {
		sum.failed, sum.usual = sum.failed-x.failed, sum.usual-x.usual
	}
	return (sum.failed + 1) / (sum.usual + 1)
}

// outage returns the share of failures beyond the usual.
func (x centre) outage(finished float64) float64 {
	usual := x.usual * finished
	// One request more that did not fail, so that a single failure is no outage.
	return max(0, (x.failed-usual)/max(1, x.n+1-usual))
}

// setCorrelation estimates how much responses of the old version depend on each other, from how much
// more the bad ones of a data centre and window vary than by chance.
func (s *sample) setCorrelation() {
	type sums struct{ n, bad, usual, variance float64 }
	beyond, pairs := usualCorrelation*correlationPairs, correlationPairs
	for i, cells := range s.cells {
		all := make(map[string]sums)
		for _, c := range cells {
			if c.key.Server != "" {
				continue
			}
			n, p := float64(c.n), s.usual(i, c.key)
			x := all[c.key.DataCentre]
			all[c.key.DataCentre] = sums{x.n + n, x.bad + c.bad, x.usual + n*p, x.variance + n*p*(1-p)}
		}
		for _, x := range all {
			beyond += (x.bad-x.usual)*(x.bad-x.usual) - x.variance
			pairs += (x.n - 1) * x.variance
		}
	}
	s.correlation = min(max(leastCorrelation, beyond/pairs), mostCorrelation)
}

// mostFailed returns the data centre with the most failures of the new version in a window.
func (s *sample) mostFailed(i int64) string {
	failed := make(map[string]float64)
	worst := ""
	for _, c := range s.cells[i] {
		if c.key.Server == "" {
			continue
		}
		failed[c.key.DataCentre] += c.failed
		if f := failed[c.key.DataCentre]; f > 0 && (worst == "" || f > failed[worst]) {
			worst = c.key.DataCentre
		}
	}
	return worst
}

// usual returns the old version's share of bad responses that a stratum is compared with.
func (s *sample) usual(i int64, k Stratum) float64 {
	failed := 1 - (1-min(1, s.failed[k.Route]*s.finished[i]))*(1-s.outage[i][k.DataCentre])
	near, whole := s.late[i][k.Route], s.slow[k.Route].of()
	slow := (near.bad + shrinkage*whole) / (near.n + shrinkage)
	return min(max(leastBad, 1-(1-failed)*(1-slow)), mostBad)
}

// totals returns the requests to the new version by window.
func (s *sample) totals() map[int64]total {
	all := make(map[int64]total)
	for i, cells := range s.cells {
		var x total
		for _, c := range cells {
			if c.key.Server != "" {
				x.exposed += c.n
				x.bad += c.bad
			}
		}
		if x.exposed > 0 {
			all[i] = x
		}
	}
	return all
}

// rate returns the requests a second in the whole windows before one.
func (s *sample) rate(before, windows int64) float64 {
	n := 0
	for i := before - windows; i < before; i++ {
		for _, c := range s.cells[i] {
			n += c.n
		}
	}
	return float64(n) / float64(windows)
}
