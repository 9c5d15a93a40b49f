package node

import (
	"context"
	"time"

	"github.com/apex/log"

	"cicadabeam/core/balance"
	"cicadabeam/core/membership"
	"cicadabeam/io/platform"
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
		n.heartbeatNow()
	}
}
