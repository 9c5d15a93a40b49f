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
	refusalPause = 50 * time.Millisecond
	// maxLegs bounds the servers that one stream is offered to, those that can't be
	// reached among them.
	maxLegs = 24
	// A stream of which the caller has a part waits so often and so long for a server.
	againTries = 10
	againPause = 100 * time.Millisecond
)

// stream is the state of one stream of events.
type stream struct {
	*exchange
	last    int64     // the last event that the caller has
	begun   bool      // the caller has the head of the answer
	copyAt  string    // id of the server that keeps a copy of the memory of the run that was lost
	lostAt  time.Time // when it was lost
	resumes int
	legs    int
	firstAt time.Time // when the first event came, and the newest
	newest  time.Time
	pause   time.Duration // the longest between two events
}

// stream passes a stream of events on.
func (x *exchange) stream() {
	x.awaitPrompt()
	s := &stream{exchange: x, last: x.call.LastEvent}
	for {
		l := s.next()
		if l == nil {
			s.fail("choose", "no server can take the request")
			return
		}
		s.run(l)
		if l.outcome == answered {
			return
		}
		if !s.goOn(l) {
			return
		}
	}
}

// next reserves the server for the next leg: the one with the copy first.
func (s *stream) next() *leg {
	q := s.query()
	if s.copyAt != "" {
		m := s.h.Fleet.FindUsable(s.copyAt, q.Now)
		if m != nil && m.Reserve(q) {
			return &leg{request: s.call.ID, member: m, query: q, copied: true}
		}
		s.copyAt = ""
	}
	m := s.h.Fleet.Reserve(q)
	if m == nil && s.begun {
		m = s.reserveAgain(q)
	}
	if m == nil {
		return nil
	}
	return &leg{request: s.call.ID, member: m, query: q}
}

// reserveAgain goes back to servers that have failed, for a stream of which the
// caller has a part.
func (s *stream) reserveAgain(q fleet.Query) *fleet.Member {
	q.Exclude = nil
	for range againTries {
		if m := s.h.Fleet.Reserve(q); m != nil {
			return m
		}
		if s.rest(againPause) != nil {
			return nil
		}
		q.Now = time.Now()
	}
	return nil
}

// rest waits, or returns an error if the request ends first.
func (s *stream) rest(d time.Duration) error {
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
func (s *stream) run(l *leg) {
	l.started = time.Now()
	s.legs++
	s.tried[l.member.ID()] = true
	s.h.Prompts.RecordSent(s.call.Prompt, l.member.ID(), l.started)
	s.h.Urgent()
	defer func() { l.member.Release(l.query, l.begun) }()
	s.converse(l)
	s.note(l)
}

// goOn decides whether a stream goes on at another server after a leg that did not
// end it. Before it returns false it has ended the stream: a handler that just returns
// makes the part that the caller has look whole.
func (s *stream) goOn(l *leg) bool {
	if s.ctx.Err() != nil || s.callerLeft() {
		s.fail("answer", "no server answered in time")
		return false
	}
	if l.outcome == broken {
		if s.lostAt.IsZero() || l.begun {
			s.lostAt = time.Now()
		}
		s.resumes++
		s.copyAt = ""
		if l.backup != nil && (l.begun || l.copied || l.answerLost.Load()) {
			s.copyAt = l.backup.ID()
		}
	} else if l.copied {
		s.copyAt = ""
	}
	switch {
	case l.outcome == broken && s.h.deaths.quarantined(s.exchange):
		s.fail("answer", "the request has crashed the servers that ran it")
		return false
	case l.outcome == broken && !s.route.Kind.Retryable():
		s.fail("answer", describe(l.err))
		return false
	case s.legs >= maxLegs, s.attempts >= max(s.route.Attempts, 1):
		s.fail("answer", describe(l.err))
		return false
	case s.arrivals > 0 && !s.h.budget(s.service.Name).AllowRetry(time.Now(), s.h.Nodes()):
		s.h.Recorder.Record("repeat denied", Fields{"request": s.call.ID, "service": s.service.Name, "attempts": s.attempts})
		s.fail("answer", describe(l.err))
		return false
	}
	if l.outcome == refused && !l.copied || l.outcome == notOffered && s.legs > len(s.tried) {
		if s.rest(refusalPause) != nil {
			s.fail("answer", "no server answered in time")
			return false
		}
	}
	return true
}

func describe(err error) string {
	switch {
	case err == nil:
		return "the server failed"
	case errors.Is(err, os.ErrDeadlineExceeded):
		return "the server is silent"
	default:
		return err.Error()
	}
}

// fail ends a stream that no server ended. Once the caller has a part of it, its
// connection is cut, so that the part can't be taken for the whole.
func (s *stream) fail(step, reason string) {
	if !s.begun {
		s.giveUp(step, reason)
		return
	}
	s.h.Recorder.Record("broken off", Fields{
		"request": s.call.ID, "step": step, "reason": reason, "last": s.last, "attempts": s.attempts, "ms": ms(time.Since(s.arrived)),
		"code": fault.ServerFailed,
	})
	panic(http.ErrAbortHandler)
}
