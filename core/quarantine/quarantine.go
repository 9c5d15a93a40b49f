// Package quarantine finds requests that crash the backend servers that run
// them, and keeps them from further ones.
//
// Every request that ran on a server as it died is suspected. One that has been
// there twice is evaluated, once the other nodes have had time to tell what ran on
// the same servers: see List.Evaluate.
//
// # Usage
//
//	l := quarantine.New()
//	if l.Died(quarantine.Suspicion{Fingerprint: f, Server: "engine-3", Tokens: 2}, now) {
//		// wait for the other nodes' suspicions, then
//		isCause := l.Evaluate(f, now)
//	}
//	if l.Quarantined(f, now) { ... refuse ... }
package quarantine

import (
	"strconv"
	"sync"
	"time"
)

const (
	// evaluateAt is the number of deaths from which on a request is evaluated, and
	// deathLimit the one that condemns in any case.
	evaluateAt = 2
	deathLimit = 3
	// earlyTokens is the most that an attempt that dies early has produced.
	earlyTokens = 8
	// alikeTokens is by how much deaths that look alike may differ.
	alikeTokens = 4
	// massDeathOthers is the number of other servers whose death within
	// massDeathWindow makes a death part of a mass death.
	massDeathOthers = 1
	massDeathWindow = 300 * time.Millisecond
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

// List holds the suspicions and the quarantined requests.
type List struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	till     map[Fingerprint]time.Time
	deaths   map[string]time.Time
	least    int
}

// New returns an empty list.
func New() *List { return NewAt(evaluateAt) }

// NewAt returns an empty list that evaluates a request from its least-th death on.
func NewAt(least int) *List {
	return &List{
		least:    least,
		suspects: make(map[Fingerprint]*suspect),
		till:     make(map[Fingerprint]time.Time),
		deaths:   make(map[string]time.Time),
	}
}

// Died notes that a server died while running a request, however often it is
// told. It tells whether the request is to be evaluated.
func (l *List) Died(x Suspicion, now time.Time) bool {
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
	return len(s.tokens) >= l.least
}

// Evaluate decides whether a request crashes servers, and quarantines it if so. It
// does if a third server has died under it, or a second one after about as many
// tokens as the first. It does too if the second one died early, unless both died
// at once or another request was on both and explains their deaths better. Deaths
// that were part of a mass death don't count.
func (l *List) Evaluate(f Fingerprint, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[f]
	if s == nil || !l.isCause(f, l.counted(s)) {
		return now.Before(l.till[f])
	}
	l.till[f] = now.Add(retention)
	return true
}

func (l *List) isCause(f Fingerprint, s *suspect) bool {
	switch {
	case len(s.tokens) < l.least:
		return false
	case len(s.tokens) >= deathLimit || s.alike():
		return true
	default:
		return s.tokens[s.last] <= earlyTokens && !l.atOnce(s) && !l.explained(f, s)
	}
}

// atOnce tells whether the last server died at about the same time as another: a
// request that was sent on from the one to the other had no time to crash it.
func (l *List) atOnce(s *suspect) bool {
	for _, server := range s.order {
		if server != s.last && l.deaths[s.last].Sub(l.deaths[server]) <= massDeathWindow {
			return true
		}
	}
	return false
}

// explained tells whether another request was on all the servers that died under
// s, and looks more like their cause.
func (l *List) explained(f Fingerprint, s *suspect) bool {
	for g, other := range l.suspects {
		if g != f && other.covers(s) && (other.alike() || other.tokens[s.last] < s.tokens[s.last]) {
			return true
		}
	}
	return false
}

// counted returns the suspect with only those deaths that it may have caused.
func (l *List) counted(s *suspect) *suspect {
	c := &suspect{tokens: make(map[string]int)}
	for _, server := range s.order {
		if !l.massDeath(s, server) {
			c.add(server, s.tokens[server], s.latest)
		}
	}
	return c
}

// massDeath tells whether servers on which the request did not run died at about
// the same time as one on which it did.
func (l *List) massDeath(s *suspect, server string) bool {
	at := l.deaths[server]
	others := 0
	for name, t := range l.deaths {
		if _, ran := s.tokens[name]; ran {
			continue
		}
		if max(t.Sub(at), at.Sub(t)) <= massDeathWindow {
			others++
		}
	}
	return others >= massDeathOthers
}

// Suspected tells whether a server died while running the request.
func (l *List) Suspected(f Fingerprint) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.suspects[f] != nil
}

// Servers returns the servers that died while running the request.
func (l *List) Servers(f Fingerprint) []string {
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
		if now.Sub(at) > retention {
			delete(l.deaths, name)
		}
	}
}
