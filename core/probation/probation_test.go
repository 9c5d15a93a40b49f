package probation_test

import (
	"testing"
	"time"

	"cicadabeam/core/probation"
)

var start = time.Unix(1e9, 0)

func TestOneTrialAtATime(t *testing.T) {
	p := probation.New(start)
	if p.BlockedUntil(start.Add(time.Second)).IsZero() {
		t.Error("a trial begins while servers may still crash under requests of before")
	}
	now := start.Add(2 * time.Second)
	if !p.BlockedUntil(now).IsZero() {
		t.Error("no trial may begin after 2 s")
	}
	p.Begin(now)
	if p.BlockedUntil(now.Add(time.Second)).IsZero() {
		t.Error("two trials run at once")
	}
	p.End(false, now.Add(time.Second))
	if !p.BlockedUntil(now.Add(2 * time.Second)).IsZero() {
		t.Error("no trial may follow one that was not sent")
	}
}

// Requests to the same servers that were sent before may have caused the crash.
func TestSuspicionOfNearlyAllRequestsIsNeverConvicted(t *testing.T) {
	p := probation.New(start)
	for range 9 {
		p.Count(true)
	}
	p.Count(false)
	now := start
	sent := 0
	for until := start.Add(10 * time.Minute); now.Before(until); now = now.Add(100 * time.Millisecond) {
		if !p.BlockedUntil(now).IsZero() {
			continue
		}
		sent++
		if p.Begin(now); p.Crashed(false, now) {
			t.Fatal("a crash convicts")
		}
	}
	if sent == 0 || sent > 4 {
		t.Errorf("%d requests ran in 10 min, want 1 to 4", sent)
	}
}

func TestCrashConvictsSuspicionOfSomeRequests(t *testing.T) {
	p := probation.New(start)
	for range 7 {
		p.Count(true)
	}
	for range 3 {
		p.Count(false)
	}
	if p.Crashed(true, start) || !p.Crashed(false, start) {
		t.Error("the crash that a narrower suspicion explains convicts, or one that none does doesn't")
	}
}

func TestNodeThatEndsItsReportsHoldsNoTrial(t *testing.T) {
	p := probation.New(start)
	now := start.Add(2 * time.Second)
	p.BegunElsewhere(now)
	if p.BlockedUntil(now.Add(time.Second)).IsZero() || !p.BlockedUntil(now.Add(2*time.Second)).IsZero() {
		t.Error("a trial of another node is not awaited, or for too long")
	}
}

// All nodes began their trials at the moment at which the lease of another one's trial ended.
func TestTrialsAfterTheEndOfALeaseAreSpread(t *testing.T) {
	var first, last time.Time
	for range 100 {
		p := probation.New(start)
		now := start.Add(2 * time.Second)
		for range 10 {
			now = now.Add(200 * time.Millisecond)
			p.BegunElsewhere(now)
		}
		end := p.BlockedUntil(now)
		if first.IsZero() || end.Before(first) {
			first = end
		}
		if end.After(last) {
			last = end
		}
	}
	if d := last.Sub(first); d < 300*time.Millisecond {
		t.Errorf("100 nodes begin their trials within %v", d)
	}
}
