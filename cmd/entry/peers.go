package entry

import (
	"context"
	"math"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"cicadabeam/core/fleet"
	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
	"cicadabeam/io/neighbour"
	"cicadabeam/io/relay"
	"cicadabeam/io/tcp"
)

const (
	// exchangeInterval is the time between exchanges with a peer, for up to
	// baseIntervalPeers peers. exchangeIntervalPerPeer is added for each further peer, up
	// to maxExchangeInterval in total.
	exchangeInterval        = 200 * time.Millisecond
	exchangeIntervalPerPeer = 30 * time.Millisecond
	maxExchangeInterval     = 600 * time.Millisecond
	// minExchangeInterval is the minimum time between exchanges, even triggered ones.
	minExchangeInterval = 20 * time.Millisecond
	baseIntervalPeers   = 8
	exchangeTimeout     = 400 * time.Millisecond
	fetchTimeout        = time.Second
	// promptReportWindow is how long a node reports which server processed a prompt.
	promptReportWindow = 800 * time.Millisecond
	// startupWindow is how long after its start a node is sent all known prompts.
	startupWindow = time.Second
	// livenessTimeout is the time without contact after which a node is no longer
	// considered live.
	livenessTimeout = 1500 * time.Millisecond
)

// peer is another node with which this one exchanges reports.
type peer struct {
	host         records.EntryHost
	client       *neighbour.Client
	report       neighbour.NodeReport // the last one received
	reportedAt   time.Time            // when report was received
	addedAt      time.Time            // when it became a peer
	exchanging   bool
	lossRecorded bool  // the event "node lost" has been recorded
	lastErr      error // of the last exchange, nil if it succeeded
}

// peers holds the peers of this node and the state of the exchanges with them.
type peers struct {
	mu         sync.Mutex
	all        map[string]*peer
	wake       chan struct{} // requests an exchange without waiting for the interval
	readUntil  time.Time     // this node reads the store until then, see readTakeoverHold
	readsStore bool          // the last result of Node.readsStore
	fetching   map[string]bool
	riseMissed bool                         // the servers that have yet to register again are to be fetched
	aggregates map[string]receivedAggregate // by data centre
}

func (p *peers) init() {
	p.all = make(map[string]*peer)
	p.wake = make(chan struct{}, 1)
	p.fetching = make(map[string]bool)
	p.aggregates = make(map[string]receivedAggregate)
}

func (n *Node) addPeerServer(g *run.Group) error {
	l, err := net.Listen("tcp", n.settings.peers)
	if err != nil {
		return errors.Wrap(err, "listen for other entry hosts (setting neighbours)")
	}
	g.Add(func() error { return neighbour.Serve(tcp.LimitListener(l, n.connections.Hosts()), n, n.tunnels) }, func(error) { _ = l.Close() })
	a, err := net.ResolveUDPAddr("udp", l.Addr().String())
	if err != nil {
		return errors.Wrap(err, "address for leases (setting neighbours)")
	}
	u, err := net.ListenUDP("udp", a)
	if err != nil {
		return errors.Wrap(err, "listen for leases (setting neighbours)")
	}
	g.Add(func() error { return n.tunnels.ServeLeases(u) }, func(error) { _ = u.Close() })
	return nil
}

// triggerExchange starts the next exchange with all peers without waiting for the interval.
func (n *Node) triggerExchange() {
	select {
	case n.peers.wake <- struct{}{}:
	default:
	}
}

// exchangeLoop exchanges reports with the peers periodically.
func (n *Node) exchangeLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		t := time.NewTimer(n.nextExchangeInterval())
		triggered := false
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-n.peers.wake:
			triggered = true
		}
		t.Stop()
		n.startExchanges(time.Now(), triggered)
		sleep(ctx, minExchangeInterval)
	}
	return ctx.Err()
}

func (n *Node) nextExchangeInterval() time.Duration {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	return min(exchangeInterval+time.Duration(max(0, len(n.peers.all)-baseIntervalPeers))*exchangeIntervalPerPeer, maxExchangeInterval)
}

// startExchanges starts the exchanges that this node initiates. Of two nodes the one whose
// name sorts last initiates, because only the initiator can tell how old the confirmations
// in the other's report are, and the node whose name sorts first reads the store. The other
// node initiates if it has had no recent contact. Triggered exchanges go to all peers.
func (n *Node) startExchanges(now time.Time, triggered bool) {
	n.refreshPeers(now)
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	for _, p := range n.peers.all {
		n.recordIfLost(p, now)
		initiates := triggered || n.settings.name > p.host.Name || now.Sub(p.reportedAt) > livenessTimeout
		if p.exchanging || !initiates {
			continue
		}
		p.exchanging = true
		go n.exchangeWith(p, p.client)
	}
}

// recordIfLost records once that a peer is no longer live.
func (n *Node) recordIfLost(p *peer, now time.Time) {
	if p.lossRecorded || p.reportedAt.IsZero() || now.Sub(p.reportedAt) <= livenessTimeout {
		return
	}
	p.lossRecorded = true
	f := relay.Fields{"peer": p.host.Name, "silent_ms": now.Sub(p.reportedAt).Milliseconds()}
	if p.lastErr != nil {
		f["error"] = p.lastErr.Error()
	}
	n.recorder.Record("node lost", f)
}

