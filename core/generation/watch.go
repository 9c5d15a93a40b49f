package generation

import (
	"context"
	"time"
)

const (
	// firstGap and softGap are the silences, before the first chunk and later, after
	// which a server is asked whether it lives.
	firstGap = 900 * time.Millisecond
	softGap  = 500 * time.Millisecond
	// hardGap is the silence after which a stream of a living server is given
	// up; a long prompt's first token may take as long.
	hardGap   = 20 * time.Second
	pulseWait = 700 * time.Millisecond
)

// watch notices silence. After softGap it wants a probe; a healthy answer gives
// the stream until its hard deadline.
type watch struct {
	timer    *time.Timer
	last     time.Time
	started  bool // a chunk has come
	deadline time.Time
	result   chan Health
	cancel   context.CancelFunc
}

func newWatch() *watch {
	now := time.Now()
	return &watch{timer: time.NewTimer(firstGap), last: now, deadline: now.Add(hardGap)}
}

func (w *watch) heard(now time.Time) {
	w.abandon()
	w.started = true
	w.last = now
	w.deadline = now.Add(hardGap)
	w.timer.Reset(softGap)
}

func (w *watch) rearm() {
	w.abandon()
	w.timer.Reset(softGap)
}

func (w *watch) expired() bool { return time.Now().After(w.deadline) }

func (w *watch) probe(ctx context.Context, ask func(context.Context) Health) {
	c, cancel := context.WithDeadline(ctx, time.Now().Add(pulseWait))
	result := make(chan Health, 1)
	w.result = result
	w.cancel = cancel
	go func() { result <- ask(c) }()
}

func (w *watch) abandon() {
	if w.cancel != nil {
		w.cancel()
	}
	w.cancel = nil
	w.result = nil
}

func (w *watch) stop() {
	w.abandon()
	w.timer.Stop()
}
