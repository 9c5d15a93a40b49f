package entry

import (
	"context"
	"sync"
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
	// hostStoreTimeout limits each call to the host store.
	hostStoreTimeout = 2 * time.Second
	// staleHostAge is the time without contact after which the row of an entry host is
	// removed. The rows of hosts that were replaced would otherwise count for ever as
	// nodes that share limits. A host that was only cut off registers again when it
	// finds its row missing.
	staleHostAge = 10 * time.Minute
	// assumedNodes is the number of nodes assumed before the host list is known.
	assumedNodes = 16
)

// directory holds the known entry hosts.
type directory struct {
	mu    sync.Mutex
	hosts map[string]records.EntryHost
}

// count returns the number of known nodes, or assumedNodes before the host list is known.
func (d *directory) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.hosts) == 0 {
		return assumedNodes
	}
	return len(d.hosts)
}

func (d *directory) contains(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, found := d.hosts[name]
	return found
}

// knownCount returns the number of known nodes, 0 before the host list is known.
func (d *directory) knownCount() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hosts)
}

func (d *directory) set(hosts map[string]records.EntryHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = hosts
}

// maintainRegistration registers this node, keeps it registered and reads the host list
// periodically.
func (n *Node) maintainRegistration(ctx context.Context) error {
	registered := n.register(ctx)
	n.listHosts(ctx)
	n.refreshPeers(time.Now())
	n.triggerExchange()
	n.hostListTried.Store(true)
	wait := firstListInterval
	for ctx.Err() == nil {
		sleep(ctx, wait)
		if !registered {
			registered = n.register(ctx)
		}
		if n.listHosts(ctx) {
			registered = registered && n.directory.contains(n.settings.name)
			n.removeStaleHosts(ctx)
			wait = listInterval * time.Duration(max(1, n.directory.knownCount()/nodesPerListInterval))
		}
		if !registered {
			wait = firstListInterval
		}
	}
	return ctx.Err()
}

// removeStaleHosts removes the rows of this region's entry hosts that have not been in
// contact for staleHostAge. In each data centre only the live node with the lowest name
// does this.
func (n *Node) removeStaleHosts(ctx context.Context) {
	now := time.Now()
	n.peers.mu.Lock()
	var staleHosts []string
	if n.readersAhead(now) == 0 {
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
	return records.EntryHost{Name: n.settings.name, Address: n.settings.peers, DataCentre: topology.DataCentre, Region: topology.Regions[topology.DataCentre]}
}

func (n *Node) register(ctx context.Context) bool {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(hostStoreTimeout))
	defer cancel()
	self := n.self()
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
	all, err := n.hosts.List(ctx)
	if err != nil {
		return false
	}
	hosts := make(map[string]records.EntryHost, len(all))
	for _, h := range all {
		hosts[h.Name] = h
	}
	n.directory.set(hosts)
	return true
}
