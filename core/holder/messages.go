package holder

import (
	"context"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/membership"
)

// FindRequest asks a node what it knows about an answer. The fields are exported
// for encoding/gob.
type FindRequest struct {
	ID string
	// Reserve names the node to record as the holder if the receiving node knows
	// none; "" makes no reservation.
	Reserve string
	// Instead names a holder whose reservation is stale and may be replaced.
	Instead string
}

// FindReply describes what a node knows about an answer.
type FindReply struct {
	Known    bool // the node has the answer or a copy of it
	Reserved bool // the holder is known only from a reservation
	Holder   string
	Epoch    uint64
	Position int
}

// ReadRequest asks for the released pieces that follow the event ID Mark.
type ReadRequest struct {
	ID           string
	Organisation string
	Mark         string
	BodyHash     uint64 // 0 accepts any body
	Wait         int64  // how long the called node may wait for pieces, in milliseconds; clocks of nodes differ
}

// Deadline returns the end of the long poll for a request that arrived at now.
func (r ReadRequest) Deadline(now time.Time) time.Time {
	return now.Add(time.Duration(r.Wait) * time.Millisecond)
}

// ReadState is the outcome of a ReadRequest.
type ReadState int

// Values of ReadState.
const (
	ReadOK ReadState = iota
	ReadNotFound
	ReadDiverged
	ReadBodyMismatch
	ReadForbidden
	ReadMoved // Holder and Epoch identify the new holder
)

// ReadReply carries the pieces that follow the event ID of a ReadRequest.
type ReadReply struct {
	State  ReadState
	Holder string
	Epoch  uint64
	Header answer.Header
	Pieces []string
	Finish answer.Finish
	Usage  answer.Usage
}

// TakeOverRequest asks a replica of an answer to promote Holder to its holder.
type TakeOverRequest struct {
	ID           string
	Organisation string
	Epoch        uint64
	Holder       string
}

// TakeOverState is the outcome of a TakeOverRequest.
type TakeOverState int

// Values of TakeOverState. TakeOverPromoted: the requesting node is now the holder.
// TakeOverHolderAlive: the replica can reach the holder, and the answer can be read from
// the replica. TakeOverMoved: the answer has another holder or epoch. TakeOverNoCopy: the node
// has no copy.
const (
	TakeOverPromoted TakeOverState = iota
	TakeOverHolderAlive
	TakeOverMoved
	TakeOverNoCopy
)

// TakeOverReply carries the answer to the new holder.
type TakeOverReply struct {
	State    TakeOverState
	Holder   string
	Epoch    uint64
	Snapshot answer.Snapshot
}

// Peers sends requests to other nodes.
type Peers interface {
	Find(ctx context.Context, node string, r FindRequest) (FindReply, error)
	Read(ctx context.Context, node string, r ReadRequest) (ReadReply, error)
	TakeOver(ctx context.Context, node string, r TakeOverRequest) (TakeOverReply, error)
	Ping(ctx context.Context, node string) error
}

// Membership provides cluster membership and the placement of answers.
type Membership interface {
	Self() membership.Node
	Candidates(region, id string) []membership.Node
	Regions() []string
	Alive(name string, now time.Time) bool
}
