package relay

import (
	"time"

	"cicadabeam/core/catalog"
	"cicadabeam/core/drain"
	"cicadabeam/core/fault"
)

const shuttingDown = "this entry host is shutting down"

// Drain closes each caller's connection after its response. It refuses requests that may not
// have ended at the end of w, when the node cuts what is in progress.
func (h *Handler) Drain(w drain.Window) { h.draining.Store(&w) }

// checkDraining refuses a request that arrives, or could be sent, too late to finish before the
// node shuts down.
func (x *exchange) checkDraining(at time.Time) *fault.Error {
	w := x.h.draining.Load()
	if w == nil {
		return nil
	}
	usual, known := x.h.durations.Usual(x.route.Name, at)
	kind := x.route.Kind
	r := drain.Request{Arrived: at, Deadline: x.deadline, Usual: usual, Known: known, Repeatable: kind.Retryable(), Resumable: kind == catalog.ResumableStream}
	if w.Accepts(r) {
		return nil
	}
	return x.drainingError("admit", shuttingDown)
}

// drainingError returns the error for a request that ran on no server as the node shuts down.
func (x *exchange) drainingError(step, text string) *fault.Error {
	err := notRunError(fault.Draining, step, text, retryAfterNoServer)
	if w := x.h.draining.Load(); w != nil {
		return err.WithRetryAt(w.RetryAt(x.route.LatencyGoal, time.Now()))
	}
	return err
}

// recordDuration records how long the request took if a server got it and its caller stayed.
func (x *exchange) recordDuration() {
	if x.sentAttempts > 0 && !x.callerLeft() {
		now := time.Now()
		x.h.durations.Record(x.route.Name, now.Sub(x.arrived), now)
	}
}
