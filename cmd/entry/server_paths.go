package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"cicadabeam/core/fleet"
	"cicadabeam/io/relay"
	"cicadabeam/io/serverpath"
	"cicadabeam/io/tunnel"
)

const (
	// pathPeers is how many peers are tried.
	pathPeers = 2
	// preferredPeers is how many peers of a data centre, or of the others, a node goes through, and
	// plainRank ranks a peer that grants no leases behind all others.
	preferredPeers = 2
	plainRank      = 1 << 20
	// partitionCheckInterval is the time between two checks whether this node is partitioned, and
	// minProbeInterval to maxProbeInterval that between two probes while it is.
	partitionCheckInterval = 100 * time.Millisecond
	minProbeInterval       = 700 * time.Millisecond
	maxProbeInterval       = 1300 * time.Millisecond
	serverProbeTimeout     = 500 * time.Millisecond
)

var (
	errUnknownServer = errors.New("no server has this address")
	errUnknownPeer   = errors.New("the peer has not reported whether it grants leases")
)

// serverPaths implements http1.Paths: directly, or through a peer if this node can't connect and the
// peer can.
type serverPaths struct{ node *Node }

// Begin implements http1.Paths.
func (s serverPaths) Begin(address string) func(responded, evidence bool) {
	return s.node.partition.Begin(address, time.Now())
}

// MayReuse implements http1.Paths.
func (s serverPaths) MayReuse(address string, direct bool) bool {
	if s.node.partition.Partitioned() {
		return !direct
	}
	return direct || s.node.fleet.Indirect(address, time.Now())
}

// Dial implements http1.Paths.
func (s serverPaths) Dial(ctx context.Context, address string) (net.Conn, bool, error) {
	return s.node.dialer.Dial(ctx, address)
}

// newDialer returns the dialer of connections to servers.
func (n *Node) newDialer() *serverpath.Dialer {
	return &serverpath.Dialer{
		Direct: n.pool.Dial, Through: n.dialThrough, Nodes: func() []string { return n.peersWithPath(time.Now()) },
		Partitioned: n.partition.Partitioned, OnDirect: n.partition.RecordConnected, OnIndirect: n.recordIndirect,
		OnLateEnd: n.recordLateEnd,
	}
}

// dialThrough connects to a server through the peer at an address.
func (n *Node) dialThrough(ctx context.Context, peer, server string) (net.Conn, error) {
	switch grants, known := n.grantsLeases(peer, time.Now()); {
	case !known:
		return nil, errUnknownPeer
	case grants:
		return n.tunnels.Dial(ctx, peer, server)
	}
	return tunnel.DialPlain(ctx, peer, server)
}

// grantsLeases reports whether the peer at an address grants leases, as it last reported itself.
func (n *Node) grantsLeases(address string, now time.Time) (grants, known bool) {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	var at time.Time
	for _, p := range n.peers.all {
		if p.host.Address == address && p.live(now) && p.reportedAt.After(at) {
			grants, at = p.report.Leases, p.reportedAt
		}
	}
	return grants, !at.IsZero()
}

// recordTunnel implements tunnel.Record.
func (n *Node) recordTunnel(event, peer, server string, end tunnel.End, lasted time.Duration) {
	n.recorder.Record(event, relay.Fields{"peer": peer, "address": server, "reason": string(end), "ms": lasted.Milliseconds()})
}

// recordLateEnd records that a server learnt late of the end of a run, or not at all.
func (n *Node) recordLateEnd(server string, reason serverpath.Reason, lasted time.Duration) {
	n.recorder.Record("run ended late", relay.Fields{"address": server, "reason": string(reason), "ms": lasted.Milliseconds()})
}

// recordIndirect records that only a peer could connect to a server.
func (n *Node) recordIndirect(address string) {
	now := time.Now()
	n.partition.RecordReachedByPeer(address, now)
	n.fleet.RecordIndirect(address, now)
	n.recorder.Record("server reached by peer", relay.Fields{"address": address})
	n.checkPartition(now)
}

