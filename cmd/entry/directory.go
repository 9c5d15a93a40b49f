package entry

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/records"
	"cicadabeam/io/relay"
)

const (
	// nodesFirst is how soon after the start the entry hosts are read for the second
	// time, when all that started together have registered, and nodesPeriod how often
	// from then on, for each nodesPart of them: they hear of new ones from these.
	nodesFirst  = time.Second
	nodesPeriod = 30 * time.Second
	nodesPart   = 8
	nodesWait   = 2 * time.Second
	// hostKept is how long after the last word of an entry host its row is kept. Hosts
	// that were replaced would count as nodes that share bounds for ever; one that was
	// only cut off registers again when it finds its row missing.
	hostKept = 10 * time.Minute
	// nodesAssumed is the number of nodes taken for granted before any is known.
	nodesAssumed = 16
)

// directory holds the entry hosts known.
type directory struct {
	mu    sync.Mutex
	hosts map[string]records.EntryHost
}

func (d *directory) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.hosts) == 0 {
		return nodesAssumed
	}
	return len(d.hosts)
}

func (d *directory) has(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, found := d.hosts[name]
	return found
}

// known is the number of nodes known, 0 before any is.
func (d *directory) known() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.hosts)
}

func (d *directory) set(hosts map[string]records.EntryHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = hosts
}

// registerNode writes this node's row and reads those of the others.
func (n *Node) registerNode(ctx context.Context) error {
	registered := n.writeNode(ctx)
	n.readNodes(ctx)
	n.meet(time.Now())
	n.tell()
	n.looked.Store(true)
	wait := nodesFirst
	for ctx.Err() == nil {
		pause(ctx, wait)
		if !registered {
			registered = n.writeNode(ctx)
		}
		if n.readNodes(ctx) {
			registered = registered && n.nodes.has(n.settings.name)
			n.removeLostHosts(ctx)
			wait = nodesPeriod * time.Duration(max(1, n.nodes.known()/nodesPart))
		}
		if !registered {
			wait = nodesFirst
		}
	}
	return ctx.Err()
}

// removeLostHosts takes away the rows of entry hosts of this region that were lost.
// The first node of each data centre does that.
func (n *Node) removeLostHosts(ctx context.Context) {
	now := time.Now()
	n.peers.mu.Lock()
	var lost []string
	if n.readersBefore(now) == 0 {
		lost = n.peers.lost(n.self().Region, now)
	}
	n.peers.mu.Unlock()
	for _, name := range lost {
		ctx, cancel := context.WithDeadline(ctx, now.Add(nodesWait))
		err := n.hosts.Remove(ctx, name)
		cancel()
		if err != nil {
			n.recorder.Record("host not removed", relay.Fields{"peer": name, "error": err.Error()})
			return
		}
		n.recorder.Record("host removed", relay.Fields{"peer": name, "silent_ms": hostKept.Milliseconds()})
	}
}

// lost returns the names of the nodes of a region of which nothing was heard for long.
func (p *peers) lost(region string, now time.Time) []string {
	var names []string
	for name, x := range p.all {
		last := x.heard
		if last.Before(x.since) {
			last = x.since
		}
		if x.host.Region == region && now.Sub(last) > hostKept {
			names = append(names, name)
		}
	}
	return names
}

// self is this node as it registers itself.
func (n *Node) self() records.EntryHost {
	place := n.settings.place
	return records.EntryHost{Name: n.settings.name, Address: n.settings.neighbours, DataCentre: place.DataCentre, Region: place.Regions[place.DataCentre]}
}

func (n *Node) writeNode(ctx context.Context) bool {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(nodesWait))
	defer cancel()
	self := n.self()
	if err := n.hosts.Register(ctx, self); err != nil {
		n.recorder.Record("not registered", relay.Fields{"error": err.Error()})
		return false
	}
	n.recorder.Record("registered", relay.Fields{"address": self.Address})
	return true
}

func (n *Node) readNodes(ctx context.Context) bool {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(nodesWait))
	defer cancel()
	all, err := n.hosts.List(ctx)
	if err != nil {
		return false
	}
	hosts := make(map[string]records.EntryHost, len(all))
	for _, h := range all {
		hosts[h.Name] = h
	}
	n.nodes.set(hosts)
	return true
}
