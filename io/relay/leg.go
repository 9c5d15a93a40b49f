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
	copyQuiet = 400 * time.Millisecond
	// rereadQuiet is the silence after which it goes on where its prompt has to be
	// read again.
	rereadQuiet = 1500 * time.Millisecond
	// copyWait bounds the time in which a server with a copy of a run that had
	// begun sends the next event.
	copyWait = 600 * time.Millisecond
	// callerWait bounds one write to a caller.
	callerWait = 10 * time.Second
)

// leg is one run of a stream on one server.
type leg struct {
	request string // its id
	member  *fleet.Member
	query   fleet.Query
	conn    *http1.Conn
	copied  bool // it goes on from a copy
	backup  *fleet.Member
	started time.Time
	overdue time.Time // when the server is asked what became of the run
	begun   bool
	outcome outcome
	err     error
	signed  *http.Response
	// answerLost tells that the server ran the request and its answer doesn't arrive.
	answerLost atomic.Bool
}

func (s *stream) converse(l *leg) {
	c, err := s.h.Pool.Get(s.ctx, l.member.Address(), http1.Reuse)
	if err != nil {
		l.err = err
		s.h.lost(l.member, time.Now())
		return
	}
	l.conn = c
	send := Send{LastEvent: s.last}
	if l.copied {
		send.CopyAt, send.CopyOf = l.member.Address(), s.call.ID
	}
	if e := s.service.Engine; e != nil && e.KVCacheBackups && s.route.Kind.Retryable() {
		if l.backup = s.h.Fleet.SelectBackup(s.query(), l.member); l.backup != nil {
			send.BackupAt = l.backup.Address()
		}
	}
	request, ok := s.request(l.member, send)
	if !ok || !l.member.Usable(time.Now()) {
		s.h.Pool.Put(c)
		l.err = errors.New("the server leaves or no time is left")
		return
	}
	stop := context.AfterFunc(s.ctx, c.Interrupt)
	defer stop()
	s.offers.Begin()
	l.outcome = broken
	s.attempts++
	s.arrivals++
	if l.err = c.Send(request, s.deadline); l.err != nil {
		s.lost(l)
		return
	}
	defer s.h.waits.watch(l)()
	s.receive(l)
}

// lost notes that a connection ended under a leg.
func (s *stream) lost(l *leg) {
	l.conn.Close()
	if l.answerLost.Load() {
		l.member.RecordFailure(time.Now())
		return
	}
	if s.ctx.Err() == nil {
		s.h.lost(l.member, time.Now())
		s.h.deaths.ended(s.exchange, l.member, int(s.last), l.err)
	}
}

// receive reads the answer of a leg.
func (s *stream) receive(l *leg) {
	r, err := l.conn.Head(s.r.Method, s.call.ID, s.h.Dialect.RequestID, s.headDeadline(l))
	if err != nil {
		l.err = err
		s.lost(l)
		return
	}
	reply := s.h.Dialect.Reply(r)
	now := time.Now()
	if reply.HasLoad {
		l.member.RecordLoad(reply.Load, now)
	}
	if r.StatusCode >= 200 && r.StatusCode < 300 && reply.Signed {
		l.signed = r
		s.events(l, r)
		return
	}
	s.rejected(l, r, reply, now)
}

