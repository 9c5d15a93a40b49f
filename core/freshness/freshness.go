// Package freshness keeps the newest catalog with the proof of how recent it is: the
// time at which the question was sent whose answer said that no newer one exists.
//
// Times are readings of a clock that goes on while the host is suspended, as a
// length of time since an arbitrary origin. The catalog's revision only rises.
//
// # Usage
//
//	h := freshness.New()
//	h.Prove(c, sent)                  // an answer carried c as the newest
//	h.Confirm(c.Revision(), sent)     // an answer said that c is still the newest
//	age := h.Age(now)
package freshness

import (
	"sync"
	"time"

	"cicadabeam/core/catalog"
)

// Unproven is the age of a catalog that was never proved to be the newest.
const Unproven = time.Duration(1<<63 - 1)

// Holder holds the newest catalog known.
type Holder struct {
	mu      sync.Mutex
	catalog *catalog.Catalog
	proved  time.Duration
	known   bool
}

// New returns a holder without a catalog.
func New() *Holder { return &Holder{} }

// Catalog returns the newest catalog, nil before there is one.
func (h *Holder) Catalog() *catalog.Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog
}

// Prove takes a catalog that was the newest at some time after sent, and tells
// whether it is newer than the one before.
func (h *Holder) Prove(c *catalog.Catalog, sent time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalog != nil && c.Revision() < h.catalog.Revision() {
		return false
	}
	newer := h.catalog == nil || c.Revision() > h.catalog.Revision()
	if newer {
		h.catalog = c
	}
	h.prove(sent)
	return newer
}

// Confirm notes that a revision was still the newest at some time after sent. It
// says nothing if the revision isn't the one held.
func (h *Holder) Confirm(revision uint64, sent time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalog != nil && h.catalog.Revision() == revision {
		h.prove(sent)
	}
}

func (h *Holder) prove(sent time.Duration) {
	if !h.known || sent > h.proved {
		h.proved = sent
		h.known = true
	}
}

// View returns the catalog and the age of its proof.
func (h *Holder) View(now time.Duration) (*catalog.Catalog, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalog == nil || !h.known {
		return h.catalog, Unproven
	}
	return h.catalog, now - h.proved
}

// Age returns the age of the proof.
func (h *Holder) Age(now time.Duration) time.Duration {
	_, age := h.View(now)
	return age
}
