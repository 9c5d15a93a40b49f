package node

import (
	"context"
	"sync"
	"time"

	"cicadabeam/core/balance"
	"cicadabeam/core/config"
)

const (
	loadPeriod    = time.Second
	loadWait      = 800 * time.Millisecond
	pollersPerDC  = 2
	downAfterPoll = 2500 * time.Millisecond
)

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
		if s.DataCentre() != n.nodes.Self().DataCentre || !n.nodes.IsTaskOwner("load "+s.Name(), pollersPerDC, now) {
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
		n.heartbeatNow()
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
