// Package repeat bounds how much of the work of a service is repeated, over all
// nodes and in any window of time: at most a ratio of the requests for it and a
// fixed number.
//
// Nodes tell each other what they have used. While a node knows that of all others
// it may use what is left for all; otherwise it keeps to its own requests and its
// share of the fixed number. Nodes that were lost keep the others from that for little
// longer than a window, if these are most of the nodes: what is left of the lost ones
// are not most, and keep to their shares.
//
// # Usage
//
//	b := repeat.New(repeat.Bound{Ratio: 0.8, Extra: 150, Window: 10 * time.Second})
//	b.First(now)                              // each request's first arrival
//	if !b.Repeat(now, nodes) { ... }          // before each further one
//	b.Heard("node-2", usage, 1, now)          // what another node has used
//	b.HeardLast("node-2", usage, now)         // the same of one that stops
package repeat

import (
	"sync"
	"time"
)

// A window is counted in slices of a tenth of it. One more than ten are needed, as the
// newest has only begun.
const (
	slicesInWindow = 10
	slices         = slicesInWindow + 1
)

// The parts of the bound that nodes use while they know each other's usage, and, by
// their shares, while they don't. One window may hold both.
const (
	sharedPart = 0.65
	alonePart  = 0.3
)

// heardWithin is how old the word of another node may be, and handedWithin that of
// one that speaks for several, as it comes in several steps.
const (
	heardWithin  = time.Second
	handedWithin = 3 * time.Second
)

// Bound is what all nodes together keep to.
type Bound struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

// Usage is what a node counted within a window.
type Usage struct {
	Firsts  int
	Repeats int
}

type slice struct {
	index int64
	usage Usage
	alone int // repeats while the others' usage wasn't known
}

type word struct {
	usage Usage
	nodes int // that it speaks for
	at    time.Time
	spent int64 // this node's repeats so far, of which the other knows
	until time.Time
}

// Budget counts one service's requests and repeats.
type Budget struct {
	mu     sync.Mutex
	bound  Bound
	slices [slices]slice
	others map[string]word
	spent  int64
	known  int       // nodes that were known last, with this one
	fewer  time.Time // when there were fewer of them than before, or the first use
}

// New returns an empty budget.
func New(b Bound) *Budget { return &Budget{bound: b, others: make(map[string]word)} }

func (b *Budget) at(now time.Time) *slice {
	i := now.UnixNano() / int64(b.bound.Window/slicesInWindow)
	s := &b.slices[i%slices]
	if s.index != i {
		*s = slice{index: i}
	}
	return s
}

// First counts a request.
func (b *Budget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at(now).usage.Firsts++
}

// Usage returns what this node counted within the window.
func (b *Budget) Usage(now time.Time) Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.own(now)
}

// own counts requests over at most a window, and repeats over at least one.
func (b *Budget) own(now time.Time) Usage {
	s := b.at(now)
	var u Usage
	for _, x := range b.slices {
		if s.index-x.index < slicesInWindow {
			u.Firsts += x.usage.Firsts
		}
		if s.index-x.index < slices {
			u.Repeats += x.usage.Repeats
		}
	}
	return u
}

// Heard takes the word of another node, or of one that speaks for several, as of a
// time.
func (b *Budget) Heard(from string, u Usage, nodes int, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	until := at.Add(heardWithin)
	if nodes > 1 {
		until = at.Add(handedWithin)
	}
	b.others[from] = word{usage: u, nodes: nodes, at: at, spent: b.spent, until: until}
	b.count(at)
}

// HeardLast takes the word of a node that stops. It holds for a window, as the node will
// repeat nothing more, or no more than its share if it is only cut off.
func (b *Budget) HeardLast(from string, u Usage, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others[from] = word{usage: u, nodes: 1, at: at, spent: b.spent, until: at.Add(b.bound.Window)}
	b.count(at)
}

// Repeat counts a repeat if the bound allows it. nodes is the number of nodes that
// share it.
func (b *Budget) Repeat(now time.Time, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.at(now)
	switch {
	case b.informed(now, nodes):
		if !b.sharedAllows(now) {
			return false
		}
	case b.aloneAllows(now, max(nodes, 1)):
		s.alone++
	default:
		return false
	}
	s.usage.Repeats++
	b.spent++
	return true
}

// count counts the nodes whose usage is known, and forgets old words.
func (b *Budget) count(now time.Time) {
	known := 1
	for name, w := range b.others {
		if now.After(w.until) {
			delete(b.others, name)
			continue
		}
		known += w.nodes
	}
	if known < b.known || b.fewer.IsZero() {
		b.fewer = now
	}
	b.known = known
}

// informed tells whether the usage of all other nodes is known, or that of most of
// them while the others have kept to their shares for a whole window.
func (b *Budget) informed(now time.Time, nodes int) bool {
	b.count(now)
	if b.known >= nodes {
		return true
	}
	return 2*b.known > nodes && now.Sub(b.fewer) > b.bound.Window+handedWithin
}

// aloneAllows keeps to this node's share of the fixed number and its own requests.
func (b *Budget) aloneAllows(now time.Time, nodes int) bool {
	alone := 0
	newest := b.at(now).index
	for _, x := range b.slices {
		if newest-x.index < slices {
			alone += x.alone
		}
	}
	return float64(alone+1) <= alonePart*(b.bound.Ratio*float64(b.own(now).Firsts)+float64(b.bound.Extra)/float64(nodes))
}

// sharedAllows keeps to the bound for all. Each of the others may have used as much
// as this node since they heard of each other, and doesn't know of that either.
func (b *Budget) sharedAllows(now time.Time) bool {
	all := b.own(now)
	for _, w := range b.others {
		all.Firsts += w.usage.Firsts
		all.Repeats += w.usage.Repeats
	}
	used := all.Repeats + 1 + b.untold()
	return float64(used) <= sharedPart*(b.bound.Ratio*float64(all.Firsts)+float64(b.bound.Extra))
}

// untold sums up, over the other nodes, this node's repeats that they don't know of.
func (b *Budget) untold() int {
	n := int64(0)
	for _, w := range b.others {
		n += int64(w.nodes) * (b.spent - w.spent)
	}
	return int(n)
}
