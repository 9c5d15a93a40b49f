package node

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"

	"cicadabeam/core/balance"
	"cicadabeam/core/config"
	"cicadabeam/core/membership"
	"cicadabeam/io/peer"
	"cicadabeam/io/platform"
)

const (
	heartbeatPeriod = time.Second
	heartbeatWait   = 900 * time.Millisecond
	newsSpacing     = 50 * time.Millisecond
	hostsPeriod     = time.Second
	slowHostsEvery  = 10
	hostsWait       = 2 * time.Second
	loadPeriod      = time.Second
	loadWait        = 800 * time.Millisecond
	pollersPerDC    = 2
	downAfterPoll   = 2500 * time.Millisecond
	tendPeriod      = time.Second
	sweepPeriod     = 10 * time.Second
	sweepWait       = 5 * time.Second
)

func (n *Node) addLoops(g *run.Group) {
	stop := func(error) { n.stop() }
	n.learnAcquaintances()
	g.Add(n.loop(hostsPeriod, n.watchHosts()), stop)
	g.Add(n.loop(watchPeriod, n.watchConfig()), stop)
	g.Add(n.loop(loadPeriod, n.pollLoads), stop)
	g.Add(n.loop(tendPeriod, n.tend), stop)
	g.Add(n.loop(sweepPeriod, n.sweep), stop)
	g.Add(n.heartbeats, stop)
}

func (n *Node) learnAcquaintances() {
	for _, x := range n.settings.Acquaintances() {
		n.nodes.Add(x, time.Now())
	}
}

// spread makes the next heartbeats go out at once.
func (n *Node) spread() {
	select {
	case n.news <- struct{}{}:
	default:
	}
}

func (n *Node) heartbeats() error {
	t := time.NewTicker(heartbeatPeriod)
	defer t.Stop()
	for {
		n.sendHeartbeats()
		select {
		case <-n.ctx.Done():
			return n.ctx.Err()
		case <-t.C:
		case <-n.news:
			time.Sleep(newsSpacing)
		}
	}
}

func (n *Node) heartbeat() peer.Heartbeat {
	now := time.Now()
	return peer.Heartbeat{
		From:        n.nodes.Self(),
		Incarnation: n.incarnation,
		Revision:    n.revision(),
		Leaving:     n.state.Load() == draining,
		Notices:     n.loads.Notices(now),
		Quarantined: n.quarantine.Entries(now),
	}
}

// sendHeartbeats doesn't wait for the answers: a silent node must not hold up the
// news for the others.
func (n *Node) sendHeartbeats() {
	h := n.heartbeat()
	near := h
	near.Loads = n.reports.list()
	for _, x := range n.nodes.HeartbeatTargets() {
		message := h
		if x.DataCentre == n.nodes.Self().DataCentre {
			message = near
		}
		go n.sendHeartbeat(x.Name, message)
	}
}

func (n *Node) sendHeartbeat(to string, h peer.Heartbeat) {
	ctx, cancel := context.WithDeadline(n.ctx, time.Now().Add(heartbeatWait))
	defer cancel()
	r, err := n.peers.Heartbeat(ctx, to, h)
	if err != nil {
		return
	}
	n.nodes.Heard(to, r.Revision, r.Leaving, time.Now())
	n.heardRevision(r.Revision, to)
}

// Heartbeat implements peer.Handler.
func (n *Node) Heartbeat(h peer.Heartbeat) peer.HeartbeatReply {
	now := time.Now()
	n.nodes.Add(h.From, now)
	n.nodes.Heard(h.From.Name, h.Revision, h.Leaving, now)
	n.heardRevision(h.Revision, h.From.Name)
	for _, r := range h.Loads {
		n.loads.Report(r, now)
	}
	fresh := n.loads.Note(h.Notices...)
	fresh = n.quarantine.Merge(h.Quarantined) || fresh
	if fresh {
		n.spread()
	}
	if len(h.Loads) > 0 {
		n.router.Wake()
	}
	return peer.HeartbeatReply{Revision: n.revision(), Leaving: n.state.Load() == draining}
}

