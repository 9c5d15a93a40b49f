package relay

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
)

// overlapTimeout is how long a stream waits for the server that is to take it over while that one and
// the one before may both work on it.
const overlapTimeout = 300 * time.Millisecond

var (
	errNoResponse = errors.New("the server did not start its response in time")
	errMoved      = errors.New("the server was silent and another one has taken the stream over")
	// errQuarantined ends a request that may not be sent any more.
	errQuarantined = errors.New("the request is quarantined because servers crashed while running it or others with a part of its prompt")
	errWentOn      = errors.New("the server before went on")
)

// move tries to move a stream from the server of attempt a, which sends nothing but may be
// sound, to another one. It returns the new attempt once its server has started the response,
// or nil if the stream stays where it is. Meanwhile the response to a is kept.
func (s *stream) move(a *streamAttempt) *streamAttempt {
	silentSince := time.Now()
	if a.responseStarted {
		a.member.RecordFailure(silentSince)
		go s.h.firstEventMonitor.probeStalled(a.member)
	}
	for again := false; ; again = true {
		b, denied := s.reserveMove(a, again)
		if b == nil {
			s.stay(a, denied)
			return nil
		}
		if s.open(b) && s.awaitHead(a, b) {
			if s.interruptedAt.IsZero() || a.responseStarted {
				s.interruptedAt = silentSince
			}
			s.resumes++
			a.beside = time.Since(b.started)
			return b
		}
		s.close(b)
		if a.unread != nil {
			return nil
		}
		if b.fromBackup() {
			a.failedSource = b.source
		} else if b.outcome == refused && s.sleep(refusedRetryDelay) != nil {
			return nil
		}
	}
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
// the KV cache backup. again is set if another server has just failed to take the stream over;
// servers that failed before are then not considered. If reserveMove returns no attempt, it
// returns what prevented one.
func (s *stream) reserveMove(a *streamAttempt, again bool) (b *streamAttempt, denied string) {
	switch {
	case s.ctx.Err() != nil:
		return nil, "deadline"
	case !s.h.crashDetector.maySend(s.exchange, true):
		return nil, "quarantine"
	case !s.route.Kind.Retryable():
		return nil, "kind"
	case s.unnumbered:
		return nil, "position"
	case !s.mayGoOn():
		return nil, "version"
	case s.reservations >= maxReservations, s.attempts >= max(s.route.Attempts, 1):
		return nil, "attempts"
	}
	q := s.query()
	q.Begun = s.responseStarted
	if a.responseStarted {
		b = s.reserveSource(q, s.sourceAfter(a))
	}
	if b == nil && a.responseStarted && a.silence.SilentFor(q.Now) < stallTimeoutWithoutBackup {
		return nil, "servers"
	}
	if b == nil {
		m := s.h.Fleet.Reserve(q)
		if m == nil && s.responseStarted && !again {
			q.Exclude = map[string]bool{a.member.ID(): true}
			m = s.h.Fleet.Reserve(q)
		}
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

// awaitHead waits until the server of attempt b has started its response. If a goes on
// meanwhile, b is abandoned: at once if it cannot have processed the prompt yet, else after
// overlapTimeout, as it may just have begun to run. From a KV cache backup b begins at once, and is
// abandoned after overlapTimeout also if a's server is silent but can be reached.
func (s *stream) awaitHead(a, b *streamAttempt) bool {
	prefilled := time.NewTimer(b.member.PrefillTime(b.query) / 2)
	defer prefilled.Stop()
	limit := time.NewTimer(time.Until(s.headDeadline(b)))
	defer limit.Stop()
	mayRun := b.fromBackup()
	overlap := time.NewTimer(time.Until(b.started.Add(overlapTimeout)))
	defer overlap.Stop()
	if !b.fromBackup() {
		overlap.Stop()
	}
	fromA := a.parts
	for {
		select {
		case x := <-b.parts:
			return s.acceptHead(b, &x)
		case x := <-fromA:
			a.unread, fromA = &x, nil
			if x.err != nil && !a.isComplete(&x) {
				a.conn.GiveUp() // the server may work on
				continue
			}
			b.err = errWentOn
			if !mayRun {
				return false
			}
			limit.Reset(min(time.Until(s.headDeadline(b)), overlapTimeout))
		case <-prefilled.C:
			mayRun = true
		case <-overlap.C:
			if a.unread == nil && !a.member.Lost() {
				b.err = errNoResponse
				return false
			}
		case <-b.suspected:
			b.err = errNoResponse
			return false
		case <-limit.C:
			if b.err == nil {
				b.err = errNoResponse
				b.member.RecordFailure(time.Now())
			}
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
func (s *stream) acceptHead(b *streamAttempt, x *received) bool {
	if x.err != nil {
		b.err = x.err
		s.recordLoss(b)
		return false
	}
	if s.isEventStream(x.head) {
		b.err = nil
		s.recordHead(b, x.head)
		return true
	}
	s.classifyResponse(b, x)
	if b.outcome == broken {
		b.member.RecordFailure(time.Now())
	}
	return false
}
