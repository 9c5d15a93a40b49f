package entry

import (
	"time"

	"cicadabeam/core/aggregation"
	"cicadabeam/core/fleet"
	"cicadabeam/core/records"
	"cicadabeam/core/retrybudget"
	"cicadabeam/io/neighbour"
)

// With up to fullMeshMaxPeers peers, each node exchanges reports with all others. With more
// peers, it does so with the nodes of its own data centre only. Some nodes of each data
// centre, its gateways, also exchange reports with other data centres: they send aggregated
// reports of their own data centre to the others, and forward the aggregates of the other
// data centres to the nodes of their own.
const (
	gatewaysPerDataCentre = 2
	fullMeshMaxPeers      = 24
	// aggregateMaxAge is the maximum age of an aggregate that is forwarded.
	aggregateMaxAge = 3 * time.Second
	// unresponsiveAfter is the time without contact after which another gateway is used
	// instead, and unresponsiveRetryAfter that after which the gateway is tried again.
	unresponsiveAfter      = 3 * time.Second
	unresponsiveRetryAfter = 10 * time.Second
)

// receivedAggregate is the aggregate of another data centre as of time at.
type receivedAggregate struct {
	aggregate neighbour.DataCentreReport
	at        time.Time
}

// selectPeers returns the nodes with which this one exchanges reports.
func (n *Node) selectPeers(now time.Time) []records.EntryHost {
	all := n.directory.Others(n.settings.name)
	if len(all) <= fullMeshMaxPeers {
		return all
	}
	var selected []records.EntryHost
	remote := make(map[string]int)
	isGateway := n.gateway(now)
	for _, h := range all {
		if h.DataCentre == n.settings.topology.DataCentre {
			selected = append(selected, h)
			continue
		}
		if isGateway && remote[h.DataCentre] < gatewaysPerDataCentre && !n.peers.unresponsive(h.Name, now) {
			remote[h.DataCentre]++
			selected = append(selected, h)
		}
	}
	return selected
}

// unresponsive reports whether a peer has not been in contact for between
// unresponsiveAfter and unresponsiveRetryAfter.
func (p *peers) unresponsive(name string, now time.Time) bool {
	x := p.all[name]
	if x == nil {
		return false
	}
	last := x.reportedAt
	if last.IsZero() || last.Before(x.addedAt) {
		last = x.addedAt
	}
	since := now.Sub(last)
	return since > unresponsiveAfter && since < unresponsiveRetryAfter
}

// usesGateways reports whether there are so many nodes that data centres exchange
// aggregates through gateways.
func (n *Node) usesGateways() bool { return n.directory.Count() > fullMeshMaxPeers+1 }

// aggregatesFor returns the aggregates to send to a node, or nil if none are due. A
// node of this data centre gets those of the other data centres that it lacks. A node of another
// one gets that of this data centre.
func (n *Node) aggregatesFor(name, dataCentre string, now time.Time) map[string]neighbour.DataCentreReport {
	if !n.usesGateways() {
		return nil
	}
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	due, full := n.forwarding.Due(name, n.hasRecentLosses(now), now)
	if !due {
		return nil
	}
	all := make(map[string]neighbour.DataCentreReport)
	if dataCentre != n.settings.topology.DataCentre {
		x := n.aggregateOwnDataCentre(now)
		if !full {
			x.Crashes = x.Crashes.Recent(aggregation.RecentAge)
		}
		all[n.settings.topology.DataCentre] = x
		return all
	}
	gateway := n.gateway(now)
	for dc, r := range n.peers.aggregates {
		if now.Sub(r.at) < aggregateMaxAge && n.forwarding.Needs(name, dc, r.at, gateway, now) {
			x := r.aggregate
			x.Age = now.Sub(r.at)
			all[dc] = x
		}
	}
	return all
}

// gateway reports whether this node is a gateway, by the nodes that are its peers.
func (n *Node) gateway(now time.Time) bool {
	ahead := 0
	for _, p := range n.peers.all {
		if p.host.DataCentre == n.settings.topology.DataCentre && p.host.Name < n.settings.name && now.Sub(p.reportedAt) < livenessTimeout {
			ahead++
		}
	}
	return ahead < gatewaysPerDataCentre
}

