package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"cicadabeam/io/relay"
	"cicadabeam/platform"
)

const (
	// nodesTable is the system's own table of entry hosts.
	nodesTable = "nodes"
	// nodesPeriod is how often it is read, and nodesFirst how soon after the start.
	nodesPeriod = 8 * time.Second
	nodesFirst  = time.Second
	nodesWait   = 2 * time.Second
	// nodesAssumed is the number of nodes taken for granted before any is known.
	nodesAssumed = 16
)

// entryHost is a node as it registers itself.
type entryHost struct {
	Name       string `json:"name"`
	Address    string `json:"address"` // of the neighbours' listener
	DataCentre string `json:"data_centre"`
}

// directory holds the entry hosts known.
type directory struct {
	mu    sync.Mutex
	hosts map[string]entryHost
}

func (d *directory) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.hosts) == 0 {
		return nodesAssumed
	}
	return len(d.hosts)
}

func (d *directory) set(hosts map[string]entryHost) {
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

func (n *Node) writeNode(ctx context.Context) bool {
	self := entryHost{Name: n.settings.name, Address: n.settings.neighbours, DataCentre: n.settings.place.DataCentre}
	value, err := json.Marshal(self)
	if err == nil {
		ctx, cancel := context.WithDeadline(ctx, time.Now().Add(nodesWait))
		defer cancel()
		err = n.store.Commit(ctx, platform.Transaction{Writes: []platform.RowValue{{Table: nodesTable, Key: self.Name, Value: value}}})
	}
	if err != nil {
		n.recorder.Record("not registered", relay.Fields{"error": err.Error()})
		return false
	}
	n.recorder.Record("registered", relay.Fields{"address": self.Address})
	return true
}

func (n *Node) readNodes(ctx context.Context) bool {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(nodesWait))
	defer cancel()
	p, err := n.store.Rows(ctx, nodesTable)
	if err != nil {
		return false
	}
	hosts := make(map[string]entryHost, len(p.Rows))
	for _, r := range p.Rows {
		var h entryHost
		if json.Unmarshal(r.Value, &h) == nil && h.Name == r.Key {
			hosts[h.Name] = h
		}
	}
	n.nodes.set(hosts)
	return len(hosts) > 0
}
