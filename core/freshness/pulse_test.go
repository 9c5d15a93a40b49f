package freshness_test

import (
	"testing"
	"time"

	"cicadabeam/core/freshness"
)

func TestPulse(t *testing.T) {
	var p freshness.Pulse
	at := time.Hour
	if d := p.Stood(at); d != 0 {
		t.Errorf("before the first beat it stood still for %v", d)
	}
	for range 20 {
		p.Beat(at)
		at += 150 * time.Millisecond
	}
	if d := p.Stood(at); d != 0 {
		t.Errorf("a process that runs stood still for %v", d)
	}
	at += 3 * time.Second
	for _, later := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond} {
		if d := p.Stood(at + later); d < 3*time.Second {
			t.Errorf("%v after a standstill of 3 s it stood still for %v", later, d)
		}
		p.Beat(at + later)
	}
	if d := p.Stood(at + 300*time.Millisecond); d != 0 {
		t.Errorf("long after it stood still for %v", d)
	}
}
