// Package relay forwards callers' requests to backend servers. Unary responses are
// buffered up to a limit. Streams are forwarded event by event and, where the route
// allows it, resumed at another server after a failure.
//
// A Dialect reads and writes the metadata of requests and responses, so this package does
// not depend on header names.
//
// # Usage
//
//	h := relay.New(relay.Parts{Dialect: d, Holder: holder, Fleet: fleet, ...})
//	http.Serve(listener, h)
package relay

import (
	"net/http"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/io/http1"
)

// Call is the metadata of a caller's request.
type Call struct {
	ID           string
	Wait         time.Duration // the caller's timeout, 0 if not given
	Key          string
	Prompt       string // identifies the whole prompt, "" if unknown
	PromptTokens int
	OutputTokens int
	LastEvent    int64 // ID of the last event received, if a stream is resumed, 0 otherwise
}

// Send is the metadata that is sent to a server with a request.
type Send struct {
	Left         time.Duration // time until the deadline, 0 if unlimited
	ServerID     string
	Organisation string
	LastEvent    int64  // ID of the last event that the caller has received, 0 if none
	Ranked       bool   // the server schedules requests by priority
	Priority     int    // 0 is the highest
	BackupAt     string // address of the server that is to hold the run's KV cache backup
	CopyAt       string // address of the server that holds the KV cache backup to resume from
	CopyOf       string // ID of the run that the backup is of
}

// Reply is the metadata of a server's response.
type Reply struct {
	Signed  bool
	NotRun  bool // the server refused the request and did not run it
	Moved   bool // the address belongs to another server than the expected one; not run
	Load    fleet.Load
	HasLoad bool
}

// Report is an engine's report of its runs. Its content is some hundred milliseconds
// old.
type Report struct {
	Queued int
	Active int
	Events map[string]int // number of events produced by each run, by request ID
}

// Dialect reads and writes the metadata of requests and responses.
type Dialect interface {
	// Call parses a caller's headers.
	Call(h http.Header) Call
	// Forward returns the headers to forward to servers, without those that the system
	// sets. If keyed is set, the API key must not be forwarded.
	Forward(h http.Header, keyed bool) http.Header
	// Mark sets the system's headers.
	Mark(h http.Header, s Send)
	// Reply parses the headers of a server's response.
	Reply(r *http.Response) Reply
	// RequestID returns the ID of the request that a response belongs to.
	RequestID(h http.Header) string
	// ReportRequest returns a request for an engine's report, and Report parses the
	// body of the response.
	ReportRequest() *http1.Request
	Report(body []byte) (Report, error)
	// HeldRequest returns a request for the prompts that an engine holds in its
	// memory, and Held parses the body of the response.
	HeldRequest() *http1.Request
	Held(body []byte) ([]string, error)
}

// Fields are the inputs and the outcome of a decision.
type Fields map[string]any

// Recorder records one event for each decision. Record must not block.
type Recorder interface {
	Record(event string, f Fields)
}
