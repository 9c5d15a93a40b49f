// Package budget limits the share of requests that are retries, so that retries do
// not amplify the overload of a large failure.
//
// # Usage
//
//	b := budget.New(0.2, 32)
//	b.Deposit()                   // for each first attempt
//	if !b.TryWithdraw() { ... }   // before each retry
package budget

import "sync"

// Budget is a token bucket that is filled by first attempts and drained by retries.
type Budget struct {
	mu     sync.Mutex
	ratio  float64
	limit  float64
	tokens float64
	spent  int64
	denied int64
}

// New returns a full budget. ratio is the number of retries that each first attempt
// adds to it; limit is its capacity in retries.
func New(ratio float64, limit int) *Budget {
	return &Budget{ratio: ratio, limit: float64(limit), tokens: float64(limit)}
}

// Deposit credits the budget for a first attempt, up to its capacity.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.limit, b.tokens+b.ratio)
}

// TryWithdraw takes one retry from the budget and reports whether it is allowed.
func (b *Budget) TryWithdraw() bool {
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

// Available reports whether TryWithdraw would allow a retry now.
func (b *Budget) Available() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// Spent returns the number of retries that were allowed.
func (b *Budget) Spent() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.spent
}

// Denied returns the number of retries that were denied.
func (b *Budget) Denied() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}
