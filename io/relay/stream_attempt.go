package relay

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fleet"
	"cicadabeam/io/http1"
	"cicadabeam/io/sse"
)

const (
	// copyQuiet is the silence after which a stream goes on from a copy of its memory
	// at another server: events come every 30 to 210 ms, and pauses up to 700 ms are
	// in time.
	stallTimeoutWithBackup = 400 * time.Millisecond
	// rereadQuiet is the silence after which it goes on where its prompt has to be
	// read again.
	stallTimeoutWithoutBackup = 1500 * time.Millisecond
	// copyWait bounds the time in which a server with a copy of a run that had
	// begun sends the next event.
	backupResumeTimeout = 600 * time.Millisecond
	// callerWait bounds one write to a caller.
	callerWriteTimeout = 10 * time.Second
)

// leg is one run of a stream on one server.
type streamAttempt struct {
	requestID       string // its id
	member          *fleet.Member
	query           fleet.Query
	conn            *http1.Conn
	fromBackup      bool // it goes on from a copy
	backup          *fleet.Member
	started         time.Time
	reportDue       time.Time // when the server is asked what became of the run
	responseStarted bool
	outcome         outcome
	err             error
	response        *http.Response
	// answerLost tells that the server ran the request and its answer doesn't arrive.
	responseLost atomic.Bool
}

func (s *stream) roundTrip(a *streamAttempt) {
	c, err := s.h.Pool.Get(s.ctx, a.member.Address(), http1.Reuse)
	if err != nil {
		a.err = err
		s.h.recordLoss(a.member, time.Now())
		return
	}
	a.conn = c
	send := Send{LastEvent: s.lastEvent}
	if a.fromBackup {
		send.CopyAt, send.CopyOf = a.member.Address(), s.call.ID
	}
	if e := s.service.Engine; e != nil && e.KVCacheBackups && s.route.Kind.Retryable() {
		if a.backup = s.h.Fleet.SelectBackup(s.query(), a.member); a.backup != nil {
			send.BackupAt = a.backup.Address()
		}
	}
	request, ok := s.request(a.member, send)
	if !ok || !a.member.Usable(time.Now()) {
		s.h.Pool.Put(c)
		a.err = errors.New("the server is no longer usable or the deadline has passed")
		return
	}
	stop := context.AfterFunc(s.ctx, c.Interrupt)
	defer stop()
	s.dispatched.Begin()
	a.outcome = broken
	s.attempts++
	s.sentAttempts++
	if a.err = c.Send(request, s.deadline); a.err != nil {
		s.recordLoss(a)
		return
	}
	defer s.h.firstEventMonitor.watch(a)()
	s.readResponse(a)
}

// lost notes that a connection ended under a leg.
func (s *stream) recordLoss(a *streamAttempt) {
	a.conn.Close()
	if a.responseLost.Load() {
		a.member.RecordFailure(time.Now())
		return
	}
	if s.ctx.Err() == nil {
		s.h.recordLoss(a.member, time.Now())
		s.h.crashDetector.scheduleEvaluation(s.exchange, a.member, int(s.lastEvent), a.err)
	}
}

// receive reads the answer of a leg.
func (s *stream) readResponse(a *streamAttempt) {
	r, err := a.conn.Head(s.r.Method, s.call.ID, s.h.Dialect.RequestID, s.headDeadline(a))
	if err != nil {
		a.err = err
		s.recordLoss(a)
		return
	}
	reply := s.h.Dialect.Reply(r)
	now := time.Now()
	if reply.HasLoad {
		a.member.RecordLoad(reply.Load, now)
	}
	if r.StatusCode >= 200 && r.StatusCode < 300 && reply.Signed {
		a.response = r
		s.forwardEvents(a, r)
		return
	}
	s.handleNonStreamResponse(a, r, reply, now)
}

// headDeadline is until when the head of an answer is awaited.
func (s *stream) headDeadline(a *streamAttempt) time.Time {
	if a.fromBackup && s.responseStarted {
		return earliest(s.deadline, time.Now().Add(backupResumeTimeout))
	}
	return s.deadline
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// rejected takes an answer that is no stream of events.
func (s *stream) handleNonStreamResponse(a *streamAttempt, r *http.Response, reply Reply, now time.Time) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBytes))
	if err != nil || len(body) == maxBufferedBytes {
		a.conn.Close()
	} else {
		s.h.Pool.Put(a.conn)
	}
	a.err = errors.Newf("status %d", r.StatusCode)
	switch {
	case reply.Moved:
		a.outcome = moved
		s.attempts--
		s.dispatched.RecordNotRun()
		a.member.MarkReplaced()
		s.h.Pool.Forget(a.member.Address())
	case reply.NotRun:
		a.outcome = refused
		s.attempts--
		s.dispatched.RecordNotRun()
		if !a.fromBackup {
			a.member.RecordFailure(now)
		}
	case reply.Signed && err == nil && !s.responseStarted && !impliesNotRun(r.StatusCode) && !s.worthRetrying(r.StatusCode):
		a.outcome = answered
		s.writeResponse(&attempt{member: a.member, response: r, body: body})
	default:
		a.member.RecordFailure(now)
	}
}

