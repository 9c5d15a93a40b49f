package fleet_test

import (
	"testing"
	"time"

	"cicadabeam/core/fleet"
)

// Guards against a server with a limit that gets queries or resumed runs beyond it, or requests
// before one without a limit.
func TestServerWithLimitGetsNothingBeyondIt(t *testing.T) {
	now := time.Unix(1e9, 0)
	f := fleet.New(fleet.Topology{DataCentre: "a", Regions: map[string]string{"a": "north", "b": "north"}})
	for id, dataCentre := range map[string]string{"limited": "a", "other": "b"} {
		f.Upsert(fleet.Server{ID: id, Service: "orders", Address: "10.0.0.1:" + id, DataCentre: dataCentre, Slots: 6, StartedMS: 1})
	}
	limited := f.Find("limited")
	q := fleet.Query{Service: "orders", Nodes: 1, Now: now}
	if m := f.Reserve(q); m != limited {
		t.Errorf("got server %v without a limit, want the nearer one", m)
	}
	f.NameLimit(limited, 0.5, now)
	for range 20 {
		if m := f.Reserve(q); m == nil || m == limited {
			t.Errorf("got server %v, want the one without a limit", m)
		}
	}
	if f.ReserveServer(limited, q) || f.AllowQuery(limited, 1, now) {
		t.Error("the server gets a resumed run or a query beyond its limit")
	}
	f.NameLimit(f.Find("other"), 0.5, now)
	if m := f.Reserve(q); m != nil {
		t.Errorf("got server %s beyond its limit", m.ID())
	}
	if at, found := f.Relief(fleet.Query{Service: "orders", Now: now}); !found || !at.After(now) {
		t.Errorf("callers are told to come back at %v, %v; want a later time", at, found)
	}
	if !f.EndLimit(limited, now.Add(time.Second)) {
		t.Error("the limit does not end")
	}
	if m := f.Reserve(q); m != limited {
		t.Errorf("got server %v after the end of the limit, want the nearer one", m)
	}
}
