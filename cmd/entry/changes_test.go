package entry

import (
	"fmt"
	"slices"
	"testing"
)

func TestChangesSince(t *testing.T) {
	var c changes
	if _, whole := c.since(5); whole {
		t.Error("changes are told before anything is known")
	}
	c.begin(10)
	c.begin(3)
	for i, id := range []string{"a", "b", "a", "c"} {
		c.add(id, uint64(11+i))
	}
	for version, want := range map[uint64][]string{10: {"a", "b", "c"}, 12: {"a", "c"}, 13: {"c"}, 14: nil, 20: nil} {
		got, all := c.since(version)
		slices.Sort(got)
		if !all || !slices.Equal(got, want) {
			t.Errorf("after %d: %q, %v, not %q", version, got, all, want)
		}
	}
	for _, version := range []uint64{0, 9} {
		if _, all := c.since(version); all {
			t.Errorf("the changes after %d are told, and not all are known", version)
		}
	}
}

func TestChangesAreBounded(t *testing.T) {
	var c changes
	c.begin(1)
	for i := range 3 * changesKept {
		c.add(fmt.Sprint(i), uint64(2+i))
	}
	if n := len(c.versions); n > changesKept {
		t.Errorf("%d changes are kept", n)
	}
	if _, all := c.since(2); all {
		t.Error("changes that were forgotten are told")
	}
	if got, all := c.since(3*changesKept - 9); !all || len(got) != 10 {
		t.Errorf("%d of the newest changes are told, %v", len(got), all)
	}
}
