package relay

import (
	"context"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fleet"
	"cicadabeam/core/rollout/traffic"
)

const (
	// overlapTimeout is how long a stream waits for the server that is to take it over while that one and
	// the one before may both work on it, and endTimeout how long until it is known that the first of them
	// to be given up has learnt of that.
	overlapTimeout = 170 * time.Millisecond
	endTimeout     = 130 * time.Millisecond
	// minEndTimeout is a round trip between regions and some more, for a host that is late itself.
	minEndTimeout = 60 * time.Millisecond
	// pathCheckInterval is the time between two checks of the path on which a response is awaited.
	pathCheckInterval = 100 * time.Millisecond
)

var (
	errNoResponse = errors.New("the server did not start its response in time")
	errMoved      = errors.New("the server was silent and another one has taken the stream over")
	// errQuarantined ends a request that may not be sent any more.
	errQuarantined = errors.New("the request is quarantined because servers crashed while running it or others with a part of its prompt")
	errWentOn      = errors.New("the server before went on")
	// errCutOff ends a run because another server may work on the stream and can't be told.
	errCutOff = errors.New("the server that was to take the stream over was not reached and may work on it")
)

// move tries to move a stream from the server of attempt a, which sends nothing but may be
// sound, to another one. It returns the new attempt once its server has started the response,
// or nil if the stream stays where it is. Meanwhile the response to a is kept, unless two servers would
// go on with the stream: if a.err is set, a was given up.
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
		s.settle(a, b)
		s.close(b)
		if a.unread != nil || a.err != nil {
			return nil
		}
		if !b.fromBackup() && b.outcome == refused && s.sleep(refusedRetryDelay) != nil {
			return nil
		}
	}
}

// stay records why a stream was not moved, and delays the next attempt to move it.
func (s *stream) stay(a *streamAttempt, denied string) {
	now := time.Now()
	s.h.Recorder.Record("stream stays", Fields{
		"request": s.meta.ID, "server": a.member.ID(), "silent_ms": ms(a.silence.SilentFor(now)), "limit_ms": ms(s.silenceLimit(a)), "last": s.lastEvent, "denied": denied, "attempts": s.attempts,
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
		m := s.rollout.Reserve(s.h.Fleet, q)
		if m == nil && s.responseStarted && !again {
			q.Exclude = map[string]bool{a.member.ID(): true}
			m = s.rollout.Reserve(s.h.Fleet, q)
		}
		if m == nil {
			return nil, "servers"
		}
		b = s.newAttempt(m, q, kvSource{})
	}
	if !s.allowRetry(s.sentAttempts) {
		b.member.Release(b.query, false)
		b.rollout.End(traffic.Unknown, 0)
		return nil, "budget"
	}
	if len(s.retries) < 2 {
		s.reserveRetry(s.sentAttempts + 1) // for a stream that neither server goes on with
	}
	return b, ""
}

// awaitHead waits until the server of attempt b has started its response, and reports whether it has.
// It does so for overlapTimeout while both servers may work on the stream. Then b has failed if a has gone
// on, or if it is to resume from a KV cache backup, which takes no time, and a can be reached. Else a is
// given up.
func (s *stream) awaitHead(a, b *streamAttempt) bool {
	limit := time.NewTimer(time.Until(s.headDeadline(b)))
	defer limit.Stop()
	reached, stop := s.watchPath(b)
	defer stop()
	expected := b.started.Add(b.member.ExpectedLatency(b.query))
	from := b.mayRunFrom
	if reached != nil {
		from = time.Now() // it may begin sooner than expected
	}
	overlap := time.NewTimer(time.Until(from.Add(overlapTimeout)))
	defer overlap.Stop()
	fromA := a.parts
	for {
		select {
		case x := <-b.parts:
			return s.acceptHead(b, &x)
		case x := <-fromA:
			a.unread, fromA = &x, nil
			if a.isBroken() {
				a.conn.GiveUp() // the server may work on
				continue
			}
			b.err = errWentOn
			if time.Now().Before(b.mayRunFrom) {
				return false
			}
		case at := <-reached: // it had not begun by then
			if a.unread == nil {
				overlap.Reset(time.Until(earliest(at, expected).Add(overlapTimeout)))
			}
		case <-overlap.C:
			switch {
			case a.isBroken():
			case a.unread != nil:
				return false
			case b.fromBackup() && !a.member.Lost():
				b.err = errNoResponse
				return false
			case reached != nil && time.Now().Before(expected) && s.h.reaches(s.ctx, b.member, time.Now().Add(endTimeout)):
				overlap.Reset(overlapTimeout) // the checks were late
			default:
				s.end(a, errMoved)
				fromA, reached = nil, nil
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

// watchPath checks the path on which the response of a server is awaited that processes a prompt first,
// and returns times at which the path worked. The path through another host can't be checked.
func (s *stream) watchPath(b *streamAttempt) (reached <-chan time.Time, stop func()) {
	if b.fromBackup() || b.conn.Through() != "" {
		return nil, func() {}
	}
	ctx, cancel := context.WithCancel(s.ctx)
	times := make(chan time.Time)
	go func() {
		for at := time.Now(); sleepUntil(ctx, at) == nil; at = at.Add(pathCheckInterval) {
			if s.h.reaches(ctx, b.member, at.Add(overlapTimeout)) {
				select {
				case times <- at:
				case <-ctx.Done():
				}
			}
		}
	}()
	return times, cancel
}

// isBroken reports whether the next part of the response to an attempt is that it broke off.
func (a *streamAttempt) isBroken() bool {
	return a.unread != nil && a.unread.err != nil && !a.isComplete(a.unread)
}

// settle ends one of two runs after attempt b, which was to take the stream over from a, has failed: the
// second one if its server is known to have learnt of that, else the first one too.
func (s *stream) settle(a, b *streamAttempt) {
	if b.fromBackup() {
		a.failedSource = b.source
	}
	if b.outcome != broken || b.answered || s.ctx.Err() != nil || a.err != nil || a.unread != nil && a.unread.err != nil {
		return
	}
	now := time.Now()
	until := b.mayRunFrom.Add(overlapTimeout + endTimeout)
	if least := now.Add(minEndTimeout); until.Before(least) {
		until = least
	}
	if b.conn.EndBy(earliest(until, now.Add(endTimeout))) {
		return
	}
	s.attempts-- // a server that is cut off doesn't count
	s.end(a, errCutOff)
}

// end ends the run of an attempt for a reason that says nothing of its server.
func (s *stream) end(a *streamAttempt, reason error) {
	a.conn.GiveUp()
	a.err = reason
	s.endedAt = a.member
}

// reserveEnded reserves the server whose run was ended although it may have been sound, once.
func (s *stream) reserveEnded(q fleet.Query) *fleet.Member {
	if s.endedAt == nil {
		return nil
	}
	delete(s.tried, s.endedAt.ID())
	s.endedAt = nil
	return s.rollout.Reserve(s.h.Fleet, q)
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
	b.answered = x.complete
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
