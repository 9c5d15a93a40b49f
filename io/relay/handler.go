package relay

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"cicadabeam/core/admission"
	"cicadabeam/core/bytebudget"
	"cicadabeam/core/catalog"
	"cicadabeam/core/crashcause"
	"cicadabeam/core/deferral"
	"cicadabeam/core/dispatch"
	"cicadabeam/core/drain"
	"cicadabeam/core/fault"
	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/promptindex"
	"cicadabeam/core/retrybudget"
	"cicadabeam/core/rollout/traffic"
	"cicadabeam/core/stall"
	"cicadabeam/core/streamversion"
	"cicadabeam/io/http1"
	"cicadabeam/io/tcp"
)

// Limits are the limits that the relay enforces.
type Limits struct {
	// MaxConfigAge is the time within which a configuration must be in force. If the node's
	// configuration was confirmed longer ago, the node does not claim that a route or
	// key does not exist.
	MaxConfigAge time.Duration
	// MaxKeyAge is the time after which a revoked key must no longer be accepted, 0 if
	// this is not enforced strictly.
	MaxKeyAge  time.Duration
	RetryLimit retrybudget.Limit
}

// revokeMargin is how long before Limits.MaxKeyAge a node stops accepting keys. It
// accounts for the granularity of clocks.
const revokeMargin = 100 * time.Millisecond

// Dependencies are the dependencies of a Handler.
type Dependencies struct {
	Codec       Codec
	Catalog     *freshness.Tracker
	Fleet       *fleet.Fleet
	PromptIndex *promptindex.Index
	// StreamVersions knows which software versions began streams.
	StreamVersions *streamversion.Index
	Pool           *http1.Pool
	Recorder       Recorder
	Limits         Limits
	// Admission admits streams while engines are short.
	Admission *admission.Gates
	// Buffers limits what is buffered of requests and responses, nil for no limit.
	Buffers *bytebudget.Budget
	// Uptime reads a clock that keeps running while the host is suspended.
	Uptime func() time.Duration
	// NodeCount returns the number of nodes that share the limits.
	NodeCount func() int
	// NotifyPeers is called when other nodes should be informed at once: an attempt was
	// started on an engine, or a server was lost.
	NotifyPeers func()
	// StoreCauses stores causes of crashes that this node has found, renewed or released. It may
	// block. If it is nil, they are not stored.
	StoreCauses func(changed []crashcause.StoredCause)
	// StoreSuspicion stores a cause of crashes that is only suspected. It reports whether that is done.
	// It may be nil.
	StoreSuspicion func(c crashcause.StoredCause) bool
	// Partitioned reports whether this node reaches no server itself. What it sees of servers is no
	// evidence against them then. If it is nil, the node is not.
	Partitioned func() bool
	// Rollouts selects the software versions of servers while services change to new ones, nil if that
	// is disabled.
	Rollouts *traffic.Traffic
	// StallDetector detects stalls of the process.
	StallDetector *freshness.StallDetector
	// Ready is closed once the configuration and the servers have been loaded for the
	// first time.
	Ready <-chan struct{}
}

// Handler serves callers' requests.
type Handler struct {
	Dependencies
	*retrybudget.Services
	started           time.Time
	draining          atomic.Pointer[drain.Window]
	durations         drain.Durations
	inFlight          atomic.Int64
	firstEventMonitor *firstEventMonitor
	crashDetector     *crashDetector
	paces             stall.Paces // of the servers of streams
}

// New returns a handler that uses the dependencies.
func New(d Dependencies) *Handler {
	h := &Handler{Dependencies: d, started: time.Now()}
	h.Services = retrybudget.NewServices(func() retrybudget.Limit { return h.Limits.RetryLimit }, h.serviceNames)
	h.firstEventMonitor = newFirstEventMonitor(h)
	h.crashDetector = newCrashDetector(h)
	return h
}

// Running returns the number of requests in flight.
func (h *Handler) Running() int64 { return h.inFlight.Load() }

// serviceNames returns the names of the configured services.
func (h *Handler) serviceNames() []string {
	c := h.Catalog.Catalog()
	if c == nil {
		return nil
	}
	var names []string
	for _, s := range c.Services() {
		names = append(names, s.Name)
	}
	return names
}

