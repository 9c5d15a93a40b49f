package node

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"cicadabeam/core/quarantine"
	"cicadabeam/io/peer"
)

// alarmWait bounds how long the caller of a quarantined request waits for the
// other nodes to know.
const alarmWait = 500 * time.Millisecond

// ServerDied implements generation.Observer.
func (n *Node) ServerDied(s quarantine.Suspicion) {
	n.metrics.count("server_deaths", "server", s.Server)
	n.log.WithFields(log.Fields{"server": s.Server, "fingerprint": s.Fingerprint.String(), "tokens": s.Tokens}).Warn("server died")
	go n.alarm(peer.Alarm{Suspicions: []quarantine.Suspicion{s}})
}

// RequestQuarantined implements generation.Observer.
func (n *Node) RequestQuarantined(f quarantine.Fingerprint) {
	n.log.WithField("fingerprint", f.String()).Warn("request quarantined")
	n.alarm(peer.Alarm{Quarantined: n.quarantine.Entries(time.Now())})
}

// alarm tells all live nodes and waits for their answers, for a short while.
func (n *Node) alarm(a peer.Alarm) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(n.ctx, now.Add(alarmWait))
	defer cancel()
	var work sync.WaitGroup
	for _, x := range n.nodes.Nodes() {
		if x.Name == n.nodes.Self().Name || !n.nodes.Alive(x.Name, now) {
			continue
		}
		work.Go(func() { _ = n.peers.Alarm(ctx, x.Name, a) })
	}
	work.Wait()
}

// takeAlarm takes another node's alarm.
func (n *Node) takeAlarm(a peer.Alarm) {
	now := time.Now()
	for _, s := range a.Suspicions {
		n.quarantine.RecordDeath(s, now)
	}
	n.quarantine.Merge(a.Quarantined)
}
