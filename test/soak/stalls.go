package soak

import (
	"sync"
	"time"
)

const stallCheckInterval = 10 * time.Millisecond

// stallMeter records when this process, in which the callers, the links and the servers run,
// got no processor time.
type stallMeter struct {
	mu     sync.Mutex
	stalls []span
}

// run measures until stop is closed.
func (m *stallMeter) run(stop <-chan struct{}) {
	for {
		due := time.Now().Add(stallCheckInterval)
		select {
		case <-stop:
			return
		case <-time.After(stallCheckInterval):
		}
		if now := time.Now(); now.Sub(due) > stallCheckInterval {
			m.record(span{from: due, to: now})
		}
	}
}

func (m *stallMeter) record(s span) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stalls = append(m.stalls, s)
}

// within returns for how long of a period the process was stalled.
func (m *stallMeter) within(from, to time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := time.Duration(0)
	for _, s := range m.stalls {
		if s.from.Before(from) {
			s.from = from
		}
		if s.to.After(to) {
			s.to = to
		}
		total += max(0, s.to.Sub(s.from))
	}
	return total
}
