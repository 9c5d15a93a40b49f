package relay

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
	"cicadabeam/core/fleet"
)

const (
	// refusedRetryDelay is the delay before the next attempt after a refusal, and after
	// an attempt that was not sent if a server has been reserved more than once.
	refusedRetryDelay = 50 * time.Millisecond
	// maxReservations limits the attempts of one stream, including those whose server
	// could not be reached.
	maxReservations = 24
	// reserveRetries and reserveRetryInterval limit how long a stream that the caller
	// has received a part of waits for a server.
	reserveRetries       = 10
	reserveRetryInterval = 100 * time.Millisecond
)

// stream is the state of an event stream.
type stream struct {
	*exchange
	lastEvent       int64     // ID of the last event that the caller has received
	responseStarted bool      // the head of the response was sent to the caller
	unflushed       bool      // events were written to the caller and not flushed
	resumeFrom      kvSource  // KV cache backup or copy of the interrupted run
	interruptedAt   time.Time // when the run was interrupted
	resumes         int
	reservations    int
	firstEventAt    time.Time // arrival times of the first and the last event
	lastEventAt     time.Time
	maxEventGap     time.Duration // longest time between two events
	serverSilent    bool          // the deadline passed while the server sent nothing
	denied          string        // what prevented a further attempt, "" if nothing did
	bound           bool          // the caller has received a part of the answer in this request
	begun           bool          // the caller has received an event in this response
	unnumbered      bool          // the last event that the caller has received has no ID
	endedAt         *fleet.Member // server whose run was ended although it may have been sound
	emptyEnds       int           // attempts that ended the stream without an event, since the last event
	version         string        // software version of the servers that the caller's part came from, if any
}

// serveStream forwards an event stream.
func (x *exchange) serveStream() {
	x.awaitPromptServer()
	x.ticket = x.enter()
	s := &stream{exchange: x, lastEvent: x.meta.LastEventID, version: x.version}
	defer x.returnRetries()
	for {
		a := s.nextAttempt()
		if a == nil && s.refused != nil {
			s.respondError(s.refused)
			return
		}
		if a == nil {
			s.denied = "servers"
			s.fail("choose", "no server is available")
			return
		}
		a = s.run(a)
		if a.outcome == answered {
			return
		}
		if !s.continueAfter(a) {
			return
		}
	}
}

// query returns the query for a server. A stream of which the caller has received a part goes on
// at servers of the software version that made it, as what two versions write doesn't fit together.
func (s *stream) query() fleet.Query {
	q := s.exchange.query()
	q.Version = s.version
	if s.ticket != nil {
		q.Urgent, q.Policy = s.ticket.Urgent(), s.ticket
	}
	return q
}

// mayGoOn reports whether servers may be looked for: nothing matches an unknown version.
func (s *stream) mayGoOn() bool { return !s.bound || s.version != "" }

// nextAttempt reserves a server for the next attempt, preferably the one with the KV
// cache backup.
func (s *stream) nextAttempt() *streamAttempt {
	if !s.mayGoOn() {
		return nil
	}
	q := s.query()
	q.Begun = s.responseStarted
	if a := s.reserveSource(q, s.resumeFrom); a != nil {
		return a
	}
	s.resumeFrom = kvSource{}
	m := s.reserve(&q)
	if m == nil && s.refused == nil {
		m = s.reserveEnded(q)
	}
	if m == nil && s.responseStarted {
		m = s.reserveTriedServer(q)
	}
	if m == nil {
		return nil
	}
	return s.newAttempt(m, q, kvSource{})
}

// reserveSource reserves the server that holds a KV cache backup or copy for an attempt that
// resumes from it. It returns nil if there is none or it is not usable.
func (s *stream) reserveSource(q fleet.Query, source kvSource) *streamAttempt {
	if source == (kvSource{}) {
		return nil
	}
	m := s.h.Fleet.FindUsable(source.server, q.Now)
	if m == nil || !s.h.Fleet.ReserveServer(m, s.rollout.Limit(q)) {
		return nil
	}
	return s.newAttempt(m, q, source)
}

// reserveTriedServer also considers servers that have failed. It is used for streams
// that the caller has received a part of.
func (s *stream) reserveTriedServer(q fleet.Query) *fleet.Member {
	q.Exclude = nil
	for range reserveRetries {
		if m := s.rollout.Reserve(s.h.Fleet, q); m != nil {
			return m
		}
		if s.sleep(reserveRetryInterval) != nil {
			return nil
		}
		q.Now = time.Now()
	}
	return nil
}

