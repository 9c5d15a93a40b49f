// Package offer keeps a request that was refused from being sent afterwards, and one
// that was sent from being refused: a refusal says that the request did not run
// and never will.
//
// # Usage
//
//	var o offer.Offers
//	if !o.Begin() { ... }        // right before the first byte leaves
//	o.Settle()                   // the server said that it did not run the request
//	mayRun := o.Close()          // before the final answer of the system's own
package offer

import "sync"

// Offers counts the times that a request was sent and may run or have run.
type Offers struct {
	mu     sync.Mutex
	open   int
	closed bool
}

// Begin counts a request as sent. It returns false once Close was called: the
// request must not be sent any more.
func (o *Offers) Begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	o.open++
	return true
}

// Settle takes back one Begin whose server did not run the request.
func (o *Offers) Settle() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open--
}

// Close ends the sending and tells whether the request may run or have run.
func (o *Offers) Close() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	return o.open > 0
}

// MayRun tells whether the request may run or have run.
func (o *Offers) MayRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.open > 0
}
