package crashcause

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// firstQuarantine is how long a cause is quarantined at first, and maxQuarantine the most
	// that it doubles to with each crash after that. Both are extended at random by up to
	// quarantineSpread, so that nodes try a cause again one after the other.
	firstQuarantine  = 5 * time.Minute
	maxQuarantine    = time.Hour
	quarantineSpread = 0.5
	// trialHeadStart is how much later than the node that reported a cause another one tries it
	// again at the earliest. It knows the outcome of that node's trial by then.
	trialHeadStart = 10 * time.Second
	// trialTimeout is how long a node waits for the outcome of the request that it let
	// through before it lets another one through.
	trialTimeout = 30 * time.Second
	// causeRetention is how long after its quarantine a cause is known. A crash in that time
	// renews the quarantine.
	causeRetention = time.Hour

	maxCauses = 64
)

// Cause is a cause that was found.
type Cause struct {
	Features  []Feature
	Servers   []string // that crashed
	Until     time.Time
	Suspected bool // it is on probation
	class     Feature
	// comparable is set if other requests of the class have run well.
	comparable bool
}

// cause is a set of features that crash servers.
type cause struct {
	features  []Feature // as found
	remaining []Feature // those that no request has that ran well since, none if the cause was wrong
	class     Feature   // of the requests
	since     time.Time // when it was found or last renewed
	until     time.Time // when it is tried again
	crashes   int       // after it was found
	trial     time.Time // when a request was let through, zero if there is none
	suspicion *suspicion
	stored    bool // as a suspicion, by some node
	ownStored bool // as a suspicion, by this node
}

// newCause returns a cause that is suspected.
func newCause(x Cause, now time.Time) *cause {
	c := &cause{features: x.Features, remaining: slices.Clone(x.Features), class: x.class, since: now, until: now, suspicion: newSuspicion(now)}
	c.suspicion.comparable = x.comparable
	return c
}

// newConvicted returns a cause that is quarantined.
func newConvicted(features []Feature, class Feature, now time.Time) *cause {
	c := &cause{features: features, remaining: slices.Clone(features), class: class}
	c.quarantine(now)
	return c
}

func (c *cause) key() string {
	var b strings.Builder
	for _, f := range c.features {
		b.WriteString(f.String())
		b.WriteByte(' ')
	}
	return b.String()
}

func (c *cause) quarantine(now time.Time) {
	d := min(firstQuarantine<<min(c.crashes, 8), maxQuarantine)
	c.since, c.trial, c.suspicion = now, time.Time{}, nil
	c.until = now.Add(time.Duration(float64(d) * (1 + quarantineSpread*rand.Float64())))
}

// acquit removes a feature of a request that ran well at a time. It reports whether the cause had it.
func (c *cause) acquit(f Feature, at time.Time) bool {
	if !at.After(c.since.Add(-soundMemory)) || !slices.Contains(c.remaining, f) {
		return false
	}
	c.remaining = slices.DeleteFunc(c.remaining, func(x Feature) bool { return x == f })
	if c.suspicion != nil {
		c.suspicion.Release()
		c.suspicion.Restart(at)
	}
	return true
}

// matches reports whether a request is one that the cause applies to.
func (c *cause) matches(r Request) bool { return len(c.remaining) > 0 && r.hasAll(c.remaining) }

func (c *cause) expired(now time.Time) bool { return now.Sub(c.until) > causeRetention }

// addCause adds a cause. If there are too many, it takes the place of the one that is tried again
// first, and the crashes under that one are forgotten.
func (l *List) addCause(c *cause) {
	key := c.key()
	if _, known := l.causes[key]; !known && len(l.causes) >= maxCauses {
		var first *cause
		for _, x := range l.causes {
			if first == nil || x.until.Before(first.until) {
				first = x
			}
		}
		l.deleteCrashes(func(x *crash) bool { return slices.Contains(l.causesOf(x), first) })
		delete(l.causes, first.key())
	}
	l.causes[key] = c
	for _, f := range c.features {
		l.concerned[f] = true
	}
}

// causesOf returns the known causes that explain a crash.
func (l *List) causesOf(c *crash) []*cause {
	var all []*cause
	for _, x := range l.causes {
		if slices.ContainsFunc(c.Requests, x.matches) {
			all = append(all, x)
		}
	}
	return all
}

