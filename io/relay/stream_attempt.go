package relay

import (
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/fleet"
	"cicadabeam/core/kvbackup"
	"cicadabeam/core/rollout/traffic"
	"cicadabeam/core/stall"
	"cicadabeam/io/http1"
)

const (
	// stallTimeoutWithBackup is the least time without events after which a stream is
	// resumed at another server from the KV cache backup. Events arrive every 30 to
	// 210 ms, and pauses up to 700 ms still meet the event gap goal.
	stallTimeoutWithBackup = stall.LongSilence
	// stallTimeoutWithoutBackup is the time without events after which a stream is
	// resumed at a server that must process the prompt again.
	stallTimeoutWithoutBackup = 1500 * time.Millisecond
	// backupResumeTimeout limits the time in which a server that resumes a stream from a
	// KV cache backup must start its response, if the caller has already received the head
	// of the response.
	backupResumeTimeout = 600 * time.Millisecond
	// silenceCheckDelay is the time in which a part that has arrived is read before the server
	// counts as silent, as this process may have stood still.
	silenceCheckDelay = 10 * time.Millisecond
	// noSilenceLimit applies until the head has arrived: a server that processes a long prompt
	// sends nothing, and the monitor of first events tells whether it is there.
	noSilenceLimit = time.Hour
	// callerWriteTimeout limits the time of a write to a caller.
	callerWriteTimeout = 10 * time.Second
)

// streamAttempt is one attempt to run a stream on a server.
type streamAttempt struct {
	requestID       string // ID of the request
	member          *fleet.Member
	query           fleet.Query
	conn            *http1.Conn
	source          kvSource // what it resumes from, if anything
	backup          *fleet.Member
	copies          *kvbackup.Run // copies that replace a lost backup, nil if the server can't make any
	started         time.Time
	mayRunFrom      time.Time // when the server may begin to work on the request, once it was sent
	reportDue       time.Time // when the server is queried for its runs
	serverLost      bool      // contact with the server had been lost before the request was sent
	responseStarted bool
	events          int
	advanced        bool // the caller has received an event of it
	firstEventAt    time.Time
	soundRecorded   bool
	outcome         outcome
	err             error
	answered        bool           // a complete response that is no event stream has arrived
	response        *http.Response // head of the signed event stream, nil before it has arrived
	parts           chan received  // of the response, as they arrive
	unread          *received      // part that was taken from parts and not handled yet
	suspected       chan struct{}  // receives when the server could not be reached
	closed          chan struct{}  // closed when no more parts are to be received
	silence         stall.Watch
	failedSource    kvSource      // what the run could not be resumed from
	beside          time.Duration // how long its server worked beside the one that took the stream over
	removeInterrupt func() bool   // the interruption of the connection at the end of the request
	keepConn        bool          // the connection is no longer this attempt's
	// responseLost is set if the server ran the request but its response does not
	// arrive.
	responseLost atomic.Bool
	rollout      *traffic.Attempt
}

// newAttempt returns an attempt on a reserved server.
func (s *stream) newAttempt(m *fleet.Member, q fleet.Query, source kvSource) *streamAttempt {
	return &streamAttempt{
		requestID: s.meta.ID, member: m, query: q, source: source, rollout: s.rollout.Attempt(m),
		parts: make(chan received, maxUnforwarded), suspected: make(chan struct{}, 1), closed: make(chan struct{}),
	}
}

// fromBackup reports whether the attempt resumes from a KV cache backup or copy.
func (a *streamAttempt) fromBackup() bool { return a.source != (kvSource{}) }

// suspect records that the server could not be reached.
func (a *streamAttempt) suspect() {
	select {
	case a.suspected <- struct{}{}:
	default:
	}
}

// open sends the request to the attempt's server and starts to receive the response. It
// reports whether the request was sent.
func (s *stream) open(a *streamAttempt) bool {
	a.started = time.Now()
	s.reservations++
	s.tried[a.member.ID()] = true
	s.h.PromptIndex.RecordSent(s.meta.PromptHash, a.member.ID(), a.started)
	s.h.NotifyPeers()
	c, err := s.connect(s.ctx, a.member)
	if err != nil {
		a.err = err
		if s.ctx.Err() == nil {
			s.h.recordLoss(a.member, time.Now())
		}
		return false
	}
	a.conn = c
	request, ok := s.request(a.member, s.forwardMeta(a))
	maySend := s.h.crashDetector.maySend(s.exchange, false)
	if !ok || !maySend || !a.member.Usable(time.Now()) || s.ctx.Err() != nil {
		s.h.Pool.Put(c)
		a.keepConn = true
		a.err = errors.New("the server is no longer usable or the request has ended")
		if !maySend {
			a.err = errQuarantined
		}
		return false
	}
	a.removeInterrupt = context.AfterFunc(s.ctx, c.Interrupt)
	s.dispatched.Begin()
	a.rollout.Sent()
	a.outcome = broken
	a.serverLost = a.member.Lost()
	s.attempts++
	if s.sentAttempts++; s.sentAttempts > 1 {
		s.useRetry()
	}
	if a.err = c.Send(request, s.deadline); a.err != nil {
		s.recordLoss(a)
		return false
	}
	a.mayRunFrom = time.Now()
	if !a.fromBackup() {
		a.mayRunFrom = a.mayRunFrom.Add(a.member.PrefillTime(a.query) / 2)
	}
	s.h.firstEventMonitor.watch(a)
	a.silence.Received(time.Now())
	go s.receive(a)
	return true
}

