// Package readers decides which entry hosts read the platform's store on behalf of all, and
// for how long a query may wait there. Calls to the store must not grow with the number of
// hosts: in each region one host reads, and the others learn from each other.
//
// Load it answers: hundreds of hosts that start together, run for hours, and lose the store
// wholly or in part.
//
// # Usage
//
//	t := readers.NewTiming(hops, 5*time.Second, 5*time.Second)
//	ahead := readers.Ahead(self, others)
//	if t.ShouldRead(ahead, age) { ... } // a query may wait t.PollWait()
package readers

import (
	"slices"
	"time"
)

const (
	// pollShare is the part of the shortest bound on the age of the state that a query may
	// wait in the store. The rest is left for passing the response on, and for a second
	// query if the first is lost.
	pollShare   = 0.4
	minPollWait = 200 * time.Millisecond
	maxPollWait = 3 * time.Second
	// hopTime is the longest time between two reports of a host to its peers, and slack
	// allows for one report that is lost.
	hopTime = 600 * time.Millisecond
	slack   = 600 * time.Millisecond
	// minTakeoverTime is the time that a takeover has before the shortest bound.
	minTakeoverTime = 100 * time.Millisecond
	// stagger is the time by which each further host waits longer before it takes over.
	// All at once would make thousands of calls during an outage of one minute.
	stagger = 250 * time.Millisecond
	// startWait is the time that peers have to send a starting host the state before the
	// second one in the order of reading reads the store. Further ones follow after stagger
	// each: whole tables for all at once take seconds on the link between regions.
	startWait = 100 * time.Millisecond
	// maxSkipped limits the hosts that are passed over at once because they have lost the
	// store. If the store is down for all, the others take over one after the other.
	maxSkipped = 2
)

// Host is an entry host as another one knows it.
type Host struct {
	Name      string
	Region    string
	Listed    uint64 // revision of its row in the store, 0 if unknown
	Live      bool   // in contact recently, or listed a moment ago
	Leaving   bool
	StoreLost bool // its last query to the store failed
}

// Ahead returns the number of hosts that precede self in reading the store: those of its
// region with lower names that can read it.
func Ahead(self Host, others []Host) int {
	return countAhead(self, others, func(h Host) bool { return h.Name < self.Name })
}

// AheadAtStart returns the number of hosts that precede self while hosts start: those of
// its region whose rows are older. A host that lists the hosts after its registration finds
// all older rows, but not all lower names, so that exactly one host finds none ahead of it.
// A host without a row comes after all that have one.
func AheadAtStart(self Host, others []Host) int {
	if self.Listed == 0 && !slices.ContainsFunc(others, func(h Host) bool { return h.Listed != 0 }) {
		return Ahead(self, others)
	}
	return countAhead(self, others, func(h Host) bool { return h.Listed != 0 && (self.Listed == 0 || h.Listed < self.Listed) })
}

func countAhead(self Host, others []Host, precedes func(h Host) bool) int {
	ahead, skipped := 0, 0
	for _, h := range others {
		if h.Region != self.Region || !h.Live || h.Leaving || !precedes(h) {
			continue
		}
		if h.StoreLost && skipped < maxSkipped {
			skipped++
			continue
		}
		ahead++
	}
	return ahead
}

// Timing holds the times that follow from the bounds on the age of the state.
type Timing struct {
	pollWait    time.Duration
	takeoverAge time.Duration
}

// NewTiming returns the timing for hosts that pass the state on over a number of hops and
// must act on a change within each of the bounds. Bounds of 0 don't count.
func NewTiming(hops int, bounds ...time.Duration) Timing {
	wait := maxPollWait
	onTheWay := time.Duration(hops)*hopTime + slack
	for _, b := range bounds {
		if b > 0 {
			wait = min(wait, time.Duration(pollShare*float64(b)), b-onTheWay-minTakeoverTime)
		}
	}
	wait = max(wait, minPollWait)
	return Timing{pollWait: wait, takeoverAge: wait + onTheWay}
}

// PollWait returns how long a query for changes may wait in the store.
func (t Timing) PollWait() time.Duration { return t.pollWait }

// TakeoverAge returns the age of the state from which it counts as out of date.
func (t Timing) TakeoverAge() time.Duration { return t.takeoverAge }

// ShouldRead reports whether a host with so many ahead of it reads the store, given the
// time since its state was last confirmed: the first one always, further ones in turn while
// their state is out of date.
func (t Timing) ShouldRead(ahead int, age time.Duration) bool {
	return ahead == 0 || age > t.takeoverAge+time.Duration(ahead-1)*stagger
}

// ShouldReadAtStart reports whether a starting host with so many ahead of it, which has
// waited for the state from its peers for some time, reads the store.
func ShouldReadAtStart(ahead int, waited time.Duration) bool {
	return ahead == 0 || waited > startWait+time.Duration(ahead-1)*stagger
}
