package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/fleet"
)

// newEngineFleet returns a fleet with twelve engines in each data centre.
func newEngineFleet() *fleet.Fleet {
	f := fleet.New(topology)
	for _, dataCentre := range []string{"a", "b", "c"} {
		addServers(f, 12, "llm", dataCentre, 12)
	}
	return f
}

func loseServers(f *fleet.Fleet, dataCentre string, n int, now time.Time) {
	for i := range n {
		f.RecordLoss(f.FindUsable(fmt.Sprintf("llm-%s-%d", dataCentre, i), now), now)
	}
}

// A node without runs on the engines of a data centre learns from other nodes that they
// crashed, and must not try them one by one.
func TestOutageIsLearntFromPeers(t *testing.T) {
	detector, receiver := newEngineFleet(), newEngineFleet()
	loseServers(detector, "a", 3, start)
	now := start.Add(50 * time.Millisecond)
	receiver.FindUsable("llm-a-1", now).RecordContact(now) // contacted by this node after the other node lost it
	added := receiver.MergeLosses(detector.RecentLosses(now), now)
	if len(added) != 2 {
		t.Errorf("got %d new losses, want 2", len(added))
	}
	if again := receiver.MergeLosses(detector.RecentLosses(now), now); len(again) != 0 {
		t.Errorf("%d losses are new when reported a second time", len(again))
	}
	detector.RecordLoss(detector.FindUsable("llm-a-3", now), now)
	receiver.MergeLosses(detector.RecentLosses(now), now)
	for range 12 {
		if m := receiver.Reserve(promptQuery(now)); m.DataCentre() == "a" && m.ID() != "llm-a-1" {
			t.Fatalf("%s gets a request after another node lost other servers of its data centre", m.ID())
		}
	}
	if losses := receiver.RecentLosses(now); len(losses) != 0 {
		t.Errorf("%d losses detected by other nodes are reported", len(losses))
	}
	if losses := detector.RecentLosses(now.Add(2 * time.Second)); len(losses) != 0 {
		t.Errorf("%d losses are still reported two seconds later", len(losses))
	}
}

// A node that loses servers in several data centres at once may have lost its own
// network links, so it must not report the losses to others.
func TestPartitionedNodeReportsNoLosses(t *testing.T) {
	f := newEngineFleet()
	loseServers(f, "a", 3, start)
	loseServers(f, "b", 1, start)
	if losses := f.RecentLosses(start); len(losses) != 0 {
		t.Errorf("a node that lost servers of two data centres reports %d losses", len(losses))
	}
}
