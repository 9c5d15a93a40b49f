// Package caller implements the HTTP API for callers: an OpenAI-compatible API for model
// answers, and forwarding to services that are not model engines.
//
// # Usage
//
//	h := caller.New(backend, limits, observer)
//	server := &http.Server{Handler: h, ...}
package caller

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cicadabeam/core/answer"
	"cicadabeam/core/bytebudget"
	"cicadabeam/core/claim"
	"cicadabeam/core/completion"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/holder"
)

// Backend is the interface of the node to the handler.
type Backend interface {
	Config() *config.Config
	// CheckReady returns a fault if the node does not accept new requests.
	CheckReady() error
	// CheckCall returns a fault if the node stops and may end before a call does.
	CheckCall(s config.Service, c claim.Call) error
	// CheckAccepting returns a fault if the load balancer should not route new requests to
	// this node. A draining node still accepts requests for a grace period.
	CheckAccepting() error
	// Admit counts a request against the limits of an organisation, or returns a
	// fault if a limit is exceeded. release must be called when the request has
	// ended.
	Admit(o config.Organisation) (release func(), err error)
	// CheckQuarantine returns a fault if the request is quarantined.
	CheckQuarantine(r holder.Request) error
	StartAnswer(ctx context.Context, r holder.Request) (*holder.Reader, error)
	ResumeAnswer(ctx context.Context, r holder.Request) (*holder.Reader, error)
	CallAtMostOnce(ctx context.Context, c claim.Call) (claim.Response, error)
	CallWithRetries(ctx context.Context, c claim.Call, s config.Service) (claim.Response, string, error)
}

// Limits are the size and time limits of a request and its response.
type Limits struct {
	MaxBodyBytes    int64
	Buffers         *bytebudget.Budget // of request bodies, nil for no limit
	BodyReadTimeout time.Duration      // time limit for reading the request body
	WriteTimeout    time.Duration      // time limit for each write of a response
}

// RequestSummary describes a request that has ended, for the log and the metrics.
type RequestSummary struct {
	RequestID    string
	Organisation string
	Service      string
	Method       string
	Path         string
	Status       int
	StartedAt    time.Time
	FirstTokenAt time.Time
	Pieces       int
	Err          error
}

// Observer is notified of each request that has ended.
type Observer interface {
	RequestEnded(s RequestSummary)
}

// Handler serves the HTTP API for callers.
type Handler struct {
	backend  Backend
	limits   Limits
	observer Observer
	mux      *http.ServeMux
}

// New returns a handler with all routes registered.
func New(b Backend, l Limits, o Observer) *Handler {
	h := &Handler{backend: b, limits: l, observer: o, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST "+completion.ChatPath, h.wrap(h.createCompletion))
	h.mux.HandleFunc("POST "+completion.TextPath, h.wrap(h.createCompletion))
	h.mux.HandleFunc("GET /v1/answers/{id}", h.wrap(h.resumeAnswer))
	h.mux.HandleFunc("GET /v1/models", h.wrap(h.listModels))
	h.mux.HandleFunc("/services/{service}/{path...}", h.wrap(h.callService))
	h.mux.HandleFunc("GET /health", h.health)
	h.mux.HandleFunc("GET /ready", h.ready)
	h.mux.HandleFunc("/", h.wrap(h.notFound))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// exchange is the state of one request in flight.
type exchange struct {
	w             http.ResponseWriter
	r             *http.Request
	organisation  config.Organisation
	config        *config.Config
	summary       RequestSummary
	headerWritten bool
	held          *bytebudget.Holder // of the body
	bodyLimited   bool               // the time for reading the rest of the request is limited
}

func (x *exchange) release() { x.held.Release() }

// handlerFunc handles an authenticated request.
type handlerFunc func(x *exchange) error

// wrap returns an http.HandlerFunc that authenticates the request, runs next, writes its
// error if no response has been sent, and notifies the observer.
func (h *Handler) wrap(next handlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, config: h.backend.Config()}
		x.summary = RequestSummary{RequestID: uuid.NewString(), Method: r.Method, Path: r.URL.Path, StartedAt: time.Now()}
		defer x.release()
		err := x.requestError(h.authenticate(x, next))
		if err != nil && !x.headerWritten {
			x.limitUnreadBody()
			if fault.From(err).Code() == fault.Draining {
				w.Header().Set("Connection", "close")
			}
			x.summary.Status = writeError(w, err)
		}
		x.summary.Err = err
		h.observer.RequestEnded(x.summary)
	}
}

