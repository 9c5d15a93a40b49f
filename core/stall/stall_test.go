package stall_test

import (
	"testing"
	"time"

	"cicadabeam/core/stall"
)

func TestWatch(t *testing.T) {
	const limit = 400 * time.Millisecond
	var w stall.Watch
	now := time.Now()
	w.Received(now)
	if d := w.Wait(now.Add(100*time.Millisecond), limit); d != 300*time.Millisecond {
		t.Errorf("100 ms after an event: got a wait of %v, want 300ms", d)
	}
	// A run that stays is tried again after 0.4, 0.8, 1.6 and 3.2 s, and then every 3.2 s.
	now = now.Add(limit)
	for i, want := range []time.Duration{400, 800, 1600, 3200, 3200} {
		if d := w.Wait(now, limit); d > 0 {
			t.Fatalf("attempt %d: got a wait of %v, want none", i, d)
		}
		w.MoveFailed(now)
		if d := w.Wait(now, limit); d != want*time.Millisecond || w.MayMove(now) {
			t.Errorf("after attempt %d: got a wait of %v, want %v", i, d, want*time.Millisecond)
		}
		now = now.Add(want * time.Millisecond)
	}
	w.Received(now)
	if d := w.Wait(now, limit); d != limit || !w.MayMove(now) {
		t.Errorf("after an event: got a wait of %v, want %v", d, limit)
	}
}
