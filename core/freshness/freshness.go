// Package freshness holds the newest known catalog and how recently it was confirmed:
// the time at which the query was sent whose response showed that no newer catalog
// exists.
//
// Times are readings of a clock that keeps running while the host is suspended, as a
// duration since an arbitrary origin. The catalog's revision never decreases.
//
// # Usage
//
//	t := freshness.New()
//	t.Update(c, sent)                 // the response contained c as the newest catalog
//	t.Confirm(c.Revision(), sent)     // the response said that c is still the newest
//	age := t.Age(now)
package freshness

import (
	"sync"
	"time"

	"cicadabeam/core/catalog"
)

// AgeUnknown is the age of a catalog that was never confirmed as the newest.
const AgeUnknown = time.Duration(1<<63 - 1)

// Tracker holds the newest known catalog.
type Tracker struct {
	mu          sync.Mutex
	catalog     *catalog.Catalog
	confirmedAt time.Duration
	confirmed   bool
}

// New returns a holder without a catalog.
func New() *Tracker { return &Tracker{} }

// Catalog returns the newest catalog, or nil if there is none yet.
func (h *Tracker) Catalog() *catalog.Catalog {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.catalog
}

// Update stores a catalog that was the newest at some time after sent. It reports whether
// the catalog is newer than the previous one.
func (h *Tracker) Update(c *catalog.Catalog, sent time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalog != nil && c.Revision() < h.catalog.Revision() {
		return false
	}
	newer := h.catalog == nil || c.Revision() > h.catalog.Revision()
	if newer {
		h.catalog = c
	}
	h.confirm(sent)
	return newer
}

// Confirm records that a revision was still the newest at some time after sent. It has
// no effect if the holder has another revision.
func (h *Tracker) Confirm(revision uint64, sent time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalog != nil && h.catalog.Revision() == revision {
		h.confirm(sent)
	}
}

func (h *Tracker) confirm(sent time.Duration) {
	if !h.confirmed || sent > h.confirmedAt {
		h.confirmedAt = sent
		h.confirmed = true
	}
}

// CatalogAndAge returns the catalog and the time since it was last confirmed, or AgeUnknown.
func (h *Tracker) CatalogAndAge(now time.Duration) (*catalog.Catalog, time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.catalog == nil || !h.confirmed {
		return h.catalog, AgeUnknown
	}
	return h.catalog, now - h.confirmedAt
}

// Age returns the time since the catalog was last confirmed, or AgeUnknown.
func (h *Tracker) Age(now time.Duration) time.Duration {
	_, age := h.CatalogAndAge(now)
	return age
}
