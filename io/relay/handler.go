package relay

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cicadabeam/core/catalog"
	"cicadabeam/core/dispatch"
	"cicadabeam/core/fault"
	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/retrybudget"
	"cicadabeam/io/http1"
)

// Bounds are the times that the relay keeps to.
type Bounds struct {
	// Apply is within which a configuration must be in force: a node whose proof is
	// older doesn't say that a route or key doesn't exist.
	Apply time.Duration
	// Revoke is within which a key that was taken away must not be served, 0 if that
	// isn't strict.
	Revoke time.Duration
	Repeat retrybudget.Limit
}

// revokeMargin is by how much earlier a node stops serving keys: the granularity of
// clocks.
const revokeMargin = 100 * time.Millisecond

// Parts is what a handler works with.
type Parts struct {
	Dialect  Dialect
	Holder   *freshness.Tracker
	Fleet    *fleet.Fleet
	Prompts  *fleet.PromptIndex
	Pool     *http1.Pool
	Recorder Recorder
	Bounds   Bounds
	// Uptime is a clock that goes on while the host is suspended.
	Uptime func() time.Duration
	// Nodes is the number of nodes that share bounds.
	Nodes func() int
	// Urgent is called when other nodes should hear the news at once: a run was placed
	// on an engine, or a server was lost.
	Urgent func()
	// Pulse tells how long the process has just stood still.
	Pulse *freshness.StallDetector
	// Known is closed once configuration and servers are known for the first time.
	Known <-chan struct{}
}

// Handler answers callers.
type Handler struct {
	Parts
	started           time.Time
	draining          atomic.Pointer[drainTimes]
	inFlight          atomic.Int64
	firstEventMonitor *firstEventMonitor
	crashDetector     *crashDetector
	mu                sync.Mutex
	budgets           map[string]*retrybudget.Budget
}

// New returns a handler.
func New(p Parts) *Handler {
	h := &Handler{Parts: p, started: time.Now(), budgets: make(map[string]*retrybudget.Budget)}
	h.firstEventMonitor = newFirstEventMonitor(h)
	h.crashDetector = newCrashDetector(h)
	return h
}

// drain is until when a node that stops takes new requests.
type drainTimes struct {
	refuseStreamsFrom time.Time
	refuseUnaryFrom   time.Time
}

// Drain makes answers end their connections, and refuses streams and other requests
// from the given times on, as they could not end before the process does.
func (h *Handler) Drain(refuseStreamsFrom, refuseUnaryFrom time.Time) {
	h.draining.Store(&drainTimes{refuseStreamsFrom: refuseStreamsFrom, refuseUnaryFrom: refuseUnaryFrom})
}

// Running returns the number of requests under way.
func (h *Handler) Running() int64 { return h.inFlight.Load() }

func (h *Handler) budget(service string) *retrybudget.Budget {
	h.mu.Lock()
	defer h.mu.Unlock()
	b := h.budgets[service]
	if b == nil {
		b = retrybudget.New(h.Bounds.Repeat)
		h.budgets[service] = b
	}
	return b
}

// Usage returns what this node counted towards the bound on repeats, by service.
func (h *Handler) Usage(now time.Time) map[string]retrybudget.Usage {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := make(map[string]retrybudget.Usage, len(h.budgets))
	for service, b := range h.budgets {
		if u := b.Usage(now); u != (retrybudget.Usage{}) {
			all[service] = u
		}
	}
	return all
}

