package freshness

import (
	"sync"
	"time"
)

// Rise is the first sight of a newer era on this host.
type Rise struct {
	Old  uint64
	New  uint64
	From string // "store", or the peer that reported it
}

// EraInfo is what a host tells its peers about the store's era.
type EraInfo struct {
	Known bool
	Era   uint64
	Risen bool          // the host knows when the era began
	Age   time.Duration // time since then
}

// Eras holds the newest known era of the store and when this host or a peer first saw it.
// The first era that a host sees is no rise.
type Eras struct {
	clock  func() time.Duration
	onRise func(Rise)

	mu      sync.Mutex
	known   bool
	era     uint64
	risen   bool
	risenAt time.Duration
}

// NewEras returns an Eras that has not seen an era. onRise, which may be nil, is called in
// order for each rise; it must neither block nor call the Eras.
func NewEras(clock func() time.Duration, onRise func(Rise)) *Eras {
	return &Eras{clock: clock, onRise: onRise}
}

// Observe records the era of a response of the store. It reports false if the response is
// of an older era.
func (e *Eras) Observe(era uint64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.observe(era, "store", e.clock(), true)
	return era == e.era
}

// Merge records what a peer reported. It reports whether this host had not seen the current
// era rise and learnt when it did.
func (e *Eras) Merge(x EraInfo, from string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !x.Known {
		return false
	}
	at := e.clock() - x.Age
	e.observe(x.Era, from, at, x.Risen)
	if x.Era != e.era || !x.Risen {
		return false
	}
	missed := !e.risen
	if missed || at < e.risenAt {
		e.risen, e.risenAt = true, at
	}
	return missed
}

// observe records an era that began at or before at. began reports whether that is known.
func (e *Eras) observe(era uint64, from string, at time.Duration, began bool) {
	switch {
	case !e.known:
		e.known, e.era = true, era
	case era > e.era:
		if e.onRise != nil {
			e.onRise(Rise{Old: e.era, New: era, From: from})
		}
		e.era, e.risen, e.risenAt = era, true, at
		if !began {
			e.risenAt = e.clock()
		}
	}
}

// Current returns the newest known era, 0 if there is none.
func (e *Eras) Current() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.era
}

// Info returns what to tell peers.
func (e *Eras) Info() EraInfo {
	e.mu.Lock()
	defer e.mu.Unlock()
	x := EraInfo{Known: e.known, Era: e.era, Risen: e.risen}
	if e.risen {
		x.Age = e.clock() - e.risenAt
	}
	return x
}

// RisenAt returns when the current era was first seen, and whether that is known.
func (e *Eras) RisenAt() (time.Duration, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.risenAt, e.risen
}
