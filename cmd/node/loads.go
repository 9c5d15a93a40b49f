package node

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/balance"
	"cicadabeam/core/config"
)

const (
	loadPollInterval         = time.Second
	loadPollTimeout          = 800 * time.Millisecond
	loadPollersPerDataCentre = 2
	pollFailureCooldown      = 2500 * time.Millisecond
)

// pollLoads requests load reports from those servers of the data centre that this node
// polls on behalf of its other nodes.
func (n *Node) pollLoads(now time.Time) {
	c := n.Config()
	if c == nil {
		return
	}
	var wg sync.WaitGroup
	var polled []string
	for _, s := range c.AllServers() {
		if s.DataCentre() != n.nodes.Self().DataCentre || !n.nodes.IsTaskOwner("load "+s.Name(), loadPollersPerDataCentre, now) {
			continue
		}
		polled = append(polled, s.Name())
		wg.Go(func() { n.pollLoad(s) })
	}
	wg.Wait()
	n.reports.retain(polled)
	n.router.Wake()
}

func (n *Node) pollLoad(s config.Server) {
	ctx, cancel := context.WithDeadline(n.ctx, time.Now().Add(loadPollTimeout))
	defer cancel()
	r, err := n.engine.FetchLoadReport(ctx, s)
	if err != nil {
		n.loads.SetDown(s.Name(), time.Now().Add(pollFailureCooldown))
		return
	}
	wasLeaving := n.loads.Leaving(s.Name())
	n.loads.Report(r, time.Now())
	n.reports.put(r)
	if n.loads.Leaving(s.Name()) != wasLeaving {
		n.triggerHeartbeat()
	}
}

// polledReports holds the newest load reports of the servers that this node polls.
type polledReports struct {
	mu  sync.Mutex
	all map[string]balance.Report
}

func (p *polledReports) put(r balance.Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.all == nil {
		p.all = make(map[string]balance.Report)
	}
	p.all[r.Server] = r
}

// retain removes the reports of all servers except the named ones.
func (p *polledReports) retain(names []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	retained := make(map[string]balance.Report, len(names))
	for _, x := range names {
		if r, found := p.all[x]; found {
			retained[x] = r
		}
	}
	p.all = retained
}

func (p *polledReports) list() []balance.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]balance.Report, 0, len(p.all))
	for _, r := range p.all {
		all = append(all, r)
	}
	return all
}
