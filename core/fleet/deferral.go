package fleet

import (
	"time"

	"cicadabeam/core/deferral"
)

// Defer records that a server turned a request of this node away and wants no requests for a
// time, and returns for how long it gets none. If another one of its service does too, the service is asked for more than it can
// take: the rest of its servers get no more than this one had, before they refuse in turn.
func (f *Fleet) Defer(m *Member, wait time.Duration, now time.Time) time.Duration {
	running, rest := m.deferFor(wait, now)
	if x := f.Find(m.ID()); x != nil && x != m && x.key() == m.key() { // its address has changed since
		_, rest = x.deferFor(wait, now)
	}
	f.mu.RLock()
	all := f.services[m.Service()]
	f.mu.RUnlock()
	active := 0
	for _, x := range all {
		if x.defers(now) {
			active++
		}
	}
	if wait <= 0 || active < 2 {
		return rest
	}
	for _, x := range all {
		x.restrain(running, wait, now)
	}
	return rest
}

// deferFor returns the number of this node's requests on the server, and how much of the wish
// is believed.
func (m *Member) deferFor(wait time.Duration, now time.Time) (running int, rest time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.running, m.deferral.Defer(wait, m.running, now)
}

func (m *Member) defers(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.deferral.Active(now)
}

func (m *Member) restrain(running int, wait time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deferral.Restrain(wait, max(running, m.running), now)
}

// Declines reports whether the server itself told this node to send it nothing now: it
// leaves, or wants no requests for a time. It gets no probe or query either.
func (m *Member) Declines(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.saidLeaving || m.deferral.Active(now)
}

// Remains reports whether the server stays: it may be used, now or once it takes requests
// again.
func (m *Member) Remains(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.remainsLocked(now)
}

func (m *Member) remainsLocked(now time.Time) bool {
	return !m.server.Leaving && !m.saidLeaving && !now.Before(m.heldUntil) && !m.awayLocked(now) && !m.deregisteredLocked(now)
}

// relief returns when the server may take a request again, and whether it stays and takes
// none now because it turned requests away.
func (m *Member) relief(now time.Time) (at time.Time, remains, holdsBack bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.remainsLocked(now) {
		return time.Time{}, false, false
	}
	if m.deferral.Active(now) {
		return m.deferral.Until(), true, true
	}
	return now, true, m.running >= m.deferral.Limit(now)
}

// Relief returns the earliest time at which a server of a service may take requests again, if all
// that stay have turned requests away, or named limits, and take none now.
// Servers that q does not allow don't count.
func (f *Fleet) Relief(q Query) (earliest time.Time, found bool) {
	now := q.Now
	f.mu.RLock()
	all := f.services[q.Service]
	f.mu.RUnlock()
	for _, m := range all {
		at, remains, holdsBack := m.relief(now)
		if !remains || !m.matches(q) {
			continue
		}
		if limitedUntil, limited := f.limitRelief(m, now); limited {
			holdsBack = true
			if limitedUntil.After(at) {
				at = limitedUntil
			}
		}
		if !holdsBack {
			return time.Time{}, false
		}
		if !found || at.Before(earliest) {
			earliest, found = at, true
		}
	}
	return earliest, found
}

func (m *Member) currentDeferral() deferral.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.deferral
}
