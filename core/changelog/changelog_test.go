package changelog

import (
	"fmt"
	"slices"
	"testing"

	"cicadabeam/core/freshness"
)

// in returns a version of the first era.
func in(version uint64) freshness.StoreVersion {
	return freshness.StoreVersion{Era: 1, Version: version}
}

func TestChangeLogSince(t *testing.T) {
	var l Log
	if _, ok := l.Since(in(5)); ok {
		t.Error("since returns a complete list before start")
	}
	l.Start(in(10))
	l.Start(in(3))
	for i, id := range []string{"a", "b", "a", "c"} {
		l.Add(id, in(uint64(11+i)))
	}
	for version, want := range map[uint64][]string{10: {"a", "b", "c"}, 12: {"a", "c"}, 13: {"c"}, 14: nil, 20: nil} {
		got, complete := l.Since(in(version))
		slices.Sort(got)
		if !complete || !slices.Equal(got, want) {
			t.Errorf("changes after version %d are %q, complete: %v, want %q", version, got, complete, want)
		}
	}
	for _, version := range []uint64{0, 9} {
		if _, complete := l.Since(in(version)); complete {
			t.Errorf("the changes after version %d are reported as complete, but not all are recorded", version)
		}
	}
}

func TestChangeLogIsBounded(t *testing.T) {
	var l Log
	l.Start(in(1))
	for i := range 3 * maxChanges {
		l.Add(fmt.Sprint(i), in(uint64(2+i)))
	}
	if n := len(l.versions); n > maxChanges {
		t.Errorf("%d changes are recorded, want at most maxChanges", n)
	}
	if _, complete := l.Since(in(2)); complete {
		t.Error("the list is reported as complete after an eviction")
	}
	if got, complete := l.Since(in(3*maxChanges - 9)); !complete || len(got) != 10 {
		t.Errorf("since returns %d of the 10 newest changes, complete: %v", len(got), complete)
	}
}

// A version of another era says nothing about which changes a node has.
func TestChangeLogOfNewEra(t *testing.T) {
	var l Log
	l.Start(in(10))
	l.Add("a", in(11))
	l.Start(freshness.StoreVersion{Era: 2, Version: 5})
	l.Add("b", freshness.StoreVersion{Era: 2, Version: 6})
	l.Add("c", in(12)) // arrives late
	for _, v := range []freshness.StoreVersion{in(10), in(11), {Era: 3, Version: 6}, {Era: 2, Version: 4}} {
		if ids, complete := l.Since(v); complete {
			t.Errorf("changes since %v are reported as complete: %q", v, ids)
		}
	}
	if got, complete := l.Since(freshness.StoreVersion{Era: 2, Version: 5}); !complete || !slices.Equal(got, []string{"b"}) {
		t.Errorf("got changes %q, complete: %v, want b", got, complete)
	}
	l.Start(in(20))
	if _, complete := l.Since(in(20)); complete {
		t.Error("the log went back to an older era")
	}
}
