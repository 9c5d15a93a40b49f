package fleet_test

import (
	"testing"
	"time"

	"cicadabeam/core/fleet"
)

var leaver = fleet.Server{ID: "s1", Service: "orders", Address: "10.0.0.1:80", DataCentre: "a", Slots: 6, StartedMS: 5}

// A server's own word holds against the registry, also if its entry disappears and comes
// back from an older copy of the store.
func TestServerThatSaidItLeavesStaysUnused(t *testing.T) {
	f := fleet.New(topology)
	f.Upsert(leaver)
	if !f.RecordLeaving(f.Find("s1"), start) || f.RecordLeaving(f.Find("s1"), start) {
		t.Error("the statement is not news once")
	}
	now := start.Add(time.Second)
	f.Upsert(leaver)
	if f.Reserve(plainQuery(now)) != nil {
		t.Error("the server gets a request because its registry entry says that it is ready")
	}
	f.Deregister("s1", now)
	now = now.Add(time.Minute)
	f.Expire(now)
	if f.Find("s1") != nil {
		t.Fatal("the server was not removed")
	}
	f.Upsert(leaver)
	if f.Reserve(plainQuery(now)) != nil {
		t.Error("the server gets a request after its registry entry came back")
	}
	again := leaver
	again.StartedMS++
	f.Upsert(again)
	if f.Reserve(plainQuery(now)) == nil {
		t.Error("the server's next start gets no request")
	}
	if f.MergeLeaving([]fleet.LeavingServer{{ID: "s1", StartedMS: 5}}, now); f.Reserve(plainQuery(now)) == nil {
		t.Error("a late report of the start before ends the work of the next one")
	}
}

// Nodes hand the statement on, also to one that does not know the server yet, and end
// reporting it.
func TestLeavingServerIsLearntFromPeers(t *testing.T) {
	first, second, third := fleet.New(topology), fleet.New(topology), fleet.New(topology)
	first.Upsert(leaver)
	second.Upsert(leaver)
	first.RecordLeaving(first.Find("s1"), start)
	now := start.Add(200 * time.Millisecond)
	if added := second.MergeLeaving(first.RecentlyLeaving(now), now); len(added) != 1 || second.Reserve(plainQuery(now)) != nil {
		t.Errorf("got %v; the server still gets requests of the second node", added)
	}
	if added := second.MergeLeaving(first.RecentlyLeaving(now), now); len(added) != 0 {
		t.Errorf("got %v from a repeated report, want no news", added)
	}
	now = now.Add(time.Second)
	third.MergeLeaving(second.RecentlyLeaving(now), now)
	third.Upsert(leaver)
	if third.Reserve(plainQuery(now)) != nil {
		t.Error("the server gets requests of a node that heard of it before it knew it")
	}
	for range 400 { // the nodes' reports must not keep each other's alive
		now = now.Add(200 * time.Millisecond)
		second.MergeLeaving(third.RecentlyLeaving(now), now)
		third.MergeLeaving(second.RecentlyLeaving(now), now)
	}
	if all := third.RecentlyLeaving(now); len(all) != 0 {
		t.Errorf("the nodes still report %v", all)
	}
	third.Deregister("s1", now)
	now = now.Add(11 * time.Minute)
	third.Expire(now)
	third.Upsert(leaver)
	if third.Reserve(plainQuery(now)) == nil {
		t.Error("the statement is kept for ever")
	}
}