// refreshPeers sets the peers to the nodes that selectPeers returns.
func (n *Node) refreshPeers(now time.Time) {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	n.peers.set(n.selectPeers(now), now)
}

// set replaces the peers by those in hosts. Peers that did not change keep their state.
func (p *peers) set(hosts []records.EntryHost, now time.Time) {
	listed := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		listed[h.Name] = true
		x := p.all[h.Name]
		if x != nil && x.host == h {
			continue
		}
		if x != nil {
			x.client.Close()
		}
		p.all[h.Name] = &peer{host: h, client: neighbour.NewClient(h.Address), addedAt: now}
	}
	for name, x := range p.all {
		if !listed[name] {
			x.client.Close()
			delete(p.all, name)
		}
	}
}

func (n *Node) exchangeWith(p *peer, c *neighbour.Client) {
	sent := uptime()
	start := time.Now()
	r, err := c.Exchange(n.report(p.host.Name, p.host.DataCentre), time.Now().Add(exchangeTimeout))
	n.peers.mu.Lock()
	p.exchanging = false
	p.lastErr = err
	n.peers.mu.Unlock()
	n.metrics.observe("neighbour", time.Since(start))
	if err == nil {
		n.handleReport(r, sent)
	}
}

// report returns this node's report to another node.
func (n *Node) report(name, dataCentre string) neighbour.NodeReport {
	now := time.Now()
	up := uptime()
	promptsFrom := now.Add(-promptReportWindow)
	if n.needsAllPrompts(name, now) {
		promptsFrom = time.Time{}
	}
	x := neighbour.NodeReport{
		Host: n.self(), AggregateAges: n.aggregateAges(now), Young: up-n.started < startupWindow, Handed: n.aggregatesFor(name, dataCentre, now), Leaving: n.draining.Load(), Era: n.eras.Info(), StoreLost: n.configurationWatcher.failing.Load() || n.serverWatcher.failing.Load(), Work: n.fleet.Work(), Usage: n.handler.RetryUsage(now),
		Crashes: n.handler.CrashReport(now), Configuration: n.configurationFreshness(up), Servers: n.serverFreshness.freshness(up), HostList: n.directory.Freshness(up), Prompts: n.prompts.LearntSince(promptsFrom),
		Lost: n.ownLosses(now), LeavingServers: n.fleet.RecentlyLeaving(now), Limits: n.fleet.LimitReport(now),
		Streams: n.streamVersions.Report(now, promptsFrom.IsZero()), Partitioned: n.partition.Partitioned(), ServerAge: n.serverAge(now), Leases: true, Brittle: n.fleet.BrittleReport(now), Rollouts: n.rollouts.Report(),
	}
	return x
}

// needsAllPrompts reports whether a node has just started and is to be sent all prompts.
func (n *Node) needsAllPrompts(name string, now time.Time) bool {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	p := n.peers.all[name]
	return p != nil && p.report.Young && now.Sub(p.reportedAt) < livenessTimeout
}

func (n *Node) configurationFreshness(up time.Duration) neighbour.VersionInfo {
	c, age := n.tracker.CatalogAndAge(up)
	if c == nil || age == freshness.AgeUnknown {
		return neighbour.VersionInfo{}
	}
	return neighbour.VersionInfo{Known: true, Version: c.Revision(), Age: age}
}

// Exchange implements neighbour.Handler.
func (n *Node) Exchange(x neighbour.NodeReport) neighbour.NodeReport {
	// The report was current when the peer sent it, but the transmission time is unknown.
	n.handleReport(x, unknownSendTime)
	return n.report(x.Host.Name, x.Host.DataCentre)
}

// unknownSendTime is the send time of a report that this node did not request. Such a
// report confirms nothing, as its age is unknown.
const unknownSendTime = time.Duration(math.MinInt64)