// forwardMeta selects the server for the KV cache backup of an attempt and returns the
// metadata of its request.
func (s *stream) forwardMeta(a *streamAttempt) ForwardMeta {
	f := ForwardMeta{LastEventID: s.lastEvent, ResumeAddress: a.source.address, ResumeRunID: a.source.runID}
	e := s.service.Engine
	if e == nil || !e.KVCacheBackups || !s.route.Kind.Retryable() {
		return f
	}
	if a.backup = s.h.Fleet.SelectBackup(s.query(), a.member); a.backup == nil {
		return f
	}
	f.BackupAddress = a.backup.Address()
	if e.KVCacheMoves {
		a.copies = kvbackup.NewRun(e.BackupTTL)
	}
	return f
}

// close ends an attempt. Its connection is closed unless it was returned to the pool, and given up if
// the server may work on.
func (s *stream) close(a *streamAttempt) {
	s.h.firstEventMonitor.unwatch(a)
	close(a.closed)
	if a.removeInterrupt != nil {
		a.removeInterrupt()
	}
	switch {
	case a.conn == nil, a.keepConn:
	case a.outcome == broken:
		a.conn.GiveUp()
	default:
		a.conn.Close()
	}
	a.member.Release(a.query, a.responseStarted)
	s.endRollout(a, time.Now())
	s.logAttempt(a)
}

// recordLoss handles a connection that ended during an attempt. A deadline that has passed
// says nothing about the server.
func (s *stream) recordLoss(a *streamAttempt) {
	if pathLost(a.err) {
		a.conn.Close()
		return
	}
	if a.response == nil {
		a.keepConn = true
		s.abandon(a.conn)
	} else {
		a.conn.GiveUp()
	}
	now := time.Now()
	if a.responseLost.Load() || errors.Is(a.err, bytebudget.ErrSpent) {
		a.member.RecordFailure(now)
		return
	}
	if s.ctx.Err() == nil && !errors.Is(a.err, os.ErrDeadlineExceeded) {
		s.h.recordLoss(a.member, now)
	}
	s.h.crashDetector.watchServer(s.exchange, a.member, !a.established(now), a.serverLost, a.err)
}

// forward forwards the response to an attempt until it ends. It returns false if the server
// is silent, so that the stream may move.
func (s *stream) forward(a *streamAttempt) bool {
	if x := a.unread; x != nil {
		a.unread = nil
		if s.handlePart(a, x) {
			return true
		}
	}
	silent := time.NewTimer(a.silence.Wait(time.Now(), s.silenceLimit(a)))
	defer silent.Stop()
	checked := false
	for {
		select {
		case x := <-a.parts:
			if s.handlePart(a, &x) {
				return true
			}
			checked = false
			if x.head != nil {
				silent.Reset(0) // the limit is another one from now on
			}
		case <-a.suspected:
			if !a.responseStarted && a.silence.MayMove(time.Now()) {
				return false
			}
		case <-silent.C:
			wait := a.silence.Wait(time.Now(), s.silenceLimit(a))
			if wait <= 0 && checked && len(a.parts) == 0 {
				return false
			}
			checked = wait <= 0
			silent.Reset(max(wait, silenceCheckDelay))
		}
	}
}

// silenceLimit returns the accepted time between two parts of the response to an attempt.
func (s *stream) silenceLimit(a *streamAttempt) time.Duration {
	switch {
	case a.response != nil:
		return s.stallTimeout(a)
	case a.fromBackup() && s.responseStarted:
		return backupResumeTimeout
	default:
		return noSilenceLimit
	}
}

// handlePart handles one part of the response to an attempt and reports whether the attempt
// has ended. The time in which the caller takes an event does not count as the server's silence.
func (s *stream) handlePart(a *streamAttempt, x *received) bool {
	select {
	case <-a.suspected: // the server is there
	default:
	}
	ended := s.dispatchPart(a, x)
	if x.handled != nil {
		close(x.handled)
	}
	a.silence.Received(time.Now())
	return ended
}

func (s *stream) dispatchPart(a *streamAttempt, x *received) bool {
	switch {
	case x.head != nil && s.isEventStream(x.head):
		s.recordHead(a, x.head)
		return false
	case x.head != nil:
		s.handleNonStreamResponse(a, x)
		return true
	case a.isComplete(x):
		s.handleEnd(a)
		return true
	case x.err != nil:
		_ = s.flush()
		a.err = x.err
		s.recordLoss(a)
		return true
	default:
		return !s.handleEvent(a, &x.event)
	}
}

