package relay

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	errNoResponse = errors.New("the server did not start its response in time")
	errMoved      = errors.New("the server was silent and another one has taken the stream over")
	errWentOn     = errors.New("the server before went on")
)

// move tries to move a stream from the server of attempt a, which sends nothing but may be
// sound, to another one. It returns the new attempt once its server has started the response,
// or nil if the stream stays where it is. Meanwhile the response to a is kept.
func (s *stream) move(a *streamAttempt) *streamAttempt {
	now := time.Now()
	if a.responseStarted {
		a.member.RecordFailure(now)
		go s.h.firstEventMonitor.probeStalled(a.member)
	}
	b, denied := s.reserveMove(a, now)
	if b == nil {
		s.stay(a, denied)
		return nil
	}
	if s.open(b) && s.awaitHead(a, b) {
		if s.interruptedAt.IsZero() || a.responseStarted {
			s.interruptedAt = now
		}
		s.resumes++
		return b
	}
	s.close(b)
	if b.outcome == refused {
		a.refusedSource = b.source
	}
	s.stay(a, "other server")
	return nil
}

// stay records why a stream was not moved, and delays the next attempt to move it.
func (s *stream) stay(a *streamAttempt, denied string) {
	now := time.Now()
	s.h.Recorder.Record("stream stays", Fields{
		"request": s.meta.ID, "server": a.member.ID(), "silent_ms": ms(a.silence.SilentFor(now)), "last": s.lastEvent, "denied": denied, "attempts": s.attempts,
	})
	a.silence.MoveFailed(now)
}

// reserveMove reserves a server for a stream whose server is silent: preferably the one with
// the KV cache backup. If it returns no attempt, it returns what prevented one.
func (s *stream) reserveMove(a *streamAttempt, now time.Time) (b *streamAttempt, denied string) {
	switch {
	case s.ctx.Err() != nil:
		return nil, "deadline"
	case !s.route.Kind.Retryable():
		return nil, "kind"
	case s.reservations >= maxReservations, s.attempts >= max(s.route.Attempts, 1):
		return nil, "attempts"
	}
	q := s.query()
	q.Begun = s.responseStarted
	if a.responseStarted {
		b = s.reserveSource(q, s.sourceAfter(a))
	}
	if b == nil && a.responseStarted && a.silence.SilentFor(now) < stallTimeoutWithoutBackup {
		return nil, "servers"
	}
	if b == nil {
		m := s.h.Fleet.Reserve(q)
		if m == nil {
			return nil, "servers"
		}
		b = s.newAttempt(m, q, kvSource{})
	}
	if !s.allowRetry(s.sentAttempts) {
		b.member.Release(b.query, false)
		return nil, "budget"
	}
	return b, ""
}

// awaitHead waits until the server of attempt b has started its response. If b has to process
// the prompt again and cannot have done so yet, it is abandoned as soon as a goes on; later
// b may be running, and a must not go on beside it.
func (s *stream) awaitHead(a, b *streamAttempt) bool {
	fromA := a.parts
	prefillTime := b.member.PrefillTime(b.query) / 2
	if b.fromBackup() {
		prefillTime = 0
	}
	prefilled := time.NewTimer(prefillTime)
	defer prefilled.Stop()
	limit := time.NewTimer(time.Until(s.headDeadline(b)))
	defer limit.Stop()
	for {
		select {
		case x := <-b.parts:
			return s.acceptHead(b, x)
		case x := <-fromA:
			a.unread = &x
			if x.err == nil || a.isComplete(x) {
				b.err = errWentOn
				return false
			}
			fromA = nil
		case <-prefilled.C:
			fromA = nil
		case <-b.suspected:
			b.err = errNoResponse
			return false
		case <-limit.C:
			b.err = errNoResponse
			b.member.RecordFailure(time.Now())
			return false
		case <-s.ctx.Done():
			b.err = os.ErrDeadlineExceeded
			return false
		}
	}
}

// headDeadline returns until when the server of an attempt that is to take a stream over must
// have started its response.
func (s *stream) headDeadline(b *streamAttempt) time.Time {
	if b.fromBackup() {
		return earliest(s.deadline, b.started.Add(backupResumeTimeout))
	}
	return earliest(s.deadline, b.started.Add(lateThreshold(b.member.ExpectedLatency(b.query))))
}

// acceptHead handles the first part of the response to an attempt that is to take a stream
// over. It reports whether that is the head of an event stream.
func (s *stream) acceptHead(b *streamAttempt, x received) bool {
	if x.err != nil {
		b.err = x.err
		s.recordLoss(b)
		return false
	}
	if s.isEventStream(x.head) {
		s.recordHead(b, x.head)
		return true
	}
	s.classifyResponse(b, x.head)
	if b.outcome == broken {
		b.member.RecordFailure(time.Now())
	}
	return false
}
