package node

import (
	"context"
	"sync"
	"time"

	"cicadabeam/io/peer"
)

const (
	heartbeatPeriod = time.Second
	heartbeatWait   = 900 * time.Millisecond
	// heartbeatSpacing gathers the news of a moment into one round of heartbeats.
	heartbeatSpacing = 50 * time.Millisecond
	// introduceEvery is how often a node tells another its place and address, which
	// seldom change and are the larger part of a heartbeat.
	introduceEvery = 30 * time.Second
)

// introductions are when each other node is to be told the node's place again.
type introductions struct {
	mu   sync.Mutex
	next map[string]time.Time
}

// due tells whether a node is to be told now, and counts it as told.
func (i *introductions) due(to string, now time.Time) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if now.Before(i.next[to]) {
		return false
	}
	if i.next == nil {
		i.next = make(map[string]time.Time)
	}
	i.next[to] = now.Add(introduceEvery)
	return true
}

// forget makes the next heartbeat to a node an introduction: it may have missed
// the last one.
func (i *introductions) forget(to string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.next, to)
}

// heartbeatNow makes the next heartbeats go out at once.
func (n *Node) heartbeatNow() {
	select {
	case n.wakeHeartbeat <- struct{}{}:
	default:
	}
}

func (n *Node) heartbeats() error {
	t := time.NewTicker(heartbeatPeriod)
	defer t.Stop()
	for {
		n.sendHeartbeats()
		select {
		case <-n.ctx.Done():
			return n.ctx.Err()
		case <-t.C:
		case <-n.wakeHeartbeat:
			time.Sleep(heartbeatSpacing)
		}
	}
}

func (n *Node) heartbeat() peer.Heartbeat {
	now := time.Now()
	return peer.Heartbeat{
		From:        n.nodes.Self().Name,
		Revision:    n.revision(),
		Leaving:     n.state.Load() == draining,
		Notices:     n.loads.Notices(now),
		Quarantined: n.quarantine.Entries(now),
	}
}

// sendHeartbeats doesn't wait for the answers: a silent node must not hold up the
// news for the others.
func (n *Node) sendHeartbeats() {
	h := n.heartbeat()
	near := h
	near.Loads = n.reports.list()
	for _, x := range n.nodes.HeartbeatTargets() {
		message := h
		if x.DataCentre == n.nodes.Self().DataCentre {
			message = near
		}
		go n.sendHeartbeat(x.Name, message)
	}
}

func (n *Node) sendHeartbeat(to string, h peer.Heartbeat) {
	if n.introductions.due(to, time.Now()) {
		self := n.nodes.Self()
		h.Node = &self
	}
	ctx, cancel := context.WithDeadline(n.ctx, time.Now().Add(heartbeatWait))
	defer cancel()
	r, err := n.peers.Heartbeat(ctx, to, h)
	if err != nil {
		n.introductions.forget(to)
		return
	}
	n.nodes.RecordHeartbeat(to, r.Revision, r.Leaving, time.Now())
	n.heardRevision(r.Revision, to)
}

// takeHeartbeat takes what another node tells and answers it.
func (n *Node) takeHeartbeat(h peer.Heartbeat) peer.HeartbeatReply {
	now := time.Now()
	if h.Node != nil {
		n.nodes.Add(*h.Node, now)
	}
	n.nodes.RecordHeartbeat(h.From, h.Revision, h.Leaving, now)
	n.heardRevision(h.Revision, h.From)
	for _, r := range h.Loads {
		n.loads.Report(r, now)
	}
	fresh := n.loads.ApplyNotices(h.Notices...)
	fresh = n.quarantine.Merge(h.Quarantined) || fresh
	if fresh {
		n.heartbeatNow()
	}
	if len(h.Loads) > 0 {
		n.router.Wake()
	}
	return peer.HeartbeatReply{Revision: n.revision(), Leaving: n.state.Load() == draining}
}
