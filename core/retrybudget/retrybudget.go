// Package retrybudget implements a retry budget. It limits how much work of a service is
// repeated, over all nodes and in any time window, to a ratio of the service's requests
// plus a fixed number.
//
// Nodes exchange reports of their usage. While a node has current reports for all other
// nodes, it may use whatever remains of the common budget. Otherwise it is limited to a
// ratio of its own requests plus its share of the fixed number. Nodes that are lost
// block the common budget for little more than one window, provided that the remaining
// nodes are a majority: lost nodes that are cut off from the others are then a minority
// and keep to their shares.
//
// What other nodes granted since their last reports is unknown. It is bounded in two ways:
// by what this node granted, as they decide by the same rule, and by their requests in
// progress, as only these can be retried. So hundreds of nodes with few requests each leave
// the budget to the nodes whose servers were lost.
//
// # Usage
//
//	b := retrybudget.New(retrybudget.Limit{Ratio: 0.8, Extra: 150, Window: 10 * time.Second})
//	b.Begin(now)                              // for each request, before its first attempt
//	defer b.End()
//	if !b.AllowRetry(now, nodes, 1) { ... }   // before its first retry
//	r, ok := b.Reserve(now, nodes, 2)         // a retry that may be needed
//	r = b.Renew(r, now)                       // it is made, or
//	b.Return(r)                               // it is not
//	b.RecordPeerUsage("node-2", usage, 1, now) // usage reported by another node
//	b.RecordFinalUsage("node-2", usage, now)   // last usage of a node that is stopping
package retrybudget

import (
	"sync"
	"time"
)

// A window is divided into ten buckets. One more is kept because the newest bucket is
// only partly filled.
const (
	bucketsPerWindow = 10
	buckets          = bucketsPerWindow + 1
)

// Shares of the limit for retries granted with and without current reports from the
// other nodes. They add up to less than 1, because one window may contain both.
const (
	coordinatedShare   = 0.75
	uncoordinatedShare = 0.2
)

// arrivalMargin is the factor by which more requests than on average may have begun at
// another node since its last report.
const arrivalMargin = 2

// reportTTL is how long a report of another node is valid. aggregateTTL applies to a
// report on behalf of several nodes, which is forwarded in several steps.
const (
	reportTTL    = time.Second
	aggregateTTL = 3 * time.Second
)

// Limit is the limit for all nodes together: the retries within Window must not exceed
// Ratio times the requests plus Extra.
type Limit struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// Usage is the number of requests and of retries that a node counted within a window, and
// the number of its requests in progress.
type Usage struct {
	Firsts  int
	Repeats int
	Running int
}

type bucket struct {
	index         int64
	usage         Usage
	uncoordinated int // retries granted without current reports from the other nodes
}

// Reservation is a retry that was reserved.
type Reservation struct {
	bucket        int64
	uncoordinated int // 1 without current reports from the other nodes, else 0
}

type report struct {
	usage      Usage
	nodes      int // that the report covers
	at         time.Time
	retries    int64 // Budget.retries when the report arrived; the reporting node knows of these
	validUntil time.Time
}

// Budget counts the requests and retries of one service.
type Budget struct {
	mu           sync.Mutex
	limit        Limit
	start        time.Time // of the first bucket, by the monotonic clock
	buckets      [buckets]bucket
	reports      map[string]report
	retries      int64
	running      int       // requests in progress
	knownNodes   int       // nodes with valid reports at the last count, including this one
	lastDecrease time.Time // when knownNodes last decreased, or the time of the first count
}

// New returns an empty budget.
func New(l Limit) *Budget { return &Budget{limit: l, reports: make(map[string]report)} }

// bucketAt returns the bucket of a time, which is emptied if it was that of an earlier one.
// The time of day is not used, as it may be stepped.
func (b *Budget) bucketAt(now time.Time) *bucket {
	if b.start.IsZero() {
		b.start = now
	}
	i := int64(max(0, now.Sub(b.start)) / (b.limit.Window / bucketsPerWindow))
	c := &b.buckets[i%buckets]
	if c.index != i {
		*c = bucket{index: i}
	}
	return c
}

// Begin counts a request, which is in progress until End.
func (b *Budget) Begin(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucketAt(now).usage.Firsts++
	b.running++
}

// End records the end of a request.
func (b *Budget) End() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running--
}

// Usage returns what this node counted within the window.
func (b *Budget) Usage(now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ownUsage(now)
}

// ownUsage counts requests over at most one window and retries over at least one window,
// so that the division into buckets never allows more than the limit.
func (b *Budget) ownUsage(now time.Time) Usage {
	c := b.bucketAt(now)
	u := Usage{Running: b.running}
	for _, x := range b.buckets {
		if c.index-x.index < bucketsPerWindow {
			u.Firsts += x.usage.Firsts
		}
		if c.index-x.index < buckets {
			u.Repeats += x.usage.Repeats
		}
	}
	return u
}

// RecordPeerUsage records a usage report of another node, or of one that reports on behalf of
// several nodes, as of time at.
func (b *Budget) RecordPeerUsage(from string, u Usage, nodes int, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	validUntil := at.Add(reportTTL)
	if nodes > 1 {
		validUntil = at.Add(aggregateTTL)
	}
	b.reports[from] = report{usage: u, nodes: nodes, at: at, retries: b.retries, validUntil: validUntil}
	b.countNodes(at)
}

