// Package relay forwards callers' requests to backend servers. Unary responses are
// buffered up to a limit. Streams are forwarded event by event and, where the route
// allows it, resumed at another server after a failure.
//
// A Codec reads and writes the metadata of requests and responses, so this package does
// not depend on header names.
//
// # Usage
//
//	h := relay.New(relay.Dependencies{Codec: codec, Catalog: tracker, Fleet: fleet, ...})
//	http.Serve(listener, h)
package relay

import (
	"net/http"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/io/http1"
)

// RequestMeta is the metadata of a caller's request.
type RequestMeta struct {
	ID           string
	Timeout      time.Duration // the caller's timeout, 0 if not given
	APIKey       string
	Model        string   // "" if not given
	PromptParts  []string // the parts of the prompt that other requests may share, in order
	PromptHash   string   // identifies the whole prompt, "" if unknown
	PromptTokens int
	OutputTokens int
	LastEventID  int64  // ID of the last event received, if a stream is resumed, 0 otherwise
	Resumes      string // ID of the request that brought the first event of the stream that is resumed, "" if not given
}

// ForwardMeta is the metadata that is sent to a server with a request.
type ForwardMeta struct {
	TimeLeft           time.Duration // time until the deadline, 0 if unlimited
	ServerID           string
	Organisation       string
	LastEventID        int64  // ID of the last event that the caller has received, 0 if none
	PriorityScheduling bool   // the server schedules requests by priority
	Priority           int    // 0 is the highest
	BackupAddress      string // address of the server that is to hold the run's KV cache backup
	ResumeAddress      string // address that, with ResumeRunID, names the KV cache backup or copy to resume from
	ResumeRunID        string // ID of the run that the backup is of, or handle of the copy
}

// ResponseMeta is the metadata of a server's response.
type ResponseMeta struct {
	Signed      bool
	NotRun      bool   // the server refused the request and did not run it
	WrongServer bool   // the address belongs to another server than the expected one; not run
	ServerID    string // ID that the server gives itself, "" if it gives none
	Leaving     bool   // the server leaves and wants no further requests
	Deferral    string // in a refusal, for how long the server wants no requests; see core/deferral
	Limit       string // the requests a second that the server takes from all nodes; see core/serverlimit
	Brittle     bool   // the server ends if it has to turn too many requests away in a second
	Load        fleet.Load
	HasLoad     bool
}

// EngineReport is an engine's report of its runs. Its content is some hundred milliseconds
// old.
type EngineReport struct {
	Queued          int
	Active          int
	EventsByRequest map[string]int // number of events produced by each run, by request ID
}

// Codec reads and writes the metadata of requests and responses.
type Codec interface {
	// DecodeRequest parses a caller's headers.
	DecodeRequest(h http.Header) RequestMeta
	// ForwardedHeaders returns the headers to forward to servers, without those that the
	// system sets. If keyed is set, the API key must not be forwarded.
	ForwardedHeaders(h http.Header, keyed bool) http.Header
	// SetHeaders sets the system's headers.
	SetHeaders(h http.Header, f ForwardMeta)
	// DecodeResponse parses the headers of a server's response.
	DecodeResponse(r *http.Response) ResponseMeta
	// RequestID returns the ID of the request that a response belongs to.
	RequestID(h http.Header) string
	// ReportRequest returns a request for an engine's report, and DecodeReport parses
	// the body of the response.
	ReportRequest() *http1.Request
	DecodeReport(body []byte) (EngineReport, error)
	// PromptsRequest returns a request for the prompts that an engine holds in its KV
	// cache, and DecodePrompts parses the body of the response.
	PromptsRequest() *http1.Request
	DecodePrompts(body []byte) ([]string, error)
	// CopyRequest returns a request to the engine of a run to copy the run's KV cache to
	// another server, while the run continues. DecodeCopy parses the body of the response
	// and returns the copy's handle. ReleaseRequest returns a request to that engine to
	// remove a copy.
	CopyRequest(runID, targetAddress string) (*http1.Request, error)
	DecodeCopy(body []byte) (string, error)
	ReleaseRequest(handle string) *http1.Request
}

// Fields are the inputs and the outcome of a decision.
type Fields map[string]any

// Recorder records one event for each decision. Record must not block.
type Recorder interface {
	Record(event string, f Fields)
}