// worthRepeating tells whether another server may do better after a failure.
func (s *stream) worthRetrying(status int) bool {
	return status >= http.StatusInternalServerError && s.route.Kind.Retryable() && s.attempts < s.route.Attempts
}

// events passes the events of a leg on until the answer's end.
func (s *stream) forwardEvents(a *streamAttempt, r *http.Response) {
	reader := sse.NewReader(r.Body)
	for {
		if !reader.Buffered() {
			a.conn.SetReadDeadline(earliest(s.deadline, time.Now().Add(s.stallTimeout(a))))
		}
		e, err := reader.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			s.finish(a)
			return
		}
		if err != nil {
			a.err = err
			s.recordLoss(a)
			return
		}
		s.onProgress(a)
		if e.ID >= 0 && e.ID <= s.lastEvent {
			continue
		}
		if e.ID >= 0 && s.lastEvent > 0 && e.ID > s.lastEvent+1 {
			a.err = errors.Newf("event %d received after event %d; events are missing", e.ID, s.lastEvent)
			a.conn.Close()
			a.member.RecordFailure(time.Now())
			return
		}
		if !s.forwardEvent(a, e, reader.Buffered()) {
			return
		}
	}
}

// quiet is how long a leg may be silent between events.
func (s *stream) stallTimeout(a *streamAttempt) time.Duration {
	if a.backup != nil && s.route.Kind.Retryable() && s.h.Fleet.FindUsable(a.backup.ID(), time.Now()) != nil {
		return stallTimeoutWithBackup
	}
	return stallTimeoutWithoutBackup
}

// begin notes that a leg runs, and gives the caller the head of the answer.
func (s *stream) onProgress(a *streamAttempt) {
	now := time.Now()
	a.member.RecordContact(now)
	s.recordEventTime(now)
	if !a.responseStarted {
		a.responseStarted = true
		s.h.firstEventMonitor.unwatch(a)
		a.member.PromptProcessed(a.query, now.Sub(a.started))
		if s.resumes > 0 {
			s.h.Recorder.Record("resumed", Fields{"request": s.call.ID, "server": a.member.ID(), "from_copy": a.fromBackup, "after": s.lastEvent, "ms": ms(now.Sub(s.interruptedAt))})
		}
	}
	if s.responseStarted {
		return
	}
	s.responseStarted = true
	s.copyResponseHeaders(a.response)
	s.w.WriteHeader(a.response.StatusCode)
}

// measure notes how long callers wait for events.
func (s *stream) recordEventTime(now time.Time) {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	} else {
		s.maxEventGap = max(s.maxEventGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// pass gives the caller an event. more tells that the next one is there already.
func (s *stream) forwardEvent(a *streamAttempt, e sse.Event, moreBuffered bool) bool {
	control := http.NewResponseController(s.w)
	_, err := s.w.Write(e.Bytes)
	if err == nil && !moreBuffered {
		_ = control.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
		err = control.Flush()
	}
	if err != nil {
		a.err = err
		a.conn.Close()
		return false
	}
	if e.ID >= 0 {
		s.lastEvent = e.ID
	}
	return true
}

// finish ends a stream whose last event has come.
func (s *stream) finish(a *streamAttempt) {
	s.h.Pool.Put(a.conn)
	s.onProgress(a)
	a.outcome = answered
	a.member.RecordSuccess(time.Since(a.started), time.Now())
	s.h.Recorder.Record("answered", Fields{
		"request": s.call.ID, "route": s.route.Name, "server": a.member.ID(), "status": a.response.StatusCode, "attempts": s.attempts, "last": s.lastEvent,
		"ms": ms(time.Since(s.arrived)), "resumes": s.resumes, "first_ms": ms(s.firstEventAt.Sub(s.arrived)), "pause_ms": ms(s.maxEventGap),
	})
}

func (s *stream) logAttempt(a *streamAttempt) {
	f := Fields{
		"request": s.call.ID, "server": a.member.ID(), "address": a.member.Address(), "outcome": a.outcome.String(), "from_copy": a.fromBackup, "last": s.lastEvent,
		"ms": ms(time.Since(a.started)),
	}
	if a.backup != nil {
		f["backup"] = a.backup.ID()
	}
	if a.err != nil {
		f["error"] = a.err.Error()
	}
	s.h.Recorder.Record("leg", f)
}
