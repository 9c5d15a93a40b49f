package entry

import "sync"

// changesKept bounds the changes of servers that are remembered, those of servers that
// are gone among them.
const changesKept = 4096

// changes remembers at which version of the store each server changed last, so that
// other nodes are told what is new to them only.
type changes struct {
	mu       sync.Mutex
	versions map[string]uint64 // by server
	from     uint64            // all changes after this version are remembered
	started  bool
}

// begin notes that all servers are known as of a version. Only the first one counts.
func (c *changes) begin(version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started {
		c.started, c.from = true, version
	}
}

// add notes that a server changed at a version, or before it.
func (c *changes) add(id string, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.versions == nil {
		c.versions = make(map[string]uint64)
	}
	c.versions[id] = max(c.versions[id], version)
	if len(c.versions) > changesKept {
		c.forget()
	}
}

// forget drops the older half of the changes.
func (c *changes) forget() {
	middle := c.from
	for _, v := range c.versions {
		middle = max(middle, v)
	}
	middle = c.from + (middle-c.from)/2
	for id, v := range c.versions {
		if v <= middle {
			delete(c.versions, id)
		}
	}
	c.from = middle
}

// since returns the servers that changed after a version, or false if not all of
// these are remembered.
func (c *changes) since(version uint64) ([]string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.started || version == 0 || version < c.from {
		return nil, false
	}
	var ids []string
	for id, v := range c.versions {
		if v > version {
			ids = append(ids, id)
		}
	}
	return ids, true
}
