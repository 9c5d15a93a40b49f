// Package fault holds the error type that crosses the system: what failed, in
// which step, at which peer, and whether the request ran.
//
// # Usage
//
//	return fault.New(fault.NoServer, "route", service).WithRetry(t)
//	...
//	f := fault.From(err)
//	w.WriteHeader(f.Status())
package fault

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Ran tells whether a request reached a back end.
type Ran string

// NotRun is used only when no byte of the request can have reached a back end.
const (
	NotRun  Ran = "not_run"
	DidRun  Ran = "ran"
	Unknown Ran = "unknown"
)

// Code names a kind of failure for programs.
type Code string

// The codes that callers and operators see.
const (
	BadRequest        Code = "bad_request"
	Unauthorized      Code = "unauthorized"
	NotFound          Code = "not_found"
	MethodNotAllowed  Code = "method_not_allowed"
	TooLarge          Code = "too_large"
	KeyRequired       Code = "idempotency_key_required"
	KeyReused         Code = "idempotency_key_reused"
	AnswerDiverged    Code = "answer_diverged"
	Conflict          Code = "conflict"
	Quarantined       Code = "request_quarantined"
	OrganisationLimit Code = "organisation_limit"
	Overloaded        Code = "overloaded"
	NoServer          Code = "no_server"
	ServerFailed      Code = "server_failed"
	ServerRefused     Code = "server_refused"
	ServerBusy        Code = "server_busy"
	ServerSilent      Code = "server_silent"
	RetryBudget       Code = "retry_budget_spent"
	PlatformAway      Code = "platform_unavailable"
	OutcomeUnknown    Code = "outcome_unknown"
	CallerLeft        Code = "caller_left"
	Draining          Code = "draining"
	NotReady          Code = "not_ready"
	Superseded        Code = "superseded"
	PeerAway          Code = "peer_unavailable"
	Internal          Code = "internal"
)

var statuses = map[Code]int{
	BadRequest:        http.StatusBadRequest,
	Unauthorized:      http.StatusUnauthorized,
	NotFound:          http.StatusNotFound,
	MethodNotAllowed:  http.StatusMethodNotAllowed,
	TooLarge:          http.StatusRequestEntityTooLarge,
	KeyRequired:       http.StatusBadRequest,
	KeyReused:         http.StatusUnprocessableEntity,
	AnswerDiverged:    http.StatusConflict,
	Conflict:          http.StatusConflict,
	Quarantined:       http.StatusUnprocessableEntity,
	OrganisationLimit: http.StatusTooManyRequests,
	Overloaded:        http.StatusTooManyRequests,
	NoServer:          http.StatusServiceUnavailable,
	ServerFailed:      http.StatusBadGateway,
	ServerRefused:     http.StatusBadRequest,
	ServerBusy:        http.StatusServiceUnavailable,
	ServerSilent:      http.StatusBadGateway,
	RetryBudget:       http.StatusServiceUnavailable,
	PlatformAway:      http.StatusServiceUnavailable,
	OutcomeUnknown:    http.StatusBadGateway,
	CallerLeft:        http.StatusBadGateway, // nobody reads it
	Draining:          http.StatusServiceUnavailable,
	NotReady:          http.StatusServiceUnavailable,
	Superseded:        http.StatusConflict,
	PeerAway:          http.StatusServiceUnavailable,
}

// Error is a failure with the step and the peer at which it arose.
type Error struct {
	code    Code
	step    string
	peer    string
	ran     Ran
	attempt Ran
	status  int
	retryAt time.Time
	cause   error
}

// New returns an error of a request that did not run.
func New(code Code, step, peer string) *Error {
	return &Error{code: code, step: step, peer: peer, ran: NotRun}
}

// Wrap returns an error with a cause, of a request of which nobody knows
// whether it ran.
func Wrap(cause error, code Code, step, peer string) *Error {
	return &Error{code: code, step: step, peer: peer, ran: Unknown, cause: cause}
}

// Newf is New with a message for the reader.
func Newf(code Code, step, peer, format string, args ...any) *Error {
	e := New(code, step, peer)
	e.cause = errors.NewWithDepthf(1, format, args...)
	return e
}

// From finds the Error in err's chain, or wraps err as an internal one.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unknown", "")
}

// Is tells whether err carries code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.code == code
}

// WithRan returns a copy that tells whether the request ran.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.ran = r
	return &c
}

// WithAttempt returns a copy that tells whether this attempt of the request ran,
// where Ran speaks for the earlier ones with the same key as well.
func (e *Error) WithAttempt(r Ran) *Error {
	c := *e
	c.attempt = r
	return &c
}

// WithRetry returns a copy that tells the caller when to come back.
func (e *Error) WithRetry(at time.Time) *Error {
	c := *e
	c.retryAt = at
	return &c
}

// WithStatus returns a copy with an HTTP status other than its code's.
func (e *Error) WithStatus(status int) *Error {
	c := *e
	c.status = status
	return &c
}

// Code returns the kind of failure.
func (e *Error) Code() Code { return e.code }

// Step returns the step that failed.
func (e *Error) Step() string { return e.step }

// Peer returns the peer at which the step failed, or "".
func (e *Error) Peer() string { return e.peer }

// Ran tells whether the request ran.
func (e *Error) Ran() Ran { return e.ran }

// Attempt tells whether this attempt ran, or is "" where Ran says it all.
func (e *Error) Attempt() Ran { return e.attempt }

// RetryAt returns when the caller may come back; zero means no advice.
func (e *Error) RetryAt() time.Time { return e.retryAt }

// Status returns the HTTP status.
func (e *Error) Status() int {
	if e.status != 0 {
		return e.status
	}
	if s, found := statuses[e.code]; found {
		return s
	}
	return http.StatusInternalServerError
}

// Message returns the words for the reader, without step and peer.
func (e *Error) Message() string {
	if e.cause == nil {
		return string(e.code)
	}
	return e.cause.Error()
}

// Error implements error.
func (e *Error) Error() string {
	s := string(e.code) + ": step " + e.step
	if e.peer != "" {
		s += ", peer " + e.peer
	}
	if e.cause != nil {
		s += ": " + e.cause.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.cause }
