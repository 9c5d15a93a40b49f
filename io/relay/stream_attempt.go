package relay

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fleet"
	"cicadabeam/core/kvbackup"
	"cicadabeam/io/http1"
	"cicadabeam/io/sse"
)

const (
	// stallTimeoutWithBackup is the time without events after which a stream is
	// resumed at another server from the KV cache backup. Events arrive every 30 to
	// 210 ms, and pauses up to 700 ms still meet the event gap goal.
	stallTimeoutWithBackup = 400 * time.Millisecond
	// stallTimeoutWithoutBackup is the time without events after which a stream is
	// resumed at a server that must process the prompt again.
	stallTimeoutWithoutBackup = 1500 * time.Millisecond
	// backupResumeTimeout limits the time in which a server that resumes a stream from a
	// KV cache backup must start its response, if the caller has already received the head
	// of the response.
	backupResumeTimeout = 600 * time.Millisecond
	// callerWriteTimeout limits the time of a write to a caller.
	callerWriteTimeout = 10 * time.Second
)

// streamAttempt is one attempt to run a stream on a server.
type streamAttempt struct {
	requestID       string // ID of the request
	member          *fleet.Member
	query           fleet.Query
	conn            *http1.Conn
	fromBackup      bool // it resumes from a KV cache backup
	backup          *fleet.Member
	copies          *kvbackup.Run // copies that replace a lost backup, nil if the server can't make any
	started         time.Time
	reportDue       time.Time // when the server is queried for its runs
	responseStarted bool
	outcome         outcome
	err             error
	response        *http.Response // head of the signed event stream, nil before it has arrived
	// responseLost is set if the server ran the request but its response does not
	// arrive.
	responseLost atomic.Bool
}

func (s *stream) roundTrip(a *streamAttempt) {
	c, err := s.h.Pool.Get(s.ctx, a.member.Address(), http1.AllowReuse)
	if err != nil {
		a.err = err
		s.h.recordLoss(a.member, time.Now())
		return
	}
	a.conn = c
	forward := ForwardMeta{LastEventID: s.lastEvent}
	if a.fromBackup {
		forward.ResumeAddress, forward.ResumeRunID = s.resumeFrom.address, s.resumeFrom.runID
	}
	if e := s.service.Engine; e != nil && e.KVCacheBackups && s.route.Kind.Retryable() {
		if a.backup = s.h.Fleet.SelectBackup(s.query(), a.member); a.backup != nil {
			forward.BackupAddress = a.backup.Address()
			if e.KVCacheMoves {
				a.copies = kvbackup.NewRun(e.BackupTTL)
			}
		}
	}
	request, ok := s.request(a.member, forward)
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

// recordLoss handles a connection that ended during an attempt.
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

// readResponse reads the head of the response and handles the rest according to it.
func (s *stream) readResponse(a *streamAttempt) {
	r, err := a.conn.ReadResponse(s.r.Method, s.meta.ID, s.h.Codec.RequestID, s.headDeadline(a))
	if err != nil {
		a.err = err
		s.recordLoss(a)
		return
	}
	meta := s.h.Codec.DecodeResponse(r)
	now := time.Now()
	if meta.HasLoad {
		a.member.RecordLoad(meta.Load, now)
	}
	if r.StatusCode >= 200 && r.StatusCode < 300 && meta.Signed {
		a.response = r
		s.forwardEvents(a, r)
		return
	}
	s.handleNonStreamResponse(a, r, meta, now)
}

// headDeadline returns the deadline for the head of the response.
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

// handleNonStreamResponse handles a response that is not an event stream.
func (s *stream) handleNonStreamResponse(a *streamAttempt, r *http.Response, meta ResponseMeta, now time.Time) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBytes))
	if err != nil || len(body) == maxBufferedBytes {
		a.conn.Close()
	} else {
		s.h.Pool.Put(a.conn)
	}
	a.err = errors.Newf("status %d", r.StatusCode)
	switch {
	case meta.WrongServer:
		a.outcome = moved
		s.attempts--
		s.dispatched.RecordNotRun()
		a.member.MarkReplaced()
		s.h.Pool.CloseIdle(a.member.Address())
	case meta.NotRun:
		a.outcome = refused
		s.attempts--
		s.dispatched.RecordNotRun()
		if !a.fromBackup {
			a.member.RecordFailure(now)
		}
	case meta.Signed && err == nil && !s.responseStarted && !impliesNotRun(r.StatusCode) && !s.worthRetrying(r.StatusCode):
		a.outcome = answered
		s.writeResponse(&attempt{member: a.member, response: r, body: body})
	default:
		a.member.RecordFailure(now)
	}
}

