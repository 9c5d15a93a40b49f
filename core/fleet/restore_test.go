package fleet_test

import (
	"testing"
	"time"

	"cicadabeam/core/fleet"
)

// A registry that comes back from an older copy doesn't bring back servers that have left,
// until a time for those whose entry was gone, and for ever for those that said so.
func TestDepartedServersAreHeld(t *testing.T) {
	now := time.Now()
	f := fleet.New(fleet.Topology{DataCentre: "a"})
	server := func(id string, started int64, leaving bool) fleet.Server {
		return fleet.Server{ID: id, Service: "orders", Address: id, DataCentre: "a", Slots: 1, StartedMS: started, Leaving: leaving}
	}
	usable := func(id string, at time.Time) bool {
		for _, m := range f.UsableServers("orders", "a", at) {
			if m.ID() == id {
				return true
			}
		}
		return false
	}
	for _, id := range []string{"stays", "gone", "missing"} {
		f.Upsert(server(id, 1, false))
	}
	f.Upsert(server("leaving", 1, true))
	f.Deregister("gone", now)
	f.Deregister("missing", now.Add(time.Second)) // of an outage; it may still register again
	f.HoldDeparted(now, now.Add(5*time.Second))
	if f.Deregister("missing", now.Add(4500*time.Millisecond)); !usable("missing", now.Add(4*time.Second)) {
		t.Error("a missing server has no more time to register again after a second restore")
	}
	for _, id := range []string{"stays", "gone", "missing", "leaving"} {
		f.Upsert(server(id, 1, false))
	}
	for id, want := range map[string]bool{"stays": true, "gone": false, "missing": true, "leaving": false} {
		if got := usable(id, now.Add(4*time.Second)); got != want {
			t.Errorf("%s 4 s after the restore: usable is %v, want %v", id, got, want)
		}
	}
	f.HoldDeparted(now.Add(4*time.Second), now.Add(9*time.Second))
	for id, want := range map[string]bool{"gone": false, "leaving": false} {
		if got := usable(id, now.Add(8*time.Second)); got != want {
			t.Errorf("%s after a second restore: usable is %v, want %v", id, got, want)
		}
	}
	if !usable("gone", now.Add(9*time.Second)) || usable("leaving", now.Add(time.Hour)) {
		t.Error("after the hold, the server whose entry is back must be usable, and the leaving one not")
	}
	f.Upsert(server("leaving", 2, false))
	if !usable("leaving", now) {
		t.Error("a server that started again under the ID is not usable")
	}
}
