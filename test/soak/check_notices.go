package soak

import (
	"sort"
	"time"
)

const (
	// leavingLimit is how long after a host passed on that a server leaves callers' requests may
	// still reach the server from it.
	leavingLimit = 500 * time.Millisecond
	// crossingTime is how long after its refusal a server may get requests that were on their
	// way, and maxCrossing how many it may get after that during its rest.
	crossingTime = 500 * time.Millisecond
	maxCrossing  = 2
)

// path is a way from a host to a server.
type path struct{ host, server string }

// checkNotices checks from what servers saw that they got nothing more from hosts which knew
// that they leave, or want rest.
func (c *checker) checkNotices(arrivals []Arrival) {
	byPath := make(map[path][]Arrival)
	leavingByID := make(map[string]map[string]bool) // servers that said that they leave, by request
	for _, a := range arrivals {
		x, found := c.results[a.ID]
		if !found {
			continue
		}
		byPath[path{x.Host, a.Server}] = append(byPath[path{x.Host, a.Server}], a)
		if a.Leaving {
			if leavingByID[a.ID] == nil {
				leavingByID[a.ID] = make(map[string]bool)
			}
			leavingByID[a.ID][a.Server] = true
		}
	}
	passedOn := make(map[path]time.Time)
	for id, servers := range leavingByID {
		x := c.results[id]
		if !x.ServerLeaving || len(servers) != 1 {
			continue
		}
		for server := range servers {
			p := path{x.Host, server}
			if at, found := passedOn[p]; !found || x.Finished.Before(at) {
				passedOn[p] = x.Finished
			}
		}
	}
	for p, all := range byPath {
		sort.Slice(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
		c.checkLeaving(p, passedOn[p], all)
		c.checkRests(p, all)
	}
}

func (c *checker) checkLeaving(p path, passedOn time.Time, all []Arrival) {
	if passedOn.IsZero() {
		return
	}
	c.leavingPaths++
	h := c.env.hostAt(p.host)
	for _, a := range all {
		if c.isForPredecessor(a) {
			continue
		}
		if late := c.results[a.ID].Sent.Sub(passedOn); late > leavingLimit && !h.disruptedIn(passedOn, a.At) {
			c.addViolation("request %s, sent %v after %s had passed on that %s leaves, reached it: meant for %s, executed %v, %v after the notice", a.ID, late, h.Name(), p.server, a.Expected, a.Executed, a.At.Sub(passedOn))
		}
	}
}

// isForPredecessor reports whether a request was meant for a server that had the address before, and
// was turned away as misdirected. Such a request does not count against the server that leaves.
func (c *checker) isForPredecessor(a Arrival) bool {
	before, found := c.env.addressOf[a.Expected]
	return !a.Executed && a.Wish == 0 && a.Expected != a.Server && found && before == c.env.addressOf[a.Server]
}

func (c *checker) checkRests(p path, all []Arrival) {
	h, link := c.env.hostAt(p.host), c.env.addressOf[p.server]
	for _, refusal := range all {
		if refusal.Wish == 0 {
			continue
		}
		until := refusal.At.Add(refusal.Wish)
		if h.disruptedIn(refusal.At, until) || link.disruptedIn(refusal.At, until) {
			continue
		}
		c.rests++
		crossed := 0
		for _, a := range all {
			if a.At.After(refusal.At.Add(crossingTime)) && a.At.Before(until) {
				crossed++
			}
		}
		if crossed > maxCrossing {
			c.addViolation("%s got %d requests from %s in the %v of rest that it asked for", p.server, crossed, h.Name(), refusal.Wish)
		}
	}
}

func (e *testEnv) hostAt(address string) *host {
	for _, h := range e.hosts {
		if h.CallerAddress() == address {
			return h
		}
	}
	return nil
}

// recordDisruption records that the way to the server was disturbed.
func (a *serverAddress) recordDisruption(from time.Time) {
	a.disruptionMu.Lock()
	defer a.disruptionMu.Unlock()
	a.disruptions = append(a.disruptions, span{from: from, to: time.Now()})
}

// disruptedIn reports whether the way to the server was disturbed within a period, or up to a
// tolerance before, when the responses of that period may have been lost.
func (a *serverAddress) disruptedIn(from, to time.Time) bool {
	a.disruptionMu.Lock()
	defer a.disruptionMu.Unlock()
	for _, s := range a.disruptions {
		if s.from.Before(to) && s.to.Add(tolerance).After(from) {
			return true
		}
	}
	return false
}
