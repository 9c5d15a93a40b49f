package readers

import (
	"sync"
	"time"
)

const (
	// listRate, in servers a second, and listBurst limit the whole lists that a host sends.
	// Hosts that start together all ask the first one that has the list, whose link would
	// carry all of them so slowly that none arrives in time.
	listRate  = 60000
	listBurst = 12000
)

// ListLimit limits the whole lists of servers that a host sends to others. The zero value
// is ready to use.
type ListLimit struct {
	mu   sync.Mutex
	debt float64 // servers sent and not yet worked off
	at   time.Time
}

// Allow reports whether a list of so many servers may be sent now.
func (l *ListLimit) Allow(servers int, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.debt = max(0, l.debt-now.Sub(l.at).Seconds()*listRate)
	l.at = now
	if l.debt >= listBurst {
		return false
	}
	l.debt += float64(servers)
	return true
}