// authenticate identifies the organisation by the API key and runs next.
func (h *Handler) authenticate(x *exchange, next handlerFunc) error {
	x.w.Header().Set("X-Request-Id", x.summary.RequestID)
	if x.config == nil {
		return fault.Newf(fault.NotReady, "admit", "", "the node has no configuration yet").WithRetryAt(time.Now().Add(time.Second))
	}
	key, found := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return fault.Newf(fault.Unauthorized, "authenticate", "", "the header Authorization: Bearer KEY is missing")
	}
	o, found := x.config.OrganisationOfKey(key)
	if !found {
		return fault.Newf(fault.Unauthorized, "authenticate", "", "the API key is unknown")
	}
	x.organisation = o
	x.summary.Organisation = o.Name()
	return next(x)
}

// admit refuses the request if the node does not accept new requests or the organisation
// exceeds its limits. The returned function must be called when the request has ended.
func (h *Handler) admit(x *exchange) (func(), error) {
	if err := h.backend.CheckReady(); err != nil {
		return nil, err
	}
	release, err := h.backend.Admit(x.organisation)
	if err != nil && fault.From(err).RetryAt().IsZero() {
		return nil, fault.From(err).WithRetryAt(time.Now().Add(time.Second))
	}
	return release, err
}

func (h *Handler) notFound(x *exchange) error {
	return fault.Newf(fault.NotFound, "route", "", "no such endpoint: %s %s", x.r.Method, x.r.URL.Path)
}

