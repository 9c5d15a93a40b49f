package freshness

import (
	"sync"
	"time"
)

const (
	// PulsePeriod is how often a process that runs beats.
	PulsePeriod = 100 * time.Millisecond
	// pulseMissed is after how long without a beat the process is taken to have stood
	// still: late beats of a busy host are not meant.
	pulseMissed = 500 * time.Millisecond
	// pulseAfter is how long after a standstill requests are read that came meanwhile.
	pulseAfter = 200 * time.Millisecond
)

// Pulse finds out how long the process has just stood still. Requests that are read
// right afterwards may have waited in the kernel all that time.
type Pulse struct {
	mu    sync.Mutex
	last  time.Duration // uptime of the last beat, 0 before there is one
	woke  time.Duration // uptime at which it went on
	stood time.Duration
}

// Beat notes that the process runs at an uptime.
func (p *Pulse) Beat(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.look(now)
	p.last = now
}

func (p *Pulse) look(now time.Duration) {
	if gap := now - p.last; p.last != 0 && gap > pulseMissed {
		p.woke, p.stood = now, gap
		p.last = now
	}
}

// Stood returns how long a request that is read at an uptime may have waited while the
// process stood still, 0 if it runs.
func (p *Pulse) Stood(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.look(now)
	if p.stood == 0 || now-p.woke > pulseAfter {
		return 0
	}
	return p.stood
}
