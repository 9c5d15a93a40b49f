package fleet

import "time"

const (
	// firstHandoverRest is how long a server gets no requests after another one answered at its
	// address. The time doubles up to maxHandoverRest while others go on answering there.
	firstHandoverRest = time.Second
	maxHandoverRest   = 32 * time.Second
	// doubtTime is how long other servers are preferred to one whose address is that of an entry
	// with a later start. The entry of a server that crashed is removed by then.
	doubtTime = 3 * time.Second
	// doubtPenalty ranks such a server behind others, and before those that were just unreachable.
	doubtPenalty = 30 * time.Second
)

// handover is the belief that the address of a server belongs to another one. It lasts until
// the server answers there under its own name, for which it gets a request from time to time.
type handover struct {
	believed  bool
	rest      time.Duration
	restUntil time.Time // the server gets no requests until then
}

// confirm records that another server answered at the address. Requests that were sent
// together count once.
func (h *handover) confirm(now time.Time) {
	if h.believed && now.Before(h.restUntil) {
		return
	}
	h.rest = min(max(2*h.rest, firstHandoverRest), maxHandoverRest)
	h.believed, h.restUntil = true, now.Add(h.rest)
}

// refute records that the server answered under its own name.
func (h *handover) refute() { *h = handover{} }

// MarkReplaced records that another server answered at the address to a request that named this
// one.
func (m *Member) MarkReplaced() { m.markReplaced(time.Now()) }

func (m *Member) markReplaced(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.handover.confirm(now)
}

// linkSuccessor records, for servers that share an address, which one started last by their
// entries. The entry of a crashed server remains for some heartbeats after its replacement has
// registered at the same address. An entry may also come from another writer, or have a wrong start
// time, so that only the server at the address tells whose it is.
func (f *Fleet) linkSuccessor(added *Member) {
	for _, m := range f.addresses[added.server.Address] {
		if m.server.StartedMS == 0 || added.server.StartedMS == 0 {
			continue
		}
		if m.server.StartedMS < added.server.StartedMS {
			m.linkSuccessor(added)
		} else {
			added.linkSuccessor(m)
		}
	}
}

func (m *Member) linkSuccessor(successor *Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.successor, m.contested, m.doubtedUntil = successor, true, time.Now().Add(doubtTime)
}

// distantPast is the deregistration time of a server that restarted under its ID.
var distantPast = time.Unix(0, 1)

// end records that the server's entry is now that of another start or place.
func (m *Member) end(next *Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restarted = m.server.Address == next.server.Address && m.server.StartedMS < next.server.StartedMS
	if m.deregisteredAt.IsZero() {
		m.deregisteredAt = distantPast
	}
}

// RecordIdentity records that the server at the address of m named itself id.
func (f *Fleet) RecordIdentity(m *Member, id string, now time.Time) {
	if id == m.ID() {
		m.answered(now)
		return
	}
	if x := f.Find(id); x != nil && x.Address() == m.Address() {
		x.answered(now)
	}
	m.markReplaced(now)
}

func (m *Member) answered(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.answeredLocked(now)
}

// answeredLocked records that the server answered under its own name.
func (m *Member) answeredLocked(now time.Time) {
	m.handover.refute()
	m.answeredAt, m.contested, m.doubtedUntil = now, false, time.Time{}
}

// doubted reports whether the server may have crashed, by an entry with a later start at its
// address.
func (m *Member) doubted(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return now.Before(m.doubtedUntil) && !m.successor.deregistered(now)
}

func (m *Member) lastAnswer() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answeredAt
}

// Contested reports whether the entry of another server, which started later, has the same
// address, and none of the two has answered since.
func (m *Member) Contested(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.contested && !m.supersededLocked(now) && !m.successor.deregistered(now)
}

// Superseded reports whether another server is known to have taken over the address.
func (m *Member) Superseded(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.supersededLocked(now)
}

// supersededLocked reports whether another server has taken over the address: it has answered
// there since this one did. It locks the successor while m is locked; locks are never taken in
// the opposite order.
func (m *Member) supersededLocked(now time.Time) bool {
	if m.restarted || m.handover.believed {
		return true
	}
	return m.successor != nil && !m.successor.deregistered(now) && m.successor.lastAnswer().After(m.answeredAt)
}

// awayLocked reports whether the server gets no requests as another one is known to have taken over
// the address, and it is not yet time to ask for this one again. The other one would get that request.
func (m *Member) awayLocked(now time.Time) bool {
	if m.handover.believed && !m.restarted {
		return now.Before(m.handover.restUntil) || m.successor != nil && !m.successor.deregistered(now) && m.successor.Declines(now)
	}
	return m.supersededLocked(now)
}
