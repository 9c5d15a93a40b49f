package node

import (
	"context"
	"runtime"
	"time"

	"github.com/apex/log"

	"cicadabeam/core/balance"
	"cicadabeam/core/config"
	"cicadabeam/core/records"
	"cicadabeam/io/operator"
)

// Apply implements operator.Backend.
func (n *Node) Apply(ctx context.Context, next *config.Config, base uint64, by, note string) (records.AuditEntry, error) {
	var old []byte
	if c := n.Config(); c != nil {
		old = c.Text()
	}
	changes := config.Diff(old, next.Text())
	a, err := n.configs.Apply(ctx, next, base, records.AuditEntry{By: by, Node: n.nodes.Self().Name, Note: note}, changes)
	if err != nil {
		n.log.WithFields(log.Fields{"step": "apply", "by": by, "base": base, "error": err.Error()}).Warn("configuration refused")
		return a, err
	}
	n.log.WithFields(log.Fields{"step": "apply", "by": by, "revision": a.Revision, "changes": len(changes)}).Info("configuration accepted")
	n.install(next.WithRevision(a.Revision), "operator")
	return a, nil
}

// AuditTrail implements operator.Backend.
func (n *Node) AuditTrail(ctx context.Context, limit int) ([]records.AuditEntry, error) {
	return n.configs.AuditTrail(ctx, limit)
}

// Status implements operator.Backend.
func (n *Node) Status(context.Context) operator.Status {
	now := time.Now()
	self := n.nodes.Self()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	s := operator.Status{
		Node: self.Name, DataCentre: self.DataCentre, Region: self.Region, Version: n.version, Started: n.started,
		State: string(n.state.Load().(state)), Revision: n.revision(),
		PlatformReached: n.platform.LastResponse(), PlatformReads: n.platform.Reads(), PlatformWrites: n.platform.Writes(),
		Requests: n.concurrencyLimiter.Running(), Waiting: n.router.Waiting(), Calls: n.calls.Running(),
		Answers: n.holder.Counts(), Unprotected: n.replicator.Unprotected(), Quarantined: n.quarantined(now),
		RetriesSpent: n.runner.RetryBudget().Spent(), RetriesDenied: n.runner.RetryBudget().Denied(),
		PeerSentBytes: n.traffic.Sent(), PeerReceivedByte: n.traffic.Received(),
		HeapBytes: m.HeapAlloc, Goroutines: runtime.NumGoroutine(),
	}
	for _, x := range n.nodes.Statuses(now) {
		s.Nodes = append(s.Nodes, operator.NodeStatus{
			Name: x.Node.Name, DataCentre: x.Node.DataCentre, Region: x.Node.Region,
			Alive: x.Alive, Leaving: x.Leaving, Revision: x.Revision, Heard: x.LastContact,
		})
	}
	s.Servers = n.serverStatuses(now)
	return s
}

func (n *Node) serverStatuses(now time.Time) []balance.Status {
	c := n.Config()
	if c == nil {
		return nil
	}
	var all []balance.Status
	for _, x := range c.AllServers() {
		all = append(all, n.loads.Status(x.Name(), now))
	}
	return all
}
