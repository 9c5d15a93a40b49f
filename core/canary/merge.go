package canary

import (
	"slices"
	"sync"
)

// evidence has the windows of one order by origin.
type evidence struct {
	orderID uint64
	origins map[string]*origin
}

type origin struct {
	atMS    int64
	windows map[int64]Window
	recent  []int64 // windows of the last report
}

func newEvidence(orderID uint64) *evidence {
	return &evidence{orderID: orderID, origins: make(map[string]*origin)}
}

// merge adds a report of an origin. As no number ever falls, the larger of two is the newer one, and a
// report that comes twice or late changes nothing.
func (e *evidence) merge(name string, r ServiceReport) {
	o := e.origins[name]
	if o == nil {
		o = &origin{windows: make(map[int64]Window)}
		e.origins[name] = o
	}
	combineWindows(o.windows, r.Windows, larger)
	e.removeBefore(e.newest()/windowMS - retentionWindows)
	if r.AtMS >= o.atMS {
		o.atMS, o.recent = r.AtMS, o.recent[:0]
		for i := range r.Windows {
			o.recent = append(o.recent, i)
		}
	}
}

// newest returns the time of the newest report.
func (e *evidence) newest() int64 {
	var at int64
	for _, o := range e.origins {
		at = max(at, o.atMS)
	}
	return at
}

// removeBefore removes older windows than one.
func (e *evidence) removeBefore(i int64) {
	for _, o := range e.origins {
		for j := range o.windows {
			if j < i {
				delete(o.windows, j)
			}
		}
	}
}

// Collector adds up the reports of the hosts of a data centre for other ones. It keeps what hosts
// reported earlier, as a sum without it would be lower. Each host that may become a gateway has
// one. It is safe for concurrent use.
type Collector struct {
	mu       sync.Mutex
	services map[string]*evidence
}

// NewCollector returns an empty Collector.
func NewCollector() *Collector { return &Collector{services: make(map[string]*evidence)} }

// Merge adds the report of a host. Of two orders for a service, the newer one counts.
func (c *Collector) Merge(host string, r Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, x := range r {
		e := c.services[name]
		if e == nil || e.orderID < x.OrderID {
			e = newEvidence(x.OrderID)
			c.services[name] = e
		}
		if e.orderID == x.OrderID {
			e.merge(host, x)
		}
	}
}

// Report returns the sums of the windows that hosts reported last. The hosts' reports of the last
// reportWindows decide how old the sum is.
func (c *Collector) Report() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all Report
	for name, e := range c.services {
		newest := e.newest()
		e.removeBefore(newest/windowMS - retentionWindows)
		var recent []int64
		sum := ServiceReport{OrderID: e.orderID, AtMS: newest, Windows: make(map[int64]Window)}
		for _, o := range e.origins {
			if newest-o.atMS > reportWindows*windowMS {
				continue
			}
			sum.AtMS = min(sum.AtMS, o.atMS)
			recent = append(recent, o.recent...)
		}
		for _, o := range e.origins {
			for i, w := range o.windows {
				if slices.Contains(recent, i) {
					combineWindows(sum.Windows, map[int64]Window{i: w}, plus)
				}
			}
		}
		if all == nil {
			all = make(Report)
		}
		all[name] = sum
	}
	return all
}

// Retain removes the services without an order.
func (c *Collector) Retain(orders map[string]uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, e := range c.services {
		if orders[name] != e.orderID {
			delete(c.services, name)
		}
	}
}

func plus(a, b int) int { return a + b }

func larger(a, b int) int { return max(a, b) }

// combine applies f to each number of two counts.
func (c Counts) combine(x Counts, f func(a, b int) int) Counts {
	return Counts{
		Sent:      f(c.Sent, x.Sent),
		Cancelled: f(c.Cancelled, x.Cancelled),
		Failed:    f(c.Failed, x.Failed),
		Lost:      f(c.Lost, x.Lost),
		Untimed:   f(c.Untimed, x.Untimed),
		First:     combineBuckets(c.First, x.First, f),
		Gap:       combineBuckets(c.Gap, x.Gap, f),
	}
}

func combineBuckets(a, b map[int]int, f func(a, b int) int) map[int]int {
	if len(a)+len(b) == 0 {
		return nil
	}
	m := make(map[int]int, max(len(a), len(b)))
	for k, n := range a {
		m[k] = n
	}
	for k, n := range b {
		m[k] = f(m[k], n)
	}
	return m
}

// combineWindows combines the windows of x with those of all.
func combineWindows(all, x map[int64]Window, f func(a, b int) int) {
	for i, w := range x {
		if all[i] == nil {
			all[i] = make(Window, len(w))
		}
		for k, c := range w {
			all[i][k] = all[i][k].combine(c, f)
		}
	}
}
