package freshness_test

import (
	"testing"
	"time"

	"cicadabeam/core/freshness"
)

func TestStallDetection(t *testing.T) {
	var x freshness.StallDetector
	at := time.Hour
	if d := x.RecentStall(at); d != 0 {
		t.Errorf("got a stall of %v before the first tick", d)
	}
	for range 20 {
		x.Tick(at)
		at += 150 * time.Millisecond
	}
	if d := x.RecentStall(at); d != 0 {
		t.Errorf("got a stall of %v for a running process", d)
	}
	at += 3 * time.Second
	for _, later := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond} {
		if d := x.RecentStall(at + later); d < 3*time.Second {
			t.Errorf("%v after a stall of 3 s: got a stall of %v", later, d)
		}
		x.Tick(at + later)
	}
	if d := x.RecentStall(at + 300*time.Millisecond); d != 0 {
		t.Errorf("got a stall of %v long after the last one", d)
	}
}
