// Package caller serves the callers: model answers in the form that model
// clients know, and the plain services.
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
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"cicadabeam/core/answer"
	"cicadabeam/core/claim"
	"cicadabeam/core/completion"
	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/holder"
	"cicadabeam/core/quarantine"
)

// Backend is the node behind the handler.
type Backend interface {
	Config() *config.Config
	// Ready returns a fault when the node takes no new requests.
	Ready() error
	// Accepting returns a fault when the balancer should send no new requests.
	Accepting() error
	// Enter counts a request of an organisation, or refuses it.
	Enter(o config.Organisation) (leave func(), err error)
	Quarantined(f quarantine.Fingerprint) bool
	Start(ctx context.Context, r holder.Request) (*holder.Reader, error)
	Resume(ctx context.Context, r holder.Request) (*holder.Reader, error)
	CallOnce(ctx context.Context, c claim.Call) (claim.Response, error)
	Forward(ctx context.Context, c claim.Call, s config.Service) (claim.Response, string, error)
}

// Limits bound what a caller may send and how slowly it may read.
type Limits struct {
	BodyBytes int64
	BodyWait  time.Duration // for the whole request body
	WriteWait time.Duration // for each write of a response
}

// Event is the end of one caller's request, for the log and the metrics.
type Event struct {
	Request      string
	Organisation string
	Service      string
	Method       string
	Path         string
	Status       int
	Started      time.Time
	FirstToken   time.Time
	Pieces       int
	Err          error
}

// Observer is told of each request that has ended.
type Observer interface {
	RequestEnded(e Event)
}

// Handler serves callers.
type Handler struct {
	backend  Backend
	limits   Limits
	observer Observer
	mux      *http.ServeMux
}

// New returns a handler with its own mux.
func New(b Backend, l Limits, o Observer) *Handler {
	h := &Handler{backend: b, limits: l, observer: o, mux: http.NewServeMux()}
	h.mux.HandleFunc("POST "+completion.ChatPath, h.guard(h.complete))
	h.mux.HandleFunc("POST "+completion.TextPath, h.guard(h.complete))
	h.mux.HandleFunc("GET /v1/answers/{id}", h.guard(h.resume))
	h.mux.HandleFunc("GET /v1/models", h.guard(h.models))
	h.mux.HandleFunc("/services/{service}/{path...}", h.guard(h.call))
	h.mux.HandleFunc("GET /health", h.health)
	h.mux.HandleFunc("GET /ready", h.ready)
	h.mux.HandleFunc("/", h.guard(h.unknownPath))
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// exchange is one caller's request under way.
type exchange struct {
	w            http.ResponseWriter
	r            *http.Request
	organisation config.Organisation
	config       *config.Config
	event        Event
	wrote        bool
}

type step func(x *exchange) error

// guard checks the key, runs a step, writes its error and reports the end.
func (h *Handler) guard(next step) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{w: w, r: r, config: h.backend.Config()}
		x.event = Event{Request: uuid.NewString(), Method: r.Method, Path: r.URL.Path, Started: time.Now()}
		err := h.admit(x, next)
		if err != nil && !x.wrote {
			x.event.Status = writeError(w, err)
		}
		x.event.Err = err
		h.observer.RequestEnded(x.event)
	}
}

func (h *Handler) admit(x *exchange, next step) error {
	x.w.Header().Set("X-Request-Id", x.event.Request)
	if x.config == nil {
		return fault.Newf(fault.NotReady, "admit", "", "the node has no configuration yet").WithRetryAt(time.Now().Add(time.Second))
	}
	key, found := strings.CutPrefix(x.r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return fault.Newf(fault.Unauthorized, "authenticate", "", "the header Authorization: Bearer KEY is missing")
	}
	o, found := x.config.OrganisationOfKey(key)
	if !found {
		return fault.Newf(fault.Unauthorized, "authenticate", "", "the API key is not known")
	}
	x.organisation = o
	x.event.Organisation = o.Name()
	return next(x)
}

// enter refuses new work while the node drains or the organisation has too much
// under way.
func (h *Handler) enter(x *exchange) (func(), error) {
	if err := h.backend.Ready(); err != nil {
		return nil, err
	}
	leave, err := h.backend.Enter(x.organisation)
	if err != nil && fault.From(err).RetryAt().IsZero() {
		return nil, fault.From(err).WithRetryAt(time.Now().Add(time.Second))
	}
	return leave, err
}

func (h *Handler) unknownPath(x *exchange) error {
	return fault.Newf(fault.NotFound, "route", "", "there is no %s %s", x.r.Method, x.r.URL.Path)
}

