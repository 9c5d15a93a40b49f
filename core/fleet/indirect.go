package fleet

import "time"

const (
	// indirectTime is how long other servers are preferred to one that this node could only reach
	// through another node.
	indirectTime = 2 * time.Second
	// indirectPenalty ranks such a server behind others, and before those that nobody reaches.
	indirectPenalty = 30 * time.Second
)

// RecordIndirect records that this node could reach the servers at an address only through another
// node.
func (f *Fleet) RecordIndirect(address string, now time.Time) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, m := range f.addresses[address] {
		m.setIndirect(now.Add(indirectTime))
	}
}

// Indirect reports whether this node could lately reach an address only through another node.
func (f *Fleet) Indirect(address string, now time.Time) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, m := range f.addresses[address] {
		if m.indirect(now) {
			return true
		}
	}
	return false
}

func (m *Member) setIndirect(until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.indirectUntil = until
}

func (m *Member) indirect(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.indirectUntil)
}
