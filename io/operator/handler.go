// Package operator serves the operators: questionnaire, audit trail, status and
// metrics, to those who know the operators' secret. Its client is what the
// command line uses.
//
// # Usage
//
//	h := operator.New(backend, secret, metrics)
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

// Backend is the node behind the handler.
type Backend interface {
	Config() *config.Config
	// Apply makes a questionnaire the configuration, if base is the newest
	// revision.
	Apply(ctx context.Context, next *config.Config, base uint64, by, note string) (records.AuditEntry, error)
	Trail(ctx context.Context, limit int) ([]records.AuditEntry, error)
	Status(ctx context.Context) Status
}

// Handler serves operators.
type Handler struct {
	backend Backend
	secret  string
	mux     *http.ServeMux
}

// New returns a handler with its own mux. metrics serves /metrics.
func New(b Backend, secret string, metrics http.Handler) *Handler {
	h := &Handler{backend: b, secret: secret, mux: http.NewServeMux()}
	h.mux.HandleFunc("GET /v1/configuration", h.show)
	h.mux.HandleFunc("POST /v1/configuration", h.apply)
	h.mux.HandleFunc("GET /v1/audit", h.audit)
	h.mux.HandleFunc("GET /v1/status", h.status)
	h.mux.Handle("GET /metrics", metrics)
	h.mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	h.mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	h.mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		writeError(w, fault.Newf(fault.NotFound, "route", "", "there is no %s %s", r.Method, r.URL.Path))
	})
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if subtle.ConstantTimeCompare([]byte(key), []byte(h.secret)) != 1 {
		writeError(w, fault.Newf(fault.Unauthorized, "authenticate", "", "the operators' secret is missing or wrong"))
		return
	}
	h.mux.ServeHTTP(w, r)
}

// failure is the JSON of an error. Winner is set when another change came first.
type failure struct {
	Code     fault.Code          `json:"code"`
	Message  string              `json:"message"`
	Step     string              `json:"step,omitempty"`
	Ran      fault.Ran           `json:"ran,omitempty"`
	Problems []string            `json:"problems,omitempty"`
	Winner   *records.AuditEntry `json:"winner,omitempty"`
}

func writeError(w http.ResponseWriter, err error) {
	var lost *records.RevisionConflictError
	var problems inifile.Problems
	switch {
	case errors.As(err, &lost):
		writeJSON(w, http.StatusConflict, failure{Code: fault.Conflict, Message: lost.Error(), Ran: fault.NotRun, Winner: &lost.Winner})
	case errors.As(err, &problems):
		f := failure{Code: fault.BadRequest, Message: "the questionnaire has problems", Ran: fault.NotRun}
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

func (h *Handler) show(w http.ResponseWriter, _ *http.Request) {
	c := h.backend.Config()
	if c == nil {
		w.Header().Set(revisionHeader, "0")
		return
	}
	w.Header().Set(revisionHeader, strconv.FormatUint(c.Revision(), 10))
	_, _ = w.Write(c.Text())
}

func (h *Handler) apply(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxQuestionnaireBytes))
	if err != nil {
		writeError(w, fault.Newf(fault.TooLarge, "read-body", "", "the questionnaire did not arrive whole: %v", err))
		return
	}
	q := r.URL.Query()
	base, err := strconv.ParseUint(q.Get("base"), 10, 64)
	if err != nil || q.Get("by") == "" {
		writeError(w, fault.Newf(fault.BadRequest, "read-request", "", "give base (a revision) and by (who applies)"))
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

func (h *Handler) audit(w http.ResponseWriter, r *http.Request) {
	limit := defaultAuditEntries
	if v := r.URL.Query().Get("limit"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxAuditEntries {
			writeError(w, fault.Newf(fault.BadRequest, "read-request", "", "limit is %q; allowed is 1 to %d", v, maxAuditEntries))
			return
		}
		limit = n
	}
	trail, err := h.backend.Trail(r.Context(), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, trail)
}

func (h *Handler) status(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, h.backend.Status(r.Context()))
}
