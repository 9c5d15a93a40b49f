package records

import (
	"sync"
	"time"

	"cicadabeam/core/claim"
	"cicadabeam/core/freshness"
)

// A store that comes back from a copy some seconds old has lost what was written since.
const (
	// MaxCopyAge is the greatest age of a copy. Older writes are in it.
	MaxCopyAge = time.Minute
	// restoreHold is how long after a restore calls are not claimed and configurations are not
	// applied, so that all nodes hear of it and write again what they had written.
	restoreHold = 3 * time.Second
	// maxRecentRows and maxRecentBytes limit the writes that can be repeated.
	maxRecentRows  = 20000
	maxRecentBytes = 32 << 20
)

// Held reports whether writes that depend on what the store may have lost have to wait.
func Held(e *freshness.Eras) bool {
	x := e.Info()
	return x.Risen && x.Age < restoreHold
}

// recentClaim is the last state of a claim that this node wrote.
type recentClaim struct {
	rowKey   string
	row      claim.Row
	value    []byte
	at       time.Time
	era      uint64
	rejected bool // the store did not have the write when it was last asked
}

// recentClaims holds the claims that this node wrote within MaxCopyAge.
type recentClaims struct {
	mu     sync.Mutex
	claims map[string]*recentClaim // by row key
	bytes  int
	oldest time.Time // no claim is older
}

func (c *recentClaims) add(x *recentClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.claims == nil {
		c.claims = make(map[string]*recentClaim)
	}
	if old := c.claims[x.rowKey]; old != nil {
		c.bytes -= len(old.value)
	}
	c.claims[x.rowKey] = x
	c.bytes += len(x.value)
	if len(c.claims) > maxRecentRows || c.bytes > maxRecentBytes || x.at.Sub(c.oldest) > 2*MaxCopyAge {
		c.evict(x.at)
	}
}

// evict removes what is older than MaxCopyAge, and if that is not enough, the older half of
// the rest.
func (c *recentClaims) evict(now time.Time) {
	for age := MaxCopyAge; ; age /= 2 {
		c.oldest = now.Add(-age)
		for key, x := range c.claims {
			if x.at.Before(c.oldest) {
				c.bytes -= len(x.value)
				delete(c.claims, key)
			}
		}
		if len(c.claims) <= maxRecentRows && c.bytes <= maxRecentBytes || age < time.Millisecond {
			return
		}
	}
}

// written records in which era a write took effect.
func (c *recentClaims) written(x *recentClaim, era uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.era, x.rejected = era, false
}

// rewritten records that a claim was written again, unless this node has written another state
// of it since.
func (c *recentClaims) rewritten(x recentClaim, era uint64, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if y := c.claims[x.rowKey]; y != nil && y.row.ID == x.row.ID && y.row.State == x.row.State {
		y.era, y.at = era, now
	}
}

func (c *recentClaims) reject(x *recentClaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	x.rejected = true
}

// found records that the store has a claim. A write whose response was lost is rejected when
// it is repeated although it took effect.
func (c *recentClaims) found(rowKey, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if x := c.claims[rowKey]; x != nil && x.row.ID == id {
		x.rejected = false
	}
}

// before returns the claims that were written in eras before one.
func (c *recentClaims) before(era uint64, now time.Time) []recentClaim {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []recentClaim
	for _, x := range c.claims {
		if x.era < era && !x.rejected && now.Sub(x.at) <= MaxCopyAge {
			all = append(all, *x)
		}
	}
	return all
}
