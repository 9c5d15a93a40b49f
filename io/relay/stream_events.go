package relay

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/io/sse"
)

var (
	errNoEvents = errors.New("the server ended the stream without an event that continues it")
	errPosition = errors.New("the last event that the caller received has no ID, so that no other server can continue after it")
)

// handleEvent handles an event of an attempt. It returns false if the attempt has ended.
func (s *stream) handleEvent(a *streamAttempt, e *sse.Event) bool {
	s.onProgress(a)
	s.recordEstablished(a)
	s.maintainCopy(a)
	known := e.ID >= 0 && e.ID <= s.lastEvent
	if e.ID >= 0 && s.lastEvent > 0 && e.ID > s.lastEvent+1 {
		a.err = errors.Newf("event %d received after event %d; events are missing", e.ID, s.lastEvent)
		a.member.RecordFailure(time.Now())
		return false
	}
	if s.isOutOfPlace(a, e) {
		a.err = errors.Newf("an event without an ID received after event %d of another server", s.lastEvent)
		a.member.RecordFailure(time.Now())
		return false
	}
	if !known {
		a.advanced = true
		a.err = s.writeEvent(e)
	}
	if a.err == nil && len(a.parts) == 0 {
		a.err = s.flush()
	}
	return a.err == nil
}

// isOutOfPlace reports whether an event can't be placed in the stream: it has no ID, and its
// server, which took the stream over, has not sent any that continues it. An error that is sent as
// an event looks like that.
func (s *stream) isOutOfPlace(a *streamAttempt, e *sse.Event) bool {
	return e.ID < 0 && s.begun && !a.advanced
}

// handleEnd handles the end of a complete response: it ends the stream, or the attempt has failed.
func (s *stream) handleEnd(a *streamAttempt) {
	switch {
	case s.mayAskAgain() && s.h.endedWithServer(a.member, a.response):
		_ = s.flush()
		a.err = errServerEnded
		s.recordLoss(a)
	case !s.confirmEnd(a):
		s.returnConn(a)
		a.err = errNoEvents
	default:
		s.finish(a)
	}
}

// confirmEnd reports whether the end of a complete response ends the stream. If its server took the
// stream over and sent nothing that continues it, a second response must say the same, as the
// caller's is the system's own joining of several.
func (s *stream) confirmEnd(a *streamAttempt) bool {
	if a.advanced || !s.begun {
		return true
	}
	s.emptyEnds++
	return s.emptyEnds > 1
}

// onProgress is called for each event and at the end of the stream. The first call for
// an attempt marks its prompt as processed, and the first call for the stream sends
// the head of the response to the caller.
func (s *stream) onProgress(a *streamAttempt) {
	now := time.Now()
	a.member.RecordContact(now)
	s.recordEventTime(a, now)
	if !a.responseStarted {
		a.responseStarted = true
		s.h.firstEventMonitor.unwatch(a)
		a.member.PromptProcessed(a.query, now.Sub(a.started))
		a.rollout.Respond(a.timeToFirstEvent(now))
		if s.resumes > 0 {
			s.h.Recorder.Record("resumed", Fields{"request": s.meta.ID, "server": a.member.ID(), "from_copy": a.fromBackup(), "after": s.lastEvent, "ms": ms(now.Sub(s.interruptedAt))})
		}
	}
	if !s.responseStarted {
		s.responseStarted = true
		s.bind(a.member.Version())
		s.copyResponseHeaders(a.response)
		s.w.WriteHeader(a.response.StatusCode)
	}
	a.response.Header = nil // no more needed, and a stream may last for minutes
}

// recordEventTime records when the first event arrived and the maximum time between
// events, and the pace of the server.
func (s *stream) recordEventTime(a *streamAttempt, now time.Time) {
	s.h.paces.Of(s.service.Name).RecordEvent(a.member.ID(), &a.silence, a.responseStarted, now)
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	} else {
		s.maxEventGap = max(s.maxEventGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// writeEvent writes an event to the caller. It is sent at the next flush at the latest.
func (s *stream) writeEvent(e *sse.Event) error {
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	s.unflushed = true
	if _, err := s.w.Write(e.Bytes); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	s.begun, s.emptyEnds = true, 0
	s.unnumbered = e.ID < 0
	if !s.unnumbered {
		s.lastEvent = e.ID
	}
	return nil
}

// flush sends the events that were written and not sent yet.
func (s *stream) flush() error {
	if !s.unflushed {
		return nil
	}
	s.unflushed = false
	return errors.Wrap(http.NewResponseController(s.w).Flush(), "write to the caller")
}

// finish completes a stream whose last event has arrived.
func (s *stream) finish(a *streamAttempt) {
	s.returnConn(a)
	s.onProgress(a)
	_ = http.NewResponseController(s.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	a.outcome = answered
	s.h.releaseCopy(a)
	a.member.RecordSuccess(time.Since(a.started), time.Now())
	s.h.crashDetector.recordCompleted(s.exchange, a.member, a.response)
	s.h.Recorder.Record("answered", Fields{
		"request": s.meta.ID, "route": s.route.Name, "server": a.member.ID(), "status": a.response.StatusCode, "attempts": s.attempts, "last": s.lastEvent,
		"ms": ms(time.Since(s.arrived)), "resumes": s.resumes, "first_ms": ms(s.firstEventAt.Sub(s.arrived)), "pause_ms": ms(s.maxEventGap),
	})
}
