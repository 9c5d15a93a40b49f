package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"cicadabeam/core/balance"
	"cicadabeam/core/membership"
	"cicadabeam/core/records"
)

const (
	hostListInterval = time.Second
	// fallbackHostListEvery is the number of intervals between two reads of the list by a
	// node that does not read it for its data centre.
	fallbackHostListEvery = 10
	hostListTimeout       = 2 * time.Second
)

// newHostListPoller returns a function that reads the platform's host list. It reads on
// the first call, in every interval on the nodes that read for their data centre, and
// otherwise every fallbackHostListEvery intervals.
func (n *Node) newHostListPoller() func(now time.Time) {
	ticks := 0
	return func(now time.Time) {
		first := ticks == 0
		ticks++
		if !first && ticks%fallbackHostListEvery != 0 && !n.nodes.IsTaskOwner("hosts", platformPollersPerDataCentre, now) {
			return
		}
		ctx, cancel := context.WithDeadline(n.ctx, now.Add(hostListTimeout))
		defer cancel()
		if err := n.readHostList(ctx, now); err != nil {
			n.log.WithFields(log.Fields{"step": "read-hosts", "peer": "platform", "error": err.Error()}).Debug("host list not read")
		}
	}
}

func (n *Node) readHostList(ctx context.Context, now time.Time) error {
	t, err := n.hosts.List(ctx)
	if err != nil {
		return err
	}
	servers, err := n.platform.LeavingServers(ctx)
	if err != nil {
		return err
	}
	if !n.restoring() { // the copy knows neither the newest nodes nor which servers are leaving
		n.applyHostList(t.Hosts, servers, now)
	}
	return nil
}

func (n *Node) applyHostList(hosts []records.EntryHost, servers map[string]bool, now time.Time) {
	nodes := make([]membership.Node, 0, len(hosts))
	for _, x := range hosts {
		nodes = append(nodes, membership.Node{Name: x.Name, DataCentre: x.DataCentre, Region: x.Region, Address: x.Address, Leaving: x.Leaving})
	}
	n.nodes.SetListed(nodes, now)
	var notices []balance.LeaveNotice
	for name, leaving := range servers {
		notices = append(notices, balance.LeaveNotice{Server: name, Source: balance.FromHostList, Leaving: leaving, At: now.UnixMilli()})
	}
	if n.loads.ApplyNotices(notices...) {
		n.triggerHeartbeat()
	}
}

// register writes this node's row to the host list unless an earlier call succeeded.
func (n *Node) register(now time.Time) {
	if n.registered.Load() {
		return
	}
	ctx, cancel := context.WithDeadline(n.ctx, now.Add(hostListTimeout))
	defer cancel()
	self := n.nodes.Self()
	err := n.hosts.Register(ctx, records.EntryHost{Name: self.Name, DataCentre: self.DataCentre, Region: self.Region, Address: self.Address})
	if err != nil {
		n.log.WithFields(log.Fields{"step": "register", "peer": "platform", "error": err.Error()}).Debug("not registered")
		return
	}
	n.registeredAt.Store(&now)
	n.registered.Store(true)
}
