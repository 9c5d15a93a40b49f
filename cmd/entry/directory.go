package entry

import (
	"context"
	"time"

	"cicadabeam/core/records"
	"cicadabeam/io/relay"
)

const (
	// firstListInterval is the time from the start to the second reading of the host
	// list, by when all hosts that started at the same time have registered. It also
	// applies while this node is not registered.
	firstListInterval = time.Second
	// listInterval is the time between later readings for each nodesPerListInterval known
	// nodes. With many nodes each may read less often, because nodes also learn of new
	// hosts from each other.
	listInterval         = 30 * time.Second
	nodesPerListInterval = 8
	// listReaders is the number of nodes of each data centre that read the list after the
	// start. The others fetch it from them.
	listReaders = 2
	// registrationDelay is how long after its registration this node may be missing from a
	// list.
	registrationDelay = time.Second
	// hostStoreTimeout limits each call to the host store.
	hostStoreTimeout = 2 * time.Second
	// staleHostAge is the time without contact after which the row of an entry host is
	// removed. The rows of hosts that were replaced would otherwise count for ever as
	// nodes that share limits. A host that was only cut off registers again when it
	// finds its row missing.
	staleHostAge = 10 * time.Minute
)

// maintainRegistration registers this node, keeps it registered and reads the host list
// periodically.
func (n *Node) maintainRegistration(ctx context.Context) error {
	registered := n.join(ctx)
	wait := firstListInterval
	for ctx.Err() == nil {
		if n.awaitRestore(ctx, wait) {
			n.awaitReregistration(ctx)
			registered = false
		}
		registered = registered || n.register(ctx)
		reregistering := n.hostsReregister()
		if !reregistering && n.listsHosts() && n.listHosts(ctx) {
			n.removeStaleHosts(ctx)
		}
		registered = registered && !n.missingFromList()
		wait = firstListInterval
		if registered && !reregistering && n.directory.KnownCount() > 0 {
			wait = n.nextListInterval()
		}
	}
	return ctx.Err()
}

// join makes this node and its peers known to each other after the start. A host that
// restarts finds its row and its peers in the list, and need not wait for a write, of which
// the store does a limited number a second. It reports whether this node is registered.
func (n *Node) join(ctx context.Context) bool {
	n.listHosts(ctx)
	registered := n.directory.ContainsHost(n.self())
	if n.directory.KnownCount() > 0 {
		n.connectPeers()
	}
	if !registered {
		registered = n.register(ctx)
		n.listHosts(ctx)
		n.connectPeers()
	}
	// A list without this node says little about who reads: other regions may have been faster.
	n.hostListTried.Store(true)
	return registered
}

// connectPeers starts the exchange of reports with the hosts of the list.
func (n *Node) connectPeers() {
	n.refreshPeers(time.Now())
	n.triggerExchange()
}

func (n *Node) nextListInterval() time.Duration {
	return listInterval * time.Duration(max(1, n.directory.KnownCount()/nodesPerListInterval))
}

// listsHosts reports whether this node is to read the host list again: it is one of the
// first of its data centre, or nobody sent it a recent list.
func (n *Node) listsHosts() bool {
	f := n.directory.Freshness(uptime())
	if !f.Known || f.Age > 2*n.nextListInterval() {
		return true
	}
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	return n.aheadInDataCentre(time.Now()) < listReaders
}

// missingFromList reports whether this node is missing from a list that was read after its
// registration.
func (n *Node) missingFromList() bool {
	up := uptime()
	f := n.directory.Freshness(up)
	return f.Known && up-f.Age > n.registeredAt+registrationDelay && !n.directory.Contains(n.settings.name)
}

// removeStaleHosts removes the rows of this region's entry hosts that have not been in
// contact for staleHostAge. In each data centre only the live node with the lowest name
// does this.
func (n *Node) removeStaleHosts(ctx context.Context) {
	now := time.Now()
	n.peers.mu.Lock()
	var staleHosts []string
	if n.aheadInDataCentre(now) == 0 {
		staleHosts = n.peers.staleHosts(n.self().Region, now)
	}
	n.peers.mu.Unlock()
	for _, name := range staleHosts {
		ctx, cancel := context.WithDeadline(ctx, now.Add(hostStoreTimeout))
		err := n.hosts.Remove(ctx, name)
		cancel()
		if err != nil {
			n.recorder.Record("host not removed", relay.Fields{"peer": name, "error": err.Error()})
			return
		}
		n.recorder.Record("host removed", relay.Fields{"peer": name, "silent_ms": staleHostAge.Milliseconds()})
	}
}

// staleHosts returns the names of the peers in a region that have not been in contact for
// longer than staleHostAge.
func (p *peers) staleHosts(region string, now time.Time) []string {
	var names []string
	for name, x := range p.all {
		last := x.reportedAt
		if last.Before(x.addedAt) {
			last = x.addedAt
		}
		if x.host.Region == region && now.Sub(last) > staleHostAge {
			names = append(names, name)
		}
	}
	return names
}

// self returns this node's row in the host list.
func (n *Node) self() records.EntryHost {
	topology := n.settings.topology
	return records.EntryHost{Name: n.settings.name, Address: n.settings.advertised, DataCentre: topology.DataCentre, Region: topology.Regions[topology.DataCentre]}
}

func (n *Node) register(ctx context.Context) bool {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(hostStoreTimeout))
	defer cancel()
	self := n.self()
	n.registeredAt = uptime()
	if err := n.hosts.Register(ctx, self); err != nil {
		n.recorder.Record("not registered", relay.Fields{"error": err.Error()})
		return false
	}
	n.recorder.Record("registered", relay.Fields{"address": self.Address})
	return true
}

func (n *Node) listHosts(ctx context.Context) bool {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(hostStoreTimeout))
	defer cancel()
	sent := uptime()
	t, err := n.hosts.List(ctx)
	if err != nil {
		return false
	}
	n.directory.Set(t.Hosts, sent)
	n.streamVersions.MergeStored(t.Versions, time.Now())
	n.storeCauses(n.handler.MergeStoredCauses(t.Causes, time.Now()))
	return true
}
