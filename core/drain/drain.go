// Package drain decides which requests a host that is stopping still accepts, so that it
// finishes what it accepts.
//
// # Usage
//
//	var usual drain.Durations
//	usual.Record("reports", took, now)           // of each request that has ended
//	w := drain.NewWindow(now, grace, balancerDelay) // when the host begins to stop
//	d, known := usual.Usual("reports", now)
//	ok := w.Accepts(drain.Request{Arrived: now, Deadline: deadline, Usual: d, Known: known})
package drain

import "time"

// Window is the time in which a host stops.
type Window struct {
	// Early is the time until which requests are accepted that may not end in time.
	Early time.Time
	// Noticed is the time from which new connections go to other hosts.
	Noticed time.Time
	// End is the time at which the host cuts what is in progress.
	End time.Time
	// Close is the time at which it closes the connections of what it has cut.
	Close time.Time
}

const (
	// earlyTime is how long requests are accepted that may not end in time, and earlyShare the
	// share of the grace period that this may take.
	earlyTime  = 2800 * time.Millisecond
	earlyShare = 0.35
	// lastTime is how long before its grace period ends a host cuts what is in progress: lastShare of
	// a long period, maxLastShare of one that is too short.
	lastTime     = 600 * time.Millisecond
	lastShare    = 0.08
	maxLastShare = 1.0 / 6
)

// NewWindow returns the window of a host that begins to stop now and is killed after a grace
// period. New connections go to other hosts after balancerDelay.
func NewWindow(now time.Time, grace, balancerDelay time.Duration) Window {
	share := func(x float64) time.Duration { return time.Duration(x * float64(grace)) }
	last := max(share(lastShare), min(lastTime, share(maxLastShare)))
	return Window{
		Early: now.Add(min(earlyTime, share(earlyShare))), Noticed: now.Add(balancerDelay), End: now.Add(grace - last), Close: now.Add(grace - last/2),
	}
}

// Request is a request that arrives at a host that is stopping.
type Request struct {
	Arrived  time.Time
	Deadline time.Time
	// Usual is the time that such requests usually take at most, if it is Known.
	Usual time.Duration
	Known bool
	// Repeatable is set if a request that was cut may be sent again, and Resumable if it then
	// goes on where it was cut.
	Repeatable bool
	Resumable  bool
}

// Accepts reports whether a request is accepted. One whose deadline passes before the end is, and
// none that arrives after it.
// Before Early, so is one that loses nothing by a cut or usually ends in time: its caller's next
// try may come to this host again.
func (w Window) Accepts(r Request) bool {
	switch {
	case !r.Arrived.Before(w.End):
		return false
	case !r.Deadline.After(w.End):
		return true
	case !r.Arrived.Before(w.Early):
		return false
	case r.Resumable:
		return true
	case r.Known:
		return !r.Arrived.Add(r.Usual).After(w.End)
	default:
		return r.Repeatable
	}
}

const (
	minRetryAfter = 50 * time.Millisecond
	// maxRetryAfter leaves time for hosts that have started again to be noticed.
	maxRetryAfter = 300 * time.Millisecond
	// retryAfterShare is the share of the latency goal that a caller is to wait at most, once its
	// next try goes elsewhere.
	retryAfterShare = 0.2
)

// RetryAt returns when the caller of a request that was refused is to try again, if the request
// has a latency goal or 0.
func (w Window) RetryAt(goal time.Duration, now time.Time) time.Time {
	if goal == 0 || now.Before(w.Noticed) {
		return now.Add(maxRetryAfter)
	}
	wait := time.Duration(retryAfterShare * float64(goal))
	return now.Add(min(max(wait, minRetryAfter), maxRetryAfter))
}
