package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"cicadabeam/core/answer"
	"cicadabeam/core/claim"
	"cicadabeam/core/holder"
	"cicadabeam/core/records"
	"cicadabeam/core/replication"
	"cicadabeam/io/peer"
)

const takeOverTimeout = time.Second

// configReply returns the configuration in force for another node.
func (n *Node) configReply() peer.ConfigReply {
	c := n.Config()
	if c == nil {
		return peer.ConfigReply{}
	}
	compressed, err := records.Compress(c.Text())
	if err != nil {
		n.log.WithFields(log.Fields{"step": "pack-configuration", "error": err.Error()}).Error("configuration not compressed")
		return peer.ConfigReply{}
	}
	return peer.ConfigReply{Revision: c.Revision(), Text: compressed}
}

// peerHandler implements peer.Handler.
type peerHandler struct{ node *Node }

func (p peerHandler) Heartbeat(h peer.Heartbeat) peer.HeartbeatReply {
	return p.node.handleHeartbeat(h)
}

func (p peerHandler) Alarm(r peer.CrashReport) { p.node.handleCrashReport(r) }

func (p peerHandler) Config() peer.ConfigReply { return p.node.configReply() }

func (p peerHandler) Find(r holder.FindRequest) holder.FindReply { return p.node.holder.Find(r) }

func (p peerHandler) Read(r holder.ReadRequest) holder.ReadReply {
	p.node.remoteReads.Add(1)
	defer p.node.remoteReads.Add(-1)
	ctx, cancel := context.WithDeadline(p.node.ctx, r.Deadline(time.Now()))
	defer cancel()
	return p.node.holder.Read(ctx, r)
}

func (p peerHandler) TakeOver(r holder.TakeOverRequest) holder.TakeOverReply {
	ctx, cancel := context.WithDeadline(p.node.ctx, time.Now().Add(takeOverTimeout))
	defer cancel()
	return p.node.holder.TakeOver(ctx, r)
}

func (p peerHandler) OpenCopy(s answer.Snapshot) replication.Result {
	return p.node.holder.OpenCopy(s)
}

func (p peerHandler) AppendCopies(b []answer.Batch) []replication.Result {
	return p.node.holder.AppendCopies(b)
}

func (p peerHandler) CallStatus(q peer.CallStatusRequest) claim.Status {
	ctx, cancel := context.WithDeadline(p.node.ctx, time.Now().Add(time.Duration(q.Wait)*time.Millisecond))
	defer cancel()
	return p.node.calls.Status(ctx, q.Incarnation, q.Key, q.ClaimID)
}
