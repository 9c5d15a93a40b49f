package fleet

import (
	"time"

	"cicadabeam/core/placement"
)

// Candidate is a server that may get a request, with its load as far as it is known.
type Candidate struct {
	member    *Member
	work      Work
	own       int
	slots     int
	server    placement.Server
	available bool
}

// Work returns the work of all nodes on the server.
func (c Candidate) Work() Work { return c.work }

// OwnRuns returns how many of the runs are those of this node.
func (c Candidate) OwnRuns() int { return c.own }

// Slots returns the number of runs that the server runs at a time, 0 if it is unknown.
func (c Candidate) Slots() int { return c.slots }

// PrefillTime returns the time in which the server processes a number of prompt tokens.
func (c Candidate) PrefillTime(tokens int) time.Duration { return c.server.PrefillTime(tokens) }

// Available reports whether the server was neither just unreachable nor in an outage.
func (c Candidate) Available() bool { return c.available }

// Policy selects and orders the servers that may get a request, of those in order of cost.
type Policy interface {
	Select(all []Candidate, now time.Time) []Candidate
}

// selected applies the policy of a query to the servers that may get the request.
func (q Query) selected(all []candidate) []candidate {
	if q.Policy == nil {
		return all
	}
	known := make([]Candidate, 0, len(all))
	for _, c := range all {
		known = append(known, c.Server.candidate(q, c.Avoided))
	}
	all = all[:0]
	for _, c := range q.Policy.Select(known, q.Now) {
		all = append(all, candidate{Server: c.member})
	}
	return all
}

func (m *Member) candidate(q Query, avoided bool) Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.stateLocked(q)
	return Candidate{member: m, work: s.Peers.Add(s.Own), own: m.running, slots: s.Slots, server: s, available: !avoided && !q.Now.Before(m.backoffUntil) && !q.Now.Before(m.indirectUntil)}
}

// PeerWorkKnown reports whether the work of all nodes on the servers is known: it was reported of
// late, or this is the only one.
func (f *Fleet) PeerWorkKnown(nodes int, now time.Time) bool {
	return nodes <= 1 || f.peerWorkKnown(now)
}

// urgency is what a request adds to the urgent runs of its server.
func (q Query) urgency() int {
	if q.Urgent {
		return 1
	}
	return 0
}
