package node

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"
)

const (
	maintenanceInterval = time.Second
	sweepInterval       = 10 * time.Second
	sweepTimeout        = 5 * time.Second
)

func (n *Node) addLoops(g *run.Group) {
	stop := func(error) { n.stop() }
	n.addSeeds()
	g.Add(n.loop(hostListInterval, n.register), stop)
	g.Add(n.loop(hostListInterval, n.newHostListPoller()), stop)
	g.Add(n.loop(configPollInterval, n.newConfigPoller()), stop)
	g.Add(n.loop(loadPollInterval, n.pollLoads), stop)
	g.Add(n.loop(maintenanceInterval, n.maintain), stop)
	g.Add(n.loop(sweepInterval, n.sweepClaims), stop)
	g.Add(n.runHeartbeats, stop)
	g.Add(n.rewriteLoop, stop)
}

func (n *Node) addSeeds() {
	for _, x := range n.settings.Seeds() {
		n.nodes.Add(x, time.Now())
	}
}

func (n *Node) maintain(now time.Time) {
	n.holder.Maintain(now)
	n.calls.Expire(now)
	n.quarantine.Expire(now)
	n.crashes.Expire(now)
	n.updateGauges()
}

// sweepClaims deletes expired claims in batches. Only one node of the cluster does this.
func (n *Node) sweepClaims(now time.Time) {
	if n.nodes.TaskLeader("sweep", now) != n.nodes.Self().Name {
		return
	}
	ctx, cancel := context.WithDeadline(n.ctx, now.Add(sweepTimeout))
	defer cancel()
	for ctx.Err() == nil {
		deleted, err := n.claims.DeleteExpired(ctx, now)
		if err != nil {
			n.log.WithFields(log.Fields{"step": "sweep-claims", "peer": "platform", "error": err.Error()}).Warn("expired claims not deleted")
		}
		if deleted == 0 || err != nil {
			return
		}
	}
}
