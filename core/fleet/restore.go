package fleet

import "time"

// HoldDeparted is called when the registry came back from an older copy. Leaving servers
// stay leaving even if their entries no longer say so. A server that was deregistered and
// whose entry reappears gets no requests until a time. A server that was about to be
// deregistered has time again to register.
func (f *Fleet) HoldDeparted(now, until time.Time) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	for _, m := range f.members {
		m.holdDeparted(now, until)
	}
}

func (m *Member) holdDeparted(now, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.leftBefore = m.leftBefore || m.server.Leaving
	if m.deregisteredLocked(now) || now.Before(m.heldUntil) {
		m.heldUntil = until
	} else {
		m.deregisteredAt = time.Time{}
	}
}
