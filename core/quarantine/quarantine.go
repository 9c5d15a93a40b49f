// Package quarantine finds requests that crash the backend servers that run
// them, and keeps them from further ones.
//
// A request is suspected for each server that died while running it. At the
// second server it is quarantined, unless servers die that it did not run on:
// then something else kills them.
//
// # Usage
//
//	l := quarantine.New()
//	l.Died(fingerprint, "engine-3", now)
//	if l.Quarantined(fingerprint, now) { ... refuse ... }
package quarantine

import (
	"strconv"
	"sync"
	"time"
)

const (
	deathLimit      = 2
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

type suspicion struct {
	servers map[string]time.Time
	latest  time.Time
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
func (l *List) Died(f Fingerprint, server string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[f]
	if s == nil {
		s = &suspicion{servers: make(map[string]time.Time)}
		l.suspects[f] = s
	}
	if _, known := s.servers[server]; known {
		return now.Before(l.till[f])
	}
	l.deaths[server] = now
	s.servers[server] = now
	s.latest = now
	if len(s.servers) < deathLimit || l.massDeath(s, now) {
		return false
	}
	l.till[f] = now.Add(retention)
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

// Suspicion tells another node which servers died under a request.
type Suspicion struct {
	Fingerprint Fingerprint
	Server      string
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
