// Package claim runs calls that must not be repeated at most once. A call is
// claimed in the platform's table before it is sent; only the node whose claim
// stands sends it, and never again after the first byte. Its outcome is written
// to the claim, and a repeat is answered from there.
//
// Claims don't lapse: a paused node may wake after any time, so that nobody else
// sends what it has claimed. A node gives a claim up only by its own word.
//
// # Usage
//
//	d := claim.New(node, incarnation, store, peers, sender, deadline)
//	o, err := d.Do(ctx, claim.Call{...})
package claim

import (
	"context"
	"time"

	"cicadabeam/core/fault"
)

// Key names a call: the caller's idempotency key within an organisation and a
// service.
type Key struct {
	Organisation string
	Service      string
	Name         string
}

// String returns the key as the table holds it.
func (k Key) String() string { return k.Organisation + "/" + k.Service + "/" + k.Name }

// Header is one header of a response.
type Header struct{ Name, Value string }

// Response is what a backend server answered.
type Response struct {
	Status    int
	Headers   []Header
	Body      []byte
	Truncated bool // the body was too large to keep
}

// Call is a call to a service that is not idempotent.
type Call struct {
	Key      Key
	BodyHash uint64
	Method   string
	Path     string
	Headers  []Header
	Body     []byte
	Deadline time.Time
}

// State is how far a claimed call has come.
type State string

// Claimed: the claiming node may have sent it. Done: it ran, and the response is
// kept. Abandoned: it was not sent and never will be under this claim. Lost: it
// was sent and nobody knows what became of it.
const (
	Claimed   State = "claimed"
	Done      State = "done"
	Abandoned State = "abandoned"
	Lost      State = "lost"
)

// Row is a claim in the platform's table.
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

// Stored is a row with the revision that a change of it is conditional on.
type Stored struct {
	Row      Row
	Revision uint64
}

// Store keeps the claims. A write that returns an error may have taken effect.
type Store interface {
	// Insert adds a row if there is none of its day or those near it. It returns
	// false when there is one.
	Insert(ctx context.Context, key Key, r Row) (revision uint64, ok bool, err error)
	// Read returns a row and whether there is one.
	Read(ctx context.Context, key Key) (Stored, bool, error)
	// Replace changes a row that was made on the same day and is still at revision,
	// else returns false.
	Replace(ctx context.Context, key Key, revision uint64, r Row) (next uint64, ok bool, err error)
	// Away tells whether the store has lately not answered anyone, so that it is no
	// use to try for long.
	Away() bool
}

// Status is what a node says about a call that it claimed.
type Status struct {
	Known   bool // it has claimed the call in its present incarnation
	Outcome Outcome
}

// Peers asks another node about its claim, waiting for the end of a running call
// until ctx is done.
type Peers interface {
	AskCall(ctx context.Context, node, incarnation string, key Key, claimID string) (Status, error)
}

// Sender sends a call to a backend server, once. sent tells whether a byte may
// have reached it. fencing is the revision of the claim.
type Sender interface {
	Send(ctx context.Context, c Call, fencing uint64) (r Response, server string, sent bool, err error)
}

// Outcome is what became of a call. With state Claimed it is still running.
type Outcome struct {
	State    State
	Response Response
	Server   string
	Failure  *Failure
}

// Failure is an error as it crosses nodes.
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

// Err returns the failure as a fault.
func (f *Failure) Err() error {
	return fault.Newf(f.Code, f.Step, f.Peer, "%s", f.Message).WithRan(f.Ran).WithAttempt(f.Attempt).WithRetry(f.RetryAt)
}
