// Package quarantine detects requests that crash the backend servers that run
// them, and keeps such requests from further servers.
//
// A server's death is its crash or loss while it ran the request. Every request that
// was running on a server when the server died becomes a suspect. When a second server
// has died while running it, the request is evaluated, after the other nodes have had
// time to report which requests ran on the same servers; see List.Evaluate.
//
// # Usage
//
//	l := quarantine.New()
//	if l.RecordDeath(quarantine.Suspicion{Fingerprint: f, Server: "engine-3", Tokens: 2}, now) {
//		// wait for the other nodes' suspicions, then
//		isCause := l.Evaluate(f, now)
//	}
//	if l.IsQuarantined(f, now) { ... refuse ... }
package quarantine

import (
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// evaluationThreshold is the number of deaths from which a request is evaluated.
	// quarantineThreshold is the number from which it is always quarantined.
	evaluationThreshold = 2
	quarantineThreshold = 3
	// maxEarlyTokens is the largest number of tokens that an attempt may have produced
	// for the death of its server to count as early.
	maxEarlyTokens = 8
	// tokenTolerance is the largest difference in produced tokens between two deaths
	// that count as similar.
	tokenTolerance = 4
	// minCorrelatedDeaths is the number of other servers that must die within
	// correlationWindow of a death for it to count as part of a correlated failure.
	minCorrelatedDeaths = 1
	correlationWindow   = 300 * time.Millisecond
	// outageThreshold is the number of different moments of early deaths from which a request is
	// quarantined although each death was part of a correlated failure.
	outageThreshold = 5
	retention       = 30 * time.Minute
)

// Fingerprint identifies a request by a hash of its organisation and body.
type Fingerprint uint64

// String returns the fingerprint in hex.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Entry is a quarantined request in the form that nodes exchange.
type Entry struct {
	Fingerprint Fingerprint
	Till        int64 // Unix time in milliseconds
}

// Suspicion records that a request was running on a server when the server died.
type Suspicion struct {
	Fingerprint Fingerprint
	Server      string
	Tokens      int // produced on that server
}

// List holds the suspects and the quarantined requests.
type List struct {
	mu               sync.Mutex
	suspects         map[Fingerprint]*suspect
	quarantinedUntil map[Fingerprint]time.Time
	deaths           map[string]time.Time
	threshold        int
}

// New returns an empty list.
func New() *List { return NewWithThreshold(evaluationThreshold) }

// NewWithThreshold returns an empty list that evaluates a request once threshold servers have
// died while running it.
func NewWithThreshold(threshold int) *List {
	return &List{
		threshold:        threshold,
		suspects:         make(map[Fingerprint]*suspect),
		quarantinedUntil: make(map[Fingerprint]time.Time),
		deaths:           make(map[string]time.Time),
	}
}

// RecordDeath records that a server died while running a request. Repeated reports of the
// same death have no effect. RecordDeath reports whether the request must be evaluated.
func (l *List) RecordDeath(x Suspicion, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[x.Fingerprint]
	if s == nil {
		s = &suspect{tokens: make(map[string]int)}
		l.suspects[x.Fingerprint] = s
	}
	if _, known := s.tokens[x.Server]; !known {
		l.deaths[x.Server] = now
		s.add(x.Server, x.Tokens, now)
	}
	return len(s.tokens) >= l.threshold
}

// Evaluate decides whether a request crashes servers, quarantines it if so, and
// reports whether it is quarantined. A request that has reached the threshold of
// the list is the cause if quarantineThreshold servers died while running it, or
// if two of them died after a similar number of tokens. It is also the cause if the
// last server died early, unless that server died at about the same time as another
// one or another request that ran on the same servers is a likelier cause. Deaths
// that were part of a correlated failure are not counted, unless the request was there at
// outageThreshold of them or more.
func (l *List) Evaluate(f Fingerprint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[f]
	if s == nil || !l.isCause(f, l.withoutCorrelated(s)) && l.earlyMoments(s) < outageThreshold {
		return now.Before(l.quarantinedUntil[f])
	}
	l.quarantinedUntil[f] = now.Add(retention)
	return true
}

