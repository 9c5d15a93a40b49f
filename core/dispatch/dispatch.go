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

// Begin counts an attempt. It returns false after Close: the request must not be sent
// any more.
func (o *Attempts) Begin() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return false
	}
	o.unresolved++
	return true
}

// RecordNotRun uncounts an attempt whose server did not run the request.
func (o *Attempts) RecordNotRun() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unresolved--
}

// Close prevents further attempts and reports whether the request may be running or may
// have run.
func (o *Attempts) Close() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	return o.unresolved > 0
}

// MayRun reports whether the request may be running or may have run.
func (o *Attempts) MayRun() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unresolved > 0
}
