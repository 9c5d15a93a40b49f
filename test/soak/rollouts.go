package soak

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"cicadabeam/test/cluster"
)

const (
	// Seeds from firstSeedWithRollouts to before lastSeedWithRollouts have a roll-out.
	firstSeedWithRollouts = 6000
	lastSeedWithRollouts  = 7000
	rolloutVersion        = "v2"
	rolloutServers        = 3
	// rolloutTransit is how long after a roll-out has ended a request may arrive that was sent before, and
	// disruptedTime how long after a host was started, suspended or resumed it may not know the end yet.
	rolloutTransit = 500 * time.Millisecond
	disruptedTime  = 2 * time.Second
	// rolloutEndTimeout is the time after the last fault in which the roll-out ends.
	rolloutEndTimeout = 15 * time.Second
)

func hasRollout(seed uint64) bool {
	return seed >= firstSeedWithRollouts && seed < lastSeedWithRollouts
}

// startRollout starts servers of a new version and orders to use them.
func (e *testEnv) startRollout(d time.Duration) {
	for i := range rolloutServers {
		e.recordError(e.addServerOf("orders", rolloutVersion, e.seed*100+50+uint64(i)))
	}
	e.store.Put("op", "rollout/orders", fmt.Appendf(nil, `{"Service":"orders","To":%q,"DurationS":%v}`, rolloutVersion, d.Seconds()))
}

// awaitRollout waits until the operator reads that the roll-out has ended.
func (e *testEnv) awaitRollout(timeout time.Duration) {
	cluster.Await(timeout, func() bool {
		value := e.store.Value("status", "rollout/orders")
		for _, state := range []string{"completed", "rolled_back"} {
			if bytes.Contains(value, []byte(state)) {
				e.rolloutState, e.rolloutEnd = state, time.Now()
			}
		}
		return e.rolloutState != ""
	})
}

// checkRollout checks that no request reached a version that was left after the end of the roll-out.
func (c *checker) checkRollout(arrivals []Arrival) {
	e := c.env
	if !hasRollout(e.seed) {
		return
	}
	if e.rolloutState == "" {
		c.addViolation("the roll-out has not ended; the operator reads %s", e.store.Value("status", "rollout/orders"))
		return
	}
	late := 0
	for _, a := range arrivals {
		if a.Service != "orders" {
			continue
		}
		isNew := e.addressOf[a.Server].version == rolloutVersion
		if isNew == (e.rolloutState == "rolled_back") && a.At.After(e.rolloutEnd.Add(rolloutTransit)) && !e.disruptedBefore(a.At) {
			late++
		}
	}
	if late > 0 {
		c.addViolation("%d requests reached the version that was left after the roll-out was %s", late, e.rolloutState)
	}
}

// disruptedBefore reports whether a host was started, suspended or resumed shortly before a time.
func (e *testEnv) disruptedBefore(at time.Time) bool {
	return slices.ContainsFunc(e.hosts, func(h *host) bool {
		h.disruptionMu.Lock()
		defer h.disruptionMu.Unlock()
		return slices.ContainsFunc(h.disruptions, func(x time.Time) bool { return x.Before(at) && at.Sub(x) < disruptedTime })
	})
}