// readBody reads the request body within the limits on size and time.
func (h *Handler) readBody(x *exchange) ([]byte, error) {
	c := http.NewResponseController(x.w)
	x.bodyLimited = true
	_ = c.SetReadDeadline(time.Now().Add(h.limits.BodyReadTimeout))
	stop := context.AfterFunc(x.r.Context(), func() { _ = c.SetReadDeadline(time.Now()) })
	defer stop()
	x.held = h.limits.Buffers.Hold("request body", func() { _ = c.SetReadDeadline(time.Now()) })
	var body []byte
	err := bytebudget.ErrSpent
	if x.held.HasRoom(x.r.ContentLength) {
		body, err = bytebudget.ReadAll(http.MaxBytesReader(x.w, x.r.Body, h.limits.MaxBodyBytes), h.limits.MaxBodyBytes+1, x.r.ContentLength, x.held)
	}
	if kept := x.held.Keep(); kept != nil {
		err = kept
	}
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The read deadline is kept, because net/http reads the rest of the body before it
	// sends the response.
	x.w.Header().Set("Connection", "close")
	if errors.Is(err, bytebudget.ErrSpent) {
		return nil, fault.Newf(fault.NotReady, "read-body", "", "this node has no room for the request body").WithRetryAt(time.Now().Add(time.Second))
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, fault.Newf(fault.TooLarge, "read-body", "", "the request body exceeds %d bytes", large.Limit)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && errors.Is(context.Cause(x.r.Context()), ErrStopping) {
		return nil, fault.Newf(fault.Draining, "read-body", "", "%v", ErrStopping).WithRetryAt(time.Now().Add(time.Second))
	}
	return nil, fault.Newf(fault.BadRequest, "read-body", "", "the request body could not be read completely: %v", err)
}

// unreadBodyTimeout limits the time for which a refusal that is sent before the body has been
// read waits for the rest of the body.
const unreadBodyTimeout = 500 * time.Millisecond

// limitUnreadBody limits the time in which net/http reads the rest of a body before it sends
// the response.
func (x *exchange) limitUnreadBody() {
	if !x.bodyLimited && x.r.ContentLength != 0 {
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

func (h *Handler) createCompletion(x *exchange) error {
	r, err := h.parseAnswerRequest(x)
	if err != nil {
		return err
	}
	if err := h.backend.CheckQuarantine(r); err != nil {
		return err
	}
	release, err := h.admit(x)
	if err != nil {
		return err
	}
	defer release()
	x.w.Header().Set("X-Answer-Id", r.Header.ID)
	reader, err := h.backend.StartAnswer(x.r.Context(), r)
	if err != nil {
		return err
	}
	defer reader.Close()
	return h.writeAnswer(x, reader, r.Request)
}

// parseAnswerRequest reads and validates a request for an answer.
func (h *Handler) parseAnswerRequest(x *exchange) (holder.Request, error) {
	body, err := h.readBody(x)
	if err != nil {
		return holder.Request{}, err
	}
	q, err := completion.Parse(x.r.URL.Path, body)
	if err != nil {
		return holder.Request{}, err
	}
	s, found := x.config.ServiceOfModel(q.Model())
	if !found || !x.organisation.MayUse(s.Name()) {
		return holder.Request{}, fault.Newf(fault.NotFound, "route", "", "model %q does not exist or is not available to this organisation", q.Model())
	}
	x.summary.Service = s.Name()
	eventID, err := lastEventID(x.r)
	if err != nil {
		return holder.Request{}, err
	}
	key := x.r.Header.Get("Idempotency-Key")
	if err := checkIdempotencyKey(key); err != nil {
		return holder.Request{}, err
	}
	return holder.Request{
		Header: newAnswerHeader(x.organisation.Name(), s.Name(), q.Path(), key, body), Request: q, Service: s, Organisation: x.organisation,
		Fingerprint: Fingerprint(x.organisation.Name(), s.Name(), body), EventID: eventID,
	}, nil
}

// newAnswerHeader returns the header of a new answer. If the caller sent no idempotency
// key, the answer ID is derived from a random one.
func newAnswerHeader(organisation, service, path, key string, body []byte) answer.Header {
	keyed := key != ""
	if !keyed {
		key = uuid.NewString()
	}
	return answer.Header{
		ID: answerID(organisation, service, key), Organisation: organisation, Service: service, Path: path, Body: body,
		BodyHash: xxhash.Sum64(body), Keyed: keyed, Created: time.Now().Unix(),
	}
}

// resumeAnswer continues an answer after the last event that the caller has received.
// The answer may be held by any node.
func (h *Handler) resumeAnswer(x *exchange) error {
	eventID, err := lastEventID(x.r)
	if err != nil {
		return err
	}
	release, err := h.admit(x)
	if err != nil {
		return err
	}
	defer release()
	id := x.r.PathValue("id")
	reader, err := h.backend.ResumeAnswer(x.r.Context(), holder.Request{Header: answer.Header{ID: id, Organisation: x.organisation.Name()}, EventID: eventID})
	if err != nil {
		return err
	}
	defer reader.Close()
	header := reader.Header()
	x.summary.Service = header.Service
	x.w.Header().Set("X-Answer-Id", header.ID)
	q, err := completion.Parse(header.Path, header.Body)
	if err != nil {
		return fault.From(err).WithRan(fault.RanUnknown)
	}
	return h.writeAnswer(x, reader, q)
}

func (h *Handler) writeAnswer(x *exchange, r *holder.Reader, q *completion.Request) error {
	x.summary.RequestID = r.Header().ID
	if q.Stream() {
		return h.writeStream(x, r, q)
	}
	return h.writeCompletion(x, r, q)
}

// lastEventID returns the event ID in the header Last-Event-ID, or the zero event ID if
// the header is missing.
func lastEventID(r *http.Request) (answer.EventID, error) {
	id := r.Header.Get("Last-Event-ID")
	if id == "" {
		return answer.EventID{}, nil
	}
	e, ok := answer.ParseEventID(id)
	if !ok {
		return e, fault.Newf(fault.BadRequest, "read-request", "", "the header Last-Event-ID is %q, which is not a valid event ID", id)
	}
	return e, nil
}

const maxIdempotencyKeyLength = 255

func checkIdempotencyKey(key string) error {
	if len(key) > maxIdempotencyKeyLength || strings.ContainsFunc(key, func(c rune) bool { return c < '!' || c > '~' }) {
		return fault.Newf(fault.BadRequest, "read-request", "", "the header Idempotency-Key must consist of at most %d printable ASCII characters without spaces", maxIdempotencyKeyLength)
	}
	return nil
}

func (h *Handler) listModels(x *exchange) error {
	list := modelList{Object: "list", Data: []model{}}
	for _, s := range x.config.Services() {
		if s.Model() != "" && x.organisation.MayUse(s.Name()) {
			list.Data = append(list.Data, model{ID: s.Model(), Object: "model", OwnedBy: "cicadabeam"})
		}
	}
	return x.writeJSON(http.StatusOK, list)
}

func (h *Handler) health(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, "ok\n")
}

func (h *Handler) ready(w http.ResponseWriter, _ *http.Request) {
	if err := h.backend.CheckAccepting(); err != nil {
		writeError(w, err)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
