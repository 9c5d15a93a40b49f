package node

import (
	"context"
	"sync"
	"time"

	"cicadabeam/io/peer"
)

const (
	heartbeatInterval = time.Second
	heartbeatTimeout  = 900 * time.Millisecond
	// heartbeatBatchDelay is how long a triggered round of heartbeats is delayed, so that
	// changes in quick succession go out in one round.
	heartbeatBatchDelay = 50 * time.Millisecond
	// nodeInfoInterval is the time between two heartbeats to a node that include the
	// sender's location and address, which seldom change and are the larger part of a
	// heartbeat.
	nodeInfoInterval = 30 * time.Second
)

// nodeInfoSchedule records for each other node when the next heartbeat to it includes
// the sender's location and address.
type nodeInfoSchedule struct {
	mu   sync.Mutex
	next map[string]time.Time
}

// due reports whether a heartbeat that is sent to a node now must include the sender's
// location and address. If so, it schedules the next such heartbeat.
func (s *nodeInfoSchedule) due(to string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(s.next[to]) {
		return false
	}
	if s.next == nil {
		s.next = make(map[string]time.Time)
	}
	s.next[to] = now.Add(nodeInfoInterval)
	return true
}

// reset makes the next heartbeat to a node include the sender's location and address,
// because the node may have missed the last one that did.
func (s *nodeInfoSchedule) reset(to string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.next, to)
}

// triggerHeartbeat starts the next round of heartbeats without waiting for the interval.
func (n *Node) triggerHeartbeat() {
	select {
	case n.heartbeatTrigger <- struct{}{}:
	default:
	}
}

func (n *Node) runHeartbeats() error {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for {
		n.sendHeartbeats()
		select {
		case <-n.ctx.Done():
			return n.ctx.Err()
		case <-t.C:
		case <-n.heartbeatTrigger:
			time.Sleep(heartbeatBatchDelay)
		}
	}
}

func (n *Node) newHeartbeat() peer.Heartbeat {
	now := time.Now()
	return peer.Heartbeat{
		From:        n.nodes.Self().Name,
		Revision:    n.revision(),
		Era:         n.eras.Info(),
		Leaving:     n.state.Load() == draining,
		Notices:     n.loads.Notices(now),
		Quarantined: n.quarantine.Entries(now),
		Crashes:     n.crashes.Report(now),
	}
}

// sendHeartbeats sends a heartbeat to each target. It does not wait for the replies, so
// that an unresponsive node does not delay later heartbeats to the others. Load reports
// go only to nodes of the same data centre.
func (n *Node) sendHeartbeats() {
	h := n.newHeartbeat()
	local := h
	local.Loads = n.reports.list()
	for _, x := range n.nodes.HeartbeatTargets() {
		message := h
		if x.DataCentre == n.nodes.Self().DataCentre {
			message = local
		}
		go n.sendHeartbeat(x.Name, message)
	}
}

func (n *Node) sendHeartbeat(to string, h peer.Heartbeat) {
	if n.nodeInfoSchedule.due(to, time.Now()) {
		self := n.nodes.Self()
		h.Node = &self
	}
	ctx, cancel := context.WithDeadline(n.ctx, time.Now().Add(heartbeatTimeout))
	defer cancel()
	r, err := n.peers.Heartbeat(ctx, to, h)
	if err != nil {
		n.nodeInfoSchedule.reset(to)
		return
	}
	n.eras.Merge(r.Era, to)
	n.nodes.RecordHeartbeat(to, r.Revision, r.Leaving, time.Now())
	n.fetchIfNewer(r.Revision, to)
}

// handleHeartbeat records the contents of another node's heartbeat and returns the reply.
// If it changed a leave notice or the quarantine, that is propagated at once.
func (n *Node) handleHeartbeat(h peer.Heartbeat) peer.HeartbeatReply {
	now := time.Now()
	if h.Node != nil {
		n.nodes.Add(*h.Node, now)
	}
	n.eras.Merge(h.Era, h.From)
	n.nodes.RecordHeartbeat(h.From, h.Revision, h.Leaving, now)
	n.fetchIfNewer(h.Revision, h.From)
	for _, r := range h.Loads {
		n.loads.Report(r, now)
	}
	changed := n.loads.ApplyNotices(h.Notices...)
	changed = n.quarantine.Merge(h.Quarantined) || changed
	changed = n.mergeCrashes(h.Crashes, h.From, now) || changed
	if changed {
		n.triggerHeartbeat()
	}
	if len(h.Loads) > 0 {
		n.router.Wake()
	}
	return peer.HeartbeatReply{Revision: n.revision(), Era: n.eras.Info(), Leaving: n.state.Load() == draining}
}
