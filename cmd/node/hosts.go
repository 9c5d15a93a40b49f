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
	hostsPeriod = time.Second
	// slowHostsEvery is every how many periods a node reads the list that doesn't
	// watch it for its data centre.
	slowHostsEvery = 10
	hostsWait      = 2 * time.Second
)

// watchHosts returns what reads the platform's host list.
func (n *Node) watchHosts() func(now time.Time) {
	round := 0
	return func(now time.Time) {
		first := round == 0
		round++
		if !first && round%slowHostsEvery != 0 && !n.nodes.IsTaskOwner("hosts", watchersPerDC, now) {
			return
		}
		ctx, cancel := context.WithDeadline(n.ctx, now.Add(hostsWait))
		defer cancel()
		if err := n.readHosts(ctx, now); err != nil {
			n.log.WithFields(log.Fields{"step": "read-hosts", "peer": "platform", "error": err.Error()}).Debug("host list not read")
		}
	}
}

func (n *Node) readHosts(ctx context.Context, now time.Time) error {
	hosts, err := n.hosts.List(ctx)
	if err != nil {
		return err
	}
	servers, err := n.platform.LeavingServers(ctx)
	if err != nil {
		return err
	}
	n.takeHosts(hosts, servers, now)
	return nil
}

func (n *Node) takeHosts(hosts []records.EntryHost, servers map[string]bool, now time.Time) {
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
		n.heartbeatNow()
	}
}

// register writes this node's row until it stands.
func (n *Node) register(now time.Time) {
	if n.registered.Load() {
		return
	}
	ctx, cancel := context.WithDeadline(n.ctx, now.Add(hostsWait))
	defer cancel()
	self := n.nodes.Self()
	err := n.hosts.Register(ctx, records.EntryHost{Name: self.Name, DataCentre: self.DataCentre, Region: self.Region, Address: self.Address})
	if err != nil {
		n.log.WithFields(log.Fields{"step": "register", "peer": "platform", "error": err.Error()}).Debug("not registered")
		return
	}
	n.registered.Store(true)
}