// RecordFinalUsage records the last usage report of a node that is stopping. It is valid for a
// whole window: the node grants no more retries after it, or, if it is only cut off, no
// more than its share.
func (b *Budget) RecordFinalUsage(from string, u Usage, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reports[from] = report{usage: u, nodes: 1, at: at, retries: b.retries, validUntil: at.Add(b.limit.Window)}
	b.countNodes(at)
}

// AllowRetry reports whether the limit allows a retry, and counts it if so. nodes is the
// number of nodes that share the limit. retry is 1 for the first retry of a request.
func (b *Budget) AllowRetry(now time.Time, nodes, retry int) bool {
	_, allowed := b.Reserve(now, nodes, retry)
	return allowed
}

// Reserve reserves a retry that may be needed soon. It counts as if it was made, unless it is
// returned. The parameters and the result are those of AllowRetry.
func (b *Budget) Reserve(now time.Time, nodes, retry int) (Reservation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := b.bucketAt(now)
	r := Reservation{bucket: c.index}
	switch {
	case b.coordinated(now, nodes):
		if !b.coordinatedAllows(now, retry) {
			return r, false
		}
	case b.uncoordinatedAllows(now, max(nodes, 1)):
		c.uncoordinated++
		r.uncoordinated = 1
	default:
		return r, false
	}
	c.usage.Repeats++
	b.retries++
	return r, true
}

// Renew counts a reserved retry as of the time when it is made, and returns it with that time.
func (b *Budget) Renew(r Reservation, now time.Time) Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.discount(r)
	c := b.bucketAt(now)
	c.usage.Repeats++
	c.uncoordinated += r.uncoordinated
	r.bucket = c.index
	return r
}

// Return returns a reserved retry that was not made. Other nodes may have granted retries
// since, in ignorance of that, so that the total doesn't decrease.
func (b *Budget) Return(r Reservation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.discount(r)
}

// discount removes a reserved retry from its bucket, unless that has left the window.
func (b *Budget) discount(r Reservation) {
	if c := &b.buckets[r.bucket%buckets]; c.index == r.bucket {
		c.usage.Repeats--
		c.uncoordinated -= r.uncoordinated
	}
}

// countNodes counts the nodes with valid reports and removes expired reports.
func (b *Budget) countNodes(now time.Time) {
	knownNodes := 1
	for name, r := range b.reports {
		if now.After(r.validUntil) {
			delete(b.reports, name)
			continue
		}
		knownNodes += r.nodes
	}
	if knownNodes < b.knownNodes || b.lastDecrease.IsZero() {
		b.lastDecrease = now
	}
	b.knownNodes = knownNodes
}

// coordinated reports whether the usage of all other nodes is known, or that of a
// majority while the others have kept to their shares for a whole window.
func (b *Budget) coordinated(now time.Time, nodes int) bool {
	b.countNodes(now)
	if b.knownNodes >= nodes {
		return true
	}
	return 2*b.knownNodes > nodes && now.Sub(b.lastDecrease) > b.limit.Window+aggregateTTL
}

// uncoordinatedAllows reports whether a retry is within this node's share: the ratio
// applied to its own requests plus its share of the fixed number.
func (b *Budget) uncoordinatedAllows(now time.Time, nodes int) bool {
	uncoordinated := 0
	newest := b.bucketAt(now).index
	for _, x := range b.buckets {
		if newest-x.index < buckets {
			uncoordinated += x.uncoordinated
		}
	}
	return float64(uncoordinated+1) <= uncoordinatedShare*(b.limit.Ratio*float64(b.ownUsage(now).Firsts)+float64(b.limit.Extra)/float64(nodes))
}

// coordinatedAllows reports whether a retry is within the limit of all nodes, including the
// retries that the others may have granted since their last reports.
func (b *Budget) coordinatedAllows(now time.Time, retry int) bool {
	all := b.ownUsage(now)
	unreported := 0.0
	for _, r := range b.reports {
		all.Firsts += r.usage.Firsts
		all.Repeats += r.usage.Repeats
		unreported += r.unreported(b.retries+1, now, retry, b.limit.Window)
	}
	used := float64(all.Repeats+1) + unreported
	return used <= coordinatedShare*(b.limit.Ratio*float64(all.Firsts)+float64(b.limit.Extra))
}

// unreported returns how many retries the reporting nodes may have granted since the report,
// if this node has granted so many in total: each of them as many as this node, the one in
// question included, that they don't know of. A first retry also has the bound of their
// requests in progress. A later one does not, as their requests may be retried more than
// once too, but it needs no more than the first bound: nodes that grant as many as this one have
// counted as many for each other node.
func (r report) unreported(granted int64, now time.Time, retry int, window time.Duration) float64 {
	equal := float64(r.nodes) * float64(granted-r.retries)
	if retry > 1 {
		return equal
	}
	arrivals := float64(r.usage.Firsts) * float64(now.Sub(r.at)) / float64(window)
	return min(equal, float64(r.usage.Running)+arrivalMargin*arrivals)
}
