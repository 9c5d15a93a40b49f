package deferral_test

import (
	"math"
	"testing"
	"time"

	"cicadabeam/core/deferral"
)

var start = time.Unix(1_000_000, 0)

func TestParseWish(t *testing.T) {
	for text, want := range map[string]deferral.Wish{
		"":                              {},
		" ":                             {},
		"0":                             {Reading: "exact"},
		"1":                             {Wait: time.Second, Reading: "exact"},
		" 2.5 ":                         {Wait: 2500 * time.Millisecond, Reading: "exact"},
		"60":                            {Wait: time.Minute, Reading: "exact"},
		"60.1":                          {Wait: 60100 * time.Millisecond, Reading: "capped"},
		"3600":                          {Wait: time.Hour, Reading: "capped"},
		"94608000":                      {Wait: time.Hour, Reading: "capped"},
		"1e999":                         {Wait: time.Hour, Reading: "capped"},
		"inf":                           {Wait: time.Hour, Reading: "capped"},
		"-1":                            {Reading: "negative"},
		"-1e999":                        {Reading: "negative"},
		"nan":                           {Wait: time.Second, Reading: "malformed"},
		"soon":                          {Wait: time.Second, Reading: "malformed"},
		"5, 10":                         {Wait: time.Second, Reading: "malformed"},
		"5s":                            {Wait: time.Second, Reading: "malformed"},
		"Fri, 04 Dec 2026 10:00:00 GMT": {Wait: time.Second, Reading: "date"},
		"Fri, 04 Dec 2099 10:00:00 GMT": {Wait: time.Second, Reading: "date"},
	} {
		if got := deferral.ParseWish(text); got != want {
			t.Errorf("%q: got %+v, want %+v", text, got, want)
		}
	}
}

func TestServerGetsLessAfterItsRest(t *testing.T) {
	var s deferral.State
	if s.Active(start) || s.Limit(start) != math.MaxInt {
		t.Error("a server without a wish is limited")
	}
	s.Defer(0, 10, start)
	if s.Active(start) || s.Limit(start) != math.MaxInt {
		t.Error("a server without a wish is limited after a refusal")
	}
	s.Defer(2*time.Second, 10, start)
	s.Defer(time.Second, 9, start.Add(time.Millisecond)) // was on its way; a shorter wish does not end the longer one
	end := start.Add(2 * time.Second)
	if !s.Active(end.Add(-time.Millisecond)) || s.Active(end) {
		t.Errorf("the wish ends at %v, want %v", s.Until().Sub(start), 2*time.Second)
	}
	if n := s.Limit(end); n != 6 {
		t.Errorf("got %d requests at a time after 2 of 10 were refused, want 6", n)
	}
	if n := s.Limit(end.Add(9 * time.Second)); n != 7 {
		t.Errorf("got %d requests at a time later, want 7", n)
	}
	if n := s.Limit(end.Add(time.Minute + 4*time.Second)); n != math.MaxInt {
		t.Errorf("got %d requests at a time a minute without refusals later, want no limit", n)
	}
	for range 50 {
		s.Defer(time.Minute, 1, end)
	}
	if n := s.Limit(end.Add(time.Minute)); n != 1 {
		t.Errorf("got %d requests at a time after many refusals, want 1", n)
	}
}

// A wish above a minute is not believed at once: one request finds out whether the server
// takes any. If it repeats the wish, it gets nothing until the end of that.
func TestLongWishIsTriedOnce(t *testing.T) {
	var s deferral.State
	if rest := s.Defer(3*time.Hour, 10, start); rest != time.Minute {
		t.Errorf("the first rest lasts %v, want a minute", rest)
	}
	s.Defer(3*time.Hour, 9, start.Add(time.Millisecond)) // was on its way
	trial := start.Add(61 * time.Second)
	if s.Active(trial) || !s.OnTrial(trial) || s.Limit(trial) != 1 {
		t.Errorf("got active %v, on trial %v and a limit of %d requests after a minute, want one request", s.Active(trial), s.OnTrial(trial), s.Limit(trial))
	}
	served := s
	if served.RecordSuccess(start.Add(-time.Second)); !served.OnTrial(trial) {
		t.Error("a request that the server had before it refused ends the trial")
	}
	if served.RecordSuccess(trial); served.OnTrial(trial) || served.Limit(trial) != 6 {
		t.Errorf("got a limit of %d requests after the server served one, want 6", served.Limit(trial))
	}
	if rest := s.Defer(3*time.Hour, 1, trial); rest != 3*time.Hour {
		t.Errorf("the repeated wish holds for %v, want 3h", rest)
	}
	s.Defer(3*time.Hour, 1, trial.Add(time.Millisecond)) // was on its way
	end := trial.Add(3 * time.Hour)
	if !s.Active(end.Add(-time.Second)) || s.Active(end.Add(time.Second)) || s.OnTrial(end.Add(time.Second)) {
		t.Errorf("the wish ends at %v, want 3h after it was repeated", s.Until().Sub(trial))
	}
	if n := s.Limit(end.Add(9 * time.Minute)); n != 3 {
		t.Errorf("got %d requests at a time 9 minutes later, want 3", n)
	}
}

// A server that has not refused gets as much as others get that did, without a rest, and no
// limit that it has is changed.
func TestServerIsRestrainedBecauseOthersRefused(t *testing.T) {
	var s deferral.State
	s.Restrain(2*time.Second, 5, start)
	if s.Active(start) || s.Limit(start) != 3 || s.Limit(start.Add(9*time.Second)) != 4 {
		t.Errorf("got limits %d and %d, active %v; want 3, 4 and no rest", s.Limit(start), s.Limit(start.Add(9*time.Second)), s.Active(start))
	}
	s.Restrain(2*time.Second, 1, start.Add(time.Second))
	if n := s.Limit(start.Add(time.Second)); n != 3 {
		t.Errorf("got a limit of %d requests after others refused again, want 3", n)
	}
	s.Defer(2*time.Second, 3, start.Add(time.Second))
	s.Restrain(2*time.Second, 9, start.Add(2*time.Second))
	if !s.Active(start.Add(2*time.Second)) || s.Limit(start.Add(3*time.Second)) != 2 {
		t.Error("a wish of the server's own is changed by those of others")
	}
}

// Callers that are refused at the same moment don't return together.
func TestCallersReturnSpread(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Second, 10 * time.Second} {
		earliest := start.Add(wait)
		first, last := deferral.RetryAt(earliest, start, 0), deferral.RetryAt(earliest, start, 0.999999)
		if first.Before(earliest) || last.Sub(first) < max(499*time.Millisecond, wait*49/100) {
			t.Errorf("earliest in %v: callers return %v to %v after the refusal", wait, first.Sub(start), last.Sub(start))
		}
	}
}
