package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/core/drain"
	"cicadabeam/io/relay"
)

var errDrained = errors.New("drained")

const (
	// balancerDelay is how long the load balancer may continue to send new connections: it
	// checks readiness once per second and needs two failed checks.
	balancerDelay     = 3200 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
)

// Drain starts a drain and returns. Run returns when the requests in flight have finished,
// at the earliest after balancerDelay, or shortly before the grace period ends.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.draining.Store(true)
		n.tunnels.Drain()
		n.drainWindow = drain.NewWindow(time.Now(), n.settings.grace, balancerDelay)
		n.handler.Drain(n.drainWindow)
		n.recorder.Record("draining", relay.Fields{"running": n.handler.Running()})
		close(n.drainStarted)
	})
}

// awaitDrain returns when a drain has finished.
func (n *Node) awaitDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.drainStarted:
	}
	earliest, end := n.drainWindow.Noticed, n.drainWindow.End
	for ctx.Err() == nil && time.Now().Before(end) {
		if n.handler.Running() == 0 && n.tunnels.Count() == 0 && time.Now().After(earliest) {
			break
		}
		sleep(ctx, drainPollInterval)
	}
	n.callers.Drain(end) // a request may have begun since the last look
	return errDrained
}

// closeCallers closes the callers' connections once the requests that end because the node stops
// are answered.
func (n *Node) closeCallers(error) {
	until := time.Now().Add(lastResponseTimeout)
	select {
	case <-n.drainStarted:
		if n.drainWindow.Close.Before(until) {
			until = n.drainWindow.Close
		}
	default:
	}
	n.callers.Shutdown(until)
}
