package entry

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/core/membership"
	"cicadabeam/io/relay"
)

const (
	// nodesPerEngine is the number of nodes that query each engine of their data centre
	// for its prompts. There are two because one may be lost.
	nodesPerEngine = 2
	// hostListPollInterval is the time between checks whether the host list was read.
	hostListPollInterval = 5 * time.Millisecond
	// maxPromptQueries limits the concurrent queries.
	maxPromptQueries = 8
)

// discoverPrompts queries engines once after the start for the prompts that they hold in
// their KV caches: if all nodes were lost, no other node knows these prompts, and callers
// retry with them.
func (n *Node) discoverPrompts(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.synced:
	}
	for !n.hostListTried.Load() && ctx.Err() == nil {
		sleep(ctx, hostListPollInterval)
	}
	n.queryPrompts(ctx, n.assignedEngines(time.Now()))
	n.triggerExchange()
	<-ctx.Done()
	return ctx.Err()
}

// assignedEngines returns the engines of this data centre that this node is to query.
func (n *Node) assignedEngines(now time.Time) []*fleet.Member {
	self := n.settings.name
	names := []string{self}
	for _, h := range n.directory.Others(self) {
		if h.DataCentre == n.settings.topology.DataCentre {
			names = append(names, h.Name)
		}
	}
	var assigned []*fleet.Member
	for _, s := range n.tracker.Catalog().Services() {
		if s.Engine == nil {
			continue
		}
		for _, m := range n.fleet.UsableServers(s.Name, n.settings.topology.DataCentre, now) {
			if membership.InTopN(names, m.ID(), self, nodesPerEngine) {
				assigned = append(assigned, m)
			}
		}
	}
	return assigned
}

func (n *Node) queryPrompts(ctx context.Context, all []*fleet.Member) {
	var g sync.WaitGroup
	slots := make(chan struct{}, maxPromptQueries)
	for _, m := range all {
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			if err := n.handler.QueryPrompts(ctx, m); err != nil {
				n.recorder.Record("prompts not found", relay.Fields{"server": m.ID(), "error": err.Error()})
			}
		})
	}
	g.Wait()
}
