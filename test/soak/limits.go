package soak

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"sync"
	"time"
)

const (
	// firstSeedWithLimits is the first seed with servers that name limits.
	firstSeedWithLimits = 8000
	// A server with a limit gets no more in limitWindow than limitFactor times what that allows,
	// and limitExtra, from hosts that passed on its limit, from limitKnown after it named it first.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	limitKnown  = 4 * time.Second
	// limitPassed is how long after a host passed on a response with a limit it counts.
	limitPassed = 500 * time.Millisecond
	// maxLimitInterval is the longest time between the starts of two limits.
	maxLimitInterval = 2 * time.Second
)

// injectLimits lets servers name limits until a time, each for some seconds.
func (e *testEnv) injectLimits(seed uint64, until time.Time) {
	r := rand.New(rand.NewPCG(seed, 13))
	var g sync.WaitGroup
	for time.Now().Before(until) {
		s := e.currentServer(r.IntN(len(e.addresses)))
		limit, last := 0.5+r.Float64()*12, time.Duration(6000+r.IntN(6000))*time.Millisecond
		if s != nil && s.notices.limitOnce(limit) {
			e.logFault("a server names a limit of %.1f a second for %v", limit, last)
			e.logFault("  %s at %s", s.id, s.address)
			g.Go(func() {
				time.Sleep(last)
				s.notices.endLimit()
			})
		}
		time.Sleep(time.Duration(r.Float64() * float64(maxLimitInterval)))
	}
	g.Wait()
}

// currentServer returns the server at an address, or nil if a fault has the address.
func (e *testEnv) currentServer(i int) *incarnation {
	a := e.addresses[i]
	if !a.faultMu.TryLock() {
		return nil
	}
	defer a.faultMu.Unlock()
	return a.current
}

// limitOnce sets the limit if the server has named none yet, and reports whether it did.
func (n *notices) limitOnce(limit float64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.limited {
		return false
	}
	n.limited, n.limit = true, limit
	return true
}

func (n *notices) endLimit() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limit = 0
}

func (n *notices) limitField() (limit float64, field string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limit, fmt.Sprintf("Server-Limit: %.2f", n.limit)
}

// checkLimits checks that no server got more than the limit that it named.
func (c *checker) checkLimits(arrivals []Arrival) {
	byServer := make(map[string][]Arrival)
	for _, a := range arrivals {
		if _, found := c.results[a.ID]; found && a.Limit > 0 {
			byServer[a.Server] = append(byServer[a.Server], a)
		}
	}
	for server, all := range byServer {
		sort.Slice(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
		passed := make(map[string]time.Time) // when hosts first passed on a response of the server
		for _, a := range all {
			x := c.results[a.ID]
			if at, known := passed[x.Host]; x.Status == 200 && (!known || x.Finished.Before(at)) {
				passed[x.Host] = x.Finished
			}
		}
		c.limits++
		c.checkLimit(server, all, passed)
	}
}

func (c *checker) checkLimit(server string, all []Arrival, passed map[string]time.Time) {
	known := all[0].At.Add(limitKnown)
	var counted []time.Time
	for _, a := range all {
		host := c.results[a.ID].Host
		at, told := passed[host]
		if !told || a.At.Sub(at) < limitPassed || a.At.Before(known) || c.env.hostAt(host).disruptedIn(at, a.At) {
			continue
		}
		counted = append(counted, a.At)
		for a.At.Sub(counted[0]) >= limitWindow {
			counted = counted[1:]
		}
		if allowed := int(limitFactor*a.Limit*limitWindow.Seconds()) + limitExtra; len(counted) > allowed {
			c.addViolation("%s with a limit of %.1f a second got %d requests in %v from hosts that knew it, allowed %d", server, a.Limit, len(counted), limitWindow, allowed)
			return
		}
	}
}
