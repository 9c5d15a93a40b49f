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
)

const (
	// exchangePeriod is between two exchanges with a node where there are few, and
	// exchangeEach is added for each node beyond fewNodes, up to exchangeMost.
	exchangePeriod = 200 * time.Millisecond
	exchangeEach   = 30 * time.Millisecond
	exchangeMost   = 600 * time.Millisecond
	// exchangeLeast is between two exchanges, however urgent the news.
	exchangeLeast = 20 * time.Millisecond
	fewNodes      = 8
	exchangeWait  = 400 * time.Millisecond
	fetchWait     = time.Second
	// promptsTold is how long it is told which server read a prompt.
	promptsTold = 800 * time.Millisecond
	// youngFor is how long after its start a node is told of all prompts.
	youngFor = time.Second
	// liveWithin is within which a node must have been heard of to be counted on.
	liveWithin = 1500 * time.Millisecond
)

// peer is another node.
type peer struct {
	host    records.EntryHost
	client  *neighbour.Client
	news    neighbour.News
	heard   time.Time
	since   time.Time // when it became one that this node talks to
	talking bool
	lost    bool  // it was noted that nothing is heard of it
	failure error // of the last exchange
}

// peers holds the other nodes.
type peers struct {
	mu       sync.Mutex
	all      map[string]*peer
	wake     chan struct{}
	readTill time.Time
	fetching map[string]bool
	handed   map[string]handed    // by data centre
	handedTo map[string]time.Time // by node
}

func (p *peers) init() {
	p.all = make(map[string]*peer)
	p.wake = make(chan struct{}, 1)
	p.fetching = make(map[string]bool)
	p.handed = make(map[string]handed)
	p.handedTo = make(map[string]time.Time)
}

func (n *Node) addNeighbours(g *run.Group) error {
	l, err := net.Listen("tcp", n.settings.neighbours)
	if err != nil {
		return errors.Wrap(err, "listen for neighbours")
	}
	g.Add(func() error { return neighbour.Serve(l, n) }, func(error) { _ = l.Close() })
	return nil
}

// tell makes the next exchange go out at once.
func (n *Node) tell() {
	select {
	case n.peers.wake <- struct{}{}:
	default:
	}
}

// exchange tells the other nodes the news, again and again.
func (n *Node) exchange(ctx context.Context) error {
	for ctx.Err() == nil {
		t := time.NewTimer(n.exchangePeriod())
		urgent := false
		select {
		case <-ctx.Done():
		case <-t.C:
		case <-n.peers.wake:
			urgent = true
		}
		t.Stop()
		n.tellAll(time.Now(), urgent)
		pause(ctx, exchangeLeast)
	}
	return ctx.Err()
}

func (n *Node) exchangePeriod() time.Duration {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	return min(exchangePeriod+time.Duration(max(0, len(n.peers.all)-fewNodes))*exchangeEach, exchangeMost)
}

// tellAll begins an exchange with each node that this one calls: of two nodes the
// one whose name comes last calls, or the other if it hasn't been heard of. The one
// that calls can tell how old the other's proofs are, and the first reads the store.
// Urgent news go to all.
func (n *Node) tellAll(now time.Time, urgent bool) {
	n.meet(now)
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	for _, p := range n.peers.all {
		n.noteLost(p, now)
		calls := urgent || n.settings.name > p.host.Name || now.Sub(p.heard) > liveWithin
		if p.talking || !calls {
			continue
		}
		p.talking = true
		go n.talk(p, p.client)
	}
}

// noteLost notes once that nothing is heard of a node any more.
func (n *Node) noteLost(p *peer, now time.Time) {
	if p.lost || p.heard.IsZero() || now.Sub(p.heard) <= liveWithin {
		return
	}
	p.lost = true
	f := relay.Fields{"peer": p.host.Name, "silent_ms": now.Sub(p.heard).Milliseconds()}
	if p.failure != nil {
		f["error"] = p.failure.Error()
	}
	n.recorder.Record("node lost", f)
}

// meet makes the peers those nodes that this one is to talk to.
func (n *Node) meet(now time.Time) {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	n.peers.update(n.talksTo(now), now)
}

