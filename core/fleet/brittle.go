package fleet

import (
	"time"

	"cicadabeam/core/slotshare"
)

// engineMemoryUse is the part of the KV cache of a brittle engine that runs may need.
const engineMemoryUse = 0.9

// rejectionWindow is how long after a brittle server turned a request away its end is no evidence
// against the requests that it ran.
const rejectionWindow = 3 * time.Second

// NameBrittle records that a server said in a response that it ends if it has to turn too many
// requests away. It reports whether that is new for its service.
func (f *Fleet) NameBrittle(m *Member, now time.Time) bool { return f.slots.Name(m.Service(), now) }

// EndBrittle records that a response of a server did not say so. It reports whether the servers of
// its service were brittle until then.
func (f *Fleet) EndBrittle(m *Member, now time.Time) bool { return f.slots.End(m.Service(), now) }

// Brittle reports whether the servers of a service are brittle.
func (f *Fleet) Brittle(service string, now time.Time) bool { return f.slots.Brittle(service, now) }

// RecordRequest counts a request for a service.
func (f *Fleet) RecordRequest(service string, now time.Time) { f.slots.RecordRequest(service, now) }

// BrittleReport returns what this node knows of brittle servers, for other nodes.
func (f *Fleet) BrittleReport(now time.Time) slotshare.Report { return f.slots.Report(now) }

// MergeBrittle applies the report of another node, or of some, and returns the services of which it
// is news.
func (f *Fleet) MergeBrittle(from string, r slotshare.Report, nodes int, at time.Time) []string {
	return f.slots.Merge(from, r, nodes, at)
}

// quota returns how many requests this node may have at a time on a server, and whether there is a
// bound.
func (f *Fleet) quota(m *Member, q Query) (int, bool) {
	if !f.slots.Brittle(m.Service(), q.Now) {
		return 0, false
	}
	slots := m.slots()
	if q.Capacity > 0 && q.Memory > 0 {
		slots = min(slots, int(engineMemoryUse*float64(q.Capacity)/float64(q.Memory)))
	}
	return f.slots.Quota(m.Service(), m.ID(), slots, q.Nodes, q.Now), true
}

// reserve reserves a server for a request if its part of a brittle server allows one more.
func (f *Fleet) reserve(m *Member, q Query) bool {
	q.quota, q.hasQuota = f.quota(m, q)
	return m.reserve(q)
}

func (m *Member) slots() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.server.Slots
}

// RecordRejection records that the server turned a request away.
func (m *Member) RecordRejection(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rejectedAt = now
}

// RejectedBefore reports whether the server turned a request away shortly before a time.
func (m *Member) RejectedBefore(at time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.rejectedAt.IsZero() && at.Sub(m.rejectedAt) < rejectionWindow
}
