package peer

import (
	"cicadabeam/core/answer"
	"cicadabeam/core/balance"
	"cicadabeam/core/claim"
	"cicadabeam/core/crashcause"
	"cicadabeam/core/freshness"
	"cicadabeam/core/holder"
	"cicadabeam/core/membership"
	"cicadabeam/core/quarantine"
	"cicadabeam/core/replication"
)

// Heartbeat is the state that a node sends to other nodes every second, and immediately
// after a change. The fields of messages are exported for encoding/gob.
type Heartbeat struct {
	From string
	// Node describes the sender. It is set in the first heartbeat to a node and then
	// periodically; nil otherwise.
	Node        *membership.Node
	Revision    uint64
	Era         freshness.EraInfo
	Leaving     bool
	Loads       []balance.Report
	Notices     []balance.LeaveNotice
	Quarantined []quarantine.Entry
	Crashes     crashcause.Report
}

// CrashReport is sent to all nodes immediately when a server has died or a request has been
// quarantined.
type CrashReport struct {
	From        string
	Suspicions  []quarantine.Suspicion
	Quarantined []quarantine.Entry
	Crashes     crashcause.Report
}

// HeartbeatReply is the reply to a Heartbeat.
type HeartbeatReply struct {
	Revision uint64
	Era      freshness.EraInfo
	Leaving  bool
}

// Empty is an empty message.
type Empty int

// AppendCopiesRequest carries new pieces of several answers to a replica.
type AppendCopiesRequest struct {
	Batches []answer.Batch
}

// AppendCopiesReply is the reply to AppendCopiesRequest, with one result for each batch.
type AppendCopiesReply struct {
	Results []replication.Result
}

// ConfigReply carries a compressed configuration.
type ConfigReply struct {
	Revision uint64
	Text     []byte
}

// CallStatusRequest requests the status of a claimed call.
type CallStatusRequest struct {
	Key         claim.Key
	Incarnation string
	ClaimID     string
	Wait        int64 // how long the called node may wait for the call to complete, in milliseconds
}

// Handler handles the requests of other nodes.
type Handler interface {
	Heartbeat(h Heartbeat) HeartbeatReply
	Alarm(r CrashReport)
	Config() ConfigReply
	Find(r holder.FindRequest) holder.FindReply
	Read(r holder.ReadRequest) holder.ReadReply
	TakeOver(r holder.TakeOverRequest) holder.TakeOverReply
	OpenCopy(s answer.Snapshot) replication.Result
	AppendCopies(b []answer.Batch) []replication.Result
	CallStatus(q CallStatusRequest) claim.Status
}
