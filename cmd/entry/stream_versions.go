package entry

import (
	"context"
	"math/rand/v2"
	"time"

	"cicadabeam/core/streamversion"
	"cicadabeam/io/neighbour"
	"cicadabeam/io/relay"
	"cicadabeam/platform"
)

const (
	// streamCopies is how many peers are told of a stream before its first event is passed on.
	streamCopies = 2
	// versionInterval is the time between two checks of the software versions of services, and
	// versionRetryDelay that after the store could not be written.
	versionInterval   = time.Second
	versionRetryDelay = 5 * time.Second
	// findLoadTimeout is how long a peer that asks for a stream waits until those in the store are
	// known to this node, which has just started.
	findLoadTimeout = 200 * time.Millisecond
	// minRefreshInterval, or refreshIntervalPerNode for each known node, is the time between two
	// queries of a node for the versions that servers have.
	minRefreshInterval     = 50 * time.Millisecond
	refreshIntervalPerNode = 2500 * time.Microsecond
)

// streamPeers implements streamversion.Peers for the peers of a node.
type streamPeers struct{ node *Node }

// Record implements streamversion.Peers.
func (s streamPeers) Record(ctx context.Context, id streamversion.ID, version string) {
	peers := s.node.peersForCopies(time.Now())
	done := make(chan struct{}, len(peers))
	for _, p := range peers {
		go func() {
			if p.client.RecordStream(neighbour.StreamBegun{Stream: id, Version: version}, time.Now().Add(exchangeTimeout)) == nil {
				done <- struct{}{}
			}
		}()
	}
	if len(peers) == 0 {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// Find implements streamversion.Peers.
func (s streamPeers) Find(ctx context.Context, ids []streamversion.ID) (int, string, bool) {
	peers := s.node.livePeers(time.Now())
	if len(peers) == 0 {
		peers = s.node.allPeers()
	}
	answers := make(chan neighbour.FoundStream, len(peers))
	for _, p := range peers {
		go func() {
			x, err := p.client.FindStream(ids, time.Now().Add(exchangeTimeout))
			if err != nil {
				x = neighbour.FoundStream{}
			}
			answers <- x
		}()
	}
	for range peers {
		select {
		case x := <-answers:
			if x.Found && x.Index < len(ids) {
				return x.Index, x.Version, true
			}
		case <-ctx.Done():
			return 0, "", false
		}
	}
	return 0, "", false
}

// Refresh implements streamversion.Peers. Servers that have left since the known list was current
// may have been of another version, which the store has then.
func (s streamPeers) Refresh(ctx context.Context) bool {
	n := s.node
	known, since := n.serverFreshness.at()
	if !known {
		return false
	}
	now := time.Now()
	for more := true; more; {
		p, err := n.store.Changes(ctx, platform.ServersTable, since.Version, 0)
		if err != nil || p.Era != since.Era {
			return false
		}
		for _, r := range p.Rows {
			if r.Deleted {
				n.recordMissed(r.Key)
			} else if x, err := platform.DecodeServer(r); err == nil && x.Validate() == nil {
				n.observeVersion(x, n.tracker.Catalog())
			}
		}
		since, more = p.At(), p.More && p.At().After(since)
	}
	if !n.versionsMissed.Swap(false) {
		return true
	}
	t, err := n.hosts.List(ctx)
	if err != nil {
		n.versionsMissed.Store(true)
		return false
	}
	n.streamVersions.MergeStored(t.Versions, now)
	return true
}

// recordMissed records that a server has left whose software version this node may not know.
func (n *Node) recordMissed(id string) {
	if !n.fleet.Knows(id) {
		n.versionsMissed.Store(true)
	}
}

// RefreshInterval implements streamversion.Peers.
func (s streamPeers) RefreshInterval() time.Duration {
	return max(minRefreshInterval, time.Duration(s.node.directory.Count())*refreshIntervalPerNode)
}

// allPeers returns the peers, also those that were not in contact recently.
func (n *Node) allPeers() []*peer {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	all := make([]*peer, 0, len(n.peers.all))
	for _, p := range n.peers.all {
		all = append(all, p)
	}
	return all
}

// livePeers returns the peers that were in contact recently, in random order.
func (n *Node) livePeers(now time.Time) []*peer {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	var all []*peer
	for _, p := range n.peers.all {
		if p.live(now) {
			all = append(all, p)
		}
	}
	rand.Shuffle(len(all), func(a, b int) { all[a], all[b] = all[b], all[a] })
	return all
}

// peersForCopies returns the peers that are told of a stream: live ones that stay, in more than one
// data centre if possible.
func (n *Node) peersForCopies(now time.Time) []*peer {
	all := n.livePeers(now)
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	var chosen, others []*peer
	for _, p := range all {
		switch {
		case p.report.Leaving || now.Sub(p.reportedAt) > livenessTimeout:
		case len(chosen) == 0 || len(chosen) < streamCopies && p.host.DataCentre != chosen[0].host.DataCentre:
			chosen = append(chosen, p)
		default:
			others = append(others, p)
		}
	}
	chosen = append(chosen, others...)
	return chosen[:min(len(chosen), streamCopies)]
}

// RecordStream implements neighbour.Handler.
func (n *Node) RecordStream(s neighbour.StreamBegun) {
	n.streamVersions.Record(s.Stream, s.Version, time.Now())
}

// FindStream implements neighbour.Handler.
func (n *Node) FindStream(ids []streamversion.ID) neighbour.FoundStream {
	i, version, found := n.streamVersions.Lookup(ids)
	if !found {
		ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(findLoadTimeout))
		defer cancel()
		n.streamVersions.AwaitLoaded(ctx)
		i, version, found = n.streamVersions.Lookup(ids)
	}
	return neighbour.FoundStream{Found: found, Index: i, Version: version}
}

// maintainVersions records which software versions the registered servers have. A node that reads
// the store writes them there, so that they outlive all nodes.
func (n *Node) maintainVersions(ctx context.Context) error {
	for ctx.Err() == nil {
		sleep(ctx, versionInterval)
		now := time.Now()
		for _, r := range n.fleet.Registered() {
			if r.DeregisteredAt.IsZero() {
				n.streamVersions.Observe(r.Server.Service, r.Server.Version, now)
			}
		}
		if !n.storeVersions(ctx, now) {
			sleep(ctx, versionRetryDelay)
		}
	}
	return ctx.Err()
}

// storeVersions writes changes of the known software versions to the store if this node reads it.
// It returns false if that failed.
func (n *Node) storeVersions(ctx context.Context, now time.Time) bool {
	missing, expired := n.streamVersions.Unstored(now)
	if len(missing)+len(expired) == 0 || !n.serversKnown() || !n.readsStore() {
		return true
	}
	ctx, cancel := context.WithDeadline(ctx, now.Add(hostStoreTimeout))
	defer cancel()
	err := n.hosts.PutVersions(ctx, missing, expired)
	f := relay.Fields{"added": missing, "removed": expired}
	if err != nil {
		f["error"] = err.Error()
		n.recorder.Record("software versions not stored", f)
		return false
	}
	n.streamVersions.MarkStored(missing, expired)
	n.recorder.Record("software versions stored", f)
	return true
}
