package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/fleet"
)

// twelve returns a node's knowledge of twelve engines in each data centre.
func twelve() *fleet.Fleet {
	f := fleet.New(place)
	for _, dataCentre := range []string{"a", "b", "c"} {
		add(f, 12, "llm", dataCentre, 12)
	}
	return f
}

func lose(f *fleet.Fleet, dataCentre string, n int, now time.Time) {
	for i := range n {
		f.Lost(f.Find(fmt.Sprintf("llm-%s-%d", dataCentre, i), now), now)
	}
}

// A node that has no run on the engines of a data centre hears from others that they
// died, and doesn't try them one after the other.
func TestOutageIsHeardOfFromOthers(t *testing.T) {
	finds, hears := twelve(), twelve()
	lose(finds, "a", 3, start)
	now := start.Add(50 * time.Millisecond)
	hears.Find("llm-a-1", now).Heard(now) // it answered this node after it was lost to the other
	news := hears.HeardLost(finds.Losses(now), now)
	if len(news) != 2 {
		t.Errorf("%d losses are news, not 2", len(news))
	}
	if again := hears.HeardLost(finds.Losses(now), now); len(again) != 0 {
		t.Errorf("%d losses are news a second time", len(again))
	}
	finds.Lost(finds.Find("llm-a-3", now), now)
	hears.HeardLost(finds.Losses(now), now)
	for range 12 {
		if m := hears.Reserve(prompt(now)); m.DataCentre() == "a" && m.ID() != "llm-a-1" {
			t.Fatalf("%s gets work after others lost its neighbours", m.ID())
		}
	}
	if told := hears.Losses(now); len(told) != 0 {
		t.Errorf("%d losses that others found are told on", len(told))
	}
	if told := finds.Losses(now.Add(2 * time.Second)); len(told) != 0 {
		t.Errorf("%d losses are told two seconds later", len(told))
	}
}

// A node that loses servers of several data centres at once may have lost its own
// links; what it says is of no use to others.
func TestNodeThatIsCutOffTellsNoLosses(t *testing.T) {
	f := twelve()
	lose(f, "a", 3, start)
	lose(f, "b", 1, start)
	if told := f.Losses(start); len(told) != 0 {
		t.Errorf("a node that lost servers of two data centres tells %d losses", len(told))
	}
}
