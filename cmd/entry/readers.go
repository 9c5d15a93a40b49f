package entry

import (
	"context"
	"time"

	"cicadabeam/core/readers"
	"cicadabeam/io/relay"
)

const (
	// readTakeoverHold is how long a node that took over continues to read the store.
	readTakeoverHold = time.Second
	// hostListStartupWait is how long after its start a node waits for the host list before
	// it reads the store.
	hostListStartupWait = 2 * time.Second
	statePollInterval   = 5 * time.Millisecond
)

// readsStore reports whether this node is to read the store. A draining node always does, as
// its peers no longer report to it.
func (n *Node) readsStore() bool {
	now := time.Now()
	up := uptime()
	if !n.hostListTried.Load() && up-n.started < hostListStartupWait {
		return false
	}
	age := n.stateAge(up)
	timing := n.readTiming()
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	ahead := n.readersAhead(now, up-n.started < startupWindow)
	if ahead > 0 && timing.ShouldRead(ahead, age) {
		n.peers.readUntil = now.Add(readTakeoverHold)
	}
	reads := ahead == 0 || now.Before(n.peers.readUntil) || n.draining.Load()
	if reads != n.peers.readsStore {
		n.peers.readsStore = reads
		n.recorder.Record("store reader", relay.Fields{"reads": reads, "ahead": ahead, "age_ms": age.Milliseconds(), "takeover_ms": timing.TakeoverAge().Milliseconds()})
	}
	return reads
}

// readTiming returns the timing of reads, which follows from the limits on the age of the
// configuration.
func (n *Node) readTiming() readers.Timing {
	hops := 1
	if n.usesGateways() {
		hops = 2
	}
	return readers.NewTiming(hops, n.settings.limits.MaxConfigAge, n.settings.limits.MaxKeyAge)
}

// readersAhead returns the number of peers that precede this node in reading the store.
// Shortly after the start of many nodes each has listed others only, so the order is another one.
func (n *Node) readersAhead(now time.Time, starting bool) int {
	self := n.self()
	others := make([]readers.Host, 0, len(n.peers.all))
	for _, p := range n.peers.all {
		if starting && p.lastErr != nil {
			continue
		}
		others = append(others, readers.Host{
			Name: p.host.Name, Region: p.host.Region, Listed: n.directory.Revision(p.host.Name), Live: p.live(now), Leaving: p.report.Leaving, StoreLost: p.report.StoreLost,
		})
	}
	x := readers.Host{Name: self.Name, Region: self.Region, Listed: n.directory.Revision(self.Name)}
	if starting {
		return readers.AheadAtStart(x, others)
	}
	return readers.Ahead(x, others)
}

// live reports whether a peer was in contact recently. Newly listed ones count as live, or
// else all nodes that start at the same time would read the store.
func (p *peer) live(now time.Time) bool {
	return now.Sub(p.reportedAt) < livenessTimeout || now.Sub(p.addedAt) < livenessTimeout
}

// aheadInDataCentre returns the number of live nodes of this data centre with lower names.
func (n *Node) aheadInDataCentre(now time.Time) int {
	ahead := 0
	for _, p := range n.peers.all {
		if p.host.DataCentre == n.settings.topology.DataCentre && p.host.Name < n.settings.name && !p.report.Leaving && p.live(now) {
			ahead++
		}
	}
	return ahead
}

// stateAge returns the time since this node's state was last confirmed. Before the
// operator has written a configuration, only the servers count.
func (n *Node) stateAge(up time.Duration) time.Duration {
	configuration, servers := n.configurationFreshness(up), n.serverFreshness.freshness(up)
	switch {
	case !servers.Known:
		return up - n.started
	case configuration.Known && n.confirmedSinceRise(up-configuration.Age):
		return max(configuration.Age, servers.Age)
	default:
		return servers.Age
	}
}

// awaitPeerState waits after the start until this node knows a table's content from peers,
// or it is this node's turn to read the store. It reports whether the content is known.
func (n *Node) awaitPeerState(ctx context.Context, known func() bool) bool {
	for !n.hostListTried.Load() && uptime()-n.started < hostListStartupWait && ctx.Err() == nil && !known() {
		sleep(ctx, statePollInterval)
	}
	began := uptime()
	for ctx.Err() == nil && !known() {
		if n.readsStore() || n.readsAtStart(uptime()-began) {
			return false
		}
		sleep(ctx, statePollInterval)
	}
	return known()
}

// readsAtStart reports whether this node is to read the store as it has waited long enough
// for the state from peers.
func (n *Node) readsAtStart(waited time.Duration) bool {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	return readers.ShouldReadAtStart(n.readersAhead(time.Now(), true), waited)
}

func (n *Node) configurationKnown() bool { return n.tracker.Catalog() != nil }

func (n *Node) serversKnown() bool { return n.serverFreshness.freshness(0).Known }