// sleep waits for d. It returns an error if the request ends before that.
func (s *stream) sleep(d time.Duration) error { return sleepUntil(s.ctx, time.Now().Add(d)) }

// sleepUntil waits until a time. It returns an error if a context ends before that.
func sleepUntil(ctx context.Context, until time.Time) error {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// run sends the request to the attempt's server and forwards the events. While the server
// sends nothing, the stream may move to another one. run returns the attempt that ended.
func (s *stream) run(a *streamAttempt) *streamAttempt {
	sent := s.open(a)
	for sent && !s.forward(a) {
		b := s.move(a)
		if b == nil && a.err != nil {
			break
		}
		s.returnRetries()
		if b == nil {
			continue
		}
		a.err = errMoved
		s.close(a)
		a = b
	}
	s.close(a)
	return a
}

// continueAfter reports whether the stream is to continue at another server after an
// attempt that did not complete it. Before it returns false it has ended the stream:
// if the handler merely returned, the caller would take the part that it has received
// for a complete response.
func (s *stream) continueAfter(a *streamAttempt) bool {
	if s.ctx.Err() != nil || s.callerLeft() {
		s.fail("answer", "no server responded in time")
		return false
	}
	s.serverSilent = errors.Is(a.err, os.ErrDeadlineExceeded)
	if a.outcome == broken {
		if s.interruptedAt.IsZero() || a.responseStarted {
			s.interruptedAt = time.Now()
		}
		s.resumes++
		s.resumeFrom = kvSource{}
		if a.responseStarted || a.fromBackup() || a.responseLost.Load() {
			s.resumeFrom = s.sourceAfter(a)
		}
	} else if a.fromBackup() {
		s.resumeFrom = kvSource{}
	}
	s.h.crashDetector.awaitRetry(s.exchange)
	switch {
	case !s.h.crashDetector.maySend(s.exchange, a.outcome == broken && !pathLost(a.err)):
		s.denied = "quarantine"
		s.fail("answer", errQuarantined.Error())
		return false
	case a.outcome == broken && !s.route.Kind.Retryable():
		s.denied = "kind"
		s.fail("answer", failureReason(a.err))
		return false
	case s.unnumbered:
		s.denied = "position"
		s.fail("answer", errPosition.Error())
		return false
	case s.reservations >= maxReservations, s.attempts >= max(s.route.Attempts, 1):
		s.denied = "attempts"
		s.fail("answer", failureReason(a.err))
		return false
	case !s.allowRetry(s.retryNumber(a)):
		s.denied = "budget"
		s.fail("answer", failureReason(a.err))
		return false
	}
	if a.outcome == refused && !a.fromBackup() && !a.member.Declines(time.Now()) || a.outcome == notOffered && s.reservations > len(s.tried) {
		if s.sleep(refusedRetryDelay) != nil {
			s.fail("answer", "no server responded in time")
			return false
		}
	}
	return true
}

// allowRetry reports whether the retry budget allows another attempt, if an earlier one was
// sent. retry is 1 for the first retry of the request.
func (s *stream) allowRetry(retry int) bool {
	return s.sentAttempts == 0 || s.exchange.allowRetry(retry)
}

// retryNumber returns which retry follows an attempt: 1 for the first. An attempt that was
// refused because the KV cache backup was not there doesn't count.
func (s *stream) retryNumber(a *streamAttempt) int {
	if a.outcome == refused && a.fromBackup() {
		return max(s.resumes, 1)
	}
	return s.sentAttempts
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

// fail ends a stream that was not completed. If the caller has received a part of it,
// the connection is aborted, so that the part is not taken for a complete response.
func (s *stream) fail(step, reason string) {
	if !s.responseStarted {
		s.failUnanswered(step, reason)
		return
	}
	s.h.Recorder.Record("broken off", Fields{
		"request": s.meta.ID, "step": step, "reason": reason, "last": s.lastEvent, "attempts": s.attempts, "ms": ms(time.Since(s.arrived)),
		"code": fault.ServerFailed, "revision": s.revision(), "server_silent": s.serverSilent, "denied": s.denied, "software": s.version,
		"stopping": s.stopping(), "caller_left": s.callerLeft(), "connection": s.connectionState(),
	})
	panic(http.ErrAbortHandler)
}
