package relay

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/bytebudget"
	"cicadabeam/core/catalog"
	"cicadabeam/core/fault"
	"cicadabeam/core/fleet"
	"cicadabeam/core/retrybudget"
	"cicadabeam/core/rollout/traffic"
	"cicadabeam/io/http1"
)

// maxBufferedBytes is how much of a response is buffered before anything is sent to
// the caller. If the response breaks off before that, the request can be sent to
// another server.
const maxBufferedBytes = 256 << 10

// outcome is the result of one attempt.
type outcome int

const (
	notOffered outcome = iota // nothing was sent
	refused                   // the server reported that it did not run the request
	moved                     // the address belongs to another server; not run
	broken                    // the request may have been sent, and no complete response was received
	answered
)

// String returns the name of the outcome as used in logs.
func (o outcome) String() string {
	return [...]string{"not-offered", "refused", "moved", "broken", "answered"}[o]
}

// attempt is one attempt to send a request to a server, with its result.
type attempt struct {
	member     *fleet.Member
	outcome    outcome
	response   *http.Response
	body       []byte
	held       *bytebudget.Holder // of the head and the body
	unreadConn *http1.Conn        // connection with the unread rest of a long response
	err        error
	// connectionFailed is set if no connection could be made or it ended before the
	// head of the response was read.
	connectionFailed bool
	through          string // node between, if any
	serverLost       bool   // contact with the server had been lost before the request was sent
	repeatable       bool   // the route allows a further attempt
	isRetry          bool   // it uses a granted retry
	retry            retrybudget.Reservation
	rollout          *traffic.Attempt
}

func (a *attempt) status() int {
	if a.response == nil {
		return 0
	}
	return a.response.StatusCode
}

// discard releases the response, and closes the connection of a long one that is not sent to the
// caller.
func (a *attempt) discard() {
	if a == nil {
		return
	}
	if a.unreadConn != nil {
		a.unreadConn.Close()
		a.unreadConn = nil
	}
	a.body = nil
	a.held.Release()
}

// serveUnary forwards a request whose response is not an event stream.
func (x *exchange) serveUnary() {
	results := make(chan *attempt, maxUnaryAttempts)
	ctx, cancel := x.attemptContext()
	defer cancel()
	defer x.returnRetries()
	inFlight := 0
	defer func() {
		go func() {
			discardResults(results, inFlight)
			x.held.Release() // attempts that go on without the caller send the body
		}()
	}()
	if x.startAttempt(ctx, results) {
		inFlight++
	}
	hedge := x.hedgeTimer()
	defer hedge.Stop()
	var last *attempt
	defer func() { last.discard() }()
	for inFlight > 0 {
		select {
		case a := <-results:
			inFlight--
			if x.recordResult(a) {
				x.writeResponse(a)
				return
			}
			if last == nil || a.outcome >= last.outcome {
				last, a = a, last
			}
			a.discard()
			if x.shouldRetry() && x.startAttempt(ctx, results) {
				inFlight++
			}
		case <-hedge.C:
			if x.attempts > 0 && x.mayHedge() && x.startAttempt(ctx, results) {
				inFlight++
			}
		case <-x.ctx.Done():
			x.failUnanswered("answer", "no server responded in time")
			return
		}
	}
	x.finishUnary(last)
}

// maxUnaryAttempts limits the attempts of a unary request, and with them the results to
// be awaited.
const maxUnaryAttempts = 16

// attemptContext returns the context of the attempts. For a request that may run only
// once, it is not cancelled when the caller leaves, because a request that was sent
// cannot be taken back.
func (x *exchange) attemptContext() (context.Context, context.CancelFunc) {
	if x.route.Kind == catalog.AtMostOnce {
		return context.WithoutCancel(x.ctx), func() {}
	}
	return context.WithCancel(x.ctx)
}

// discardResults discards the responses of attempts that are no longer needed.
func discardResults(results <-chan *attempt, inFlight int) {
	for range inFlight {
		(<-results).discard()
	}
}

