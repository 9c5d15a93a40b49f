// Package stall decides when a run whose server sends nothing may be moved to another
// server. A silent server may be sound and go on, so a run that cannot be moved stays where
// it is, and the next attempt to move it is made after a longer time. A move gains nothing where
// the other servers are as slow, so the accepted time of silence follows from their pace.
//
// # Usage
//
//	var w stall.Watch
//	var paces stall.Paces
//	p := paces.Of("report")
//	p.RecordEvent("server-1", &w, true, now) // an event arrived
//	w.Received(now)                          // and was handled
//	p.RecordSilence("server-1", &w, now)     // no further one has arrived so far
//	limit := p.Limit("server-1", bounds, now)
//	if w.Wait(now, limit) <= 0 { // it has sent nothing for limit
//		w.MoveFailed(now) // the run stays
//	}
package stall

import "time"

// minBackoff and maxBackoff limit the time between two attempts to move a run.
const (
	minBackoff = 400 * time.Millisecond
	maxBackoff = 3200 * time.Millisecond
)

// Watch records when a server last sent something. The zero Watch has received nothing.
type Watch struct {
	lastReceived time.Time
	notBefore    time.Time // the next attempt to move the run is not made before this
	failures     int       // failed attempts to move it since lastReceived
	counted      time.Time // until when the present silence has been counted by a Pace
}

// Received records that the server sent something.
func (w *Watch) Received(now time.Time) { *w = Watch{lastReceived: now} }

// SilentFor returns the time since the server last sent something.
func (w *Watch) SilentFor(now time.Time) time.Duration { return now.Sub(w.lastReceived) }

// Wait returns the time until the run may be moved if the server sends nothing, where limit
// is the accepted time of silence. It is 0 or less if the run may be moved now.
func (w *Watch) Wait(now time.Time, limit time.Duration) time.Duration {
	return max(w.lastReceived.Add(limit).Sub(now), w.notBefore.Sub(now))
}

// MayMove reports whether the run may be moved now for another reason than its silence.
func (w *Watch) MayMove(now time.Time) bool { return !now.Before(w.notBefore) }

// MoveFailed records that the run could not be moved. The time until the next attempt
// doubles with each failure.
func (w *Watch) MoveFailed(now time.Time) {
	w.notBefore = now.Add(min(minBackoff<<min(w.failures, 8), maxBackoff))
	w.failures++
}

// count returns, in seconds, how long the present silence had lasted when it was last counted, and
// how long it has lasted now.
func (w *Watch) count(now time.Time) (from, to float64) {
	from = max(w.counted.Sub(w.lastReceived), 0).Seconds()
	w.counted = now
	return from, max(now.Sub(w.lastReceived).Seconds(), from)
}
