package crashcause_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/crashcause"
)

// crashUnder crashes servers under two requests that share parts, beside one that has no part of theirs.
func crashUnder(l *crashcause.List, n int, first time.Duration, fingerprint uint64, parts ...string) {
	for i := range n {
		now := at(first + time.Duration(i)*time.Second)
		crash(l, fmt.Sprint("s", fingerprint, "-", i), now, request(fingerprint+uint64(i%2), parts...), request(900+fingerprint+uint64(i), "first", fmt.Sprint("other-", fingerprint, "-", i)))
	}
}

// Each of several causes that hosts had found let the requests through that the others did not cover.
func TestTooNarrowCausesOfSeveralHostsBecomeOne(t *testing.T) {
	var hosts [2]*crashcause.List
	for i := range hosts {
		hosts[i] = crashcause.New()
		hosts[i].RecordSound(request(100, "first", "else"), at(0))
		crashUnder(hosts[i], 3, time.Duration(3*i+1)*time.Second, uint64(10*(i+1)), "first", "bad", fmt.Sprint("organisation-", i))
		hosts[i].Evaluate(at(time.Duration(3*i+3) * time.Second))
	}
	now := at(6 * time.Second)
	hosts[0].Merge(hosts[1].Report(now), now, func(string, time.Time) bool { return false })
	hosts[0].Evaluate(now)
	checkOnlyBadRefused(t, hosts[0], now)
}

// A part whose narrower causes had been refuted by further crashes was narrowed again and again.
func TestPartIsNotNarrowedAgainAfterFurtherCrashes(t *testing.T) {
	l := crashcause.New()
	l.RecordSound(request(100, "first", "else"), at(0))
	crashUnder(l, 3, time.Second, 10, "first", "bad", "subject-1")
	l.Evaluate(at(3 * time.Second))
	crashUnder(l, 6, 4*time.Second, 20, "first", "bad", "subject-2")
	now := at(10 * time.Second)
	l.Evaluate(now)
	checkOnlyBadRefused(t, l, now)
}

// While others of the class ran well, two of three crashes are too few for a narrower cause.
func TestPartIsNotNarrowedByTwoOfThreeCrashes(t *testing.T) {
	l := crashcause.New()
	l.RecordSound(request(100, "first", "else"), at(0))
	crashUnder(l, 2, time.Second, 10, "first", "bad", "organisation-1")
	crashUnder(l, 1, 3*time.Second, 20, "first", "bad", "organisation-2")
	crash(l, "s10-0", at(time.Second), request(30, "first", "bad", "organisation-3"))
	now := at(4 * time.Second)
	l.Evaluate(now)
	checkOnlyBadRefused(t, l, now)
}

func checkOnlyBadRefused(t *testing.T, l *crashcause.List, now time.Time) {
	t.Helper()
	if !refuses(l, request(500, "first", "bad", "organisation-9"), now) {
		t.Error("a request with the part that crashes servers is not refused")
	}
	if refuses(l, request(501, "first", "organisation-1"), now) {
		t.Error("a request without the part is refused")
	}
}

// Of two parts with equally many crashes that were nobody else's, the one with more beside other losses is
// the likelier cause: the other one was convicted, and explained what was left of the first.
func TestCrashesBesideOtherLossesDecideBetweenParts(t *testing.T) {
	l := crashcause.New()
	l.RecordSound(request(100, "first", "else"), at(0))
	for i, organisation := range []string{"organisation-1", "organisation-1", "organisation-3", "organisation-4"} {
		crash(l, fmt.Sprint("s", i), at(time.Duration(i+1)*time.Second), request(uint64(i), "first", "bad-1", organisation), request(uint64(50+i), "first", fmt.Sprint("other-", i)))
	}
	l.Evaluate(at(4 * time.Second))
	crash(l, "s10", at(6*time.Second), request(10, "first", "bad", "organisation-1"))
	crash(l, "s11", at(7*time.Second), request(11, "first", "bad", "organisation-5"), request(12, "first", "bad", "organisation-6"))
	crash(l, "s12", at(8*time.Second), request(13, "first", "bad", "organisation-7"))
	for i := range uint64(2) {
		l.RecordCrash(crashcause.Crash{
			Server: fmt.Sprint("s", 20+i), At: at(time.Duration(9+i) * time.Second), LostWith: []string{"s30"},
			Requests: []crashcause.Request{request(20+i, "first", "bad", fmt.Sprint("organisation-", 20+i))},
		})
	}
	now := at(11 * time.Second)
	l.Evaluate(now)
	checkOnlyBadRefused(t, l, now)
}