// hedgeFraction is the fraction of the latency goal after which an idempotent request
// is also sent to a second server, if the first has not responded.
const hedgeFraction = 0.5

func (x *exchange) hedgeTimer() *time.Timer {
	if !x.route.Kind.Retryable() || x.route.LatencyGoal == 0 {
		t := time.NewTimer(time.Hour)
		t.Stop()
		return t
	}
	return time.NewTimer(time.Duration(hedgeFraction * float64(x.route.LatencyGoal)))
}

// mayHedge reports whether the request may be sent to a second server while the first
// has not responded. Brittle servers have no room for requests that run twice.
func (x *exchange) mayHedge() bool {
	return !x.h.Fleet.Brittle(x.service.Name, time.Now()) && !x.h.crashDetector.causes.OnTrial(x.features) && x.h.crashDetector.maySend(x, x.lost) && x.attempts < x.route.Attempts && (len(x.retries) > 0 || x.reserveRetry(max(x.sentAttempts, 1)))
}

// startAttempt sends the request to another server. It reports whether a server was
// available.
func (x *exchange) startAttempt(ctx context.Context, results chan<- *attempt) bool {
	q := x.query()
	m := x.rollout.Reserve(x.h.Fleet, q)
	if m == nil {
		return false
	}
	x.tried[m.ID()] = true
	x.attempts++
	a := &attempt{member: m, repeatable: x.mayAskAgain(), rollout: x.rollout.Attempt(m)}
	a.retry, a.isRetry = x.useRetry()
	go func() {
		defer m.Release(q, false)
		x.runAttempt(ctx, a)
		results <- a
	}()
	return true
}

// runAttempt sends the request to a server and reads the response.
func (x *exchange) runAttempt(ctx context.Context, a *attempt) {
	started := time.Now()
	x.roundTrip(ctx, a)
	x.recordOutcome(a, time.Since(started))
}

func (x *exchange) roundTrip(ctx context.Context, a *attempt) {
	c, err := x.connect(ctx, a.member)
	if err != nil {
		a.err = err
		a.connectionFailed = true
		return
	}
	if !a.member.Usable(time.Now()) {
		x.h.Pool.Put(c)
		a.err = errors.Newf("server %s is no longer usable", a.member.ID())
		return
	}
	request, ok := x.request(a.member, ForwardMeta{LastEventID: x.meta.LastEventID})
	if !ok {
		x.h.Pool.Put(c)
		a.err = errors.New("the deadline has passed")
		return
	}
	a.held = x.h.Buffers.Hold(responseHolder, c.Interrupt)
	c.Hold(a.held)
	stop := context.AfterFunc(ctx, c.Interrupt)
	defer stop()
	if x.callerLeft() {
		x.h.putBack(c, stop)
		a.err = errors.New("the caller left before the request was sent")
		return
	}
	if !x.dispatched.Begin() {
		x.h.putBack(c, stop)
		a.err = errors.New("a response was sent to the caller before the request could be sent")
		return
	}
	a.rollout.Sent()
	a.outcome, a.through = broken, c.Through()
	a.connectionFailed = true
	a.serverLost = a.member.Lost()
	if a.err = c.Send(request, x.deadline); a.err != nil {
		c.Close()
		return
	}
	a.response, a.err = c.ReadResponse(x.r.Method, x.meta.ID, x.h.Codec.RequestID, x.deadline)
	if a.err != nil {
		a.err = spentError(a.err, a.held)
		x.abandon(c)
		return
	}
	x.readResponseBody(a, c, stop)
}

// putBack returns a connection to the pool after stop has prevented its interruption, and
// closes it if that is too late.
func (h *Handler) putBack(c *http1.Conn, stop func() bool) {
	if !stop() {
		c.Close()
		return
	}
	h.Pool.Put(c)
}

