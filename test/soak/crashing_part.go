package soak

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// firstSeedWithParts is the first seed with a prompt part that crashes servers.
	firstSeedWithParts = 7000
	// sharedPart is a part of the prompts of sound requests and of those with crashingPart.
	sharedPart   = "5a01:300,"
	crashingPart = "c4a5:200,"
	// maxCrashPause is the longest time between two requests with crashingPart of a caller.
	maxCrashPause = 600 * time.Millisecond
	// crashedTime is how long a server that crashed is away.
	crashedTime = time.Second
	// crashesUntilKnown is the number of crashes after which a part is known to crash servers,
	// contactTime how long it takes the hosts to learn of it, and maxAfterKnown the number of
	// requests with the part that may reach servers after that.
	crashesUntilKnown = 5
	contactTime       = 4 * time.Second
	maxAfterKnown     = 3
	// quietTime is the time without other faults after the last one, and judgedTime the end of
	// it, in which at least minServed of the sound requests are served.
	quietTime  = 8 * time.Second
	judgedTime = 3 * time.Second
	minServed  = 0.75
)

// startPartCallers starts callers of one key whose prompts share a part. Some of their prompts
// hold the part that crashes servers.
func (e *testEnv) startPartCallers(seed uint64, g *sync.WaitGroup, stop <-chan struct{}) {
	key := e.keys[len(e.keys)-1] // never revoked
	for i, parts := range []string{sharedPart, sharedPart, sharedPart + crashingPart, sharedPart + crashingPart} {
		c := newCaller(fmt.Sprintf("p%d", i), seed*1000+uint64(50+i), e.pickHost, func() string { return key }, e.results)
		c.kinds, c.parts = []string{report, once}, parts
		if parts != sharedPart {
			c.maxPause = maxCrashPause
		}
		g.Go(func() { c.run(stop) })
	}
}

func hasCrashingPart(r *http.Request) bool {
	return strings.Contains(r.Header.Get("X-Prefix-Hash"), crashingPart)
}

// crashOnPart closes the server and its link, and starts another one at its address unless a
// fault does. While a fault is active at the address, the link stays as it is.
func (e *testEnv) crashOnPart(s *incarnation, a *serverAddress) {
	from := time.Now()
	e.mu.Lock()
	e.crashes = append(e.crashes, from)
	e.mu.Unlock()
	if s.unframed { // a stream that ends between events would be complete
		s.backend.Reset()
	} else {
		s.backend.Close()
	}
	time.AfterFunc(entryTTL, func() { e.store.Remove("servers", s.id) })
	e.restarts.Go(func() {
		defer func() { e.recordFault(fault{}, from) }()
		if a.link != nil && a.faultMu.TryLock() {
			a.link.Disable()
			time.Sleep(crashedTime)
			e.recordError(a.link.Enable())
		} else {
			time.Sleep(crashedTime)
			a.faultMu.Lock()
		}
		defer a.faultMu.Unlock()
		if a.current == s {
			e.recordError(e.startServer(a, s.service, uint64(from.Sub(e.startTime))))
		}
	})
}

// checkParts checks that requests with the part that crashes servers reach few of them once
// that is known, and that sound ones are served.
func (c *checker) checkParts(arrivals []Arrival) {
	c.env.mu.Lock()
	crashes := c.env.crashes
	c.env.mu.Unlock()
	if len(crashes) < crashesUntilKnown {
		return
	}
	known := crashes[crashesUntilKnown-1].Add(contactTime)
	late := 0
	for _, a := range arrivals {
		x, found := c.results[a.ID]
		if found && a.CrashingPart && a.At.After(known) && !c.env.hostAt(x.Host).disruptedIn(a.At.Add(-contactTime), a.At) {
			late++
		}
	}
	if late > maxAfterKnown {
		c.addViolation("%d requests with the part that crashes servers reached servers %v after the fifth of %d crashes", late, contactTime, len(crashes))
	}
	sound, served := 0, 0
	for _, x := range c.results {
		if x.Parts != sharedPart || x.Sent.Before(c.env.quietEnd.Add(-judgedTime)) || x.Sent.After(c.env.quietEnd) {
			continue
		}
		sound++
		if x.Status == http.StatusOK && !x.Truncated {
			served++
		}
	}
	c.env.logFault("%d crashes, %d requests with the part after that, %d of %d sound ones served", len(crashes), late, served, sound)
	if float64(served) < minServed*float64(sound) {
		c.addViolation("%d of %d sound requests were served beside those with the part that crashes servers", served, sound)
	}
}