// worthRetrying reports whether a response with this status is discarded and the
// request is sent to another server.
func (s *stream) worthRetrying(status int) bool {
	return status >= http.StatusInternalServerError && s.route.Kind.Retryable() && s.attempts < s.route.Attempts
}

// forwardEvents forwards the events of an attempt until the end of the response.
func (s *stream) forwardEvents(a *streamAttempt, r *http.Response) {
	reader := sse.NewReader(r.Body)
	for {
		if !reader.HasBufferedEvent() {
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
		s.maintainCopy(a)
		if e.ID >= 0 && e.ID <= s.lastEvent {
			continue
		}
		if e.ID >= 0 && s.lastEvent > 0 && e.ID > s.lastEvent+1 {
			a.err = errors.Newf("event %d received after event %d; events are missing", e.ID, s.lastEvent)
			a.conn.Close()
			a.member.RecordFailure(time.Now())
			return
		}
		if !s.forwardEvent(a, e, reader.HasBufferedEvent()) {
			return
		}
	}
}

// stallTimeout returns the maximum time between two events of an attempt.
func (s *stream) stallTimeout(a *streamAttempt) time.Duration {
	now := time.Now()
	if a.backup != nil && s.route.Kind.Retryable() && s.h.Fleet.FindUsable(s.sourceAfter(a).server, now) != nil {
		return stallTimeoutWithBackup
	}
	return stallTimeoutWithoutBackup
}

// onProgress is called for each event and at the end of the stream. The first call for
// an attempt marks its prompt as processed, and the first call for the stream sends
// the head of the response to the caller.
func (s *stream) onProgress(a *streamAttempt) {
	now := time.Now()
	a.member.RecordContact(now)
	s.recordEventTime(now)
	if !a.responseStarted {
		a.responseStarted = true
		s.h.firstEventMonitor.unwatch(a)
		a.member.PromptProcessed(a.query, now.Sub(a.started))
		if s.resumes > 0 {
			s.h.Recorder.Record("resumed", Fields{"request": s.meta.ID, "server": a.member.ID(), "from_copy": a.fromBackup, "after": s.lastEvent, "ms": ms(now.Sub(s.interruptedAt))})
		}
	}
	if s.responseStarted {
		return
	}
	s.responseStarted = true
	s.copyResponseHeaders(a.response)
	s.w.WriteHeader(a.response.StatusCode)
}

// recordEventTime records when the first event arrived and the maximum time between
// events.
func (s *stream) recordEventTime(now time.Time) {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	} else {
		s.maxEventGap = max(s.maxEventGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// forwardEvent writes an event to the caller. It does not flush if moreBuffered is
// set, as the next event has arrived already. It reports whether the event was written.
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

// finish completes a stream whose last event has arrived.
func (s *stream) finish(a *streamAttempt) {
	s.h.Pool.Put(a.conn)
	s.onProgress(a)
	a.outcome = answered
	s.h.releaseCopy(a)
	a.member.RecordSuccess(time.Since(a.started), time.Now())
	s.h.Recorder.Record("answered", Fields{
		"request": s.meta.ID, "route": s.route.Name, "server": a.member.ID(), "status": a.response.StatusCode, "attempts": s.attempts, "last": s.lastEvent,
		"ms": ms(time.Since(s.arrived)), "resumes": s.resumes, "first_ms": ms(s.firstEventAt.Sub(s.arrived)), "pause_ms": ms(s.maxEventGap),
	})
}

func (s *stream) logAttempt(a *streamAttempt) {
	f := Fields{
		"request": s.meta.ID, "server": a.member.ID(), "address": a.member.Address(), "outcome": a.outcome.String(), "from_copy": a.fromBackup, "last": s.lastEvent,
		"ms": ms(time.Since(a.started)), "prompt_tokens": s.meta.PromptTokens, "output_tokens": s.meta.OutputTokens,
	}
	if a.backup != nil {
		f["backup"] = a.backup.ID()
	}
	if a.err != nil {
		f["error"] = a.err.Error()
	}
	s.h.Recorder.Record("leg", f)
}
