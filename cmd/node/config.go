package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"cicadabeam/core/config"
	"cicadabeam/core/membership"
	"cicadabeam/core/records"
	"cicadabeam/io/peer"
)

const (
	watchPeriod    = time.Second
	slowWatchEvery = 15 // every how many periods a node that doesn't watch for others looks itself
	watchersPerDC  = 2
	fetchWait      = 2 * time.Second
)

// Config implements route.Environment and caller.Backend. It is nil until the first one
// is installed.
func (n *Node) Config() *config.Config { return n.config.Load() }

// Tier implements route.Environment.
func (n *Node) Tier(dataCentre string) int {
	self := n.nodes.Self()
	switch {
	case dataCentre == self.DataCentre:
		return 0
	case n.Config().RegionOf(dataCentre) == self.Region:
		return 1
	default:
		return 2
	}
}

// SelectingNodes implements route.Environment.
func (n *Node) SelectingNodes() int { return len(n.nodes.LocalPeers()) + 1 }

func (n *Node) revision() uint64 {
	c := n.Config()
	if c == nil {
		return 0
	}
	return c.Revision()
}

// install takes a configuration if it is newer than the present one.
func (n *Node) install(c *config.Config, from string) {
	for {
		old := n.config.Load()
		if old != nil && old.Revision() >= c.Revision() {
			return
		}
		if n.config.CompareAndSwap(old, c) {
			break
		}
	}
	n.state.CompareAndSwap(starting, ready)
	n.metrics.revision(c.Revision())
	n.log.WithFields(log.Fields{"revision": c.Revision(), "peer": from}).Info("configuration in force")
	n.rates.Retain(func(o string) bool {
		_, found := c.Organisation(o)
		return found
	})
	n.heartbeatNow()
	n.router.Wake()
}

// watchConfig returns what looks for a new configuration: every period on the
// nodes that watch for their data centre, now and then on the others, and always
// while the node has none.
func (n *Node) watchConfig() func(now time.Time) {
	round := 0
	return func(now time.Time) {
		round++
		if n.Config() != nil && round%slowWatchEvery != 0 && !n.nodes.IsTaskOwner("config", watchersPerDC, now) {
			return
		}
		ctx, cancel := context.WithDeadline(n.ctx, now.Add(fetchWait))
		defer cancel()
		if err := n.pullConfig(ctx); err != nil && n.Config() == nil {
			n.askAllNodes(ctx)
		}
	}
}

// pullConfig reads the platform's table.
func (n *Node) pullConfig(ctx context.Context) error {
	head, err := n.configs.Head(ctx)
	if err != nil {
		return err
	}
	if head.Revision <= n.revision() {
		return nil
	}
	c, err := n.configs.Load(ctx)
	if err != nil {
		n.log.WithFields(log.Fields{"step": "read-configuration", "peer": "platform", "error": err.Error()}).Warn("configuration not read")
		return err
	}
	if c != nil {
		n.install(c, "platform")
	}
	return nil
}

// askAllNodes takes the highest revision that the reachable nodes have, for a
// node that starts while the platform is away.
func (n *Node) askAllNodes(ctx context.Context) {
	var best peer.ConfigReply
	from := ""
	for _, r := range n.askConfigs(ctx) {
		if r.reply.Revision > best.Revision {
			best, from = r.reply, r.node
		}
	}
	if best.Revision > 0 {
		n.installText(best, from)
	}
}

type configAnswer struct {
	node  string
	reply peer.ConfigReply
}

func (n *Node) askConfigs(ctx context.Context) []configAnswer {
	var others []membership.Node
	for _, x := range n.nodes.Nodes() {
		if x.Name != n.nodes.Self().Name {
			others = append(others, x)
		}
	}
	answers := make(chan configAnswer, len(others))
	for _, x := range others {
		go func() {
			r, err := n.peers.Config(ctx, x.Name)
			if err != nil {
				r = peer.ConfigReply{}
			}
			answers <- configAnswer{node: x.Name, reply: r}
		}()
	}
	all := make([]configAnswer, 0, len(others))
	for range others {
		all = append(all, <-answers)
	}
	return all
}

func (n *Node) installText(r peer.ConfigReply, from string) {
	text, err := records.Decompress(r.Text)
	if err == nil {
		var c *config.Config
		if c, err = config.Parse("questionnaire", text); err == nil {
			n.install(c.WithRevision(r.Revision), from)
			return
		}
	}
	n.log.WithFields(log.Fields{"step": "read-configuration", "peer": from, "error": err.Error()}).Warn("configuration not read")
}

// heardRevision fetches a newer configuration from the node that has it.
func (n *Node) heardRevision(revision uint64, from string) {
	if revision <= n.revision() {
		return
	}
	go n.fetchFrom(revision, from)
}

func (n *Node) fetchFrom(revision uint64, from string) {
	n.fetching.Lock()
	defer n.fetching.Unlock()
	if revision <= n.revision() {
		return
	}
	ctx, cancel := context.WithDeadline(n.ctx, time.Now().Add(fetchWait))
	defer cancel()
	r, err := n.peers.Config(ctx, from)
	if err != nil || r.Revision <= n.revision() {
		return
	}
	n.installText(r, from)
}
