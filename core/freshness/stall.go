package freshness

import (
	"sync"
	"time"
)

const (
	// StallCheckInterval is the interval between calls of Tick.
	StallCheckInterval = 100 * time.Millisecond
	// stallThreshold is the time without a tick after which the process is considered to
	// have stalled. It is long enough to ignore ticks that are late because the host is
	// busy.
	stallThreshold = 500 * time.Millisecond
	// stallReportWindow is how long after a stall requests may still be read that
	// arrived during it.
	stallReportWindow = 200 * time.Millisecond
)

// StallDetector detects that the process was stalled, such as when it was stopped or the host
// was suspended. Requests that are read right afterwards may have waited in the kernel
// for the whole stall.
type StallDetector struct {
	mu        sync.Mutex
	lastTick  time.Duration // uptime of the last tick, 0 before the first one
	resumedAt time.Duration // uptime at the end of the last stall
	stall     time.Duration
}

// Tick records that the process was running at uptime now.
func (p *StallDetector) Tick(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectStall(now)
	p.lastTick = now
}

func (p *StallDetector) detectStall(now time.Duration) {
	if gap := now - p.lastTick; p.lastTick != 0 && gap > stallThreshold {
		p.resumedAt, p.stall = now, gap
		p.lastTick = now
	}
}

// RecentStall returns how long a request that is read at uptime now may have waited during a
// stall, or 0 if the process did not stall recently.
func (p *StallDetector) RecentStall(now time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectStall(now)
	if p.stall == 0 || now-p.resumedAt > stallReportWindow {
		return 0
	}
	return p.stall
}
