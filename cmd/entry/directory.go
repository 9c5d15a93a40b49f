package entry

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/records"
	"cicadabeam/io/relay"
)

const (
	// nodesPeriod is how often the entry hosts are read, and nodesFirst how soon after the start.
	nodesPeriod = 30 * time.Second
	nodesFirst  = time.Second
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

func (d *directory) set(hosts map[string]records.EntryHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hosts = hosts
}

// registerNode writes this node's row and reads those of the others.
func (n *Node) registerNode(ctx context.Context) error {
	registered := false
	wait := nodesFirst
	for ctx.Err() == nil {
		if !registered {
			registered = n.writeNode(ctx)
		}
		pause(ctx, wait)
		if n.readNodes(ctx) {
			wait = nodesPeriod
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
