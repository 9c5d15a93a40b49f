package holder

import (
	"context"
	"time"

	"cicadabeam/core/answer"
	"cicadabeam/core/membership"
)

// FindRequest asks a node what it knows of an answer. The fields are exported
// for the codec.
type FindRequest struct {
	ID string
	// Reserve names the node that becomes the holder if the asked node knows of
	// none; "" reserves nothing.
	Reserve string
	// Instead names a holder whose reservation counts no more.
	Instead string
}

// FindReply is what a node knows of an answer.
type FindReply struct {
	Known    bool // it has the answer or a copy
	Reserved bool // it knows the holder only by its reservation
	Holder   string
	Epoch    uint64
	Position int
}

// ReadRequest asks for the released pieces after a prefix.
type ReadRequest struct {
	ID           string
	Organisation string
	Mark         string
	BodyHash     uint64 // 0 for any
	Until        int64  // Unix time in milliseconds until which to wait
}

// ReadState tells how a read went.
type ReadState int

// The outcomes of a read.
const (
	ReadOK ReadState = iota
	ReadUnknown
	ReadDiverged
	ReadOtherBody
	ReadForbidden
	ReadMoved // Holder and Epoch tell where to
)

// ReadReply carries the pieces after a prefix.
type ReadReply struct {
	State  ReadState
	Holder string
	Epoch  uint64
	Header answer.Header
	Pieces []string
	Finish answer.Finish
	Usage  answer.Usage
}

// TakeOverRequest asks the replica of an answer to promote a new holder.
type TakeOverRequest struct {
	ID           string
	Organisation string
	Epoch        uint64
	Holder       string
}

// TakeOverState tells how a takeover went.
type TakeOverState int

// Promoted: the asking node is the holder now. HolderAlive: the replica reaches
// the holder and passes on what it has. Moved: the answer has another holder.
// NoCopy: the asked node has none.
const (
	Promoted TakeOverState = iota
	HolderAlive
	Moved
	NoCopy
)

// TakeOverReply carries the answer to its new holder.
type TakeOverReply struct {
	State    TakeOverState
	Holder   string
	Epoch    uint64
	Snapshot answer.Snapshot
}

// Link asks other nodes.
type Link interface {
	Find(ctx context.Context, node string, r FindRequest) (FindReply, error)
	Read(ctx context.Context, node string, r ReadRequest) (ReadReply, error)
	TakeOver(ctx context.Context, node string, r TakeOverRequest) (TakeOverReply, error)
	Ping(ctx context.Context, node string) error
}

// Nodes tells who may know of an answer.
type Nodes interface {
	Self() membership.Node
	Homes(region, id string) []membership.Node
	Regions() []string
	Alive(name string, now time.Time) bool
}
