package entry

import (
	"time"

	"cicadabeam/cmd/rollouts"
	"cicadabeam/core/fleet"
	"cicadabeam/core/records"
	"cicadabeam/io/neighbour"
	"cicadabeam/io/relay"
	"cicadabeam/platform"
)

const (
	// rolloutOriginMaxAge is how long after its last report a host counts in the report of its data
	// centre. A roll-out isn't completed before.
	rolloutOriginMaxAge = 3 * time.Second
	// orderRewriteTime is how long after a restore an order that is written again is taken for the one
	// that was known.
	orderRewriteTime = 10 * time.Second
)

func (n *Node) newRollouts() *rollouts.Rollouts {
	return rollouts.New(rollouts.Host{
		Name: n.settings.name, Limits: n.settings.exposure, Fleet: n.fleet, Store: records.NewRolloutStore(platform.NewTable(n.store), platform.StatusWrite),
		Uptime: uptime, Notify: n.triggerExchange, PassOn: n.passOnRollouts, ReadsStore: n.readsStore, Origins: n.rolloutOrigins,
		Log: func(event string, f map[string]any) { n.recorder.Record(event, relay.Fields(f)) },
	})
}

// applyOrders applies the orders in an update of the operator's table.
func (n *Node) applyOrders(u tableUpdate) {
	at, risen := n.eras.RisenAt()
	n.rollouts.ApplyRows(u.page.Rows, u.full, u.asOf, !risen || u.asOf >= at+rewriteTime, risen && u.asOf < at+orderRewriteTime)
}

// setVersions tells the roll-outs which versions services have, before servers are added and after.
func (n *Node) setVersions(changes []serverChange) {
	if n.rollouts == nil {
		return
	}
	var added []fleet.Server
	for _, c := range changes {
		if c.goneAt.IsZero() {
			added = append(added, c.server)
		}
	}
	n.rollouts.SetServers(added...)
}

// mergeRollouts applies what a peer reports of roll-outs. If there are news of unknown age, the peer is
// asked for them.
func (n *Node) mergeRollouts(p *peer, x neighbour.NodeReport, sent time.Duration) {
	if x.Host.DataCentre == n.settings.topology.DataCentre {
		n.rollouts.Collect(x.Host.Name, x.Rollouts)
	}
	if n.rollouts.Merge(x.Rollouts, sent) {
		go n.fetch(p, "rollouts", n.fetchRollouts)
	}
}

func (n *Node) fetchRollouts(p *peer) error {
	sent := uptime()
	x, err := p.client.Rollouts(time.Now().Add(fetchTimeout))
	if err == nil {
		n.rollouts.Merge(&x, sent)
	}
	return err
}

// Rollouts implements neighbour.Handler.
func (n *Node) Rollouts() neighbour.RolloutReport {
	if x := n.rollouts.Orders(); x != nil {
		return *x
	}
	return neighbour.RolloutReport{}
}

// passOnRollouts starts exchanges if this node is a gateway.
func (n *Node) passOnRollouts() {
	if !n.usesGateways() {
		return
	}
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	if n.gateway(time.Now()) {
		n.triggerExchange()
	}
}

// rolloutOrigins returns the last reports of the other nodes, behind gateways those of data centres.
func (n *Node) rolloutOrigins() []rollouts.Origin {
	now := time.Now()
	gateways := n.usesGateways()
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	if !gateways {
		return n.peers.rolloutOrigins("", now)
	}
	all := n.peers.rolloutOrigins(n.settings.topology.DataCentre, now)
	for name, r := range n.peers.aggregates {
		all = append(all, rollouts.Origin{Name: "data centre " + name, Report: r.aggregate.Rollouts, Age: now.Sub(r.at)})
	}
	return all
}

// rolloutOrigins returns the last reports of the peers of a data centre, "" for all.
func (p *peers) rolloutOrigins(dataCentre string, now time.Time) []rollouts.Origin {
	var all []rollouts.Origin
	for name, x := range p.all {
		if age := now.Sub(x.reportedAt); age <= rolloutOriginMaxAge && (dataCentre == "" || x.host.DataCentre == dataCentre) {
			all = append(all, rollouts.Origin{Name: name, Report: x.report.Rollouts, Age: age})
		}
	}
	return all
}
