// Package budget bounds the share of work that goes into repeating work, so
// that a mass failure is not made worse by the recovery from it.
//
// # Usage
//
//	b := budget.New(0.2, 32)
//	b.Earn()                  // for each first attempt
//	if !b.Spend() { ... }     // before each further one
package budget

import "sync"

// Budget is a token bucket that first attempts fill and further ones empty.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	limit  float64
	tokens float64
	spent  int64
	denied int64
}

// New returns a full budget. ratio is the number of repeats that each first
// attempt allows; limit is the largest number saved up.
func New(ratio float64, limit int) *Budget {
	return &Budget{ratio: ratio, limit: float64(limit), tokens: float64(limit)}
}

// Earn counts a first attempt.
func (b *Budget) Earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// Spend takes one repeat from the budget and tells whether there was one.
func (b *Budget) Spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		b.denied++
		return false
	}
	b.tokens--
	b.spent++
	return true
}

// Spent returns the number of repeats that were allowed.
func (b *Budget) Spent() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent
}

// Denied returns the number of repeats that were not allowed.
func (b *Budget) Denied() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}
