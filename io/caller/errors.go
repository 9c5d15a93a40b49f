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

// errorBody is the JSON of an error, in the shape that model clients expect.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string     `json:"message"`
	Type    string     `json:"type"`
	Code    fault.Code `json:"code"`
	Step    string     `json:"step"`
	Ran     fault.Ran  `json:"ran"`
	// Attempt is given where this attempt is known not to have run but nothing is
	// known of earlier ones with the same key.
	Attempt fault.Ran `json:"attempt,omitempty"`
}

func detail(f *fault.Error) errorDetail {
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

// writeError writes an error as the whole response and returns its status.
func writeError(w http.ResponseWriter, err error) int {
	if errors.Is(err, context.Canceled) {
		return statusCallerGone
	}
	f := fault.From(err)
	if !f.RetryAt().IsZero() {
		w.Header().Set("Retry-After", strconv.Itoa(retrySeconds(f.RetryAt())))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(f.Status())
	_ = json.NewEncoder(w).Encode(errorBody{Error: detail(f)})
	return f.Status()
}

// retrySeconds returns in how many seconds to come back. It differs between
// callers, so that those who are refused together don't return together.
func retrySeconds(at time.Time) int {
	seconds := max(1, int(math.Ceil(time.Until(at).Seconds())))
	return seconds + rand.IntN(seconds+1)
}

// statusCallerGone stands in the log for a caller that went away.
const statusCallerGone = 499

// failure turns the end of a failed answer into its error.
func failure(f answer.Finish) *fault.Error {
	e := fault.Newf(fault.Code(f.Code), f.Step, f.Peer, "%s", f.Message).WithRan(fault.Ran(f.Ran)).WithStatus(f.Status)
	if f.RetryAt != 0 {
		e = e.WithRetryAt(time.UnixMilli(f.RetryAt))
	}
	return e
}
