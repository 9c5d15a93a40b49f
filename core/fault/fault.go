// Package fault defines the error type that is used throughout the system and
// reported to callers. It records what failed, in which step, at which peer, and
// whether the request ran.
//
// # Usage
//
//	return fault.New(fault.NoServer, "route", service).WithRetryAt(t)
//	...
//	f := fault.From(err)
//	w.WriteHeader(f.Status())
package fault

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Ran states whether a request ran on a backend server.
type Ran string

const (
	// NotRun is used only if no byte of the request can have reached a backend server.
	NotRun Ran = "not_run"
	// DidRun means that the request ran on a backend server.
	DidRun Ran = "ran"
	// RanUnknown means that it may have run.
	RanUnknown Ran = "unknown"
)

// Code is a machine-readable error code.
type Code string

// These codes are returned to callers and operators.
const (
	BadRequest             Code = "bad_request"
	Unauthorized           Code = "unauthorized"
	NotFound               Code = "not_found"
	MethodNotAllowed       Code = "method_not_allowed"
	TooLarge               Code = "too_large"
	RequestTimeout         Code = "request_timeout"
	IdempotencyKeyRequired Code = "idempotency_key_required"
	IdempotencyKeyReused   Code = "idempotency_key_reused"
	AnswerDiverged         Code = "answer_diverged"
	Conflict               Code = "conflict"
	RequestQuarantined     Code = "request_quarantined"
	PromptQuarantined      Code = "prompt_quarantined"
	OrganisationLimit      Code = "organisation_limit"
	Overloaded             Code = "overloaded"
	NoServer               Code = "no_server"
	ServerFailed           Code = "server_failed"
	ServerRefused          Code = "server_refused"
	ServerBusy             Code = "server_busy"
	ServerSilent           Code = "server_silent"
	RetryBudgetSpent       Code = "retry_budget_spent"
	PlatformUnavailable    Code = "platform_unavailable"
	OutcomeUnknown         Code = "outcome_unknown"
	CallerLeft             Code = "caller_left"
	Draining               Code = "draining"
	NotReady               Code = "not_ready"
	StreamVersionUnknown   Code = "stream_version_unknown"
	Superseded             Code = "superseded"
	PeerUnavailable        Code = "peer_unavailable"
	Internal               Code = "internal"
)

// httpStatuses maps codes to HTTP statuses. The default is 500.
var httpStatuses = map[Code]int{
	BadRequest:             http.StatusBadRequest,
	Unauthorized:           http.StatusUnauthorized,
	NotFound:               http.StatusNotFound,
	MethodNotAllowed:       http.StatusMethodNotAllowed,
	TooLarge:               http.StatusRequestEntityTooLarge,
	RequestTimeout:         http.StatusRequestTimeout,
	IdempotencyKeyRequired: http.StatusBadRequest,
	IdempotencyKeyReused:   http.StatusUnprocessableEntity,
	AnswerDiverged:         http.StatusConflict,
	Conflict:               http.StatusConflict,
	RequestQuarantined:     http.StatusUnprocessableEntity,
	PromptQuarantined:      http.StatusServiceUnavailable,
	OrganisationLimit:      http.StatusTooManyRequests,
	Overloaded:             http.StatusTooManyRequests,
	NoServer:               http.StatusServiceUnavailable,
	ServerFailed:           http.StatusBadGateway,
	ServerRefused:          http.StatusBadRequest,
	ServerBusy:             http.StatusServiceUnavailable,
	ServerSilent:           http.StatusBadGateway,
	RetryBudgetSpent:       http.StatusServiceUnavailable,
	PlatformUnavailable:    http.StatusServiceUnavailable,
	OutcomeUnknown:         http.StatusBadGateway,
	CallerLeft:             http.StatusBadGateway, // received only by a caller that still reads
	Draining:               http.StatusServiceUnavailable,
	NotReady:               http.StatusServiceUnavailable,
	StreamVersionUnknown:   http.StatusServiceUnavailable,
	Superseded:             http.StatusConflict,
	PeerUnavailable:        http.StatusServiceUnavailable,
}

// Error is an error with a code, the step and peer at which it occurred, and whether
// the request ran. It is immutable: the With methods return modified copies.
type Error struct {
	code       Code
	step       string
	peer       string
	ran        Ran
	attemptRan Ran // whether this attempt ran, "" if ran covers it
	status     int // overrides the HTTP status of code if not 0
	retryAt    time.Time
	cause      error
}

// New returns an error for a request that did not run.
func New(code Code, step, peer string) *Error {
	return &Error{code: code, step: step, peer: peer, ran: NotRun}
}

// Wrap returns an error with a cause, for a request that may or may not have run.
func Wrap(cause error, code Code, step, peer string) *Error {
	return &Error{code: code, step: step, peer: peer, ran: RanUnknown, cause: cause}
}

// Newf is like New with a formatted message.
func Newf(code Code, step, peer, format string, args ...any) *Error {
	e := New(code, step, peer)
	e.cause = errors.NewWithDepthf(1, format, args...)
	return e
}

// From returns the first Error in err's chain, or wraps err with the code Internal.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, Internal, "unknown", "")
}

// Is reports whether the first Error in err's chain has the given code.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.code == code
}

// WithRan returns a copy of e that states whether the request ran.
func (e *Error) WithRan(r Ran) *Error {
	c := *e
	c.ran = r
	return &c
}

// WithAttempt returns a copy of e that states whether this attempt of the request
// ran. Ran also covers earlier attempts with the same idempotency key.
func (e *Error) WithAttempt(r Ran) *Error {
	c := *e
	c.attemptRan = r
	return &c
}

// WithRetryAt returns a copy of e with the time at which the caller may retry.
func (e *Error) WithRetryAt(at time.Time) *Error {
	c := *e
	c.retryAt = at
	return &c
}

// WithStatus returns a copy of e with an HTTP status that overrides that of its code.
func (e *Error) WithStatus(status int) *Error {
	c := *e
	c.status = status
	return &c
}

// Code returns the error code.
func (e *Error) Code() Code { return e.code }

// Step returns the step that failed.
func (e *Error) Step() string { return e.step }

// Peer returns the peer at which the step failed, or "".
func (e *Error) Peer() string { return e.peer }

// Ran returns whether the request ran, including earlier attempts with the same
// idempotency key.
func (e *Error) Ran() Ran { return e.ran }

// Attempt returns whether this attempt ran. It is "" if it does not differ from Ran.
func (e *Error) Attempt() Ran { return e.attemptRan }

// RetryAt returns when the caller may retry, or the zero time if that is unknown.
func (e *Error) RetryAt() time.Time { return e.retryAt }

// Status returns the HTTP status.
func (e *Error) Status() int {
	if e.status != 0 {
		return e.status
	}
	if s, found := httpStatuses[e.code]; found {
		return s
	}
	return http.StatusInternalServerError
}

// Message returns the message without code, step and peer. It is the code if there
// is no cause.
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

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.cause }
