package fleet_test

import (
	"testing"

	"cicadabeam/core/fleet"
)

func versioned(id, dataCentre, version string) fleet.Server {
	return fleet.Server{ID: id, Service: "llm", Address: id, DataCentre: dataCentre, Version: version, Slots: 8, StartedMS: 1}
}

// Guards against runs that go on, or keep their KV cache, at a server of another software version.
func TestServersOfOtherSoftwareVersionsAreNotSelected(t *testing.T) {
	f := fleet.New(topology)
	for _, s := range []fleet.Server{versioned("a1", "a", "v1"), versioned("b1", "b", "v1"), versioned("a2", "a", "v1.1"), versioned("b0", "b", "")} {
		f.Upsert(s)
	}
	q := promptQuery(start)
	for _, version := range []string{"v1", "v1.1"} {
		q.Version = version
		for range 8 {
			if m := f.Reserve(q); m == nil || m.Version() != version {
				t.Fatalf("version %s: got server %v", version, m)
			}
		}
	}
	if q.Version = "v1"; f.ReserveServer(f.Find("a2"), q) {
		t.Error("a server of another version was reserved")
	}
	if m := f.SelectBackup(promptQuery(start), f.Find("a1")); m == nil || m.ID() != "b1" {
		t.Errorf("the backup of a run on a1 is on %v, want b1", m)
	}
	for _, id := range []string{"a2", "b0"} {
		if m := f.SelectBackup(promptQuery(start), f.Find(id)); m != nil {
			t.Errorf("the backup of a run on %s is on %s, want none", id, m.ID())
		}
	}
}

// Guards against streams that take a server under a reused ID, or a changed entry, for the one before.
func TestServerWithAnotherSoftwareVersionIsAnotherServer(t *testing.T) {
	f := fleet.New(topology)
	f.Upsert(versioned("s", "a", "v1"))
	before := f.Find("s")
	if !f.Upsert(versioned("s", "a", "v1.1")) || before.Version() != "v1" || before.Usable(start) || f.Find("s").Version() != "v1.1" {
		t.Error("the entry's change of version was not a change of server")
	}
}
