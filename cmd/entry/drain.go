package entry

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"cicadabeam/io/relay"
)

var errDrained = errors.New("drained")

const (
	// balancerWait is how long the balancer may go on to send new connections: it
	// asks each second and takes two answers.
	balancerWait = 3200 * time.Millisecond
	// gracePart is the part of the time allowed that a stop may take.
	gracePart = 0.92
	// streamsWait is how long new streams are taken, and callsPart for which part of
	// the time allowed other requests are.
	streamsWait = 3 * time.Second
	callsPart   = 0.7
	drainPeriod = 20 * time.Millisecond
)

// Drain makes the node finish what is under way and stop.
func (n *Node) Drain() {
	n.drainOnce.Do(func() {
		n.draining.Store(true)
		now := time.Now()
		n.handler.Drain(now.Add(streamsWait), now.Add(time.Duration(callsPart*float64(n.settings.grace))))
		n.recorder.Record("draining", relay.Fields{"running": n.handler.Running()})
		close(n.drain)
	})
}

// waitDrain returns once a drain has finished.
func (n *Node) waitDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-n.drain:
	}
	now := time.Now()
	balancer, end := now.Add(balancerWait), now.Add(time.Duration(gracePart*float64(n.settings.grace)))
	for ctx.Err() == nil && time.Now().Before(end) {
		if n.handler.Running() == 0 && time.Now().After(balancer) {
			break
		}
		pause(ctx, drainPeriod)
	}
	return errDrained
}
