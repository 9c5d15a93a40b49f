package generation

import (
	"context"
	"time"
)

const (
	// firstProbeDelay and probeDelay are the times without a chunk after which the
	// server's health is probed, before the first chunk and after it.
	firstProbeDelay = 900 * time.Millisecond
	probeDelay      = 500 * time.Millisecond
	// stallTimeout is the time without a chunk after which a stream is abandoned even
	// if the server is healthy. The first token of a long prompt may take that long.
	stallTimeout       = 20 * time.Second
	healthProbeTimeout = 700 * time.Millisecond
)

// watchdog detects stalled streams. Its timer fires when a health probe is due. As
// long as the probes succeed, or the answer cannot move, the stream may stay without a chunk
// until deadline.
type watchdog struct {
	timer       *time.Timer
	lastResult  time.Time // when the last read result arrived, or the start of the stream
	started     bool      // whether a chunk has arrived
	deadline    time.Time
	probeResult chan Health // nil if no probe is running
	cancel      context.CancelFunc
}

func newWatchdog() *watchdog {
	now := time.Now()
	return &watchdog{timer: time.NewTimer(firstProbeDelay), lastResult: now, deadline: now.Add(stallTimeout)}
}

// resultReceived records the arrival of a chunk or error, cancels any probe and restarts
// the timers.
func (w *watchdog) resultReceived(now time.Time) {
	w.cancelProbe()
	w.started = true
	w.lastResult = now
	w.deadline = now.Add(stallTimeout)
	w.timer.Reset(probeDelay)
}

// resetTimer restarts the timer of the next probe after one that does not end the attempt.
func (w *watchdog) resetTimer() {
	w.cancelProbe()
	w.timer.Reset(probeDelay)
}

func (w *watchdog) expired() bool { return time.Now().After(w.deadline) }

// probe runs query in the background and delivers its result on probeResult.
func (w *watchdog) probe(ctx context.Context, query func(context.Context) Health) {
	c, cancel := context.WithDeadline(ctx, time.Now().Add(healthProbeTimeout))
	result := make(chan Health, 1)
	w.probeResult = result
	w.cancel = cancel
	go func() { result <- query(c) }()
}

func (w *watchdog) cancelProbe() {
	if w.cancel != nil {
		w.cancel()
	}
	w.cancel = nil
	w.probeResult = nil
}

func (w *watchdog) stop() {
	w.cancelProbe()
	w.timer.Stop()
}
