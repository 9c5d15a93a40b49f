package fleet

import "time"

// Candidate is a server that may get a request, with its load as far as it is known.
type Candidate struct {
	member    *Member
	work      Work
	own       int
	slots     int
	rate      float64
	available bool
}

// Work returns the work of all nodes on the server.
func (c Candidate) Work() Work { return c.work }

// OwnRuns returns how many of the runs are those of this node.
func (c Candidate) OwnRuns() int { return c.own }

// Slots returns the number of runs that the server runs at a time, 0 if it is unknown.
func (c Candidate) Slots() int { return c.slots }

// PrefillTime returns the time in which the server processes a number of prompt tokens.
func (c Candidate) PrefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / c.rate * float64(time.Millisecond))
}

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
		known = append(known, c.member.candidate(q, c.avoided))
	}
	all = all[:0]
	for _, c := range q.Policy.Select(known, q.Now) {
		all = append(all, candidate{member: c.member})
	}
	return all
}

func (m *Member) candidate(q Query, avoided bool) Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Candidate{member: m, work: m.peerWork(q).Plus(m.workLocked()), own: m.running, slots: m.server.Slots, rate: m.knownPrefillRate(), available: !avoided && !q.Now.Before(m.backoffUntil) && !q.Now.Before(m.indirectUntil)}
}

// knownPrefillRate returns the measured rate or the default, in prompt tokens per millisecond.
func (m *Member) knownPrefillRate() float64 {
	if m.prefillRate == 0 {
		return defaultPrefillRate
	}
	return m.prefillRate
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