// exchange is a caller's request and the state of its processing.
type exchange struct {
	h              *Handler
	w              http.ResponseWriter
	r              *http.Request
	ctx            context.Context
	meta           RequestMeta
	catalog        *catalog.Catalog
	route          catalog.Route
	service        catalog.Service
	organisation   catalog.Organisation
	version        string // software version that a stream is to go on at, "" for a new one
	header         http.Header
	body           []byte
	held           *bytebudget.Holder // of the body
	bodyRead       bool               // nothing more of the request is to be read
	arrived        time.Time
	readDelay      time.Duration // time that the request may have waited in the kernel before arrived
	deadline       time.Time
	uptimeDeadline time.Duration // the deadline as a reading of Uptime, which also runs while the host is suspended
	tried          map[string]bool
	// attempts is the number of attempts in which the request was sent. One at an address
	// that now belongs to another server is not counted, nor, for a stream, one that the
	// server refused.
	attempts     int
	sentAttempts int                       // attempts whose request was sent at least in part
	retries      []retrybudget.Reservation // granted and not sent yet
	dispatched   dispatch.Attempts
	features     crashcause.Request
	whole        []crashcause.Feature // of the request as a whole
	ticket       *admission.Ticket    // nil unless the service's routes differ in their latency goal
	refused      *fault.Error         // why the request was not admitted
	lost         bool                 // a connection ended while a server ran the request
	rollout      *traffic.Request
}

// ServeHTTP implements http.Handler. It is on the stack while a response is written, and with a few
// hundred bytes more a stream's stack would double.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	x := h.newExchange(w, r)
	if err := x.admit(); err != nil {
		x.respondError(err)
		return
	}
	ctx, cancel := context.WithDeadline(x.parentContext(), x.deadline)
	defer cancel()
	x.ctx = ctx
	defer h.crashDetector.endTrial(x)
	if err := x.prepare(); err != nil {
		x.held.Release()
		x.respondError(err)
		return
	}
	budget := h.Budget(x.service.Name)
	budget.Begin(x.arrived)
	defer budget.End()
	defer x.recordDuration()
	x.rollout = h.Rollouts.Begin(x.service.Name, x.route.Name)
	defer x.rollout.End()
	if x.route.Kind.IsStream() {
		defer x.held.Release()
		x.serveStream()
		return
	}
	x.serveUnary()
}

// newExchange returns the exchange of a request that has just arrived, once the node has its
// initial state.
func (h *Handler) newExchange(w http.ResponseWriter, r *http.Request) *exchange {
	x := &exchange{h: h, w: w, r: r, arrived: time.Now(), meta: h.Codec.DecodeRequest(r.Header), tried: make(map[string]bool)}
	x.readDelay = h.readDelay(r)
	x.awaitInitialState()
	return x
}

// prepare reads the body of an admitted request and finds out whether and how it may be sent.
func (x *exchange) prepare() *fault.Error {
	if err := x.readBody(); err != nil {
		return err
	}
	x.setFeatures()
	x.h.crashDetector.awaitEvaluation(x.ctx, x)
	if err := x.h.crashDetector.refusal(x); err != nil {
		return err
	}
	if x.route.Kind.IsStream() {
		var err *fault.Error
		if x.version, err = x.findVersion(); err != nil {
			return err
		}
	}
	if err := x.checkDraining(time.Now()); err != nil {
		return err
	}
	x.h.Fleet.RecordRequest(x.service.Name, x.arrived)
	return nil
}

// The times after which callers should retry.
const (
	retryAfterNotReady = 500 * time.Millisecond
	retryAfterStale    = 400 * time.Millisecond
	retryAfterNoServer = 300 * time.Millisecond
	minRetryAfter      = 50 * time.Millisecond
	// retryAfterBrittle is the time over which callers are spread that brittle servers have no room for.
	retryAfterBrittle = 700 * time.Millisecond
)

