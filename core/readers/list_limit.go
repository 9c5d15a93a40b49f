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
	// configurationRate, in bytes a second, and configurationBurst limit the packed configurations
	// that a host sends: a third of a link of 10 Mbit/s, which also carries requests.
	configurationRate  = 400 << 10
	configurationBurst = 200 << 10
)

// ListLimit limits the whole lists of servers that a host sends to others. The zero value
// is ready to use.
type ListLimit struct{ b leakyBucket }

// Allow reports whether a list of so many servers may be sent now.
func (l *ListLimit) Allow(servers int, now time.Time) bool {
	return l.b.add(float64(servers), listRate, listBurst, now)
}

// ConfigurationLimit limits the configurations that a host sends to others. The zero value is ready
// to use.
type ConfigurationLimit struct{ b leakyBucket }

// Allow reports whether a configuration of so many bytes may be sent now.
func (l *ConfigurationLimit) Allow(bytes int, now time.Time) bool {
	return l.b.add(float64(bytes), configurationRate, configurationBurst, now)
}

// leakyBucket holds what was sent and is not yet worked off.
type leakyBucket struct {
	mu    sync.Mutex
	level float64
	at    time.Time
}

// add adds an amount if the level, which sinks at a rate per second, is below burst.
func (b *leakyBucket) add(amount, rate, burst float64, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.level = max(0, b.level-now.Sub(b.at).Seconds()*rate)
	b.at = now
	if b.level >= burst {
		return false
	}
	b.level += amount
	return true
}
