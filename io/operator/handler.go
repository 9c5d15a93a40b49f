// Package operator implements the HTTP API for operators and its client, which the command
// line uses. The API serves the questionnaire, the audit trail, the status, metrics and
// profiles, and requires the operator secret.
//
// # Usage
//
//	h := operator.NewHandler(backend, secret, metrics)
//	c := operator.NewClient("http://10.0.0.1:8081", secret, nil)
//	audit, err := c.Apply(ctx, text, base, by, note)
package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/config"
	"cicadabeam/core/fault"
	"cicadabeam/core/inifile"
	"cicadabeam/core/records"
)

const (
	maxQuestionnaireBytes = 16 << 20
	defaultAuditEntries   = 20
	maxAuditEntries       = 1000
	revisionHeader        = "X-Revision"
)

// Backend is the interface of the node to the handler.
type Backend interface {
	Config() *config.Config
	// Apply replaces the configuration, provided that base is the newest revision.
	Apply(ctx context.Context, next *config.Config, base uint64, by, note string) (records.AuditEntry, error)
	// AuditTrail returns up to limit entries of the audit trail, newest first.
	AuditTrail(ctx context.Context, limit int) ([]records.AuditEntry, error)
	Status(ctx context.Context) Status
}

// Handler serves the HTTP API for operators.
type Handler struct {
	backend Backend
	secret  string
	mux     *http.ServeMux
}

// NewHandler returns a handler with all routes registered. metrics serves /metrics.
func NewHandler(b Backend, secret string, metrics http.Handler) *Handler {
	h := &Handler{backend: b, secret: secret, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /v1/configuration", h.getConfiguration)
	h.mux.HandleFunc("POST /v1/configuration", h.applyConfiguration)
	h.mux.HandleFunc("GET /v1/audit", h.listAudit)
	h.mux.HandleFunc("GET /v1/status", h.getStatus)
	h.mux.Handle("GET /metrics", metrics)
	h.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	h.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, fault.Newf(fault.NotFound, "route", "", "no such endpoint: %s %s", r.Method, r.URL.Path))
	})
	return h
}

// ServeHTTP implements http.Handler. It checks the operator secret.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(token), []byte(h.secret)) != 1 {
		writeError(w, fault.Newf(fault.Unauthorized, "authenticate", "", "the operator secret is missing or wrong"))
		return
	}
	h.mux.ServeHTTP(w, r)
}

// failure is the JSON body of an error response. Winner is set if a conflicting change was
// applied first.
type failure struct {
	Code     fault.Code          `json:"code"`
	Message  string              `json:"message"`
	Step     string              `json:"step,omitempty"`
	Ran      fault.Ran           `json:"ran,omitempty"`
	Problems []string            `json:"problems,omitempty"`
	Winner   *records.AuditEntry `json:"winner,omitempty"`
}

// unreadBodyTimeout limits the time in which net/http reads the rest of a body before it sends an
// error.
const unreadBodyTimeout = 500 * time.Millisecond

func writeError(w http.ResponseWriter, err error) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	var conflict *records.RevisionConflictError
	var problems inifile.Problems
	switch {
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, failure{Code: fault.Conflict, Message: conflict.Error(), Ran: fault.NotRun, Winner: &conflict.Winner})
	case errors.As(err, &problems):
		f := failure{Code: fault.BadRequest, Message: "the questionnaire is invalid", Ran: fault.NotRun}
		for _, p := range problems {
			f.Problems = append(f.Problems, p.String())
		}
		writeJSON(w, http.StatusBadRequest, f)
	default:
		f := fault.From(err)
		writeJSON(w, f.Status(), failure{Code: f.Code(), Message: f.Message(), Step: f.Step(), Ran: f.Ran()})
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (h *Handler) getConfiguration(w http.ResponseWriter, _ *http.Request) {
	c := h.backend.Config()
	if c == nil {
		w.Header().Set(revisionHeader, "0")
		return
	}
	w.Header().Set(revisionHeader, strconv.FormatUint(c.Revision(), 10))
	_, _ = w.Write(c.Text())
}

func (h *Handler) applyConfiguration(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxQuestionnaireBytes))
	if err != nil {
		writeError(w, fault.Newf(fault.TooLarge, "read-body", "", "the questionnaire could not be read completely: %v", err))
		return
	}
	q := r.URL.Query()
	base, err := strconv.ParseUint(q.Get("base"), 10, 64)
	if err != nil || q.Get("by") == "" {
		writeError(w, fault.Newf(fault.BadRequest, "read-request", "", "the query parameters base (a revision) and by (the operator's name) are required"))
		return
	}
	next, err := config.Parse("questionnaire", text)
	if err != nil {
		writeError(w, err)
		return
	}
	a, err := h.backend.Apply(r.Context(), next, base, q.Get("by"), q.Get("note"))
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, a)
}

func (h *Handler) listAudit(w http.ResponseWriter, r *http.Request) {
	limit := defaultAuditEntries
	if v := r.URL.Query().Get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxAuditEntries {
			writeError(w, fault.Newf(fault.BadRequest, "read-request", "", "limit is %q, must be between 1 and %d", v, maxAuditEntries))
			return
		}
		limit = n
	}
	trail, err := h.backend.AuditTrail(r.Context(), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, trail)
}

func (h *Handler) getStatus(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.backend.Status(r.Context()))
}
