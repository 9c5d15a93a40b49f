package fleet

import "time"

// EndedUnannounced reports whether the server's process has ended although it did not say that
// it leaves: another one has its address, or its registry entry is missing and it has sent
// nothing after since.
func (m *Member) EndedUnannounced(since, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.server.Leaving || m.saidLeaving {
		return false
	}
	return m.supersededLocked(now) || m.deregisteredLocked(now) && !m.lastContact.After(since)
}
