package node

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/oklog/run"
)

const (
	maintainPeriod = time.Second
	sweepPeriod    = 10 * time.Second
	sweepWait      = 5 * time.Second
)

func (n *Node) addLoops(g *run.Group) {
	stop := func(error) { n.stop() }
	n.addSeeds()
	g.Add(n.loop(hostsPeriod, n.register), stop)
	g.Add(n.loop(hostsPeriod, n.watchHosts()), stop)
	g.Add(n.loop(watchPeriod, n.watchConfig()), stop)
	g.Add(n.loop(loadPeriod, n.pollLoads), stop)
	g.Add(n.loop(maintainPeriod, n.maintain), stop)
	g.Add(n.loop(sweepPeriod, n.sweep), stop)
	g.Add(n.heartbeats, stop)
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
	n.measure()
}

// sweep takes old claims away, on one node for all.
func (n *Node) sweep(now time.Time) {
	if n.nodes.TaskLeader("sweep", now) != n.nodes.Self().Name {
		return
	}
	ctx, cancel := context.WithDeadline(n.ctx, now.Add(sweepWait))
	defer cancel()
	for ctx.Err() == nil {
		taken, err := n.claims.DeleteExpired(ctx, now)
		if err != nil {
			n.log.WithFields(log.Fields{"step": "sweep-claims", "peer": "platform", "error": err.Error()}).Warn("claims not swept")
		}
		if taken == 0 || err != nil {
			return
		}
	}
}
