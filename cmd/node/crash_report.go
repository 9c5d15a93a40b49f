package node

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"cicadabeam/core/quarantine"
	"cicadabeam/io/peer"
)

// crashReportTimeout limits how long the caller of a quarantined request waits until the
// other nodes have been informed of the quarantine.
const crashReportTimeout = 500 * time.Millisecond

// ServerDied implements generation.Observer.
func (n *Node) ServerDied(s quarantine.Suspicion) {
	n.metrics.increment("server_deaths", "server", s.Server)
	n.log.WithFields(log.Fields{"server": s.Server, "fingerprint": s.Fingerprint.String(), "tokens": s.Tokens}).Warn("server died")
	go n.broadcastCrashReport(peer.CrashReport{Suspicions: []quarantine.Suspicion{s}})
}

// RequestQuarantined implements generation.Observer.
func (n *Node) RequestQuarantined(f quarantine.Fingerprint) {
	n.log.WithField("fingerprint", f.String()).Warn("request quarantined")
	n.broadcastCrashReport(peer.CrashReport{Quarantined: n.quarantine.Entries(time.Now())})
}

// broadcastCrashReport sends a crash report to all other live nodes and waits for their
// responses for up to crashReportTimeout.
func (n *Node) broadcastCrashReport(r peer.CrashReport) {
	now := time.Now()
	ctx, cancel := context.WithDeadline(n.ctx, now.Add(crashReportTimeout))
	defer cancel()
	var wg sync.WaitGroup
	for _, x := range n.nodes.Nodes() {
		if x.Name == n.nodes.Self().Name || !n.nodes.Alive(x.Name, now) {
			continue
		}
		wg.Go(func() { _ = n.peers.Alarm(ctx, x.Name, r) })
	}
	wg.Wait()
}

// handleCrashReport records the suspicions and quarantined requests of another node's
// report.
func (n *Node) handleCrashReport(r peer.CrashReport) {
	now := time.Now()
	for _, s := range r.Suspicions {
		n.quarantine.RecordDeath(s, now)
	}
	n.quarantine.Merge(r.Quarantined)
}
