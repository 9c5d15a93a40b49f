package caller

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/answer"
	"cicadabeam/core/fault"
)

// errorBody is the JSON body of an error response, in the OpenAI-compatible format.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string     `json:"message"`
	Type    string     `json:"type"`
	Code    fault.Code `json:"code"`
	Step    string     `json:"step"`
	Ran     fault.Ran  `json:"ran"`
	// Attempt is set if this attempt is known not to have run but the outcome of
	// earlier attempts with the same idempotency key is unknown.
	Attempt fault.Ran `json:"attempt,omitempty"`
}

func newErrorDetail(f *fault.Error) errorDetail {
	return errorDetail{Message: f.Message(), Type: errorType(f.Status()), Code: f.Code(), Step: f.Step(), Ran: f.Ran(), Attempt: f.Attempt()}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// ErrStopping is the cause with which the context of requests is to be cancelled when the node
// stops.
var ErrStopping = errors.New("the node is stopping")

// requestError returns the error of a request. If the request ended because the node stops, it
// says so.
func (x *exchange) requestError(err error) error {
	if !errors.Is(err, context.Canceled) || !errors.Is(context.Cause(x.r.Context()), ErrStopping) {
		return err
	}
	f := fault.From(err)
	stopping := fault.Newf(fault.Draining, f.Step(), f.Peer(), "%v", ErrStopping).WithRan(f.Ran())
	if f.Ran() == fault.NotRun {
		return stopping.WithRetryAt(time.Now().Add(time.Second))
	}
	return stopping.WithStatus(http.StatusBadGateway)
}

// writeError writes an error response and returns its status for the log. A caller that has
// only closed its sending side reads the response; without one it would get an empty 200.
func writeError(w http.ResponseWriter, err error) int {
	f := fault.From(err)
	if !f.RetryAt().IsZero() {
		w.Header().Set("Retry-After", strconv.Itoa(retryAfterSeconds(f.RetryAt())))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Status())
	_ = json.NewEncoder(w).Encode(errorBody{Error: newErrorDetail(f)})
	if errors.Is(err, context.Canceled) {
		return statusClientClosedRequest
	}
	return f.Status()
}

// retryAfterSeconds returns the value of the Retry-After header. It adds a random
// delay, so that callers that are refused at the same time don't retry at the same
// time.
func retryAfterSeconds(at time.Time) int {
	seconds := max(1, int(math.Ceil(time.Until(at).Seconds())))
	return seconds + rand.IntN(seconds+1)
}

// statusClientClosedRequest is logged as the status if the caller disconnected before
// the response. It is not a registered HTTP status.
const statusClientClosedRequest = 499

// finishError returns the error of a failed answer.
func finishError(f answer.Finish) *fault.Error {
	e := fault.Newf(fault.Code(f.Code), f.Step, f.Peer, "%s", f.Message).WithRan(fault.Ran(f.Ran)).WithStatus(f.Status)
	if f.RetryAt != 0 {
		e = e.WithRetryAt(time.UnixMilli(f.RetryAt))
	}
	return e
}
