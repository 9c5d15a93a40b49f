// Package repeat bounds how much of the work of a service is repeated, over all
// nodes and in any window of time: at most a ratio of the requests for it and a
// fixed number. Each node keeps to its own requests and its share of the number.
//
// # Usage
//
//	b := repeat.New(repeat.Bound{Ratio: 0.8, Extra: 150, Window: 10 * time.Second})
//	b.First(now)                              // each request's first arrival
//	if !b.Repeat(now, nodes) { ... }          // before each further one
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

// Bound is what all nodes together keep to.
type Bound struct {
	Ratio  float64
	Extra  int
	Window time.Duration
}

type slice struct {
	index   int64
	firsts  int
	repeats int
}

// Budget counts one service's requests and repeats.
type Budget struct {
	mu     sync.Mutex
	bound  Bound
	slices [slices]slice
	denied int64
}

// New returns an empty budget.
func New(b Bound) *Budget { return &Budget{bound: b} }

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
	b.at(now).firsts++
}

// Repeat counts a repeat if the bound allows it. nodes is the number of nodes that
// share it.
func (b *Budget) Repeat(now time.Time, nodes int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.at(now)
	firsts, repeats := 0, 0
	for _, x := range b.slices {
		if s.index-x.index < slices {
			firsts += x.firsts
			repeats += x.repeats
		}
	}
	allowed := safety * (b.bound.Ratio*float64(firsts) + float64(b.bound.Extra)/float64(max(nodes, 1)))
	if float64(repeats+1) > allowed {
		b.denied++
		return false
	}
	s.repeats++
	return true
}

// Denied returns the number of repeats that were not allowed.
func (b *Budget) Denied() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}
