package admit

import (
	"sync"

	"cicadabeam/core/fault"
)

// Counter limits the number of concurrent requests of each organisation.
type Counter struct {
	mu      sync.Mutex
	running map[string]int
}

// NewCounter returns a Counter without running requests.
func NewCounter() *Counter { return &Counter{running: make(map[string]int)} }

// Enter admits a request unless the organisation already has limit requests
// running. The caller must call release when the request has ended.
func (c *Counter) Enter(organisation string, limit int) (release func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[organisation] >= limit {
		return nil, fault.Newf(fault.OrganisationLimit, "admit", "", "the organisation has reached its limit of %d concurrent requests on this node", limit)
	}
	c.running[organisation]++
	return func() { c.release(organisation) }, nil
}

func (c *Counter) release(organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[organisation]--
	if c.running[organisation] == 0 {
		delete(c.running, organisation)
	}
}

// Total returns the number of running requests of all organisations.
func (c *Counter) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, x := range c.running {
		n += x
	}
	return n
}
