package admit

import (
	"sync"

	"cicadabeam/core/fault"
)

// ConcurrencyLimiter limits the number of concurrent requests of each organisation.
type ConcurrencyLimiter struct {
	mu      sync.Mutex
	running map[string]int
}

// NewConcurrencyLimiter returns a limiter without running requests.
func NewConcurrencyLimiter() *ConcurrencyLimiter {
	return &ConcurrencyLimiter{running: make(map[string]int)}
}

// Acquire admits a request unless the organisation already has limit requests
// running. The caller must call release when the request has ended.
func (c *ConcurrencyLimiter) Acquire(organisation string, limit int) (release func(), err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[organisation] >= limit {
		return nil, fault.Newf(fault.OrganisationLimit, "admit", "", "the organisation has reached its limit of %d concurrent requests on this node", limit)
	}
	c.running[organisation]++
	return func() { c.release(organisation) }, nil
}

func (c *ConcurrencyLimiter) release(organisation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[organisation]--
	if c.running[organisation] == 0 {
		delete(c.running, organisation)
	}
}

// Running returns the number of running requests of all organisations.
func (c *ConcurrencyLimiter) Running() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, x := range c.running {
		n += x
	}
	return n
}
