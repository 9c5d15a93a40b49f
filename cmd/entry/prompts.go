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
	// promptAskers is the number of nodes of its data centre that ask an engine which
	// prompts it keeps, as one of them may be lost.
	promptAskers = 2
	// lookPause is between two looks whether the other nodes are known.
	lookPause = 5 * time.Millisecond
	// promptsParallel bounds the questions under way.
	promptsParallel = 8
)

// findPrompts asks engines, once after the start, which prompts they keep: after all
// nodes were lost nobody else knows, and callers come back with their prompts.
func (n *Node) findPrompts(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.known:
	}
	for !n.looked.Load() && ctx.Err() == nil {
		pause(ctx, lookPause)
	}
	n.askHeld(ctx, n.enginesToAsk(time.Now()))
	n.tell()
	<-ctx.Done()
	return ctx.Err()
}

// enginesToAsk returns this node's share of the engines of its data centre.
func (n *Node) enginesToAsk(now time.Time) []*fleet.Member {
	self := n.settings.name
	names := []string{self}
	for _, h := range n.nodes.others(self) {
		if h.DataCentre == n.settings.place.DataCentre {
			names = append(names, h.Name)
		}
	}
	var mine []*fleet.Member
	for _, s := range n.holder.Catalog().Services() {
		if s.Engine == nil {
			continue
		}
		for _, m := range n.fleet.UsableServers(s.Name, n.settings.place.DataCentre, now) {
			if membership.InTopN(names, m.ID(), self, promptAskers) {
				mine = append(mine, m)
			}
		}
	}
	return mine
}

func (n *Node) askHeld(ctx context.Context, all []*fleet.Member) {
	var g sync.WaitGroup
	slots := make(chan struct{}, promptsParallel)
	for _, m := range all {
		slots <- struct{}{}
		g.Go(func() {
			defer func() { <-slots }()
			if err := n.handler.AskHeld(ctx, m); err != nil {
				n.recorder.Record("prompts not found", relay.Fields{"server": m.ID(), "error": err.Error()})
			}
		})
	}
	g.Wait()
}
