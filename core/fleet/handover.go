package fleet

import "time"

const (
	// firstHandoverRest is how long a server gets no requests after another one answered at its
	// address. The time doubles up to maxHandoverRest while others go on answering there.
	firstHandoverRest = time.Second
	maxHandoverRest   = 32 * time.Second
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

// awayLocked reports whether another server is known to have taken over the address, and it is
// not yet time to ask for this one again.
func (m *Member) awayLocked(now time.Time) bool {
	if m.handover.believed {
		return now.Before(m.handover.restUntil)
	}
	return m.supersededLocked(now)
}