// readResponseBody reads the body of a response, or the beginning of a long one: what may be
// buffered, or there is room for.
func (x *exchange) readResponseBody(a *attempt, c *http1.Conn, stop func() bool) {
	limit := int64(maxBufferedBytes)
	if x.route.Kind == catalog.AtMostOnce {
		limit = maxUnrepeatableBytes
	}
	a.body, a.err = bytebudget.ReadAll(a.response.Body, limit+1, a.response.ContentLength, a.held)
	long := int64(len(a.body)) > limit
	if errors.Is(a.err, bytebudget.ErrSpent) {
		long, a.err = true, nil
	}
	if kept := a.held.Keep(); kept != nil {
		a.err = kept
	}
	if a.err != nil {
		c.Close()
		return
	}
	if a.repeatable && x.h.endedWithServer(a.member, a.response) {
		c.Close()
		a.err = errServerEnded
		return
	}
	a.outcome = answered
	if long {
		x.recordNoRoom(a.held, "passed on")
		a.unreadConn = c
		return
	}
	x.h.putBack(c, stop)
}

// mayAskAgain reports whether the kind of the request and its attempts allow that it is sent to a
// further server.
func (x *exchange) mayAskAgain() bool {
	return x.route.Kind.Retryable() && x.attempts < max(x.route.Attempts, 1)
}

// recordOutcome determines the outcome of an attempt and records it for the server.
func (x *exchange) recordOutcome(a *attempt, elapsed time.Duration) {
	now := time.Now()
	interrupted := a.outcome == broken
	spent := errors.Is(a.err, bytebudget.ErrSpent)
	a.connectionFailed = a.connectionFailed && !pathLost(a.err) && !spent
	switch {
	case a.outcome == answered:
		x.evaluateResponse(a, elapsed, now)
	case spent:
		a.member.RecordFailure(now)
		x.recordNoRoom(a.held, a.outcome.String())
	case x.callerLeft() && (a.outcome == notOffered || x.route.Kind != catalog.AtMostOnce), !a.connectionFailed, a.outcome == notOffered && x.ctx.Err() != nil:
	case errors.Is(a.err, os.ErrDeadlineExceeded) && interrupted:
		x.recordTimeout(a, elapsed, now)
	default:
		x.h.recordLoss(a.member, now)
	}
	x.endRollout(a, elapsed, now)
	if interrupted && !pathLost(a.err) && !spent {
		x.h.crashDetector.watchServer(x, a.member, true, a.serverLost, a.err)
	}
	if a.outcome != answered {
		a.discard()
	}
	f := Fields{"request": x.meta.ID, "server": a.member.ID(), "address": a.member.Address(), "outcome": a.outcome.String(), "status": a.status(), "ms": ms(elapsed)}
	if a.through != "" {
		f["through"] = a.through
	}
	if a.err != nil {
		f["error"] = a.err.Error()
	}
	x.h.Recorder.Record("attempt", f)
}

// recordTimeout records a failure of a server that did not respond before the deadline,
// or before another server did. Attempts shorter than the hedge delay are disregarded.
func (x *exchange) recordTimeout(a *attempt, elapsed time.Duration, now time.Time) {
	if elapsed >= time.Duration(hedgeFraction*float64(x.route.LatencyGoal)) {
		a.member.RecordFailure(now)
	}
}

func (x *exchange) evaluateResponse(a *attempt, elapsed time.Duration, now time.Time) {
	r := x.h.Codec.DecodeResponse(a.response)
	if r.HasLoad {
		a.member.RecordLoad(r.Load, now)
	}
	switch {
	case r.WrongServer:
		a.outcome = moved
		a.member.MarkReplaced()
		x.h.Pool.CloseIdle(a.member.Address())
	case r.NotRun:
		a.outcome = refused
		a.member.RecordFailure(now)
	case !r.Signed, isEncoded(a.response), impliesNotRun(a.status()), !validStatus(a.status()):
		a.outcome = broken
		a.err = errors.Newf("the response with status %d is unsigned, encoded, has no valid status or would imply that the request did not run", a.status())
		a.member.RecordFailure(now)
	case a.status() >= http.StatusInternalServerError:
		a.member.RecordFailure(now)
		x.h.crashDetector.recordAnswered(x, a.member, a.response)
	default:
		a.member.RecordSuccess(elapsed, now)
		x.h.crashDetector.recordCompleted(x, a.member, a.response)
	}
}