func (l *List) isCause(f Fingerprint, s *suspect) bool {
	switch {
	case len(s.tokens) < l.threshold:
		return false
	case len(s.tokens) >= quarantineThreshold || s.hasSimilarDeaths():
		return true
	default:
		return s.tokens[s.lastServer] <= maxEarlyTokens && !l.simultaneous(s) && !l.hasLikelierCause(f, s)
	}
}

// simultaneous reports whether the last server died at about the same time as an
// earlier one. The request, which was moved from the earlier server to the last
// one, did not have enough time to crash the latter.
func (l *List) simultaneous(s *suspect) bool {
	for _, server := range s.deathOrder {
		if server != s.lastServer && l.deaths[s.lastServer].Sub(l.deaths[server]) <= correlationWindow {
			return true
		}
	}
	return false
}

// hasLikelierCause reports whether another request ran on all the servers that died
// while running s and is more likely to have crashed them: it has similar deaths, or
// had produced fewer tokens on the last server.
func (l *List) hasLikelierCause(f Fingerprint, s *suspect) bool {
	for g, other := range l.suspects {
		if g != f && other.ranOnAllOf(s) && (other.hasSimilarDeaths() || other.tokens[s.lastServer] < s.tokens[s.lastServer]) {
			return true
		}
	}
	return false
}

// withoutCorrelated returns a copy of the suspect without the deaths that were part
// of a correlated failure.
func (l *List) withoutCorrelated(s *suspect) *suspect {
	c := &suspect{tokens: make(map[string]int)}
	for _, server := range s.deathOrder {
		if !l.isCorrelated(s, server) {
			c.add(server, s.tokens[server], s.lastDeath)
		}
	}
	return c
}

// isCorrelated reports whether the death of a server that ran the request was part
// of a correlated failure: servers that did not run it died at about the same time.
func (l *List) isCorrelated(s *suspect, server string) bool {
	at := l.deaths[server]
	others := 0
	for name, t := range l.deaths {
		if _, ran := s.tokens[name]; ran {
			continue
		}
		if max(t.Sub(at), at.Sub(t)) <= correlationWindow {
			others++
		}
	}
	return others >= minCorrelatedDeaths
}

// earlyMoments returns the number of times, more than correlationWindow apart, at which servers
// died early while running the request.
func (l *List) earlyMoments(s *suspect) int {
	var times []time.Time
	for server, tokens := range s.tokens {
		if tokens <= maxEarlyTokens {
			times = append(times, l.deaths[server])
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	n := 0
	var last time.Time
	for _, t := range times {
		if n == 0 || t.Sub(last) > correlationWindow {
			n++
			last = t
		}
	}
	return n
}

// IsSuspect reports whether any server died while running the request.
func (l *List) IsSuspect(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspects[f] != nil
}

// DeadServers returns the servers that died while running the request.
func (l *List) DeadServers(f Fingerprint) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []string
	if s := l.suspects[f]; s != nil {
		for name := range s.tokens {
			all = append(all, name)
		}
	}
	return all
}

// IsQuarantined reports whether a request must be refused.
func (l *List) IsQuarantined(f Fingerprint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.quarantinedUntil[f])
}

// Entries returns the quarantined requests for exchange with other nodes.
func (l *List) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Entry
	for f, t := range l.quarantinedUntil {
		if now.Before(t) {
			all = append(all, Entry{Fingerprint: f, Till: t.UnixMilli()})
		}
	}
	return all
}

// Merge adds another node's entries and reports whether any was new or extended.
func (l *List) Merge(entries []Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := false
	for _, e := range entries {
		t := time.UnixMilli(e.Till)
		if t.After(l.quarantinedUntil[e.Fingerprint]) {
			l.quarantinedUntil[e.Fingerprint] = t
			changed = true
		}
	}
	return changed
}

// Expire removes entries, suspects and deaths whose retention has ended.
func (l *List) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, t := range l.quarantinedUntil {
		if !now.Before(t) {
			delete(l.quarantinedUntil, f)
		}
	}
	for f, s := range l.suspects {
		if now.Sub(s.lastDeath) > retention {
			delete(l.suspects, f)
		}
	}
	for name, at := range l.deaths {
		if now.Sub(at) > retention {
			delete(l.deaths, name)
		}
	}
}
