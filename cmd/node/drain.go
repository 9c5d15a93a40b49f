package node

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/claim"
	"cicadabeam/core/config"
	"cicadabeam/core/drain"
	"cicadabeam/core/fault"
	"cicadabeam/io/caller"
)

const drainPollInterval = 50 * time.Millisecond

var errDrained = errors.New("drained")

// Drain makes Run return once the requests in flight have ended. New requests are
// accepted until the grace period has ended and then refused, and calls that may not end
// before the node at once.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.state.Store(draining)
		now := time.Now()
		refuseFrom := n.settings.DrainGraceEnd(now)
		n.drainWindow.Store(&drain.Window{Early: refuseFrom, Noticed: refuseFrom, End: n.settings.DrainDeadline(now)})
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
	deadline, cancel := context.WithDeadline(ctx, n.drainWindow.Load().End)
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
	w := n.drainWindow.Load()
	return w != nil && !now.Before(w.Early)
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

// CheckCall implements caller.Backend.
func (n *Node) CheckCall(s config.Service, c claim.Call) error {
	w := n.drainWindow.Load()
	if w == nil {
		return nil
	}
	now := time.Now()
	usual, known := n.callDurations.Usual(s.Name(), now)
	if w.Accepts(drain.Request{Arrived: now, Deadline: c.Deadline, Usual: usual, Known: known, Repeatable: s.Idempotent()}) {
		return nil
	}
	return fault.Newf(fault.Draining, "admit", "", "the node is leaving").WithRetryAt(now.Add(time.Second))
}

// recordCallDuration records how long a call to a service that is not a model took.
func (n *Node) recordCallDuration(s caller.RequestSummary, now time.Time) {
	if s.Service != "" && s.FirstTokenAt.IsZero() && s.Err == nil {
		n.callDurations.Record(s.Service, now.Sub(s.StartedAt), now)
	}
}

// CheckAccepting implements caller.Backend. It returns an error from the start of a drain,
// so that load balancers stop sending requests while the node still accepts them.
func (n *Node) CheckAccepting() error {
	if n.state.Load() == draining {
		return fault.Newf(fault.Draining, "admit", "", "the node is leaving")
	}
	return n.CheckReady()
}