// peersWithPath returns the addresses of some live peers that have reported that they are not partitioned
// themselves: one of this data centre and one of another one of the region first, of a few that this
// node prefers, so that it holds few leases. Peers that grant none come last.
func (n *Node) peersWithPath(now time.Time) []string {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	self := n.self()
	type candidate struct {
		address    string
		preference uint64
		rank       int
	}
	var all [3][]candidate
	for _, p := range n.peers.all {
		if !p.live(now) || p.reportedAt.IsZero() || p.report.Leaving || p.report.Partitioned {
			continue
		}
		place := 2
		switch {
		case p.host.DataCentre == self.DataCentre:
			place = 0
		case p.host.Region == self.Region:
			place = 1
		}
		all[place] = append(all[place], candidate{address: p.host.Address, preference: xxhash.Sum64String(self.Name + "\x00" + p.host.Name)})
		if !p.report.Leases {
			all[place][len(all[place])-1].rank = plainRank
		}
	}
	var ranked []candidate
	for place, c := range all {
		sort.Slice(c, func(a, b int) bool { return c[a].preference < c[b].preference })
		preferred := c[:min(len(c), preferredPeers)]
		rand.Shuffle(len(preferred), func(a, b int) { preferred[a], preferred[b] = preferred[b], preferred[a] })
		for i := range c {
			c[i].rank += len(all)*i + place
		}
		ranked = append(ranked, c...)
	}
	sort.Slice(ranked, func(a, b int) bool { return ranked[a].rank < ranked[b].rank })
	addresses := make([]string, 0, pathPeers)
	for _, c := range ranked[:min(len(ranked), pathPeers)] {
		addresses = append(addresses, c.address)
	}
	return addresses
}

// dialForPeer connects to a server for a peer. It never goes through another node.
func (n *Node) dialForPeer(ctx context.Context, address string) (net.Conn, error) {
	if !n.fleet.HasAddress(address) {
		return nil, errUnknownServer
	}
	return n.dialer.DialDirect(ctx, address)
}

// ownLosses returns the servers that this node has just lost, for other nodes. What a node loses that
// reaches no server itself says nothing of the servers.
func (n *Node) ownLosses(now time.Time) map[string]time.Duration {
	if n.partition.Partitioned() {
		return make(map[string]time.Duration)
	}
	return n.fleet.RecentLosses(now)
}

// serverAge returns the time since a server last responded to this node itself, negative if none has.
func (n *Node) serverAge(now time.Time) time.Duration {
	last := n.partition.LastResponse()
	if last.IsZero() {
		return -1
	}
	return max(0, now.Sub(last))
}

// peerServerAge returns the least time since a server responded to a peer itself.
func (n *Node) peerServerAge(now time.Time) time.Duration {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	least := livenessTimeout
	for _, p := range n.peers.all {
		if p.live(now) && p.report.ServerAge >= 0 && !p.reportedAt.IsZero() {
			least = min(least, p.report.ServerAge+now.Sub(p.reportedAt))
		}
	}
	return least
}

// watchPartition finds out whether this node is partitioned from all servers, and while it is, whether
// it reaches one again.
func (n *Node) watchPartition(ctx context.Context) error {
	probe := time.Now()
	for ctx.Err() == nil {
		sleep(ctx, partitionCheckInterval)
		now := time.Now()
		if n.checkPartition(now) {
			probe = now
		}
		if n.partition.Partitioned() && now.After(probe) {
			probe = now.Add(minProbeInterval + rand.N(maxProbeInterval-minProbeInterval))
			n.probeServer(ctx)
		}
	}
	return ctx.Err()
}

// checkPartition reports whether this node has just been found to be partitioned.
func (n *Node) checkPartition(now time.Time) bool {
	if !n.partition.Check(n.fleet.Count(), n.peerServerAge(now), now) {
		return false
	}
	n.recorder.Record("partitioned from servers", relay.Fields{"servers": n.fleet.Count(), "response_age_ms": n.serverAge(now).Milliseconds()})
	n.pool.CloseUnusable(now)
	n.triggerExchange()
	return true
}

// probeServer asks a server whether it is healthy, on a path of this node's own. Any response tells
// that the partition is over.
func (n *Node) probeServer(ctx context.Context) {
	c := n.tracker.Catalog()
	if c == nil {
		return
	}
	var all []*fleet.Member
	for _, s := range c.Services() {
		all = append(all, n.fleet.Usable(s.Name, time.Now())...)
	}
	if len(all) == 0 {
		return
	}
	m := all[rand.IntN(len(all))]
	s, _ := c.Service(m.Service())
	if !n.handler.ProbeHealth(ctx, m, s.HealthPath, time.Now().Add(serverProbeTimeout)) || !n.partition.RecordProbe(time.Now()) {
		return
	}
	n.recorder.Record("servers reached again", relay.Fields{"server": m.ID(), "address": m.Address()})
	n.pool.CloseUnusable(time.Now())
	n.triggerExchange()
}
