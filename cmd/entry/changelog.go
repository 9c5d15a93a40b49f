package entry

import (
	"sync"

	"cicadabeam/core/freshness"
)

// maxChanges limits the number of servers, deregistered ones included, whose last change
// is recorded.
const maxChanges = 4096

// changeLog records the store version at which each server last changed, so that other
// nodes are sent only the changes that they do not have yet. It holds the changes of one era
// of the store.
type changeLog struct {
	mu           sync.Mutex
	era          uint64
	versions     map[string]uint64 // by server ID
	completeFrom uint64            // all changes after this version are recorded
	started      bool
}

// start records that all servers are known as of a version. Only the first call in an era
// has an effect.
func (c *changeLog) start(at freshness.StoreVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started || at.Era > c.era {
		c.started, c.era, c.completeFrom, c.versions = true, at.Era, at.Version, nil
	}
}

// add records that a server changed at or before a version. Changes in eras other than that
// of the last start are not recorded.
func (c *changeLog) add(id string, at freshness.StoreVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.started && at.Era != c.era {
		return
	}
	if c.versions == nil {
		c.versions = make(map[string]uint64)
	}
	c.versions[id] = max(c.versions[id], at.Version)
	if len(c.versions) > maxChanges {
		c.evictOlder()
	}
}

// evictOlder removes the changes in the older half of the recorded range of versions.
func (c *changeLog) evictOlder() {
	threshold := c.completeFrom
	for _, v := range c.versions {
		threshold = max(threshold, v)
	}
	threshold = c.completeFrom + (threshold-c.completeFrom)/2
	for id, v := range c.versions {
		if v <= threshold {
			delete(c.versions, id)
		}
	}
	c.completeFrom = threshold
}

// since returns the servers that changed after a version, and whether the list is
// complete.
func (c *changeLog) since(at freshness.StoreVersion) ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started || at.IsZero() || at.Era != c.era || at.Version < c.completeFrom {
		return nil, false
	}
	var ids []string
	for id, v := range c.versions {
		if v > at.Version {
			ids = append(ids, id)
		}
	}
	return ids, true
}
