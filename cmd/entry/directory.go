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
			wait = nodesPeriod * time.Duration(max(1, n.nodes.known()/nodesPart))
		}
	}
	return ctx.Err()
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
	return len(hosts) > 0
}