// update makes the peers those of a list.
func (p *peers) update(hosts []records.EntryHost, now time.Time) {
	named := make(map[string]bool, len(hosts))
	for _, h := range hosts {
		named[h.Name] = true
		x := p.all[h.Name]
		if x != nil && x.host == h {
			continue
		}
		if x != nil {
			x.client.Close()
		}
		p.all[h.Name] = &peer{host: h, client: neighbour.NewClient(h.Address), since: now}
	}
	for name, x := range p.all {
		if !named[name] {
			x.client.Close()
			delete(p.all, name)
		}
	}
}

func (n *Node) talk(p *peer, c *neighbour.Client) {
	sent := uptime()
	began := time.Now()
	theirs, err := c.Exchange(n.news(p.host.Name, p.host.DataCentre), time.Now().Add(exchangeWait))
	n.peers.mu.Lock()
	p.talking = false
	p.failure = err
	n.peers.mu.Unlock()
	n.metrics.took("neighbour", time.Since(began))
	if err == nil {
		n.heard(theirs, sent)
	}
}

// news is what this node tells another one.
func (n *Node) news(name, dataCentre string) neighbour.News {
	now := time.Now()
	up := uptime()
	promptsFrom := now.Add(-promptsTold)
	if n.tellsAll(name, now) {
		promptsFrom = time.Time{}
	}
	x := neighbour.News{
		Host: n.self(), Young: up-n.started < youngFor, Handed: n.handFor(name, dataCentre, now), Leaving: n.draining.Load(), Work: n.fleet.Work(), Usage: n.handler.Usage(now),
		Deaths: n.handler.Deaths(now), Configuration: n.configurationFact(up), Servers: n.registry.fact(up), Prompts: n.prompts.LearntSince(promptsFrom),
		Lost: n.fleet.RecentLosses(now),
	}
	return x
}

// tellsAll tells whether a node is to hear of all prompts: it has just started.
func (n *Node) tellsAll(name string, now time.Time) bool {
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	p := n.peers.all[name]
	return p != nil && p.news.Young && now.Sub(p.heard) < liveWithin
}

func (n *Node) configurationFact(up time.Duration) neighbour.Fact {
	c, age := n.holder.CatalogAndAge(up)
	if c == nil || age == freshness.AgeUnknown {
		return neighbour.Fact{}
	}
	return neighbour.Fact{Known: true, Version: c.Revision(), Age: age}
}

// Exchange implements neighbour.Handler.
func (n *Node) Exchange(x neighbour.News) neighbour.News {
	// What the caller says was so when it sent it; how long that took isn't known.
	n.heard(x, unknownSent)
	return n.news(x.Host.Name, x.Host.DataCentre)
}

// unknownSent marks news of which it isn't known when they were asked for, so that
// they prove nothing.
const unknownSent = time.Duration(math.MinInt64)

// heard takes another node's news, that were asked for at the uptime sent.
func (n *Node) heard(x neighbour.News, sent time.Duration) {
	now := time.Now()
	n.nodes.add(x.Host)
	n.takeHanded(x.Handed, now)
	if !n.many() || x.Host.DataCentre == n.settings.place.DataCentre {
		n.fleet.RecordPeerWork(x.Host.Name, x.Work, now)
		if x.Leaving {
			n.handler.HeardLast(x.Host.Name, x.Usage, now)
		} else {
			n.handler.Heard(x.Host.Name, x.Usage, 1, now)
		}
	}
	n.handler.HeardDeaths(x.Deaths, now)
	n.handler.HeardLost(x.Lost, now)
	for prompt, server := range x.Prompts {
		n.prompts.RecordFromPeer(prompt, server, now)
	}
	n.peers.mu.Lock()
	p := n.peers.all[x.Host.Name]
	joined := p != nil && now.Sub(p.heard) > liveWithin
	if p != nil {
		p.news, p.heard, p.lost = x, now, false
	}
	n.peers.mu.Unlock()
	if p == nil {
		return
	}
	if joined {
		n.recorder.Record("node heard", relay.Fields{"peer": x.Host.Name, "revision": x.Configuration.Version})
	}
	n.takeFacts(p, x, sent)
}