// covered reports whether all requests with the features are quarantined or suspected already.
func (l *List) covered(features []Feature) bool {
	return len(l.causesWith(Request{Features: features})) > 0
}

// renewCauses renews the quarantine of the causes that are tried again and that a request has
// under which a server has crashed.
func (l *List) renewCauses(r Request, at time.Time) {
	for _, c := range l.causesWith(r) {
		if c.suspicion == nil && at.After(c.until) {
			l.convict(c, at)
		}
	}
}

// causesWith returns the causes that apply to a request.
func (l *List) causesWith(r Request) []*cause {
	var all []*cause
	for _, c := range l.causes {
		if c.matches(r) {
			all = append(all, c)
		}
	}
	return all
}

// convict quarantines a cause after a crash in a trial.
func (l *List) convict(c *cause, at time.Time) {
	c.crashes++
	c.quarantine(at)
	l.markChanged(c)
	l.notify()
}

// Refusal says until when requests are refused because of a cause.
type Refusal struct {
	Until    time.Time
	Features []Feature // of the cause
	// Suspected is set if the cause is on probation, so that the request may wait for the outcome of
	// a trial; see Changed.
	Suspected bool
}

// Refuses reports whether a request is to be refused. After the quarantine of a cause, and while
// it is on probation, it lets one request at a time through.
func (l *List) Refuses(r Request, now time.Time) (x Refusal, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.causes {
		if c.suspicion != nil && c.class == r.Class && len(c.remaining) > 0 {
			c.suspicion.Count(c.matches(r))
		}
	}
	return l.admit(r, now)
}

// StillRefuses is like Refuses for a request that has waited.
func (l *List) StillRefuses(r Request, now time.Time) (x Refusal, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.admit(r, now)
}

func (l *List) admit(r Request, now time.Time) (x Refusal, refused bool) {
	for _, c := range l.causes {
		until := c.blockedUntil(r, now)
		if until.IsZero() {
			continue
		}
		suspected := c.suspicion != nil
		if x.Until.IsZero() || x.Suspected && !suspected || x.Suspected == suspected && until.After(x.Until) {
			x = Refusal{Until: until, Features: slices.Clone(c.remaining), Suspected: suspected}
		}
	}
	if !x.Until.IsZero() {
		return x, true
	}
	all := l.causesWith(r)
	if until := l.otherTrial(all, now); !until.IsZero() {
		return Refusal{Until: until, Suspected: true}, true
	}
	for _, c := range all {
		if c.suspicion != nil {
			c.suspicion.begin(r, now)
		} else {
			c.trial = now
		}
	}
	return Refusal{}, false
}

// MaySend reports whether a request that was let through may be sent to a server. After the
// loss of a server, a request that a known cause applies to may not be sent again.
func (l *List) MaySend(r Request, again bool, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.causesWith(r) {
		switch {
		case c.suspicion != nil:
			if !c.suspicion.maySend(r, again) {
				return false
			}
		case again || now.Before(c.until):
			return false
		}
	}
	return true
}

// RetryAt returns when a request is tried again that a known cause applies to, or the zero time.
func (l *List) RetryAt(r Request) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var at time.Time
	for _, c := range l.causes {
		until := c.until
		if c.suspicion != nil {
			until = c.suspicion.OpensAt()
		}
		if c.matches(r) && until.After(at) {
			at = until
		}
	}
	return at
}

// Quarantined returns the number of quarantined causes.
func (l *List) Quarantined(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.causes {
		if len(c.remaining) > 0 && c.suspicion == nil && now.Before(c.until) {
			n++
		}
	}
	return n
}

// blockedUntil returns until when a request is refused because of the cause, or the zero time.
func (c *cause) blockedUntil(r Request, now time.Time) time.Time {
	switch {
	case !c.matches(r):
		return time.Time{}
	case c.suspicion != nil:
		return c.suspicion.BlockedUntil(now)
	case now.Before(c.until):
		return c.until
	case now.Before(c.trial.Add(trialTimeout)):
		return c.trial.Add(trialTimeout)
	default:
		return time.Time{}
	}
}
