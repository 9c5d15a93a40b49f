package deferral

import (
	"math"
	"time"
)

const (
	// keptShare is the part of the requests in flight at a refusal that the server gets at a
	// time after its rest.
	keptShare = 0.7
	// restsPerRaise is the number of rests without a refusal after which the server gets one
	// request more at a time, and raisesToRelease the number of raises after which the limit ends.
	restsPerRaise   = 4
	raisesToRelease = 8
	// trialRest is how much of a longer wish is believed at first, so that no server is lost
	// for good by one bad response.
	trialRest = time.Minute
	// minSpread is the shortest time over which callers are asked to come back.
	minSpread = 500 * time.Millisecond
)

// State is what this node keeps of the wishes of one server. The zero value is that of a
// server without a wish. Methods must not be called concurrently.
type State struct {
	since time.Time // when the last wish arrived
	until time.Time // the server wants no requests before
	limit int       // requests at a time from until on, 0 if there is no limit
	// trial is set if the server asked for more than trialRest: from until on, one request
	// finds out whether it takes any.
	trial bool
}

// Defer records a wish to get no requests for a time, and returns how much of it is believed.
// running is the number of this node's requests at the server, with the one that was refused.
func (s *State) Defer(wait time.Duration, running int, now time.Time) time.Duration {
	if wait <= 0 {
		return 0
	}
	rest := wait
	if !s.OnTrial(now) {
		rest = min(wait, trialRest)
	}
	if s.Active(now) { // one more of those that were on their way
		s.limit = max(s.limit-1, 1)
	} else {
		s.limit = max(int(keptShare*float64(min(running, s.Limit(now)))), 1)
	}
	s.since = now
	if until := now.Add(rest); until.After(s.until) {
		s.until = until
		s.trial = rest < wait
	}
	return rest
}

// RecordSuccess records that the server served a request that was sent at a time.
func (s *State) RecordSuccess(sent time.Time) {
	if s.OnTrial(sent) {
		s.trial = false
	}
}

// OnTrial reports whether the server gets one request only, as it asked for a longer rest than
// it was given.
func (s *State) OnTrial(now time.Time) bool { return s.trial && !s.Active(now) }

// Restrain limits a server that has not refused as if it had refused one of running requests,
// because others like it did.
func (s *State) Restrain(wait time.Duration, running int, now time.Time) {
	if s.Active(now) || s.Limit(now) != math.MaxInt {
		return
	}
	s.limit = max(int(keptShare*float64(running)), 1)
	s.since, s.until = now.Add(-min(wait, trialRest)), now
}

// Active reports whether the server wants no requests now.
func (s *State) Active(now time.Time) bool { return now.Before(s.until) }

// Until returns the end of the last wish, the zero time if there was none.
func (s *State) Until() time.Time { return s.until }

// Limit returns the number of requests that the server may get at a time.
func (s *State) Limit(now time.Time) int {
	switch {
	case s.limit == 0:
		return math.MaxInt
	case s.OnTrial(now):
		return 1
	}
	raises := int(now.Sub(s.until) / (restsPerRaise * min(s.until.Sub(s.since), trialRest)))
	if raises >= raisesToRelease {
		return math.MaxInt
	}
	return s.limit + max(raises, 0)
}

// RetryAt returns when a caller that was refused may come back: after the time at which a
// server may take requests again, at a moment that random, from 0 to 1, draws, so that callers
// don't return together.
func RetryAt(earliest, now time.Time, random float64) time.Time {
	spread := max(earliest.Sub(now)/2, minSpread)
	return earliest.Add(time.Duration(random * float64(spread)))
}
