package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/apex/log"

	"cicadabeam/core/freshness"
	"cicadabeam/core/records"
)

const (
	// rewriteSpread is the time over which the nodes' writes after a restore are spread.
	rewriteSpread  = time.Second
	rewriteTimeout = 10 * time.Second
	// reinstateAge is how long after a restore a configuration in force is written again by a
	// node other than the one that had written it, which is gone if it is still missing. No
	// change is applied earlier.
	reinstateAge = 2500 * time.Millisecond
)

// handleRise records that the platform's store came back from an older copy. It must not
// block.
func (n *Node) handleRise(r freshness.Rise) {
	n.metrics.setEra(r.New)
	n.metrics.increment("store_restores", "from", riseSource(r.From))
	n.log.WithFields(log.Fields{"old_era": r.Old, "new_era": r.New, "peer": r.From}).Warn("store restored")
	select {
	case n.restored <- struct{}{}:
	default:
	}
}

// riseSource keeps the metric from having a series for each node.
func riseSource(from string) string {
	if from == "store" {
		return from
	}
	return "peer"
}

// rewriteLoop writes again what this node had written and the store lost.
func (n *Node) rewriteLoop() error {
	for {
		select {
		case <-n.ctx.Done():
			return n.ctx.Err()
		case <-n.restored:
		}
		n.wait(rand.N(rewriteSpread))
		select {
		case <-n.restored: // another restore in the meantime needs no writes of its own
		default:
		}
		n.rewriteRecords()
		n.wait(reinstateAge - n.eras.Info().Age)
		n.reinstateConfig()
	}
}

func (n *Node) wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-n.ctx.Done():
	case <-t.C:
	}
}

func (n *Node) rewriteRecords() {
	ctx, cancel := context.WithDeadline(n.ctx, time.Now().Add(rewriteTimeout))
	defer cancel()
	if at := n.registeredAt.Load(); at != nil && time.Since(*at) < records.MaxCopyAge {
		n.registered.Store(false)
	}
	claims := n.claims.Rewrite(ctx)
	changes, err := n.configs.Rewrite(ctx)
	f := log.Fields{"claims": claims.Written, "claims_failed": claims.Failed, "claims_taken": claims.Taken, "changes": changes.Written}
	if err != nil {
		f["error"] = err.Error()
	}
	n.log.WithFields(f).Info("records written again")
}

// reinstateConfig writes the configuration in force again if the store still has an older
// one. Only one node of the cluster does this.
func (n *Node) reinstateConfig() {
	c := n.Config()
	if c == nil || n.nodes.TaskLeader("reinstate", time.Now()) != n.nodes.Self().Name {
		return
	}
	ctx, cancel := context.WithDeadline(n.ctx, time.Now().Add(rewriteTimeout))
	defer cancel()
	a := records.AuditEntry{Node: n.nodes.Self().Name, Note: "written again: the store came back from an older copy, and the original entry is lost"}
	written, err := n.configs.Reinstate(ctx, c, a)
	switch {
	case err != nil:
		n.log.WithFields(log.Fields{"step": "reinstate", "peer": "platform", "revision": c.Revision(), "error": err.Error()}).Warn("configuration not written again")
	case written:
		n.log.WithFields(log.Fields{"revision": c.Revision()}).Warn("configuration written again without its audit entry")
	}
}

// restoring reports whether the store may still lack what it lost.
func (n *Node) restoring() bool { return records.Held(n.eras) }
