package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/fault"
)

const drainPollInterval = 50 * time.Millisecond

var errDrained = errors.New("drained")

// Drain makes Run return once the requests in flight have ended. New requests are
// accepted until the grace period has ended and then refused.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.state.Store(draining)
		from := n.settings.DrainGraceEnd(time.Now())
		n.refuseFrom.Store(&from)
		close(n.drainStarted)
		n.triggerHeartbeat()
		n.log.Info("draining")
	})
}

// waitForDrain returns when a drain has finished or ctx is done.
func (n *Node) waitForDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.drainStarted:
	}
	deadline, cancel := context.WithDeadline(ctx, n.settings.DrainDeadline(time.Now()))
	defer cancel()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for !n.refusing(time.Now()) || !n.idle() {
		select {
		case <-deadline.Done():
			n.log.Warn("drain deadline passed")
			return errDrained
		case <-t.C:
		}
	}
	// Outcomes of calls that are not yet stored on the platform would be lost with this
	// process.
	n.calls.Close(deadline)
	n.log.Info("drained")
	return errDrained
}

func (n *Node) idle() bool {
	return n.concurrencyLimiter.Running() == 0 && n.calls.Running() == 0 && n.remoteReads.Load() == 0
}

// refusing reports whether the grace period of a drain has ended, so that new requests
// are refused.
func (n *Node) refusing(now time.Time) bool {
	t := n.refuseFrom.Load()
	return t != nil && !now.Before(*t)
}

// CheckReady implements caller.Backend.
func (n *Node) CheckReady() error {
	now := time.Now()
	if n.refusing(now) {
		return fault.Newf(fault.Draining, "admit", "", "the node is leaving").WithRetryAt(now.Add(time.Second))
	}
	if n.state.Load() == starting {
		return fault.Newf(fault.NotReady, "admit", "", "the node has no configuration yet").WithRetryAt(now.Add(time.Second))
	}
	return nil
}

// CheckAccepting implements caller.Backend. It returns an error from the start of a drain,
// so that load balancers stop sending requests while the node still accepts them.
func (n *Node) CheckAccepting() error {
	if n.state.Load() == draining {
		return fault.Newf(fault.Draining, "admit", "", "the node is leaving")
	}
	return n.CheckReady()
}