// isComplete reports whether a part is the end of a complete response.
func (a *streamAttempt) isComplete(x *received) bool {
	return a.response != nil && errors.Is(x.err, io.EOF) && !errors.Is(x.err, io.ErrUnexpectedEOF)
}

// recordHead records the head of an event stream.
func (s *stream) recordHead(a *streamAttempt, r *http.Response) {
	if meta := s.h.Codec.DecodeResponse(r); meta.HasLoad {
		a.member.RecordLoad(meta.Load, time.Now())
	}
	a.response = r
	a.silence.Received(time.Now())
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// handleNonStreamResponse handles a response that is not an event stream: it is sent to the
// caller, or the attempt has failed.
func (s *stream) handleNonStreamResponse(a *streamAttempt, x *received) {
	s.classifyResponse(a, x)
	status := x.head.StatusCode
	if a.outcome == broken && x.complete && validStatus(status) && !impliesNotRun(status) && s.h.Codec.DecodeResponse(x.head).Signed {
		s.h.crashDetector.recordAnswered(s.exchange, a.member, x.head)
	}
	final := validStatus(status) && !impliesNotRun(status) && !isEncoded(x.head) && !s.worthRetrying(status)
	switch {
	case a.outcome != broken:
	case final && x.complete && !s.responseStarted && s.h.Codec.DecodeResponse(x.head).Signed:
		a.outcome = answered
		a.rollout.End(rolloutOutcome(status >= http.StatusInternalServerError), 0)
		s.writeResponse(&attempt{member: a.member, response: x.head, body: x.body})
	default:
		a.member.RecordFailure(time.Now())
	}
}

// classifyResponse determines from a response that is not an event stream whether the request
// ran.
func (s *stream) classifyResponse(a *streamAttempt, x *received) {
	meta := s.h.Codec.DecodeResponse(x.head)
	now := time.Now()
	if meta.HasLoad {
		a.member.RecordLoad(meta.Load, now)
	}
	if x.complete {
		s.returnConn(a)
	}
	a.err = errors.Newf("no event stream, but status %d", x.head.StatusCode)
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
		if !a.fromBackup() {
			a.member.RecordFailure(now)
		}
	}
}

// returnConn returns the connection of an attempt whose response was read completely to the
// pool.
func (s *stream) returnConn(a *streamAttempt) {
	s.h.firstEventMonitor.unwatch(a)
	s.h.putBack(a.conn, a.removeInterrupt)
	a.keepConn = true
}

// worthRetrying reports whether a response with this status is discarded and the
// request is sent to another server.
func (s *stream) worthRetrying(status int) bool {
	return status >= http.StatusInternalServerError && s.route.Kind.Retryable() && s.attempts < s.route.Attempts
}

// established reports whether the run has gone on for so long that its start did not crash the
// server.
func (a *streamAttempt) established(now time.Time) bool {
	return a.events >= soundEvents && now.Sub(a.firstEventAt) >= soundTime
}

// recordEstablished counts an event and records once that the run is established.
func (s *stream) recordEstablished(a *streamAttempt) {
	now := time.Now()
	if a.events++; a.events == 1 {
		a.firstEventAt = now
	}
	if !a.soundRecorded && a.established(now) {
		a.soundRecorded = true
		s.h.crashDetector.recordSound(s.exchange, false)
	}
}

// stallTimeout returns the maximum time between two events of an attempt. With a backup it is the
// longer, the slower the server with the backup, or the service's other servers, are.
func (s *stream) stallTimeout(a *streamAttempt) time.Duration {
	now := time.Now()
	pace := s.h.paces.Of(s.service.Name)
	if a.responseStarted && a.silence.SilentFor(now) >= stallTimeoutWithBackup {
		pace.RecordSilence(a.member.ID(), &a.silence, now)
	}
	target := s.sourceAfter(a).server
	if s.route.Kind.Retryable() && s.h.Fleet.FindUsable(target, now) != nil {
		b := stall.Bounds{Max: stallTimeoutWithoutBackup, Goal: s.route.EventGapGoal - overlapTimeout}
		return pace.Limit(a.member.ID(), target, b, now)
	}
	return stallTimeoutWithoutBackup
}

func (s *stream) logAttempt(a *streamAttempt) {
	f := Fields{
		"request": s.meta.ID, "server": a.member.ID(), "address": a.member.Address(), "software": a.member.Version(), "outcome": a.outcome.String(), "from_copy": a.fromBackup(), "last": s.lastEvent,
		"ms": ms(time.Since(a.started)), "prompt_tokens": s.meta.PromptTokens, "output_tokens": s.meta.OutputTokens,
	}
	if a.backup != nil {
		f["backup"] = a.backup.ID()
	}
	if a.conn != nil && a.conn.Through() != "" {
		f["through"] = a.conn.Through()
	}
	if a.beside > 0 {
		f["beside_ms"] = ms(a.beside)
	}
	if a.err != nil {
		f["error"] = a.err.Error()
	}
	s.h.Recorder.Record("leg", f)
}
