package relay

import (
	"github.com/cockroachdb/errors"

	"cicadabeam/io/sse"
)

var (
	errNoEvents = errors.New("the server ended the stream without an event that continues it")
	errPosition = errors.New("the last event that the caller received has no ID, so that no other server can continue after it")
)

// isOutOfPlace reports whether an event can't be placed in the stream: it has no ID, and its
// server, which took the stream over, has not sent any that continues it. An error that is sent as
// an event looks like that.
func (s *stream) isOutOfPlace(a *streamAttempt, e *sse.Event) bool {
	return e.ID < 0 && s.begun && !a.advanced
}

// endIsPlausible reports whether the end of a complete response ends the stream. If its server took
// the stream over and sent nothing that continues it, a second server must agree that nothing
// follows, as the response is the system's own joining of several.
func (s *stream) endIsPlausible(a *streamAttempt) bool {
	if a.advanced || !s.begun {
		return true
	}
	s.emptyEnds++
	return s.emptyEnds > 1
}