// notRunError returns the error for a request that ran on no server. Status 503 tells the
// caller so.
func notRunError(code fault.Code, step, text string, retry time.Duration) *fault.Error {
	return fault.Newf(code, step, "", "%s", text).WithRetryAt(time.Now().Add(retry)).WithStatus(http.StatusServiceUnavailable)
}

// refusal is the error for a request that ran on no server. If all servers want no requests
// for a time, the caller is told to come back after the first of these times.
func (x *exchange) refusal(code fault.Code, step, text string) *fault.Error {
	now := time.Now()
	if code == fault.NoServer && x.h.Fleet.Brittle(x.service.Name, now) {
		err := fault.Newf(fault.ServerBusy, step, "", "the servers of the service are brittle, and this entry host's part of their slots is in use")
		return err.WithRetryAt(now.Add(retryAfterNoServer + rand.N(retryAfterBrittle)))
	}
	if code == fault.Draining {
		return x.drainingError(step, text)
	}
	earliest, found := x.h.Fleet.Relief(x.rollout.Limit(fleet.Query{Service: x.service.Name, Now: now}))
	if !found || code == fault.CallerLeft {
		return notRunError(code, step, text, retryAfterNoServer)
	}
	err := fault.Newf(fault.ServerBusy, step, "", "all servers of the service turned requests away, or named limits, and take none now")
	return err.WithRetryAt(deferral.RetryAt(earliest, now, rand.Float64()))
}

// systemHeaders is for how many headers of Codec.SetHeaders there is room from the beginning.
const systemHeaders = 8

// request builds the request for a server. It returns false if the deadline has
// passed.
func (x *exchange) request(m *fleet.Member, f ForwardMeta) (*http1.Request, bool) {
	remaining := min(time.Until(x.deadline), x.uptimeDeadline-x.h.Uptime())
	if remaining <= 0 {
		return nil, false
	}
	f.TimeLeft = remaining
	f.ServerID = m.ID()
	f.Organisation = x.organisation.Name
	f.PriorityScheduling = x.service.Engine != nil
	f.Priority = x.class()
	header := make(http.Header, len(x.header)+systemHeaders)
	maps.Copy(header, x.header)
	x.h.Codec.SetHeaders(header, f)
	return &http1.Request{ID: x.meta.ID, Method: x.r.Method, Target: x.target(), Host: x.r.Host, Header: header, Body: x.body, Slow: x.route.Kind.IsStream()}, true
}

// priority returns the organisation's priority if it has one, or else the route's.
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

// maxConnections returns this node's share of the connections that a server accepts, 0
// if there is no limit.
func (x *exchange) maxConnections() int {
	if x.service.Connections == 0 {
		return 0
	}
	return max(2, x.service.Connections*3/4/max(x.h.NodeCount(), 1))
}

func (x *exchange) query() fleet.Query {
	q := fleet.Query{Service: x.service.Name, Exclude: x.tried, Nodes: x.h.NodeCount(), MaxConnections: x.maxConnections(), Now: time.Now()}
	if e := x.service.Engine; e != nil && x.meta.PromptTokens > 0 {
		q.PromptTokens = x.meta.PromptTokens
		q.Memory = x.meta.PromptTokens + x.meta.OutputTokens
		q.Capacity = e.KVCacheTokens
		q.Prompt = x.meta.PromptHash
		q.CachedOn = x.h.PromptIndex.Server(x.meta.PromptHash, q.Now)
		q.ReturningCaller = x.meta.LastEventID > 0
	}
	return q
}

// mayRetry reports whether the request may be sent to another server. If an earlier
// attempt was sent, the route's limit of attempts and the retry budget apply.
func (x *exchange) mayRetry() bool {
	if x.sentAttempts == 0 {
		return true
	}
	if x.attempts >= max(x.route.Attempts, 1) || x.ctx.Err() != nil {
		return false
	}
	return x.allowRetry(x.sentAttempts)
}

