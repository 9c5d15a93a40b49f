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
	configPollInterval = time.Second
	// fallbackConfigPollEvery is the number of intervals between two polls of a node
	// that does not poll for its data centre.
	fallbackConfigPollEvery = 15
	// platformPollersPerDataCentre is the number of nodes of each data centre that poll
	// the platform in every interval.
	platformPollersPerDataCentre = 2
	configFetchTimeout           = 2 * time.Second
)

// Config implements route.Environment, caller.Backend and operator.Backend. It returns
// nil until the first configuration is installed.
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

// install puts a configuration in force if it is newer than the current one.
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
	n.metrics.setRevision(c.Revision())
	n.log.WithFields(log.Fields{"revision": c.Revision(), "peer": from}).Info("configuration in force")
	n.rateLimiter.Retain(func(o string) bool {
		_, found := c.Organisation(o)
		return found
	})
	n.triggerHeartbeat()
	n.router.Wake()
}

// newConfigPoller returns a function that polls the platform for a new configuration.
// It polls in every interval on the nodes that poll for their data centre and while
// the node has no configuration, and otherwise every fallbackConfigPollEvery intervals.
func (n *Node) newConfigPoller() func(now time.Time) {
	ticks := 0
	return func(now time.Time) {
		ticks++
		if n.Config() != nil && ticks%fallbackConfigPollEvery != 0 && !n.nodes.IsTaskOwner("config", platformPollersPerDataCentre, now) {
			return
		}
		ctx, cancel := context.WithDeadline(n.ctx, now.Add(configFetchTimeout))
		defer cancel()
		if err := n.loadConfigFromPlatform(ctx); err != nil && n.Config() == nil {
			n.loadConfigFromPeers(ctx)
		}
	}
}

// loadConfigFromPlatform installs the platform's configuration if it is newer.
func (n *Node) loadConfigFromPlatform(ctx context.Context) error {
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

// loadConfigFromPeers installs the newest configuration of the reachable nodes, for a
// node that starts while the platform is unavailable.
func (n *Node) loadConfigFromPeers(ctx context.Context) {
	var best peer.ConfigReply
	from := ""
	for _, r := range n.queryPeerConfigs(ctx) {
		if r.reply.Revision > best.Revision {
			best, from = r.reply, r.node
		}
	}
	if best.Revision > 0 {
		n.installReply(best, from)
	}
}

type peerConfig struct {
	node  string
	reply peer.ConfigReply
}

func (n *Node) queryPeerConfigs(ctx context.Context) []peerConfig {
	var others []membership.Node
	for _, x := range n.nodes.Nodes() {
		if x.Name != n.nodes.Self().Name {
			others = append(others, x)
		}
	}
	replies := make(chan peerConfig, len(others))
	for _, x := range others {
		go func() {
			r, err := n.peers.Config(ctx, x.Name)
			if err != nil {
				r = peer.ConfigReply{}
			}
			replies <- peerConfig{node: x.Name, reply: r}
		}()
	}
	all := make([]peerConfig, 0, len(others))
	for range others {
		all = append(all, <-replies)
	}
	return all
}

func (n *Node) installReply(r peer.ConfigReply, from string) {
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

// fetchIfNewer fetches the configuration in the background from a node whose revision
// is newer than the current one.
func (n *Node) fetchIfNewer(revision uint64, from string) {
	if revision <= n.revision() {
		return
	}
	go n.fetchConfigFrom(revision, from)
}

func (n *Node) fetchConfigFrom(revision uint64, from string) {
	n.fetchMu.Lock()
	defer n.fetchMu.Unlock()
	if revision <= n.revision() {
		return
	}
	ctx, cancel := context.WithDeadline(n.ctx, time.Now().Add(configFetchTimeout))
	defer cancel()
	r, err := n.peers.Config(ctx, from)
	if err != nil || r.Revision <= n.revision() {
		return
	}
	n.installReply(r, from)
}