// aggregateAges returns the ages of the known aggregates, by data centre.
func (n *Node) aggregateAges(now time.Time) map[string]time.Duration {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	all := make(map[string]time.Duration, len(n.peers.aggregates))
	for dc, r := range n.peers.aggregates {
		if age := now.Sub(r.at); age < aggregateMaxAge {
			all[dc] = age
		}
	}
	return all
}

// hasRecentLosses reports whether this node or one of its peers has just lost servers.
func (n *Node) hasRecentLosses(now time.Time) bool {
	if len(n.fleet.RecentLosses(now)) > 0 {
		return true
	}
	for _, p := range n.peers.all {
		if len(p.report.Lost) > 0 && now.Sub(p.reportedAt) < livenessTimeout {
			return true
		}
	}
	return false
}

// aggregateOwnDataCentre aggregates the latest reports of the nodes of this data centre.
func (n *Node) aggregateOwnDataCentre(now time.Time) neighbour.DataCentreReport {
	x := neighbour.DataCentreReport{Nodes: 1, Work: n.fleet.Work(), Usage: n.handler.RetryUsage(now), Lost: n.ownLosses(now), LeavingServers: n.fleet.RecentlyLeaving(now), Crashes: n.handler.CrashReport(now), Limits: n.fleet.LimitReport(now), Streams: n.streamVersions.Report(now, false), Brittle: n.fleet.BrittleReport(now), Rollouts: n.rollouts.Sum(n.peers.rolloutOrigins(n.settings.topology.DataCentre, now))}
	for _, p := range n.peers.all {
		if p.host.DataCentre != n.settings.topology.DataCentre || now.Sub(p.reportedAt) > livenessTimeout {
			continue
		}
		x.Nodes++
		fleet.AddWork(x.Work, p.report.Work)
		retrybudget.AddUsage(x.Usage, p.report.Usage)
		mergeLosses(x.Lost, p.report.Lost, now.Sub(p.reportedAt))
		x.Crashes.Add(p.report.Crashes, now.Sub(p.reportedAt))
		x.Limits = x.Limits.Add(p.report.Limits, now.Sub(p.reportedAt))
		x.Brittle = x.Brittle.Add(p.report.Brittle, now.Sub(p.reportedAt))
		x.Streams.Streams = append(x.Streams.Streams, p.report.Streams.Streams...)
	}
	return x
}

// mergeLosses adds losses that were reported some time ago. Of two losses of a server the
// later one is kept.
func mergeLosses(sum, more map[string]time.Duration, reportAge time.Duration) {
	for id, age := range more {
		if s, known := sum[id]; !known || age+reportAge < s {
			sum[id] = age + reportAge
		}
	}
}

// applyAggregates applies the aggregates that a peer sent, if they are newer than the
// known ones.
func (n *Node) applyAggregates(all map[string]neighbour.DataCentreReport, now time.Time) {
	for name, x := range all {
		if name == n.settings.topology.DataCentre {
			continue
		}
		at := now.Add(-x.Age)
		n.peers.mu.Lock()
		newer := at.After(n.peers.aggregates[name].at)
		if newer {
			n.peers.aggregates[name] = receivedAggregate{aggregate: x, at: at}
		}
		n.peers.mu.Unlock()
		if newer {
			n.fleet.RecordPeerWork("data centre "+name, x.Work, at)
			n.handler.RecordPeerUsage("data centre "+name, x.Usage, x.Nodes, at)
			n.handler.MergeLimits("data centre "+name, x.Limits, x.Nodes, at)
			n.handler.MergeBrittle(name+"/", x.Brittle, x.Nodes, at)
			n.handler.MergeLosses(x.Lost, at)
			n.handler.MergeLeaving(x.LeavingServers, "data centre "+name, at)
			n.handler.MergeCrashes(x.Crashes, "data centre "+name, at)
			n.streamVersions.Merge(x.Streams, at, n.settings.topology.Regions[name] == n.self().Region)
		}
	}
}
