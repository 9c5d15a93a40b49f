// Package quarantine finds requests that crash the backend servers that run
// them, and keeps them from further ones.
//
// A request is suspected for each server that died while running it. A second
// death quarantines it if the crash looks reproducible: the attempt died early, or
// after about as many tokens as the one before. A third death always does. When
// several servers die that it did not run on, something else kills them, and the
// deaths don't count.
//
// # Usage
//
//	l := quarantine.New()
//	l.Died(quarantine.Suspicion{Fingerprint: f, Server: "engine-3", Tokens: 2}, now)
//	if l.Quarantined(fingerprint, now) { ... refuse ... }
package quarantine

import (
	"strconv"
	"sync"
	"time"
)

const (
	// deathLimit is the number of deaths that quarantine a request, and
	// reproducedLimit the one for deaths that look alike.
	deathLimit      = 3
	reproducedLimit = 2
	// earlyTokens is the most that an attempt that dies early has produced.
	earlyTokens = 8
	// alikeTokens is by how much deaths that look alike may differ.
	alikeTokens     = 4
	massDeathCount  = 4
	massDeathWindow = 10 * time.Second
	retention       = 30 * time.Minute
)

// Fingerprint names a request by its organisation and body.
type Fingerprint uint64

// String returns the fingerprint in hex.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Entry is a quarantined request as nodes tell each other.
type Entry struct {
	Fingerprint Fingerprint
	Till        int64 // Unix time in milliseconds
}

// Suspicion is a request that ran on a server as it died.
type Suspicion struct {
	Fingerprint Fingerprint
	Server      string
	Tokens      int // produced there
}

type suspicion struct {
	servers map[string]int // tokens produced there
	latest  time.Time
}

// condemned tells whether the deaths so far, of which the last is at a server
// after some tokens, quarantine the request.
func (s *suspicion) condemned(server string, tokens int) bool {
	if len(s.servers) >= deathLimit {
		return true
	}
	return len(s.servers) >= reproducedLimit && (tokens <= earlyTokens || s.alike(server, tokens))
}

func (s *suspicion) alike(server string, tokens int) bool {
	for other, n := range s.servers {
		if other != server && max(n-tokens, tokens-n) <= alikeTokens {
			return true
		}
	}
	return false
}

// List holds the suspicions and the quarantined requests.
type List struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspicion
	till     map[Fingerprint]time.Time
	deaths   map[string]time.Time
}

// New returns an empty list.
func New() *List {
	return &List{
		suspects: make(map[Fingerprint]*suspicion),
		till:     make(map[Fingerprint]time.Time),
		deaths:   make(map[string]time.Time),
	}
}

// Died notes that a server died while running a request, however often it is
// told. It tells whether the request is quarantined.
func (l *List) Died(x Suspicion, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[x.Fingerprint]
	if s == nil {
		s = &suspicion{servers: make(map[string]int)}
		l.suspects[x.Fingerprint] = s
	}
	if _, known := s.servers[x.Server]; known {
		return now.Before(l.till[x.Fingerprint])
	}
	l.deaths[x.Server] = now
	s.servers[x.Server] = x.Tokens
	s.latest = now
	if !s.condemned(x.Server, x.Tokens) || l.massDeath(s, now) {
		return false
	}
	l.till[x.Fingerprint] = now.Add(retention)
	return true
}

// massDeath tells whether so many servers died lately, most of them without
// this request, that it explains nothing.
func (l *List) massDeath(s *suspicion, now time.Time) bool {
	recent := 0
	own := 0
	for name, at := range l.deaths {
		if now.Sub(at) > massDeathWindow {
			continue
		}
		recent++
		if _, ran := s.servers[name]; ran {
			own++
		}
	}
	return recent >= massDeathCount && own*2 <= recent
}

// Survived clears a request that has finished.
func (l *List) Survived(f Fingerprint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.suspects, f)
}

// Suspected tells whether a server died while running the request.
func (l *List) Suspected(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[f]
	return s != nil && len(s.servers) > 0
}

// Servers returns the servers that died while running the request.
func (l *List) Servers(f Fingerprint) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []string
	if s := l.suspects[f]; s != nil {
		for name := range s.servers {
			all = append(all, name)
		}
	}
	return all
}

// Quarantined tells whether a request is to be refused.
func (l *List) Quarantined(f Fingerprint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.till[f])
}

// Entries returns the quarantined requests, for other nodes.
func (l *List) Entries(now time.Time) []Entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Entry
	for f, t := range l.till {
		if now.Before(t) {
			all = append(all, Entry{Fingerprint: f, Till: t.UnixMilli()})
		}
	}
	return all
}

// Merge takes over another node's entries and tells whether any was new.
func (l *List) Merge(entries []Entry) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	fresh := false
	for _, e := range entries {
		t := time.UnixMilli(e.Till)
		if t.After(l.till[e.Fingerprint]) {
			l.till[e.Fingerprint] = t
			fresh = true
		}
	}
	return fresh
}

// Expire forgets what is past its retention.
func (l *List) Expire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for f, t := range l.till {
		if !now.Before(t) {
			delete(l.till, f)
		}
	}
	for f, s := range l.suspects {
		if now.Sub(s.latest) > retention {
			delete(l.suspects, f)
		}
	}
	for name, at := range l.deaths {
		if now.Sub(at) > massDeathWindow {
			delete(l.deaths, name)
		}
	}
}