// respondError sends an error response generated by this node.
func (x *exchange) respondError(err *fault.Error) {
	status := err.Status()
	f := Fields{
		"request": x.meta.ID, "route": x.route.Name, "service": x.service.Name, "kind": x.route.Kind.String(), "status": status, "code": err.Code(), "step": err.Step(),
		"peer": err.Peer(), "ran": err.Ran(), "reason": err.Message(), "attempts": x.attempts, "ms": ms(time.Since(x.arrived)), "revision": x.revision(),
	}
	event := "refused"
	if x.callerLeft() {
		event = "caller left"
		f["left_ms"], f["connection"] = ms(time.Until(x.deadline)), x.connectionState()
	}
	header := x.w.Header()
	if at := err.RetryAt(); !at.IsZero() && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) {
		wait := max(time.Until(at), minRetryAfter)
		header.Set("Retry-After", retryAfterSeconds(wait))
		f["retry_after_ms"] = ms(wait)
	}
	x.h.Recorder.Record(event, f)
	if x.h.draining.Load() != nil {
		header.Set("Connection", "close")
	}
	x.limitUnreadBody()
	header.Set("Content-Type", "application/json")
	b, encodeErr := json.Marshal(errorBody{Code: string(err.Code()), Message: err.Message(), Step: err.Step(), Ran: string(err.Ran())})
	if encodeErr != nil {
		b = []byte("{}")
	}
	header.Set("Content-Length", strconv.Itoa(len(b)))
	x.w.WriteHeader(status)
	x.writeBody(b)
}

// writeBody writes the rest of a response to the caller.
func (x *exchange) writeBody(b []byte) {
	_, err := x.w.Write(b)
	if err == nil {
		err = http.NewResponseController(x.w).Flush()
	}
	if err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		x.h.Recorder.Record("response not sent", Fields{"request": x.meta.ID, "error": err.Error(), "ms": ms(time.Since(x.arrived)), "stopping": x.stopping()})
	}
}

// errorBody is the body of an error response.
type errorBody struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Step    string `json:"step"`
	Ran     string `json:"ran"`
}

func retryAfterSeconds(d time.Duration) string { return strconv.FormatFloat(d.Seconds(), 'f', 2, 64) }

func ms(d time.Duration) int64 { return d.Milliseconds() }

// ErrStopping is the cause with which the context of requests is to be cancelled when the
// node stops.
var ErrStopping = errors.New("this entry host is stopping")

// revision returns the revision of the configuration that the request was admitted under, 0
// if there was none.
func (x *exchange) revision() uint64 {
	if x.catalog == nil {
		return 0
	}
	return x.catalog.Revision()
}

// parentContext returns the context of which that of the request is derived. A request that
// may run only once goes on without its caller: it can't be taken back, and a caller that has
// only stopped sending still reads the response.
func (x *exchange) parentContext() context.Context {
	if x.route.Kind == catalog.AtMostOnce {
		return tcp.CallerConnOf(x.r).Base
	}
	return x.r.Context()
}

// stopping reports whether the node stops.
func (x *exchange) stopping() bool {
	return errors.Is(context.Cause(tcp.CallerConnOf(x.r).Base), ErrStopping)
}

// callerLeft reports whether the caller has closed its connection, or at least its sending
// side: until something is written to it, the two can't be told apart.
func (x *exchange) callerLeft() bool {
	return errors.Is(x.r.Context().Err(), context.Canceled) && !x.stopping()
}

// failUnanswered ends a request for which no server response is available. A caller that has
// left gets a response too, as it may still read.
func (x *exchange) failUnanswered(step, reason string) {
	code, failure := fault.NoServer, fault.ServerFailed
	switch {
	case x.stopping():
		code, reason = fault.Draining, ErrStopping.Error()
	case x.callerLeft() && x.route.Kind != catalog.AtMostOnce:
		code, failure, reason = fault.CallerLeft, fault.CallerLeft, "the caller closed its connection or its sending side"
	}
	switch {
	case !x.dispatched.Close():
		x.respondError(x.refusal(code, step, reason))
	case time.Now().After(x.deadline.Add(-time.Millisecond)):
		x.respondError(fault.Newf(fault.ServerSilent, step, "", "%s", reason).WithRan(fault.RanUnknown).WithStatus(http.StatusGatewayTimeout))
	default:
		x.respondError(fault.Newf(failure, step, "", "%s", reason).WithRan(fault.RanUnknown))
	}
}