// watchHosts returns what reads the platform's host list.
func (n *Node) watchHosts() func(now time.Time) {
	round := 0
	return func(now time.Time) {
		first := round == 0
		round++
		if !first && round%slowHostsEvery != 0 && !n.nodes.Owns("hosts", watchersPerDC, now) {
			return
		}
		ctx, cancel := context.WithDeadline(n.ctx, now.Add(hostsWait))
		defer cancel()
		h, err := n.platform.Hosts(ctx)
		if err != nil {
			n.log.WithFields(log.Fields{"step": "read-hosts", "peer": "platform", "error": err.Error()}).Debug("host list not read")
			return
		}
		n.takeHosts(h, now)
	}
}

func (n *Node) takeHosts(h platform.Hosts, now time.Time) {
	nodes := make([]membership.Node, 0, len(h.EntryHosts))
	for _, x := range h.EntryHosts {
		nodes = append(nodes, membership.Node{Name: x.Name, DataCentre: x.DataCentre, Region: x.Region, Address: x.Address, Leaving: x.Leaving})
	}
	n.nodes.SetListed(nodes, now)
	var notices []balance.Notice
	for _, x := range h.BackendServers {
		notices = append(notices, balance.Notice{Server: x.Name, Source: balance.FromHostList, Leaving: x.Leaving, At: now.UnixMilli()})
	}
	if n.loads.Note(notices...) {
		n.spread()
	}
}

// pollLoads asks those servers of the data centre for their load that this node
// asks for the others.
func (n *Node) pollLoads(now time.Time) {
	c := n.Config()
	if c == nil {
		return
	}
	var work sync.WaitGroup
	var polled []string
	for _, s := range c.AllServers() {
		if s.DataCentre() != n.nodes.Self().DataCentre || !n.nodes.Owns("load "+s.Name(), pollersPerDC, now) {
			continue
		}
		polled = append(polled, s.Name())
		work.Go(func() { n.pollLoad(s) })
	}
	work.Wait()
	n.reports.keep(polled)
	n.router.Wake()
}

func (n *Node) pollLoad(s config.Server) {
	ctx, cancel := context.WithDeadline(n.ctx, time.Now().Add(loadWait))
	defer cancel()
	r, err := n.engine.Load(ctx, s)
	if err != nil {
		n.loads.SetDown(s.Name(), time.Now().Add(downAfterPoll))
		return
	}
	was := n.loads.Leaving(s.Name())
	n.loads.Report(r, time.Now())
	n.reports.put(r)
	if n.loads.Leaving(s.Name()) != was {
		n.spread()
	}
}

func (n *Node) tend(now time.Time) {
	n.holder.Tend(now)
	n.desk.Expire(now)
	n.quarantine.Expire(now)
	n.measure()
}

// sweep takes old claims away, on one node for all.
func (n *Node) sweep(now time.Time) {
	if n.nodes.First("sweep", now) != n.nodes.Self().Name {
		return
	}
	ctx, cancel := context.WithDeadline(n.ctx, now.Add(sweepWait))
	defer cancel()
	for ctx.Err() == nil {
		taken, err := n.claims.Sweep(ctx, now)
		if err != nil {
			n.log.WithFields(log.Fields{"step": "sweep-claims", "peer": "platform", "error": err.Error()}).Warn("claims not swept")
		}
		if taken == 0 || err != nil {
			return
		}
	}
}

// ownReports are the newest reports of the servers that this node polls.
type ownReports struct {
	mu  sync.Mutex
	all map[string]balance.Report
}

func (o *ownReports) put(r balance.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.all == nil {
		o.all = make(map[string]balance.Report)
	}
	o.all[r.Server] = r
}

// keep forgets the reports of servers that are no longer polled.
func (o *ownReports) keep(names []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	kept := make(map[string]balance.Report, len(names))
	for _, x := range names {
		if r, found := o.all[x]; found {
			kept[x] = r
		}
	}
	o.all = kept
}

func (o *ownReports) list() []balance.Report {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := make([]balance.Report, 0, len(o.all))
	for _, r := range o.all {
		all = append(all, r)
	}
	return all
}
