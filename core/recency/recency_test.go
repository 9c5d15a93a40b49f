package recency_test

import (
	"testing"
	"time"

	"cicadabeam/core/recency"
)

// Reports of other hosts arrive late: an older time must not take the place of a newer one.
func TestOlderTimeIsNotRecorded(t *testing.T) {
	now := time.Unix(1e9, 0)
	l := recency.New[string](2)
	l.Record("a", now)
	l.Record("a", now.Add(-time.Second))
	if at, known := l.Last("a"); !known || !at.Equal(now) {
		t.Errorf("got %v, %v, want %v", at, known, now)
	}
	if l.Since("a", now) || !l.Since("a", now.Add(-1)) || l.Since("b", time.Time{}) {
		t.Error("a time counts as later than itself, or an unknown key as seen")
	}
}

// Callers choose the keys: memory must not grow with their number.
func TestKeysAreBounded(t *testing.T) {
	now := time.Unix(1e9, 0)
	l := recency.New[int](10)
	for i := range 1000 {
		l.Record(i, now)
	}
	n := 0
	for range l.All() {
		n++
	}
	if n != 10 || !l.Since(999, now.Add(-1)) {
		t.Errorf("%d keys are kept, want 10 with the newest", n)
	}
	l.DeleteFunc(func(int, time.Time) bool { return true })
	if _, known := l.Last(999); known {
		t.Error("a deleted key is known")
	}
}
