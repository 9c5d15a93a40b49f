package node

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"

	"cicadabeam/core/crashcause"
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
	go n.broadcastCrashReport(peer.CrashReport{Suspicions: []quarantine.Suspicion{s}, Crashes: n.crashes.Report(time.Now())})
}

// RequestQuarantined implements generation.Observer.
func (n *Node) RequestQuarantined(f quarantine.Fingerprint) {
	n.log.WithField("fingerprint", f.String()).Warn("request quarantined")
	n.broadcastCrashReport(peer.CrashReport{Quarantined: n.quarantine.Entries(time.Now())})
}

// CausesFound implements generation.CrashObserver. The other nodes determine the causes
// themselves, as they got the same crash reports, or learn of them by heartbeats.
func (n *Node) CausesFound(causes []crashcause.Cause) {
	n.logCauses(causes, n.nodes.Self().Name)
	n.triggerHeartbeat()
}

func (n *Node) logCauses(causes []crashcause.Cause, from string) {
	for _, c := range causes {
		var features []string
		for _, f := range c.Features {
			features = append(features, f.String())
		}
		n.log.WithFields(log.Fields{
			"features": strings.Join(features, ","), "servers": strings.Join(c.Servers, ","), "ms": time.Until(c.Until).Milliseconds(), "from": from,
		}).Warn("prompt quarantined")
	}
}

// mergeCrashes applies what another node knows of crashes and reports whether it knows a cause
// that is new here.
func (n *Node) mergeCrashes(r crashcause.Report, from string, now time.Time) bool {
	causes := n.crashes.Merge(r, now)
	n.logCauses(causes, from)
	return len(causes) > 0
}

// quarantined returns the number of quarantined requests and causes of crashes.
func (n *Node) quarantined(now time.Time) int {
	return len(n.quarantine.Entries(now)) + n.crashes.Quarantined(now)
}

// broadcastCrashReport sends a crash report to all other live nodes and waits for their
// responses for up to crashReportTimeout.
func (n *Node) broadcastCrashReport(r peer.CrashReport) {
	now := time.Now()
	r.From = n.nodes.Self().Name
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

// handleCrashReport records the suspicions, quarantined requests and crashes of another
// node's report.
func (n *Node) handleCrashReport(r peer.CrashReport) {
	now := time.Now()
	for _, s := range r.Suspicions {
		n.quarantine.RecordDeath(s, now)
	}
	n.quarantine.Merge(r.Quarantined)
	if n.mergeCrashes(r.Crashes, r.From, now) {
		n.triggerHeartbeat()
	}
}
