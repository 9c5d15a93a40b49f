package entry

import (
	"fmt"
	"slices"
	"testing"
)

func TestChangeLogSince(t *testing.T) {
	var c changeLog
	if _, ok := c.since(5); ok {
		t.Error("since returns a complete list before start")
	}
	c.start(10)
	c.start(3)
	for i, id := range []string{"a", "b", "a", "c"} {
		c.add(id, uint64(11+i))
	}
	for version, want := range map[uint64][]string{10: {"a", "b", "c"}, 12: {"a", "c"}, 13: {"c"}, 14: nil, 20: nil} {
		got, complete := c.since(version)
		slices.Sort(got)
		if !complete || !slices.Equal(got, want) {
			t.Errorf("changes after version %d are %q, complete: %v, want %q", version, got, complete, want)
		}
	}
	for _, version := range []uint64{0, 9} {
		if _, complete := c.since(version); complete {
			t.Errorf("the changes after version %d are reported as complete, but not all are recorded", version)
		}
	}
}

func TestChangeLogIsBounded(t *testing.T) {
	var c changeLog
	c.start(1)
	for i := range 3 * maxChanges {
		c.add(fmt.Sprint(i), uint64(2+i))
	}
	if n := len(c.versions); n > maxChanges {
		t.Errorf("%d changes are recorded, want at most maxChanges", n)
	}
	if _, complete := c.since(2); complete {
		t.Error("the list is reported as complete after an eviction")
	}
	if got, complete := c.since(3*maxChanges - 9); !complete || len(got) != 10 {
		t.Errorf("since returns %d of the 10 newest changes, complete: %v", len(got), complete)
	}
}
