package peer

import (
	"cicadabeam/core/answer"
	"cicadabeam/core/balance"
	"cicadabeam/core/claim"
	"cicadabeam/core/holder"
	"cicadabeam/core/membership"
	"cicadabeam/core/quarantine"
	"cicadabeam/core/replication"
)

// Heartbeat is what a node tells others every second, and at once when there is
// news. The fields of messages are exported for the codec.
type Heartbeat struct {
	From string
	// Node introduces the sender, in the first heartbeat to a node and now and then.
	Node        *membership.Node
	Revision    uint64
	Leaving     bool
	Loads       []balance.Report
	Notices     []balance.LeaveNotice
	Quarantined []quarantine.Entry
}

// Alarm goes to all nodes at once when a server has died.
type Alarm struct {
	Suspicions  []quarantine.Suspicion
	Quarantined []quarantine.Entry
}

// HeartbeatReply answers a heartbeat.
type HeartbeatReply struct {
	Revision uint64
	Leaving  bool
}

// Nothing is an empty message.
type Nothing int

// Batches carries the new pieces of several answers.
type Batches struct {
	Batches []answer.Batch
}

// Results answers Batches.
type Results struct {
	Results []replication.Result
}

// ConfigReply carries a configuration, compressed.
type ConfigReply struct {
	Revision uint64
	Text     []byte
}

// CallQuestion asks what became of a claimed call.
type CallQuestion struct {
	Key         claim.Key
	Incarnation string
	ClaimID     string
	Until       int64 // Unix time in milliseconds
}

// Handler answers other nodes.
type Handler interface {
	Heartbeat(h Heartbeat) HeartbeatReply
	Alarm(a Alarm)
	Config() ConfigReply
	Find(r holder.FindRequest) holder.FindReply
	Read(r holder.ReadRequest) holder.ReadReply
	TakeOver(r holder.TakeOverRequest) holder.TakeOverReply
	OpenCopy(s answer.Snapshot) replication.Result
	AppendCopies(b []answer.Batch) []replication.Result
	CallStatus(q CallQuestion) claim.Status
}
