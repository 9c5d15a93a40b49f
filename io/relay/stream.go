package relay

import (
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
	"cicadabeam/core/fleet"
)

const (
	// refusalPause is waited before a stream that all servers refused is tried again.
	refusedRetryDelay = 50 * time.Millisecond
	// maxLegs bounds the servers that one stream is offered to, those that can't be
	// reached among them.
	maxReservations = 24
	// A stream of which the caller has a part waits so often and so long for a server.
	reserveRetries       = 10
	reserveRetryInterval = 100 * time.Millisecond
)

// stream is the state of one stream of events.
type stream struct {
	*exchange
	lastEvent       int64     // the last event that the caller has
	responseStarted bool      // the caller has the head of the answer
	backupServer    string    // id of the server that keeps a copy of the memory of the run that was lost
	interruptedAt   time.Time // when it was lost
	resumes         int
	reservations    int
	firstEventAt    time.Time // when the first event came, and the newest
	lastEventAt     time.Time
	maxEventGap     time.Duration // the longest between two events
}

// stream passes a stream of events on.
func (x *exchange) serveStream() {
	x.awaitPromptServer()
	s := &stream{exchange: x, lastEvent: x.call.LastEvent}
	for {
		a := s.nextAttempt()
		if a == nil {
			s.fail("choose", "no server is available")
			return
		}
		s.run(a)
		if a.outcome == answered {
			return
		}
		if !s.continueAfter(a) {
			return
		}
	}
}

// next reserves the server for the next leg: the one with the copy first.
func (s *stream) nextAttempt() *streamAttempt {
	q := s.query()
	if s.backupServer != "" {
		m := s.h.Fleet.FindUsable(s.backupServer, q.Now)
		if m != nil && m.Reserve(q) {
			return &streamAttempt{requestID: s.call.ID, member: m, query: q, fromBackup: true}
		}
		s.backupServer = ""
	}
	m := s.h.Fleet.Reserve(q)
	if m == nil && s.responseStarted {
		m = s.reserveTriedServer(q)
	}
	if m == nil {
		return nil
	}
	return &streamAttempt{requestID: s.call.ID, member: m, query: q}
}

// reserveAgain goes back to servers that have failed, for a stream of which the
// caller has a part.
func (s *stream) reserveTriedServer(q fleet.Query) *fleet.Member {
	q.Exclude = nil
	for range reserveRetries {
		if m := s.h.Fleet.Reserve(q); m != nil {
			return m
		}
		if s.sleep(reserveRetryInterval) != nil {
			return nil
		}
		q.Now = time.Now()
	}
	return nil
}

// rest waits, or returns an error if the request ends first.
func (s *stream) sleep(d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.ctx.Done():
		return s.ctx.Err()
	case <-t.C:
		return nil
	}
}

// run sends the request to the leg's server and passes on what comes.
func (s *stream) run(a *streamAttempt) {
	a.started = time.Now()
	s.reservations++
	s.tried[a.member.ID()] = true
	s.h.Prompts.RecordSent(s.call.Prompt, a.member.ID(), a.started)
	s.h.Urgent()
	defer func() { a.member.Release(a.query, a.responseStarted) }()
	s.roundTrip(a)
	s.logAttempt(a)
}

// goOn decides whether a stream goes on at another server after a leg that did not
// end it. Before it returns false it has ended the stream: a handler that just returns
// makes the part that the caller has look whole.
func (s *stream) continueAfter(a *streamAttempt) bool {
	if s.ctx.Err() != nil || s.callerLeft() {
		s.fail("answer", "no server responded in time")
		return false
	}
	if a.outcome == broken {
		if s.interruptedAt.IsZero() || a.responseStarted {
			s.interruptedAt = time.Now()
		}
		s.resumes++
		s.backupServer = ""
		if a.backup != nil && (a.responseStarted || a.fromBackup || a.responseLost.Load()) {
			s.backupServer = a.backup.ID()
		}
	} else if a.fromBackup {
		s.backupServer = ""
	}
	switch {
	case a.outcome == broken && s.h.crashDetector.isQuarantined(s.exchange):
		s.fail("answer", "the request is quarantined because servers crashed while running it")
		return false
	case a.outcome == broken && !s.route.Kind.Retryable():
		s.fail("answer", failureReason(a.err))
		return false
	case s.reservations >= maxReservations, s.attempts >= max(s.route.Attempts, 1):
		s.fail("answer", failureReason(a.err))
		return false
	case s.sentAttempts > 0 && !s.h.budget(s.service.Name).AllowRetry(time.Now(), s.h.Nodes()):
		s.h.Recorder.Record("repeat denied", Fields{"request": s.call.ID, "service": s.service.Name, "attempts": s.attempts})
		s.fail("answer", failureReason(a.err))
		return false
	}
	if a.outcome == refused && !a.fromBackup || a.outcome == notOffered && s.reservations > len(s.tried) {
		if s.sleep(refusedRetryDelay) != nil {
			s.fail("answer", "no server responded in time")
			return false
		}
	}
	return true
}

func failureReason(err error) string {
	switch {
	case err == nil:
		return "the server failed"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "the server did not respond in time"
	default:
		return err.Error()
	}
}

// fail ends a stream that no server ended. Once the caller has a part of it, its
// connection is cut, so that the part can't be taken for the whole.
func (s *stream) fail(step, reason string) {
	if !s.responseStarted {
		s.failUnanswered(step, reason)
		return
	}
	s.h.Recorder.Record("broken off", Fields{
		"request": s.call.ID, "step": step, "reason": reason, "last": s.lastEvent, "attempts": s.attempts, "ms": ms(time.Since(s.arrived)),
		"code": fault.ServerFailed,
	})
	panic(http.ErrAbortHandler)
}
