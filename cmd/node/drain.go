package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
)

const drainPoll = 50 * time.Millisecond

var errDrained = errors.New("drained")

// Drain makes Run return once what is under way has ended. New requests are taken
// for a short while, then refused.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.state.Store(draining)
		n.refuseFrom.Store(n.settings.DrainGrace(time.Now()).UnixMilli())
		close(n.drainStart)
		n.heartbeatNow()
		n.log.Info("draining")
	})
}

// waitDrain returns when a drain has finished or ctx is done.
func (n *Node) waitDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.drainStart:
	}
	last, cancel := context.WithDeadline(ctx, n.settings.DrainDeadline(time.Now()))
	defer cancel()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for !n.refuses(time.Now()) || !n.idle() {
		select {
		case <-last.Done():
			n.log.Warn("drain deadline passed")
			return errDrained
		case <-t.C:
		}
	}
	// Outcomes that the platform has not taken yet would be lost with this node.
	n.calls.Close(last)
	n.log.Info("drained")
	return errDrained
}

func (n *Node) idle() bool {
	return n.counter.Running() == 0 && n.calls.Running() == 0 && n.remote.Load() == 0
}

func (n *Node) refuses(now time.Time) bool {
	t := n.refuseFrom.Load()
	return t != 0 && now.UnixMilli() >= t
}

// Ready implements caller.Backend.
func (n *Node) Ready() error {
	now := time.Now()
	if n.refuses(now) {
		return fault.Newf(fault.Draining, "admit", "", "the node is leaving").WithRetryAt(now.Add(time.Second))
	}
	if n.state.Load() == starting {
		return fault.Newf(fault.NotReady, "admit", "", "the node has no configuration yet").WithRetryAt(now.Add(time.Second))
	}
	return nil
}

// Accepting tells the balancer whether to send new requests.
func (n *Node) Accepting() error {
	if n.state.Load() == draining {
		return fault.Newf(fault.Draining, "admit", "", "the node is leaving")
	}
	return n.Ready()
}
