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

// New returns a tracker without a catalog.
func New() *Tracker { return &Tracker{} }

// Catalog returns the newest catalog, or nil if there is none yet.
func (t *Tracker) Catalog() *catalog.Catalog {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.catalog
}

// Update stores a catalog that was the newest at some time after sent. It reports whether
// the catalog is newer than the previous one.
func (t *Tracker) Update(c *catalog.Catalog, sent time.Duration) bool {
	newer := t.Install(c)
	t.Confirm(c.Revision(), sent)
	return newer
}

// Install stores a catalog that may not be the newest. It reports whether it is newer than
// the previous one.
func (t *Tracker) Install(c *catalog.Catalog) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.catalog != nil && c.Revision() <= t.catalog.Revision() {
		return false
	}
	t.catalog = c
	return true
}

// Confirm records that a revision was still the newest at some time after sent. It has
// no effect if the tracker has another revision.
func (t *Tracker) Confirm(revision uint64, sent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.catalog != nil && t.catalog.Revision() == revision {
		t.confirm(sent)
	}
}

func (t *Tracker) confirm(sent time.Duration) {
	if !t.confirmed || sent > t.confirmedAt {
		t.confirmedAt = sent
		t.confirmed = true
	}
}

// CatalogAndAge returns the catalog and the time since it was last confirmed, or AgeUnknown.
func (t *Tracker) CatalogAndAge(now time.Duration) (*catalog.Catalog, time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.catalog == nil || !t.confirmed {
		return t.catalog, AgeUnknown
	}
	return t.catalog, now - t.confirmedAt
}

// Age returns the time since the catalog was last confirmed, or AgeUnknown.
func (t *Tracker) Age(now time.Duration) time.Duration {
	_, age := t.CatalogAndAge(now)
	return age
}
