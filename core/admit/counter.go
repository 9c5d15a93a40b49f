package admit

import (
	"sync"

	"cicadabeam/core/fault"
)

// Counter bounds the requests that an organisation has under way.
type Counter struct {
	mu      sync.Mutex
	running map[string]int
}

// NewCounter returns a counter at zero.
func NewCounter() *Counter { return &Counter{running: make(map[string]int)} }

// Enter counts a request unless the organisation has limit of them under way. The
// caller calls leave when it has ended.
func (c *Counter) Enter(organisation string, limit int) (leave func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[organisation] >= limit {
		return nil, fault.Newf(fault.OrganisationLimit, "admit", "", "the organisation has %d requests under way, its limit on this node", limit)
	}
	c.running[organisation]++
	return func() { c.leave(organisation) }, nil
}

func (c *Counter) leave(organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[organisation]--
	if c.running[organisation] == 0 {
		delete(c.running, organisation)
	}
}

// Total returns the number of requests under way.
func (c *Counter) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, x := range c.running {
		n += x
	}
	return n
}
