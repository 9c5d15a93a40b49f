// Package repeat bounds how much of the work of a service is repeated, over all
// nodes and in any window of time: at most a ratio of the requests for it and a
// fixed number.
//
// Nodes tell each other what they have used. While a node knows that of all others
// it may use what is left for all; otherwise it keeps to its own requests and its
// share of the fixed number.
//
// # Usage
//
//	b := repeat.New(repeat.Bound{Ratio: 0.8, Extra: 150, Window: 10 * time.Second})
//	b.First(now)                              // each request's first arrival
//	if !b.Repeat(now, nodes) { ... }          // before each further one
//	b.Heard("node-2", usage, now)             // what another node has used
package repeat

import (
	"sync"
	"time"
)

// slices is the number of parts in which a window is counted.
const slices = 10

// safety is the part of the bound that is used, as nodes see time differently and
// a window slides over their slices.
const safety = 0.8

const (
	// heardWithin is how old the word of another node may be.
	heardWithin = time.Second
	// untoldWithin is how old a repeat may be of which the others may not know yet.
	untoldWithin = 400 * time.Millisecond
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
}

type word struct {
	usage Usage
	at    time.Time
}

// Budget counts one service's requests and repeats.
type Budget struct {
	mu     sync.Mutex
	bound  Bound
	slices [slices]slice
	others map[string]word
	untold []time.Time
	denied int64
}

// New returns an empty budget.
func New(b Bound) *Budget { return &Budget{bound: b, others: make(map[string]word)} }

func (b *Budget) at(now time.Time) *slice {
	i := now.UnixNano() / int64(b.bound.Window/slices)
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

func (b *Budget) own(now time.Time) Usage {
	s := b.at(now)
	var u Usage
	for _, x := range b.slices {
		if s.index-x.index < slices {
			u.Firsts += x.usage.Firsts
			u.Repeats += x.usage.Repeats
		}
	}
	return u
}

// Heard takes the word of another node.
func (b *Budget) Heard(node string, u Usage, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.others[node] = word{usage: u, at: now}
}

// Repeat counts a repeat if the bound allows it. nodes is the number of nodes that
// share it.
func (b *Budget) Repeat(now time.Time, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.allowed(now, max(nodes, 1)) {
		b.denied++
		return false
	}
	b.at(now).usage.Repeats++
	b.untold = append(b.untold, now)
	return true
}

func (b *Budget) allowed(now time.Time, nodes int) bool {
	own := b.own(now)
	all, known := b.sum(own, now)
	if known < nodes {
		return float64(own.Repeats+1) <= safety*(b.bound.Ratio*float64(own.Firsts)+float64(b.bound.Extra)/float64(nodes))
	}
	// The others may use as much at this moment as this node does.
	used := all.Repeats + 1 + (known-1)*b.forgetTold(now)
	return float64(used) <= safety*(b.bound.Ratio*float64(all.Firsts)+float64(b.bound.Extra))
}

// sum adds what is known of all nodes, and counts them.
func (b *Budget) sum(own Usage, now time.Time) (Usage, int) {
	all, known := own, 1
	for name, w := range b.others {
		if now.Sub(w.at) > heardWithin {
			if now.Sub(w.at) > b.bound.Window {
				delete(b.others, name)
			}
			continue
		}
		all.Firsts += w.usage.Firsts
		all.Repeats += w.usage.Repeats
		known++
	}
	return all, known
}

func (b *Budget) forgetTold(now time.Time) int {
	for len(b.untold) > 0 && now.Sub(b.untold[0]) > untoldWithin {
		b.untold = b.untold[1:]
	}
	return len(b.untold)
}

// Denied returns the number of repeats that were not allowed.
func (b *Budget) Denied() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}
