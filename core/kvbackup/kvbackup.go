// Package kvbackup decides when the KV cache of a run is copied to another server because
// the server with its backup was lost, and from which copy the run is resumed.
//
// Load it answers: servers of several data centres that crash a few seconds apart. A run
// that lost its backup in the first crash would have its prompt processed again, for a
// second or more, after the second. Engines replace no backup themselves, but copy a run's
// KV cache when asked, and keep the copy for a limited time.
//
// # Usage
//
//	r := kvbackup.NewRun(4 * time.Second)
//	if r.Begin(now, backupLost) {         // on each event of the run
//		...                           // copy in the background
//		r.Complete(kvbackup.Copy{Server: "s3", Handle: "h7"}, now)
//	}
//	c, found := r.Current(now)            // after the run's server was lost
package kvbackup

import (
	"maps"
	"sync"
	"time"
)

const (
	// renewShare is the part of its lifetime after which a copy is renewed. Only what is new
	// is copied then.
	renewShare = 0.6
	// retryDelay is the time between a copy that failed and the next one.
	retryDelay = 200 * time.Millisecond
	// maxUse is the part of the servers' memory that runs may need for copies to be made.
	// Each run has a backup of its size besides; what does not fit any more preempts runs.
	maxUse = 0.3
)

// HasRoom reports whether copies may be made while the runs of all nodes need such a part of
// the memory of the servers that are in reach.
func HasRoom(use float64) bool { return use <= maxUse }

// Copy is a copy of a run's KV cache.
type Copy struct {
	Server string    // ID of the server that holds it
	Handle string    // its name at the run's server
	At     time.Time // when it was complete; set by Complete
}

// Run is the state of the copies of one run. Its methods may be called concurrently.
type Run struct {
	ttl time.Duration

	mu        sync.Mutex
	copying   bool
	next      time.Time // when the next copy may begin
	current   Copy
	expiresAt time.Time
	failed    map[string]bool // IDs of servers that did not take a copy
}

// NewRun returns the state of a run whose copies live for ttl.
func NewRun(ttl time.Duration) *Run { return &Run{ttl: ttl, failed: make(map[string]bool)} }

// Begin reports whether a copy is to be made now, and records that it is. backupLost tells
// that the run's backup, or the server with its last copy, is not there any more.
func (r *Run) Begin(now time.Time, backupLost bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !backupLost || r.copying || now.Before(r.next) {
		return false
	}
	r.copying = true
	return true
}

// Complete records the end of a copy that Begin allowed.
func (r *Run) Complete(c Copy, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copying = false
	c.At = now
	r.current, r.expiresAt = c, now.Add(r.ttl)
	r.next = now.Add(time.Duration(renewShare * float64(r.ttl)))
}

// Fail records that a copy that Begin allowed was not made. The server, which may be lost or
// have no room, is not to be asked again; it is "" if there was none to ask.
func (r *Run) Fail(server string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.copying = false
	r.failed[server] = true
	r.next = now.Add(retryDelay)
}

// Failed returns the IDs of the servers that are not to be asked.
func (r *Run) Failed() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.failed)
}

// Drop forgets the current copy, whose server was lost, so that another may be made at once.
func (r *Run) Drop(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Server == server {
		r.current, r.next = Copy{}, time.Time{}
	}
}

// Current returns the last copy if it is still kept.
func (r *Run) Current(now time.Time) (Copy, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current, r.current.Handle != "" && now.Before(r.expiresAt)
}