// takeFacts compares what another node knows with what this one does.
func (n *Node) takeFacts(p *peer, x neighbour.News, sent time.Duration) {
	up := uptime()
	mine, servers := n.configurationFact(up), n.registry.fact(up)
	if x.Configuration.Known && x.Configuration.Version > mine.Version {
		go n.fetch(p, "configuration", n.fetchConfiguration)
	} else if x.Configuration.Known && sent != unknownSent {
		n.holder.Confirm(x.Configuration.Version, sent-x.Configuration.Age)
	}
	near := p.host.DataCentre == n.settings.place.DataCentre || servers.Age > readAfter
	switch {
	case !x.Servers.Known || !near:
	case x.Servers.Version > servers.Version && !n.reads():
		go n.fetch(p, "servers", n.fetchServers)
	case x.Servers.Version == servers.Version && sent != unknownSent:
		n.registry.prove(servers.Version, sent-x.Servers.Age)
	}
}

// fetch gets something from another node, once at a time.
func (n *Node) fetch(p *peer, what string, get func(p *peer) error) {
	n.peers.mu.Lock()
	busy := n.peers.fetching[what]
	n.peers.fetching[what] = true
	n.peers.mu.Unlock()
	if busy {
		return
	}
	err := get(p)
	n.peers.mu.Lock()
	n.peers.fetching[what] = false
	n.peers.mu.Unlock()
	if err != nil {
		n.recorder.Record("not fetched", relay.Fields{"what": what, "peer": p.host.Name, "error": err.Error()})
	}
}

func (n *Node) fetchConfiguration(p *peer) error {
	sent := uptime()
	x, err := p.client.Configuration(time.Now().Add(fetchWait))
	if err != nil || !x.Fact.Known {
		return err
	}
	n.install(x.Value, sent-x.Fact.Age, p.host.Name)
	return nil
}

func (n *Node) fetchServers(p *peer) error {
	sent := uptime()
	since := uint64(0)
	if f := n.registry.fact(0); f.Known {
		since = f.Version
	}
	x, err := p.client.Servers(since, time.Now().Add(fetchWait))
	if err != nil || !x.Fact.Known {
		return err
	}
	n.takeChanges(x, sent-x.Fact.Age, p.host.Name)
	return nil
}

// Configuration implements neighbour.Handler.
func (n *Node) Configuration() neighbour.Configuration {
	raw := n.raw.Load()
	f := n.configurationFact(uptime())
	if raw == nil || !f.Known || raw.revision != f.Version {
		return neighbour.Configuration{}
	}
	return neighbour.Configuration{Fact: f, Value: raw.value}
}

// Servers implements neighbour.Handler.
func (n *Node) Servers(since uint64) neighbour.Servers {
	// The fact comes first: what is newer than it does no harm.
	x := neighbour.Servers{Fact: n.registry.fact(uptime())}
	now := time.Now()
	ids, enough := n.changes.since(since)
	x.Whole = !enough
	known := make(map[string]fleet.Registration)
	for _, s := range n.fleet.Registered() {
		known[s.Server.ID] = s
		if x.Whole {
			ids = append(ids, s.Server.ID)
		}
	}
	for _, id := range ids {
		s, found := known[id]
		c := neighbour.Change{Server: s.Server}
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

// takeChanges takes the servers that another node knows, if they are newer.
func (n *Node) takeChanges(x neighbour.Servers, as time.Duration, from string) {
	n.beliefs.Lock()
	defer n.beliefs.Unlock()
	if f := n.registry.fact(0); f.Known && x.Fact.Version <= f.Version {
		return
	}
	now := time.Now()
	named := make(map[string]bool, len(x.Changes))
	for _, c := range x.Changes {
		named[c.Server.ID] = true
		if c.Gone {
			n.loseServer(c.Server.ID, x.Fact.Version, now.Add(c.In))
			continue
		}
		n.setServer(c.Server, x.Fact.Version, from)
	}
	if x.Whole {
		n.loseOthers(named, x.Fact.Version, now)
		n.changes.begin(x.Fact.Version)
	}
	n.registry.prove(x.Fact.Version, as)
	n.noteKnown()
}