// handleReport applies a report of another node that was requested at uptime sent.
func (n *Node) handleReport(x neighbour.NodeReport, sent time.Duration) {
	now := time.Now()
	missedRise := n.eras.Merge(x.Era, x.Host.Name)
	n.directory.Add(x.Host)
	n.applyAggregates(x.Handed, now)
	n.forwarding.RecordKnown(x.Host.Name, x.AggregateAges, now)
	if !n.usesGateways() || x.Host.DataCentre == n.settings.topology.DataCentre {
		n.fleet.RecordPeerWork(x.Host.Name, x.Work, now)
		n.handler.MergeLimits(x.Host.Name, x.Limits, 1, now)
		n.handler.MergeBrittle(x.Host.DataCentre+"/"+x.Host.Name, x.Brittle, 1, now)
		if x.Leaving {
			n.handler.RecordFinalUsage(x.Host.Name, x.Usage, now)
		} else {
			n.handler.RecordPeerUsage(x.Host.Name, x.Usage, 1, now)
		}
	}
	n.handler.MergeCrashes(x.Crashes, x.Host.Name, now)
	n.streamVersions.Merge(x.Streams, now, x.Host.Region == n.self().Region)
	n.handler.MergeLosses(x.Lost, now)
	n.handler.MergeLeaving(x.LeavingServers, x.Host.Name, now)
	for prompt, server := range x.Prompts {
		n.prompts.RecordFromPeer(prompt, server, now)
	}
	n.peers.mu.Lock()
	n.peers.riseMissed = n.peers.riseMissed || missedRise
	p := n.peers.all[x.Host.Name]
	fetchMissing := p != nil && n.peers.riseMissed
	if fetchMissing {
		n.peers.riseMissed = false
	}
	recovered := p != nil && now.Sub(p.reportedAt) > livenessTimeout
	if p != nil {
		p.report, p.reportedAt, p.lossRecorded = x, now, false
	}
	n.peers.mu.Unlock()
	if p == nil {
		return
	}
	if recovered {
		n.recorder.Record("node heard", relay.Fields{"peer": x.Host.Name, "revision": x.Configuration.Version})
	}
	n.mergeRollouts(p, x, sent)
	if fetchMissing {
		go n.fetch(p, "servers to register", n.fetchMissingServers)
	}
	n.syncWithPeer(p, x, sent)
}

// syncWithPeer compares the versions in a peer's report with those of this node. It
// fetches newer data and takes over confirmations of the same version.
func (n *Node) syncWithPeer(p *peer, x neighbour.NodeReport, sent time.Duration) {
	up := uptime()
	own, servers := n.configurationFreshness(up), n.serverFreshness.freshness(up)
	if x.Configuration.Known && x.Configuration.Version > own.Version {
		go n.fetch(p, "configuration", n.fetchConfiguration)
	} else if x.Configuration.Known && sent != unknownSendTime {
		n.tracker.Confirm(x.Configuration.Version, sent-x.Configuration.Age)
	}
	acceptServers := p.host.Region == n.self().Region || servers.Age > n.readTiming().TakeoverAge()
	switch {
	case !x.Servers.Known || !acceptServers:
	case x.Servers.At().After(servers.At()) && !n.readsStore():
		go n.fetch(p, "servers", n.fetchServers)
	case x.Servers.At() == servers.At() && sent != unknownSendTime:
		n.serverFreshness.confirm(servers.At(), sent-x.Servers.Age)
	}
	if sent != unknownSendTime && n.directory.IsNewer(x.HostList, sent) {
		go n.fetch(p, "hosts", n.fetchHosts)
	}
}

// fetch runs get unless a fetch of the same kind of data is in progress.
func (n *Node) fetch(p *peer, kind string, get func(p *peer) error) {
	n.peers.mu.Lock()
	busy := n.peers.fetching[kind]
	n.peers.fetching[kind] = true
	n.peers.mu.Unlock()
	if busy {
		return
	}
	err := get(p)
	n.peers.mu.Lock()
	n.peers.fetching[kind] = false
	n.peers.mu.Unlock()
	if err != nil {
		n.recorder.Record("not fetched", relay.Fields{"what": kind, "peer": p.host.Name, "error": err.Error()})
	}
}

func (n *Node) fetchServers(p *peer) error {
	known, since := n.serverFreshness.at()
	if !known {
		return n.fetchWholeServers(p)
	}
	sent := uptime()
	x, err := p.client.Servers(since, time.Now().Add(fetchTimeout))
	if err != nil || !x.Fact.Known {
		return err
	}
	n.applyPeerServers(x, sent-x.Fact.Age, p.host.Name)
	return nil
}

func (n *Node) fetchHosts(p *peer) error {
	sent := uptime()
	x, err := p.client.Hosts(time.Now().Add(fetchTimeout))
	if err != nil || !x.Fact.Known {
		return err
	}
	n.directory.Set(x.Hosts, sent-x.Fact.Age)
	return nil
}

// Hosts implements neighbour.Handler.
func (n *Node) Hosts() neighbour.HostList { return n.directory.HostList(uptime()) }

// Servers implements neighbour.Handler.
func (n *Node) Servers(since freshness.StoreVersion) neighbour.ServerList {
	n.serversMu.Lock() // the servers are exactly those of the version reported with them
	defer n.serversMu.Unlock()
	x := neighbour.ServerList{Fact: n.serverFreshness.freshness(uptime())}
	now := time.Now()
	ids, complete := n.changeLog.Since(since)
	x.Whole = !complete
	known := make(map[string]fleet.Registration)
	for _, s := range n.fleet.Registered() {
		known[s.Server.ID] = s
		if x.Whole {
			ids = append(ids, s.Server.ID)
		}
	}
	for _, id := range ids {
		s, found := known[id]
		c := neighbour.ServerChange{Server: s.Server}
		switch {
		case !found:
			c.Server.ID, c.Gone = id, true
		case !s.DeregisteredAt.IsZero():
			c.Gone, c.In = true, max(0, s.DeregisteredAt.Sub(now))
		}
		x.Changes = append(x.Changes, c)
	}
	return x
}