// validStatus reports whether a status is one of a final response.
func validStatus(status int) bool { return status >= 200 && status < 600 }

// impliesNotRun reports whether a status would tell the caller that the request did
// not run.
func impliesNotRun(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable ||
		status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest
}

// recordResult counts a completed attempt and reports whether its response is sent to
// the caller.
func (x *exchange) recordResult(a *attempt) bool {
	switch a.outcome {
	case notOffered:
		x.attempts--
		if a.isRetry {
			x.retries = append(x.retries, a.retry)
		}
		return false
	case moved:
		x.attempts--
		x.sentAttempts++
		x.dispatched.RecordNotRun()
		return false
	case refused:
		x.sentAttempts++
		x.dispatched.RecordNotRun()
		return false
	case broken:
		x.sentAttempts++
		x.lost = x.lost || a.connectionFailed
		return false
	default:
		x.sentAttempts++
		retry := a.status() >= http.StatusInternalServerError && x.route.Kind.Retryable()
		return !retry
	}
}

// shouldRetry reports whether another server is tried after an attempt.
func (x *exchange) shouldRetry() bool {
	if len(x.tried) >= maxUnaryAttempts || x.ctx.Err() != nil || x.callerLeft() {
		return false
	}
	if x.dispatched.MayRun() && !x.route.Kind.Retryable() {
		return false
	}
	x.h.crashDetector.awaitRetry(x)
	if !x.h.crashDetector.maySend(x, x.lost) {
		return false
	}
	return x.mayRetry()
}

// finishUnary sends a response after the last attempt.
func (x *exchange) finishUnary(last *attempt) {
	switch {
	case last == nil:
		x.failUnanswered("choose", "no server is available")
	case last.outcome == answered:
		x.writeResponse(last)
	case last.outcome == refused && !x.dispatched.Close():
		x.respondError(x.refusal(fault.ServerBusy, "send", "the servers refused the request"))
	case last.err != nil:
		x.failUnanswered("send", last.err.Error())
	default:
		x.failUnanswered("send", "the servers failed")
	}
}

// writeResponse sends a server's response to the caller.
func (x *exchange) writeResponse(a *attempt) {
	defer a.discard()
	x.copyResponseHeaders(a.response)
	x.h.Recorder.Record("answered", Fields{
		"request": x.meta.ID, "route": x.route.Name, "server": a.member.ID(), "status": a.status(), "attempts": x.attempts, "ms": ms(time.Since(x.arrived)),
	})
	if a.unreadConn == nil {
		if bodyAllowed(a.status()) && x.r.Method != http.MethodHead {
			x.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
		}
		x.w.WriteHeader(a.status())
		x.writeBody(a.body)
		return
	}
	x.writeLongResponse(a)
}

func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// writeLongResponse sends a response that is still being read. If it breaks off, the
// caller's connection is aborted.
func (x *exchange) writeLongResponse(a *attempt) {
	c := a.unreadConn
	a.unreadConn = nil
	stop := context.AfterFunc(x.ctx, c.Interrupt)
	defer stop()
	if n := a.response.ContentLength; n >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	x.w.WriteHeader(a.status())
	_, err := x.w.Write(a.body)
	a.discard()
	if err == nil {
		_, err = io.Copy(x.w, a.response.Body)
	}
	if err != nil {
		c.Close()
		x.h.Recorder.Record("broken off", Fields{"request": x.meta.ID, "server": a.member.ID(), "error": err.Error()})
		panic(http.ErrAbortHandler)
	}
	x.h.putBack(c, stop)
}

// copyResponseHeaders copies the headers of a server's response to the response to the
// caller.
func (x *exchange) copyResponseHeaders(r *http.Response) {
	header := x.w.Header()
	http1.CopyEndToEnd(header, r.Header)
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps net/http from detecting one
	}
	if x.h.draining.Load() != nil {
		header.Set("Connection", "close")
	}
}
