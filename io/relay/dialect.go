// Package relay passes callers' requests on to backend servers: plain ones whole,
// streams event by event, going on at another server where that is allowed.
//
// What a request or an answer says about itself is read and written by a Dialect,
// so that nothing here depends on the names of headers.
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

// Call is what a caller says about its request.
type Call struct {
	ID           string
	Wait         time.Duration // how long the caller waits, 0 if it doesn't say
	Key          string
	Prompt       string // names the whole prompt, "" if it isn't known
	PromptTokens int
	OutputTokens int
	LastEvent    int64 // of a stream that is resumed, 0 otherwise
}

// Send is what the system says to a server with a request.
type Send struct {
	Left         time.Duration // the time that is left, 0 if unbounded
	ServerID     string
	Organisation string
	LastEvent    int64  // the last event that the caller has, 0 if none
	Ranked       bool   // the server admits requests by their priority
	Priority     int    // 0 is the highest
	BackupAt     string // address of the server that is to keep a copy of the run's memory
	CopyAt       string // address of the server that keeps a copy to go on from
	CopyOf       string // the run that the copy is of
}

// Reply is what a server says about its answer.
type Reply struct {
	Signed  bool
	NotRun  bool // the server refused the request and did not run it
	Moved   bool // another server than the expected one has the address; not run
	Load    fleet.Load
	HasLoad bool
}

// Report is an engine's word about its work, some hundred milliseconds old.
type Report struct {
	Queued int
	Active int
	Events map[string]int // that each run has made, by the id of its request
}

// Dialect reads and writes what requests and answers say about themselves.
type Dialect interface {
	// Call reads a caller's headers.
	Call(h http.Header) Call
	// Forward returns the headers that go on to servers, without those that the
	// system sets. keyed tells that the key must not be passed on.
	Forward(h http.Header, keyed bool) http.Header
	// Mark sets the system's headers.
	Mark(h http.Header, s Send)
	// Reply reads a server's answer.
	Reply(r *http.Response) Reply
	// RequestID returns the id of the request that an answer belongs to.
	RequestID(h http.Header) string
	// ReportRequest asks an engine what it does, and Report reads its answer.
	ReportRequest() *http1.Request
	Report(body []byte) (Report, error)
	// HeldRequest asks an engine which prompts it keeps, and Held reads its answer.
	HeldRequest() *http1.Request
	Held(body []byte) ([]string, error)
}

// Fields are the inputs and the outcome of a decision.
type Fields map[string]any

// Recorder takes one line for each decision. It must not block.
type Recorder interface {
	Record(event string, f Fields)
}
