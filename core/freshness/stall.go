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
func (d *StallDetector) Tick(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectStall(now)
	d.lastTick = now
}

func (d *StallDetector) detectStall(now time.Duration) {
	if gap := now - d.lastTick; d.lastTick != 0 && gap > stallThreshold {
		d.resumedAt, d.stall = now, gap
		d.lastTick = now
	}
}

// RecentStall returns how long a request that is read at uptime now may have waited during a
// stall, or 0 if the process did not stall recently.
func (d *StallDetector) RecentStall(now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectStall(now)
	if d.stall == 0 || now-d.resumedAt > stallReportWindow {
		return 0
	}
	return d.stall
}
