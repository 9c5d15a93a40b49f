package crashcause_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/crashcause"
)

// All hosts were killed before there was a server for a trial, and the part was found anew.
func TestStoredSuspicionIsTriedFirst(t *testing.T) {
	l := suspected(t)
	stored := l.UnstoredSuspicions()
	if len(stored) != 1 || stored[0].Probation == nil || stored[0].Expired(at(4*time.Second)) {
		t.Fatalf("got %v to be stored, want the suspicion", stored)
	}
	next := crashcause.New()
	if found := next.MergeStored(stored, at(6*time.Second)); len(found) != 1 || !found[0].Suspected {
		t.Fatalf("got causes %v, want one that is suspected", found)
	}
	now := at(7 * time.Second)
	if refuses(next, request(20, "first"), now) {
		t.Fatal("no request runs")
	}
	if x, refused := next.Refuses(request(21, "first"), now); !refused || !x.Suspected {
		t.Error("a second request runs before the first one has told anything")
	}
	next.RecordSound(request(20, "first"), now.Add(time.Second))
	if refuses(next, request(21, "first"), now.Add(time.Second)) {
		t.Error("a request is refused after one like it ran well")
	}
	if changed := next.TakeChanges(); len(changed) != 1 || !changed[0].Expired(now) {
		t.Errorf("got changes %v, want the removal of the suspicion", changed)
	}
}

// Each host finds a suspicion that is found at one, and would write it.
func TestSuspicionIsStoredByOneNode(t *testing.T) {
	never := func(string, time.Time) bool { return false }
	l, other := suspected(t), suspected(t)
	l.RecordStored(l.UnstoredSuspicions()[0])
	now := at(3500 * time.Millisecond)
	other.Merge(l.Report(now), now, never)
	if n := len(l.UnstoredSuspicions()) + len(other.UnstoredSuspicions()); n > 0 {
		t.Errorf("%d suspicions are written that are stored", n)
	}
	l.RecordSound(request(20, "first"), now)
	if changed := l.TakeChanges(); len(changed) != 1 || !changed[0].Expired(now) {
		t.Errorf("got changes %v, want the removal of the suspicion", changed)
	}
	if changed := other.TakeChanges(); len(changed) > 0 {
		t.Errorf("%v is written by a node that has neither stored nor refuted it", changed)
	}
}

// A suspicion that is released while it is being written stayed in the store.
func TestSuspicionReleasedWhileItIsStoredIsRemoved(t *testing.T) {
	never := func(string, time.Time) bool { return false }
	l, other := suspected(t), suspected(t)
	writing := l.UnstoredSuspicions()[0]
	now := at(3500 * time.Millisecond)
	other.RecordSound(request(20, "first"), now)
	l.Merge(other.Report(now), now, never)
	l.RecordStored(writing)
	if changed := l.TakeChanges(); len(changed) != 1 || !changed[0].Expired(now) {
		t.Errorf("got changes %v, want the removal of the suspicion", changed)
	}
}

// When many servers are lost, many wrong suspicions arise.
func TestFewSuspicionsAreStored(t *testing.T) {
	l := crashcause.New()
	for i := range uint64(30) {
		for j := range uint64(3) {
			crash(l, fmt.Sprint("s", i, "-", j), at(time.Duration(j+1)*time.Second), request(100*i+uint64(j), "first", fmt.Sprint("part-", i)))
		}
	}
	if found := l.Evaluate(at(3 * time.Second)); len(found) < 20 {
		t.Fatalf("%d causes are suspected, want many", len(found))
	}
	n := 0
	for range 10 {
		for _, x := range l.UnstoredSuspicions() {
			l.RecordStored(x)
			n++
		}
	}
	if n == 0 || n > 8 {
		t.Errorf("%d suspicions are stored, want some, 8 at most", n)
	}
}

func TestStoredSuspicionExpires(t *testing.T) {
	x := suspected(t).UnstoredSuspicions()[0]
	if now := at(5 * time.Minute); x.Expired(now) {
		t.Error("it expires within 5 minutes")
	}
	if now := at(20 * time.Minute); !x.Expired(now) {
		t.Error("it is kept although the crashes are forgotten")
	}
}
