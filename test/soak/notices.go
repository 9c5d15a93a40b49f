package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cicadabeam/test/standin/backend"
)

// maxNoticeInterval is the longest time between the starts of two of the faults below.
const maxNoticeInterval = 1500 * time.Millisecond

// noticeFaults are servers that say in their responses that they leave, or for how long they
// want no requests. They are drawn apart from the others, so that seeds keep their meaning.
var noticeFaults = []fault{
	{"a server says that it leaves", onServerWithNotice(sayLeaving)},
	{"a server asks for rest", onServerWithNotice(func(_ *testEnv, a *serverAddress, r *rand.Rand) {
		a.current.notices.refuse(0.3 + 0.7*r.Float64())
		randomPause(r, 300, 3000)
		a.current.notices.refuse(0)
	})},
	{"all servers of a service ask for rest", func(e *testEnv, r *rand.Rand) {
		var g sync.WaitGroup
		service := []string{"orders", "llm"}[r.IntN(2)]
		wait := time.Duration(200+r.IntN(1000)) * time.Millisecond
		for _, a := range e.addresses {
			if !a.faultMu.TryLock() {
				continue
			}
			if a.current.service != service {
				a.faultMu.Unlock()
				continue
			}
			s := a.current
			s.notices.refuse(1)
			g.Go(func() {
				defer a.faultMu.Unlock()
				time.Sleep(wait)
				s.notices.refuse(0)
			})
		}
		g.Wait()
	}},
}

// onServerWithNotice returns a fault of a random server that leaves its link alone.
func onServerWithNotice(inject func(e *testEnv, a *serverAddress, r *rand.Rand)) func(e *testEnv, r *rand.Rand) {
	return func(e *testEnv, r *rand.Rand) {
		a := e.addresses[r.IntN(len(e.addresses))]
		if !a.faultMu.TryLock() {
			return
		}
		defer a.faultMu.Unlock()
		e.logFault("  %s at %s", a.current.id, a.current.address)
		inject(e, a, r)
	}
}

// sayLeaving makes a server say that it leaves while the registry says that it is ready, then
// replaces it at its address.
func sayLeaving(e *testEnv, a *serverAddress, r *rand.Rand) {
	old := a.current
	old.notices.leave()
	randomPause(r, 1000, 4000)
	if r.IntN(2) == 0 {
		e.store.Put("servers", old.id, old.registryEntry("draining"))
		randomPause(r, 500, 2000)
	}
	old.backend.Close()
	e.store.Remove("servers", old.id)
	time.Sleep(addressReuseDelay)
	e.recordError(e.startServer(a, old.service, r.Uint64()))
}

// injectNotices starts random faults of noticeFaults until a time, and waits for all of them
// to end.
func (e *testEnv) injectNotices(seed uint64, until time.Time) {
	random := rand.New(rand.NewPCG(seed, 11))
	var g sync.WaitGroup
	for time.Now().Before(until) {
		f := noticeFaults[random.IntN(len(noticeFaults))]
		r := rand.New(rand.NewPCG(random.Uint64(), 5))
		e.logFault("%s", f.name)
		g.Go(func() {
			from := time.Now()
			f.inject(e, r)
			e.recordFault(f, from)
		})
		time.Sleep(time.Duration(random.Float64() * float64(maxNoticeInterval)))
	}
	g.Wait()
}

// notices is what a server says in its responses.
type notices struct {
	mu      sync.Mutex
	leaving bool
	refused float64 // the fraction of requests that are refused with a wish for rest
	limit   float64 // requests a second that the server takes, 0 if it names no limit
	limited bool    // it names one or has named one
}

func (n *notices) leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

func (n *notices) refuse(fraction float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused = fraction
}

func (n *notices) current() (leaving bool, refused float64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaving, n.refused
}

// handleWithNotices is handle of a server that may say that it leaves or ask for rest.
func (s *incarnation) handleWithNotices(c *backend.Conn, r *http.Request, body []byte) bool {
	leaving, refused := s.notices.current()
	step := backend.Step(s.handle)
	if s.isRequest(r) && refused > 0 && s.randomFloat() < refused {
		a := s.newArrival(r)
		a.Wish = time.Duration(300+s.randomFloat()*3700) * time.Millisecond
		s.arrivals.add(a)
		step = backend.Refuse(fmt.Sprintf("%.3f", a.Wish.Seconds()))
	}
	if leaving {
		step = backend.Leaving(step)
	}
	if limit, field := s.notices.limitField(); limit > 0 {
		step = backend.WithHeader(field, step)
	}
	return step(c, r, body)
}

// isRequest reports whether a caller's request has reached the server that it was meant for.
func (s *incarnation) isRequest(r *http.Request) bool {
	return r.Header.Get("X-Request-Id") != "" && r.Header.Get("X-Expect-Instance") == s.id
}

// Suspend suspends the host and records it.
func (h *host) Suspend() {
	h.recordDisruption()
	h.Host.Suspend()
}

// Resume resumes the host and records it.
func (h *host) Resume() {
	h.Host.Resume()
	h.recordDisruption()
}

func (h *host) recordDisruption() {
	h.disruptionMu.Lock()
	defer h.disruptionMu.Unlock()
	h.disruptions = append(h.disruptions, time.Now())
}

// disruptedIn reports whether the host was started, suspended or resumed within a period.
func (h *host) disruptedIn(from, to time.Time) bool {
	h.disruptionMu.Lock()
	defer h.disruptionMu.Unlock()
	for _, at := range h.disruptions {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}