// Heard takes the usage of another node, or of several that it speaks for, as of a
// time. Services that it doesn't name haven't been used.
func (h *Handler) Heard(from string, usage map[string]retrybudget.Usage, nodes int, at time.Time) {
	for service := range usage {
		h.budget(service)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, b := range h.budgets {
		b.RecordPeerUsage(from, usage[service], nodes, at)
	}
}

// HeardLast takes the usage of another node that stops.
func (h *Handler) HeardLast(from string, usage map[string]retrybudget.Usage, at time.Time) {
	for service := range usage {
		h.budget(service)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for service, b := range h.budgets {
		b.RecordFinalUsage(from, usage[service], at)
	}
}

// exchange is one request of a caller and what became of it.
type exchange struct {
	h              *Handler
	w              http.ResponseWriter
	r              *http.Request
	ctx            context.Context
	call           Call
	catalog        *catalog.Catalog
	route          catalog.Route
	service        catalog.Service
	organisation   catalog.Organisation
	header         http.Header
	body           []byte
	arrived        time.Time
	stallDelay     time.Duration // that it may have waited before, while the process stood still
	deadline       time.Time
	uptimeDeadline time.Duration // the deadline by the uptime, which goes on in a suspension
	tried          map[string]bool
	attempts       int // servers that the request was sent to, but for those that were others
	sentAttempts   int // times that it reached a server
	dispatched     dispatch.Attempts
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	x := &exchange{h: h, w: w, r: r, arrived: time.Now(), call: h.Dialect.Call(r.Header), tried: make(map[string]bool)}
	x.stallDelay = h.Pulse.RecentStall(h.Uptime())
	x.awaitInitialState()
	if err := x.admit(); err != nil {
		x.respondError(err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	if err := x.readBody(); err != nil {
		x.respondError(err)
		return
	}
	if h.crashDetector.isQuarantined(x) {
		x.respondError(fault.Newf(fault.RequestQuarantined, "admit", "", "the request is quarantined because servers crashed while running it"))
		return
	}
	h.budget(x.service.Name).CountRequest(x.arrived)
	if x.route.Kind.IsStream() {
		x.serveStream()
		return
	}
	x.serveUnary()
}

// The times after which a caller is told to come back.
const (
	retryAfterNotReady = 500 * time.Millisecond
	retryAfterStale    = 400 * time.Millisecond
	retryAfterNoServer = 300 * time.Millisecond
)

func notRunError(code fault.Code, step, text string, retry time.Duration) *fault.Error {
	return fault.Newf(code, step, "", "%s", text).WithRetryAt(time.Now().Add(retry))
}

// request makes what goes to one server. It returns false when no time is left.
func (x *exchange) request(m *fleet.Member, s Send) (*http1.Request, bool) {
	remaining := min(time.Until(x.deadline), x.uptimeDeadline-x.h.Uptime())
	if remaining <= 0 {
		return nil, false
	}
	s.Left = remaining
	s.ServerID = m.ID()
	s.Organisation = x.organisation.Name
	s.Ranked = x.service.Engine != nil
	s.Priority = x.priority()
	header := x.header.Clone()
	x.h.Dialect.Mark(header, s)
	return &http1.Request{Method: x.r.Method, Target: x.target(), Host: x.r.Host, Header: header, Body: x.body}, true
}

// priority is the organisation's if it has one, else the route's.
func (x *exchange) priority() int {
	if x.organisation.Name != "" && x.organisation.Priority >= 0 {
		return x.organisation.Priority
	}
	return x.route.Priority
}

func (x *exchange) target() string {
	if strings.HasPrefix(x.r.RequestURI, "/") {
		return x.r.RequestURI
	}
	return x.r.URL.RequestURI()
}

// connections is this node's share of the connections that a server takes.
func (x *exchange) maxConnections() int {
	if x.service.Connections == 0 {
		return 0
	}
	return max(2, x.service.Connections*3/4/max(x.h.Nodes(), 1))
}

func (x *exchange) query() fleet.Query {
	q := fleet.Query{Service: x.service.Name, Exclude: x.tried, MaxConnections: x.maxConnections(), Now: time.Now()}
	if e := x.service.Engine; e != nil && x.call.PromptTokens > 0 {
		q.PromptTokens = x.call.PromptTokens
		q.Memory = x.call.PromptTokens + x.call.OutputTokens
		q.Capacity = e.KVCacheTokens
		q.Prompt = x.call.Prompt
		q.CachedOn = x.h.Prompts.Server(x.call.Prompt, q.Now)
		q.ReturningCaller = x.call.LastEvent > 0
	}
	return q
}

// mayRepeat tells whether the request may go to one more server after it may have
// reached one.
func (x *exchange) mayRetry() bool {
	if x.sentAttempts == 0 {
		return true
	}
	if x.attempts >= max(x.route.Attempts, 1) || x.ctx.Err() != nil {
		return false
	}
	allowed := x.h.budget(x.service.Name).AllowRetry(time.Now(), x.h.Nodes())
	if !allowed {
		x.h.Recorder.Record("repeat denied", Fields{"request": x.call.ID, "service": x.service.Name, "attempts": x.attempts})
	}
	return allowed
}

// refuse ends a request with an answer of the system's own.
func (x *exchange) respondError(err *fault.Error) {
	status := err.Status()
	x.h.Recorder.Record("refused", Fields{
		"request": x.call.ID, "route": x.route.Name, "kind": x.route.Kind.String(), "status": status, "code": err.Code(), "step": err.Step(),
		"peer": err.Peer(), "ran": err.Ran(), "reason": err.Message(), "attempts": x.attempts, "ms": ms(time.Since(x.arrived)),
	})
	header := x.w.Header()
	if at := err.RetryAt(); !at.IsZero() && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		header.Set("Retry-After", retryAfterSeconds(time.Until(at)))
	}
	if x.h.draining.Load() != nil {
		header.Set("Connection", "close")
	}
	header.Set("Content-Type", "application/json")
	b, encodeErr := json.Marshal(errorBody{Code: string(err.Code()), Message: err.Message(), Step: err.Step(), Ran: string(err.Ran())})
	if encodeErr != nil {
		b = []byte("{}")
	}
	x.w.WriteHeader(status)
	_, _ = x.w.Write(b)
}

// refusal is the body of an answer of the system's own.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Step    string `json:"step"`
	Ran     string `json:"ran"`
}

func retryAfterSeconds(d time.Duration) string {
	return strconv.FormatFloat(max(d, 50*time.Millisecond).Seconds(), 'f', 2, 64)
}

func ms(d time.Duration) int64 { return d.Milliseconds() }

// callerLeft tells whether the caller has closed its connection.
func (x *exchange) callerLeft() bool { return errors.Is(x.r.Context().Err(), context.Canceled) }

// giveUp answers a request that no server answered.
func (x *exchange) failUnanswered(step, reason string) {
	switch {
	case x.callerLeft():
		x.h.Recorder.Record("caller left", Fields{"request": x.call.ID, "ms": ms(time.Since(x.arrived)), "attempts": x.attempts})
		panic(http.ErrAbortHandler)
	case !x.dispatched.Close():
		x.respondError(notRunError(fault.NoServer, step, reason, retryAfterNoServer))
	case time.Now().After(x.deadline.Add(-time.Millisecond)):
		x.respondError(fault.Newf(fault.ServerSilent, step, "", "%s", reason).WithRan(fault.RanUnknown).WithStatus(http.StatusGatewayTimeout))
	default:
		x.respondError(fault.Newf(fault.ServerFailed, step, "", "%s", reason).WithRan(fault.RanUnknown))
	}
}

var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// EndToEnd returns a copy of the headers that are meant for the other end.
func EndToEnd(h http.Header) http.Header {
	out := make(http.Header, len(h))
	named := make(map[string]bool)
	for _, v := range h.Values("Connection") {
		for _, name := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range h {
		if !hopByHopHeaders[name] && !named[name] {
			out[name] = values
		}
	}
	return out
}

// answerHeaders copies a server's headers to the caller's answer.
func (x *exchange) copyResponseHeaders(r *http.Response) {
	header := x.w.Header()
	for name, values := range EndToEnd(r.Header) {
		header[name] = values
	}
	if header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // else net/http guesses one
	}
	if x.h.draining.Load() != nil {
		header.Set("Connection", "close")
	}
}
