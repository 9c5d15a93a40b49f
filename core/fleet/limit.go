package fleet

import (
	"time"

	"cicadabeam/core/serverlimit"
)

// limitedPenalty ranks servers that have just named a limit behind others.
const limitedPenalty = 500 * time.Millisecond

// NameLimit records that a server named how many requests a second it takes from all nodes. It
// reports whether that is new.
func (f *Fleet) NameLimit(m *Member, perSecond float64, now time.Time) bool {
	return f.limits.Name(m.Incarnation(), perSecond, now)
}

// EndLimit records that a response of a server named no limit. It reports whether one ended.
func (f *Fleet) EndLimit(m *Member, now time.Time) bool {
	return f.limits.Any() && f.limits.End(m.Incarnation(), now)
}

// LimitReport returns the limits of servers and this node's use of them, for other nodes.
func (f *Fleet) LimitReport(now time.Time) serverlimit.Report { return f.limits.Report(now) }

// MergeLimits applies the report of another node, or of some, as of a time. It returns the
// incarnations of servers whose limits are news.
func (f *Fleet) MergeLimits(from string, r serverlimit.Report, nodes int, at time.Time) []string {
	return f.limits.Merge(from, r, nodes, at)
}

// ReserveServer reserves a server for a request if it is usable and takes one more, regardless of
// MaxConnections and of how much it turned away before. It reports whether it did.
func (f *Fleet) ReserveServer(m *Member, q Query) bool {
	q.quota, q.hasQuota = f.quota(m, q)
	return m.Reserve(q) && f.withinLimit(m, q)
}

// AllowQuery reports whether the limit that a server named, if any, allows a query now, and counts
// it if so.
func (f *Fleet) AllowQuery(m *Member, nodes int, now time.Time) bool {
	return !f.limits.Any() || f.limits.Allow(m.Incarnation(), nodes, now)
}

// withinLimit reports whether the limit that a server named allows the request that it was
// reserved for, and releases it if not.
func (f *Fleet) withinLimit(m *Member, q Query) bool {
	if !f.limits.Any() || f.limits.Allow(m.Incarnation(), q.Nodes, q.Now) {
		return true
	}
	m.Release(q, false)
	return false
}

// limitPenalty is added to the cost of a server with a limit. Without a statement of the server
// for some time there is none, so that a request finds out whether the limit holds.
func (f *Fleet) limitPenalty(m *Member, now time.Time) time.Duration {
	if !f.limits.Any() {
		return 0
	}
	if _, current, found := f.limits.Limit(m.Incarnation(), now); found && current {
		return limitedPenalty
	}
	return 0
}

// limitRelief returns when a caller that a server's limit turned away is to come back.
func (f *Fleet) limitRelief(m *Member, now time.Time) (at time.Time, limited bool) {
	if !f.limits.Any() {
		return time.Time{}, false
	}
	if _, _, limited = f.limits.Limit(m.Incarnation(), now); !limited {
		return time.Time{}, false
	}
	return now.Add(f.limits.Wait(m.Incarnation(), now)), true
}