// headDeadline is until when the head of an answer is awaited.
func (s *stream) headDeadline(l *leg) time.Time {
	if l.copied && s.begun {
		return earliest(s.deadline, time.Now().Add(copyWait))
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
func (s *stream) rejected(l *leg, r *http.Response, reply Reply, now time.Time) {
	body, err := io.ReadAll(io.LimitReader(r.Body, heldBytes))
	if err != nil || len(body) == heldBytes {
		l.conn.Close()
	} else {
		s.h.Pool.Put(l.conn)
	}
	l.err = errors.Newf("status %d", r.StatusCode)
	switch {
	case reply.Moved:
		l.outcome = moved
		s.attempts--
		s.offers.RecordNotRun()
		l.member.MarkReplaced()
		s.h.Pool.Forget(l.member.Address())
	case reply.NotRun:
		l.outcome = refused
		s.attempts--
		s.offers.RecordNotRun()
		if !l.copied {
			l.member.RecordFailure(now)
		}
	case reply.Signed && err == nil && !s.begun && !ambiguous(r.StatusCode) && !s.worthRepeating(r.StatusCode):
		l.outcome = answered
		s.deliver(&attempt{member: l.member, response: r, body: body})
	default:
		l.member.RecordFailure(now)
	}
}

// worthRepeating tells whether another server may do better after a failure.
func (s *stream) worthRepeating(status int) bool {
	return status >= http.StatusInternalServerError && s.route.Kind.Retryable() && s.attempts < s.route.Attempts
}

// events passes the events of a leg on until the answer's end.
func (s *stream) events(l *leg, r *http.Response) {
	events := sse.NewReader(r.Body)
	for {
		if !events.Buffered() {
			l.conn.SetReadDeadline(earliest(s.deadline, time.Now().Add(s.quiet(l))))
		}
		e, err := events.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			s.finish(l)
			return
		}
		if err != nil {
			l.err = err
			s.lost(l)
			return
		}
		s.begin(l)
		if e.ID >= 0 && e.ID <= s.last {
			continue
		}
		if e.ID >= 0 && s.last > 0 && e.ID > s.last+1 {
			l.err = errors.Newf("event %d came after event %d", e.ID, s.last)
			l.conn.Close()
			l.member.RecordFailure(time.Now())
			return
		}
		if !s.pass(l, e, events.Buffered()) {
			return
		}
	}
}

// quiet is how long a leg may be silent between events.
func (s *stream) quiet(l *leg) time.Duration {
	if l.backup != nil && s.route.Kind.Retryable() && s.h.Fleet.FindUsable(l.backup.ID(), time.Now()) != nil {
		return copyQuiet
	}
	return rereadQuiet
}

// begin notes that a leg runs, and gives the caller the head of the answer.
func (s *stream) begin(l *leg) {
	now := time.Now()
	l.member.RecordContact(now)
	s.measure(now)
	if !l.begun {
		l.begun = true
		s.h.waits.forget(l)
		l.member.PromptProcessed(l.query, now.Sub(l.started))
		if s.resumes > 0 {
			s.h.Recorder.Record("resumed", Fields{"request": s.call.ID, "server": l.member.ID(), "from_copy": l.copied, "after": s.last, "ms": ms(now.Sub(s.lostAt))})
		}
	}
	if s.begun {
		return
	}
	s.begun = true
	s.answerHeaders(l.signed)
	s.w.WriteHeader(l.signed.StatusCode)
}

// measure notes how long callers wait for events.
func (s *stream) measure(now time.Time) {
	if s.firstAt.IsZero() {
		s.firstAt = now
	} else {
		s.pause = max(s.pause, now.Sub(s.newest))
	}
	s.newest = now
}

// pass gives the caller an event. more tells that the next one is there already.
func (s *stream) pass(l *leg, e sse.Event, more bool) bool {
	control := http.NewResponseController(s.w)
	_, err := s.w.Write(e.Bytes)
	if err == nil && !more {
		_ = control.SetWriteDeadline(time.Now().Add(callerWait))
		err = control.Flush()
	}
	if err != nil {
		l.err = err
		l.conn.Close()
		return false
	}
	if e.ID >= 0 {
		s.last = e.ID
	}
	return true
}

// finish ends a stream whose last event has come.
func (s *stream) finish(l *leg) {
	s.h.Pool.Put(l.conn)
	s.begin(l)
	l.outcome = answered
	l.member.RecordSuccess(time.Since(l.started), time.Now())
	s.h.Recorder.Record("answered", Fields{
		"request": s.call.ID, "route": s.route.Name, "server": l.member.ID(), "status": l.signed.StatusCode, "attempts": s.attempts, "last": s.last,
		"ms": ms(time.Since(s.arrived)), "resumes": s.resumes, "first_ms": ms(s.firstAt.Sub(s.arrived)), "pause_ms": ms(s.pause),
	})
}

func (s *stream) note(l *leg) {
	f := Fields{
		"request": s.call.ID, "server": l.member.ID(), "address": l.member.Address(), "outcome": l.outcome.String(), "from_copy": l.copied, "last": s.last,
		"ms": ms(time.Since(l.started)),
	}
	if l.backup != nil {
		f["backup"] = l.backup.ID()
	}
	if l.err != nil {
		f["error"] = l.err.Error()
	}
	s.h.Recorder.Record("leg", f)
}
