package entry

import (
	"sort"
	"time"

	"cicadabeam/core/fleet"
	"cicadabeam/core/records"
	"cicadabeam/core/retrybudget"
	"cicadabeam/io/neighbour"
)

// Where there are many nodes, each talks to those of its own data centre. Some of
// each data centre, its gateways, talk to those of the others as well: they put
// together what their nodes have under way, and hand on to them what other data
// centres have.
const (
	gateways  = 2
	manyNodes = 24
	// handedPause is between two times that a node is told.
	handedPause = 500 * time.Millisecond
	// lossPause is between two times that a node is told while servers get lost: a
	// data centre's outage is over after little more than a second.
	lossPause = 60 * time.Millisecond
	// handedWithin is how old what is handed on may be.
	handedWithin = 3 * time.Second
	// silentAfter is after how long without a word another gateway is taken, and
	// silentFor how long.
	silentAfter = 3 * time.Second
	silentFor   = 10 * time.Second
)

type handed struct {
	news neighbour.Handed
	at   time.Time
}

// talksTo returns the nodes that this one talks to.
func (n *Node) talksTo(now time.Time) []records.EntryHost {
	all := n.nodes.others(n.settings.name)
	if len(all) <= manyNodes {
		return all
	}
	var mine []records.EntryHost
	remote := make(map[string]int)
	isGateway := n.isGateway(all, now)
	for _, h := range all {
		if h.DataCentre == n.settings.place.DataCentre {
			mine = append(mine, h)
			continue
		}
		if isGateway && remote[h.DataCentre] < gateways && !n.peers.silent(h.Name, now) {
			remote[h.DataCentre]++
			mine = append(mine, h)
		}
	}
	return mine
}

// isGateway tells whether this node is one of the first of its data centre that
// live.
func (n *Node) isGateway(all []records.EntryHost, now time.Time) bool {
	before := 0
	for _, h := range all {
		p := n.peers.all[h.Name]
		if h.DataCentre == n.settings.place.DataCentre && h.Name < n.settings.name && p != nil && now.Sub(p.heard) < liveWithin {
			before++
		}
	}
	return before < gateways
}

// silent tells whether a node was called for a while without an answer. It is
// called again after some time.
func (p *peers) silent(name string, now time.Time) bool {
	x := p.all[name]
	if x == nil {
		return false
	}
	last := x.heard
	if last.IsZero() || last.Before(x.since) {
		last = x.since
	}
	since := now.Sub(last)
	return since > silentAfter && since < silentFor
}

// many tells whether data centres hand on what their nodes have under way.
func (n *Node) many() bool { return n.nodes.count() > manyNodes+1 }

// handFor returns what is handed on to a node now and then: to one of this data centre
// what the others have, to one of another what this data centre has.
func (n *Node) handFor(name, dataCentre string, now time.Time) map[string]neighbour.Handed {
	if !n.many() {
		return nil
	}
	n.peers.mu.Lock()
	defer n.peers.mu.Unlock()
	wait := handedPause
	if n.losing(now) {
		wait = lossPause
	}
	if now.Sub(n.peers.handedTo[name]) < wait {
		return nil
	}
	n.peers.handedTo[name] = now
	all := make(map[string]neighbour.Handed)
	if dataCentre != n.settings.place.DataCentre {
		all[n.settings.place.DataCentre] = n.ownDataCentre(now)
		return all
	}
	for name, h := range n.peers.handed {
		if now.Sub(h.at) < handedWithin {
			x := h.news
			x.Age = now.Sub(h.at)
			all[name] = x
		}
	}
	return all
}

// losing tells whether this node or one that it talks to has just lost servers.
func (n *Node) losing(now time.Time) bool {
	if len(n.fleet.RecentLosses(now)) > 0 {
		return true
	}
	for _, p := range n.peers.all {
		if len(p.news.Lost) > 0 && now.Sub(p.heard) < liveWithin {
			return true
		}
	}
	return false
}

// ownDataCentre puts together what the nodes of this data centre have under way.
func (n *Node) ownDataCentre(now time.Time) neighbour.Handed {
	x := neighbour.Handed{Nodes: 1, Work: n.fleet.Work(), Usage: n.handler.Usage(now), Lost: n.fleet.RecentLosses(now)}
	for _, p := range n.peers.all {
		if p.host.DataCentre != n.settings.place.DataCentre || now.Sub(p.heard) > liveWithin {
			continue
		}
		x.Nodes++
		addWork(x.Work, p.news.Work)
		addUsage(x.Usage, p.news.Usage)
		addLosses(x.Lost, p.news.Lost, now.Sub(p.heard))
	}
	return x
}

func addWork(sum, more map[string]fleet.Work) {
	for id, w := range more {
		s := sum[id]
		s.Running += w.Running
		s.Prompts += w.Prompts
		s.Memory += w.Memory
		sum[id] = s
	}
}

func addUsage(sum, more map[string]retrybudget.Usage) {
	for service, u := range more {
		s := sum[service]
		s.Firsts += u.Firsts
		s.Repeats += u.Repeats
		sum[service] = s
	}
}

// addLosses adds what a node told of lost servers some time ago.
func addLosses(sum, more map[string]time.Duration, ago time.Duration) {
	for id, age := range more {
		if s, known := sum[id]; !known || age+ago < s {
			sum[id] = age + ago
		}
	}
}

// takeHanded takes what a node hands on.
func (n *Node) takeHanded(all map[string]neighbour.Handed, now time.Time) {
	for name, x := range all {
		if name == n.settings.place.DataCentre {
			continue
		}
		at := now.Add(-x.Age)
		n.peers.mu.Lock()
		newer := at.After(n.peers.handed[name].at)
		if newer {
			n.peers.handed[name] = handed{news: x, at: at}
		}
		n.peers.mu.Unlock()
		if newer {
			n.fleet.RecordPeerWork("data centre "+name, x.Work, at)
			n.handler.Heard("data centre "+name, x.Usage, x.Nodes, at)
			n.handler.HeardLost(x.Lost, at)
		}
	}
}

// others returns the other nodes by name.
func (d *directory) others(self string) []records.EntryHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]records.EntryHost, 0, len(d.hosts))
	for name, h := range d.hosts {
		if name != self {
			all = append(all, h)
		}
	}
	sort.Slice(all, func(a, b int) bool { return all[a].Name < all[b].Name })
	return all
}

// add notes a node that was heard of.
func (d *directory) add(h records.EntryHost) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.hosts == nil {
		d.hosts = make(map[string]records.EntryHost)
	}
	if h.Name != "" {
		d.hosts[h.Name] = h
	}
}
