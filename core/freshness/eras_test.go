package freshness_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"cicadabeam/core/freshness"
)

func TestStoreVersionOrder(t *testing.T) {
	ordered := []freshness.StoreVersion{{}, {Version: 9}, {Era: 1}, {Era: 1, Version: 9}, {Era: 2, Version: 3}, {Era: 2, Version: 4}}
	for i, a := range ordered {
		for j, b := range ordered {
			if got := a.After(b); got != (i > j) {
				t.Errorf("%v after %v: got %v", a, b, got)
			}
			if got := a.Token() > b.Token(); got != (i > j) {
				t.Errorf("token of %v greater than that of %v: got %v", a, b, got)
			}
		}
	}
}

func TestFirstEraIsNoRise(t *testing.T) {
	now := time.Hour
	var rises []freshness.Rise
	e := freshness.NewEras(func() time.Duration { return now }, func(r freshness.Rise) { rises = append(rises, r) })
	for range 2 {
		if !e.Observe(3) {
			t.Error("the current era counts as older")
		}
	}
	for _, missed := range []bool{true, false} {
		if got := e.Merge(freshness.EraInfo{Known: true, Era: 3, Risen: true, Age: time.Second}, "node-1"); got != missed {
			t.Errorf("the report of a rise that this host missed: got %v, want %v", got, missed)
		}
	}
	if at, risen := e.RisenAt(); len(rises) != 0 || !risen || at != now-time.Second {
		t.Errorf("got rises %v, era known since %v, %v", rises, at, risen)
	}
	e.Observe(4)
	if e.Observe(3) {
		t.Error("an older era counts as current")
	}
	e.Merge(freshness.EraInfo{Known: true, Era: 3, Risen: true, Age: time.Second}, "node-1")
	if want := (freshness.Rise{Old: 3, New: 4, From: "store"}); len(rises) != 1 || rises[0] != want {
		t.Errorf("got rises %v, want %v", rises, want)
	}
}

// message is a response of the store or a peer's report on its way to a host.
type message struct {
	version freshness.StoreVersion
	content int // number of the write that it shows
}

// A host that takes whatever is newer by era and version must end with the content of the
// newest message of the newest era, in whichever order messages of several eras arrive, and
// never go back within an era. The store loses writes at each restore.
func TestReorderedMessagesOfSeveralEras(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent []message
		now, written := time.Hour, 0
		current := freshness.StoreVersion{Era: rapid.Uint64Range(0, 2).Draw(t, "first era"), Version: rapid.Uint64Range(1, 5).Draw(t, "first version")}
		copied := current
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"write", "write", "copy", "restore"}).Draw(t, "step") {
			case "copy":
				copied = current
			case "restore":
				current = freshness.StoreVersion{Era: current.Era + 1, Version: copied.Version}
			default:
				current.Version++
			}
			written++
			sent = append(sent, message{current, written})
		}
		newest := sent[len(sent)-1]
		e := freshness.NewEras(func() time.Duration { return now }, func(r freshness.Rise) {
			if r.New <= r.Old {
				t.Fatalf("the era fell: %+v", r)
			}
		})
		var held message
		first := true
		for _, m := range rapid.Permutation(sent).Draw(t, "arrival") {
			now += time.Second
			isCurrent := e.Observe(m.version.Era)
			if isCurrent != (m.version.Era >= held.version.Era) {
				t.Fatalf("a message of era %d counts as current: %v, held %+v", m.version.Era, isCurrent, held)
			}
			if !isCurrent || !first && !m.version.After(held.version) {
				continue
			}
			held, first = m, false
		}
		if held.version.Compare(newest.version) != 0 || e.Current() != newest.version.Era {
			t.Fatalf("got %+v in era %d, want %+v", held, e.Current(), newest)
		}
	})
}
