// Package dispatch ensures that a request is not sent after it was refused, and not refused
// after it was sent. A refusal guarantees that the request did not run and never will.
//
// # Usage
//
//	var a dispatch.Attempts
//	if !a.Begin() { ... }        // right before the first byte is sent
//	a.RecordNotRun()             // the server reported that it did not run the request
//	mayRun := a.Close()          // before the system sends its own final response
package dispatch

import "sync"

// Attempts counts the attempts of a request that may be running or may have run.
type Attempts struct {
	mu         sync.Mutex
	unresolved int
	closed     bool
}

// Begin counts an attempt and reports whether the request may be sent; after Close it
// must not be.
func (a *Attempts) Begin() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		return false
	}
	a.unresolved++
	return true
}

// RecordNotRun removes from the count an attempt whose server did not run the request.
func (a *Attempts) RecordNotRun() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unresolved--
}

// Close prevents further attempts and reports whether the request may be running or may
// have run.
func (a *Attempts) Close() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	return a.unresolved > 0
}

// MayRun reports whether the request may be running or may have run.
func (a *Attempts) MayRun() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unresolved > 0
}
