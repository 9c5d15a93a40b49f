package relay

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/fault"
)

// What holds bytes of Dependencies.Buffers, as named in logs and metrics.
const (
	bodyHolder     = "request body"
	responseHolder = "response"
	streamHolder   = "stream"
	lateHolder     = "late response"
	reportHolder   = "report"
)

// maxUnrepeatableBytes is how much of a response is buffered if the request can't be sent again, so
// that an error can still be reported in place of a short response that breaks off.
const maxUnrepeatableBytes = 16 << 10

// retryAfterNoRoom is the time over which callers are spread for whose bodies there is no room.
const retryAfterNoRoom = time.Second

// spentError returns the error of a read, bytebudget.ErrSpent if it failed because the holder had to
// give way.
func spentError(err error, held *bytebudget.Holder) error {
	if r := held.Refused(); err != nil && r != nil && r.Evicted {
		return errors.Wrap(bytebudget.ErrSpent, "evicted")
	}
	return err
}

// recordNoRoom logs that bytes were refused, or that a holder had to give way, and what became of it.
func (x *exchange) recordNoRoom(held *bytebudget.Holder, outcome string) {
	r := held.Refused()
	if r == nil {
		return
	}
	x.h.Recorder.Record("no room", Fields{
		"request": x.meta.ID, "kind": r.Kind, "asked": r.Asked, "holds": r.Holds, "held": r.Held, "limit": r.Limit, "evicted": r.Evicted, "outcome": outcome,
	})
}

// refuseBody returns the error for a request for whose body there is no room.
func (x *exchange) refuseBody() *fault.Error {
	x.recordNoRoom(x.held, "refused")
	x.w.Header().Set("Connection", "close")
	return notRunError(fault.NotReady, "read", "this entry host has no room for the request body", retryAfterNotReady+rand.N(retryAfterNoRoom))
}
