// Package clockstep tests that decisions do not depend on the time of day, which may be
// stepped by seconds, forward or backward, while the monotonic clock runs on.
package clockstep

import (
	"testing"
	"time"
	"unsafe"

	"cicadabeam/core/fleet"
	"cicadabeam/core/retrybudget"
)

// step returns a reading of the clock as after a step of the time of day: its wall clock
// is changed, its monotonic clock is not.
func step(t time.Time, seconds int) time.Time {
	const secondsShift = 30 // of the wall seconds in the first field of a time with a monotonic reading
	*(*uint64)(unsafe.Pointer(&t)) += uint64(seconds) << secondsShift
	return t
}

func TestStepChangesOnlyTimeOfDay(t *testing.T) {
	now := time.Now()
	for _, seconds := range []int{7, -7} {
		x := step(now, seconds)
		if d := x.Sub(now); d != 0 {
			t.Errorf("the monotonic clock moved by %v", d)
		}
		if d := x.Round(0).Sub(now.Round(0)); d != time.Duration(seconds)*time.Second {
			t.Errorf("the time of day moved by %v, want %d s", d, seconds)
		}
	}
}

// A node that retries as often as it may stays within the limit of a window while the time
// of day is stepped there and back, and is allowed retries again in the next window.
func TestRetryBudgetIgnoresTimeOfDay(t *testing.T) {
	const window = 10 * time.Second
	for _, seconds := range []int{-4, 4, -60, 60} {
		b := retrybudget.New(retrybudget.Limit{Ratio: 0.8, Extra: 150, Window: window})
		start := time.Now()
		granted := 0
		for i := range 90 {
			now := start.Add(time.Duration(i) * 100 * time.Millisecond)
			if i/20%2 == 1 {
				now = step(now, seconds)
			}
			for range 10 {
				if b.AllowRetry(now, 1, 1) {
					granted++
				}
			}
		}
		if granted == 0 || granted > 150 {
			t.Errorf("step of %d s: %d retries in one window, want 1 to 150", seconds, granted)
		}
		if !b.AllowRetry(step(start.Add(25*time.Second), seconds), 1, 1) {
			t.Errorf("step of %d s: no retry is allowed after two windows", seconds)
		}
	}
}

// Work that another node reported decides where a request goes as long as the report is
// valid, and no longer.
func TestPeerWorkIgnoresTimeOfDay(t *testing.T) {
	for _, seconds := range []int{-20, 20} {
		f := fleet.New(fleet.Topology{DataCentre: "a"})
		for _, id := range []string{"busy", "free"} {
			f.Upsert(fleet.Server{ID: id, Service: "engine", Address: id, DataCentre: "a", Slots: 8})
		}
		now := time.Now()
		f.RecordPeerWork("node-2", map[string]fleet.Work{"busy": {Running: 7, Memory: 70000}}, now)
		chosen := make(map[string]int)
		for i := range 20 {
			q := fleet.Query{Service: "engine", PromptTokens: 8000, Memory: 9000, Capacity: 88000, Now: step(now.Add(time.Duration(i)*time.Millisecond), seconds)}
			m := f.Reserve(q)
			chosen[m.ID()]++
			m.Release(q, false)
		}
		if chosen["busy"] > 0 {
			t.Errorf("step of %d s: %d of 20 requests went to the server that is busy for another node", seconds, chosen["busy"])
		}
	}
}

// A server's wish for rest, and what it gets afterwards, end by the monotonic clock.
func TestWishForRestIgnoresTimeOfDay(t *testing.T) {
	for _, seconds := range []int{-60, 60} {
		f := fleet.New(fleet.Topology{DataCentre: "a"})
		f.Upsert(fleet.Server{ID: "s1", Service: "orders", Address: "s1", DataCentre: "a", Slots: 8})
		now := time.Now()
		q := fleet.Query{Service: "orders", Now: now}
		m := f.Reserve(q)
		f.Defer(m, 5*time.Second, now)
		m.Release(q, false)
		for after, want := range map[time.Duration]bool{4900 * time.Millisecond: false, 5100 * time.Millisecond: true} {
			q.Now = step(now.Add(after), seconds)
			if got := f.FindUsable("s1", q.Now) != nil; got != want {
				t.Errorf("step of %d s: %v after a wish of 5 s the server is usable: %v, want %v", seconds, after, got, want)
			}
		}
	}
}
