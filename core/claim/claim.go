// Package claim executes calls to non-idempotent services at most once. A node
// claims a call in the platform's table before it sends it. Only the node that
// holds the claim sends the call, and it does not retry once the first byte may
// have been sent. The outcome is written to the claim, and repeated calls with the
// same key are answered from it.
//
// Claims have no lease: a paused node may resume after any length of time, so no
// other node may send a call that it has claimed. Only the claiming node itself can
// abandon a claim.
//
// # Usage
//
//	d := claim.New(node, incarnation, store, peers, sender)
//	r, err := d.Do(ctx, claim.Call{...})
package claim

import (
	"context"
	"time"

	"cicadabeam/core/fault"
	"cicadabeam/core/freshness"
)

// Key identifies a call by the caller's idempotency key, which is unique within
// an organisation and a service.
type Key struct {
	Organisation string
	Service      string
	Name         string
}

// String returns the key in the form in which it is stored in the table.
func (k Key) String() string { return k.Organisation + "/" + k.Service + "/" + k.Name }

// Header is one header of a response.
type Header struct{ Name, Value string }

// Response is the response of a backend server.
type Response struct {
	Status    int
	Headers   []Header
	Body      []byte
	Truncated bool // the body was too large to store
}

// Call is a request to a non-idempotent service.
type Call struct {
	Key      Key
	BodyHash uint64
	Method   string
	Path     string
	Headers  []Header
	Body     []byte
	Deadline time.Time
}

// State is the state of a claimed call.
type State string

// Claimed: the claiming node may have sent the call. Done: the call ran and its
// response is stored. Abandoned: the call was not sent and will not be sent under
// this claim. Lost: the call was sent and its outcome is unknown.
const (
	Claimed   State = "claimed"
	Done      State = "done"
	Abandoned State = "abandoned"
	Lost      State = "lost"
)

// Row is a claim as stored in the platform's table.
type Row struct {
	ID          string   `json:"id"`
	Node        string   `json:"node"`
	Incarnation string   `json:"incarnation"`
	BodyHash    uint64   `json:"body_hash"`
	State       State    `json:"state"`
	Server      string   `json:"server,omitempty"`
	Response    Response `json:"response"`
	Created     int64    `json:"created"` // Unix time in seconds
}

// VersionedRow is a row with its revision, on which an update is conditional.
type VersionedRow struct {
	Row      Row
	Revision freshness.StoreVersion
}

// Store persists claims. A write that returns an error may still have taken
// effect.
type Store interface {
	// Insert adds a row, unless one with the same key is stored under its day or an
	// adjacent one, and reports whether it did.
	Insert(ctx context.Context, key Key, r Row) (revision freshness.StoreVersion, ok bool, err error)
	// Read returns a row and reports whether it exists.
	Read(ctx context.Context, key Key) (VersionedRow, bool, error)
	// Replace updates a row, provided that it is stored under the same day and is still
	// at the given revision, and reports whether it did.
	Replace(ctx context.Context, key Key, revision freshness.StoreVersion, r Row) (next freshness.StoreVersion, ok bool, err error)
	// Unavailable reports whether all recent requests to the store have failed, so that
	// callers can stop retrying early.
	Unavailable() bool
}

// Status is a node's reply about a call that it claimed.
type Status struct {
	Known   bool // the node claimed the call in its current incarnation
	Outcome Outcome
}

// Peers queries another node for the status of its claim. It waits for a running
// call to complete until ctx is done.
type Peers interface {
	CallStatus(ctx context.Context, node, incarnation string, key Key, claimID string) (Status, error)
}

// Sender sends a call to a backend server once. sent reports whether any byte may
// have reached the server. fencing is the revision of the claim, used as the
// fencing token.
type Sender interface {
	Send(ctx context.Context, c Call, fencing uint64) (r Response, server string, sent bool, err error)
}

// Outcome is the result of a call. A call in state Claimed is still running.
type Outcome struct {
	State    State
	Response Response
	Server   string
	Failure  *Failure
}

// Failure is the form in which an error is sent between nodes.
type Failure struct {
	Code    fault.Code
	Step    string
	Peer    string
	Message string
	Ran     fault.Ran
	Attempt fault.Ran
	RetryAt time.Time
}

func failure(err error) *Failure {
	f := fault.From(err)
	return &Failure{Code: f.Code(), Step: f.Step(), Peer: f.Peer(), Message: f.Message(), Ran: f.Ran(), Attempt: f.Attempt(), RetryAt: f.RetryAt()}
}

// Err converts the failure back to a fault.
func (f *Failure) Err() error {
	return fault.Newf(f.Code, f.Step, f.Peer, "%s", f.Message).WithRan(f.Ran).WithAttempt(f.Attempt).WithRetryAt(f.RetryAt)
}
