package relay

import (
	"time"

	"cicadabeam/core/retrybudget"
)

// allowRetry reports whether the retry budget allows another attempt. retry is 1 for the first retry of
// the request. A retry that was granted for an attempt that was not sent is used first.
func (x *exchange) allowRetry(retry int) bool {
	if len(x.retries) > 0 || x.reserveRetry(retry) {
		return true
	}
	x.h.Recorder.Record("repeat denied", Fields{"request": x.meta.ID, "service": x.service.Name, "attempts": x.attempts})
	return false
}

// reserveRetry reserves a further retry and reports whether the retry budget allows it.
func (x *exchange) reserveRetry(retry int) bool {
	r, allowed := x.h.budgets.Of(x.service.Name).Reserve(time.Now(), x.h.NodeCount(), retry)
	if allowed {
		x.retries = append(x.retries, r)
	}
	return allowed
}

// useRetry uses a retry that was granted, if there is any, for an attempt.
func (x *exchange) useRetry() (retrybudget.Reservation, bool) {
	if len(x.retries) == 0 {
		return retrybudget.Reservation{}, false
	}
	r := x.retries[0]
	x.retries = x.retries[1:]
	return x.h.budgets.Of(x.service.Name).Renew(r, time.Now()), true
}

// returnRetries returns the retries that were granted and are not needed.
func (x *exchange) returnRetries() {
	for _, r := range x.retries {
		x.h.budgets.Of(x.service.Name).Return(r)
	}
	x.retries = nil
}