// readBody reads the whole body within the limits.
func (h *Handler) readBody(x *exchange) ([]byte, error) {
	c := http.NewResponseController(x.w)
	_ = c.SetReadDeadline(time.Now().Add(h.limits.BodyWait))
	body, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, h.limits.BodyBytes))
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
		return body, nil
	}
	// The deadline stays: the server reads the rest of the body before it answers.
	x.w.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return nil, fault.Newf(fault.TooLarge, "read-body", "", "the body has more than %d bytes", large.Limit)
	}
	return nil, fault.Newf(fault.BadRequest, "read-body", "", "the body did not arrive whole: %v", err)
}

func (h *Handler) complete(x *exchange) error {
	r, err := h.answerRequest(x)
	if err != nil {
		return err
	}
	if h.backend.Quarantined(r.Fingerprint) {
		return fault.Newf(fault.RequestQuarantined, "admit", "", "this request crashed the backend servers that ran it")
	}
	leave, err := h.enter(x)
	if err != nil {
		return err
	}
	defer leave()
	x.w.Header().Set("X-Answer-Id", r.Header.ID)
	reader, err := h.backend.Start(x.r.Context(), r)
	if err != nil {
		return err
	}
	defer reader.Close()
	return h.write(x, reader, r.Request)
}

// answerRequest reads and checks a request for an answer.
func (h *Handler) answerRequest(x *exchange) (holder.Request, error) {
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
		return holder.Request{}, fault.Newf(fault.NotFound, "route", "", "there is no model %q for this organisation", q.Model())
	}
	x.event.Service = s.Name()
	mark, err := lastEvent(x.r)
	if err != nil {
		return holder.Request{}, err
	}
	key := x.r.Header.Get("Idempotency-Key")
	if err := checkKey(key); err != nil {
		return holder.Request{}, err
	}
	return holder.Request{
		Header: answerHeader(x.organisation.Name(), s.Name(), q.Path(), key, body), Request: q, Service: s, Organisation: x.organisation,
		Fingerprint: Fingerprint(x.organisation.Name(), s.Name(), body), Mark: mark,
	}, nil
}

// answerHeader names an answer. Without a caller's key it gets one of its own.
func answerHeader(organisation, service, path, key string, body []byte) answer.Header {
	keyed := key != ""
	if !keyed {
		key = uuid.NewString()
	}
	return answer.Header{
		ID: answerID(organisation, service, key), Organisation: organisation, Service: service, Path: path, Body: body,
		BodyHash: xxhash.Sum64(body), Keyed: keyed, Created: time.Now().Unix(),
	}
}

// resume goes on with an answer that was begun before, on any node.
func (h *Handler) resume(x *exchange) error {
	mark, err := lastEvent(x.r)
	if err != nil {
		return err
	}
	leave, err := h.enter(x)
	if err != nil {
		return err
	}
	defer leave()
	id := x.r.PathValue("id")
	reader, err := h.backend.Resume(x.r.Context(), holder.Request{Header: answer.Header{ID: id, Organisation: x.organisation.Name()}, Mark: mark})
	if err != nil {
		return err
	}
	defer reader.Close()
	header := reader.Header()
	x.event.Service = header.Service
	x.w.Header().Set("X-Answer-Id", header.ID)
	q, err := completion.Parse(header.Path, header.Body)
	if err != nil {
		return fault.From(err).WithRan(fault.RanUnknown)
	}
	return h.write(x, reader, q)
}

func (h *Handler) write(x *exchange, r *holder.Reader, q *completion.Request) error {
	x.event.Request = r.Header().ID
	if q.Stream() {
		return h.writeStream(x, r, q)
	}
	return h.writeWhole(x, r, q)
}

// lastEvent reads the mark of the last event that the caller has.
func lastEvent(r *http.Request) (answer.EventID, error) {
	id := r.Header.Get("Last-Event-ID")
	if id == "" {
		return answer.EventID{}, nil
	}
	m, ok := answer.ParseEventID(id)
	if !ok {
		return m, fault.Newf(fault.BadRequest, "read-request", "", "the header Last-Event-ID is %q, which is no event id of this system", id)
	}
	return m, nil
}

const maxKeyLength = 255

func checkKey(key string) error {
	if len(key) > maxKeyLength || strings.ContainsFunc(key, func(c rune) bool { return c < '!' || c > '~' }) {
		return fault.Newf(fault.BadRequest, "read-request", "", "the header Idempotency-Key may have up to %d visible ASCII characters", maxKeyLength)
	}
	return nil
}

func (h *Handler) models(x *exchange) error {
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
	if err := h.backend.Accepting(); err != nil {
		writeError(w, err)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
