package fleet_test

import (
	"testing"
	"time"

	"cicadabeam/core/fleet"
)

// Guards against servers that are out of use for good after one 421 that was no handover.
func TestBeliefInHandoverEndsWhenServerAnswers(t *testing.T) {
	f := fleet.New(topology)
	addServers(f, 1, "orders", "a", 6)
	now := time.Now()
	m := f.Reserve(plainQuery(now))
	m.MarkReplaced()
	m.Release(plainQuery(now), false)
	if f.Reserve(plainQuery(now)) != nil {
		t.Fatal("a server whose address was taken over gets requests")
	}
	now = now.Add(2 * time.Second)
	if f.Reserve(plainQuery(now)) == nil {
		t.Fatal("a server is not asked for again at its address")
	}
	if !m.Superseded(now) {
		t.Error("the belief ended before the server answered")
	}
	m.RecordSuccess(time.Millisecond, now)
	if m.Superseded(now) || f.Reserve(plainQuery(now)) == nil {
		t.Error("the belief outlives an answer of the server")
	}
}

// An address that has changed hands costs each host few refused requests.
func TestReplacedServerIsAskedForEverMoreRarely(t *testing.T) {
	f := fleet.New(topology)
	addServers(f, 1, "orders", "a", 6)
	began := time.Now()
	asked := 0
	for at := time.Duration(0); at < time.Minute; at += 100 * time.Millisecond {
		now := began.Add(at)
		for range 3 {
			if m := f.Reserve(plainQuery(now)); m != nil {
				asked++
				m.Release(plainQuery(now), false)
				fleet.MarkReplacedAt(m, now)
			}
		}
	}
	if asked > 6 {
		t.Errorf("a replaced server was asked for %d times in a minute, want at most 6", asked)
	}
}

// A crashed server restarts under a new ID at its address, and its old registry entry
// remains for some heartbeats. Another writer's entry may look the same.
func TestAddressBelongsToServerThatAnswersThere(t *testing.T) {
	older := fleet.Server{ID: "before", Service: "orders", Address: "10.0.0.1:80", DataCentre: "a", Slots: 6, StartedMS: 1000}
	newer := older
	newer.ID, newer.StartedMS = "after", 2000
	orders := map[string][]fleet.Server{"older first": {older, newer}, "newer first": {newer, older}}
	fleetOf := func(servers []fleet.Server) (f *fleet.Fleet, before, after *fleet.Member) {
		f = fleet.New(topology)
		for _, s := range servers {
			f.Upsert(s)
		}
		return f, f.Find("before"), f.Find("after")
	}
	usable := func(f *fleet.Fleet, id string, now time.Time) bool { return f.FindUsable(id, now) != nil }
	for name, order := range orders {
		f, before, after := fleetOf(order)
		if !usable(f, "before", start) || !usable(f, "after", start) || !before.Contested(start) || after.Contested(start) {
			t.Errorf("%s: an entry alone takes a server out of use, or no address is contested", name)
		}
		after.RecordSuccess(time.Millisecond, start.Add(time.Second))
		if now := start.Add(time.Second); usable(f, "before", now) || !usable(f, "after", now) || !before.Superseded(now) || !before.EndedUnannounced(start, now) {
			t.Errorf("%s: the crashed server is usable, or its successor is not", name)
		}
		f.Deregister("after", start.Add(2*time.Second))
		if usable(f, "before", start.Add(time.Second)) || !usable(f, "before", start.Add(2*time.Second)) {
			t.Errorf("%s: a server is not usable again after its successor was deregistered", name)
		}

		_, before, _ = fleetOf(order)
		before.RecordSuccess(time.Millisecond, start.Add(time.Second))
		if now := start.Add(time.Second); before.Contested(now) || before.Superseded(now) || before.EndedUnannounced(start, now) {
			t.Errorf("%s: an entry counts for more than an answer of the server that it is to replace", name)
		}

		f, before, after = fleetOf(order)
		f.RecordIdentity(before, "after", start.Add(time.Second))
		if now := start.Add(time.Second); usable(f, "before", now) || !before.Superseded(now) || after.Superseded(now) {
			t.Errorf("%s: the server at the address named itself, and the other one is usable", name)
		}
		f.RecordIdentity(after, "before", start.Add(2*time.Second))
		if now := start.Add(2 * time.Second); !usable(f, "before", now) || usable(f, "after", now) {
			t.Errorf("%s: the newest answer does not count", name)
		}
	}
	f, _, after := fleetOf(orders["older first"])
	after.RecordSuccess(time.Millisecond, start)
	moved := newer
	moved.Address, moved.StartedMS = "10.0.0.2:80", 3000
	f.Upsert(moved)
	if !usable(f, "before", start) {
		t.Error("a server is not usable again after its successor moved to another address")
	}
	f, before, _ := fleetOf([]fleet.Server{older})
	again := older
	again.StartedMS = 2000
	f.Upsert(again)
	if !before.Superseded(start) || !usable(f, "before", start) {
		t.Error("a server that started again under its ID is not told from its former start")
	}
	unknown := older
	unknown.StartedMS = 0
	f, before, after = fleetOf([]fleet.Server{unknown, newer})
	after.RecordSuccess(time.Millisecond, start)
	if !usable(f, "before", start) || before.Contested(start) {
		t.Error("a server with unknown start time is treated as superseded")
	}
}

// Guards against requests that are wasted on the entries of servers that crashed together, and
// against an entry of another writer that keeps a sound server from use for longer than that.
func TestServerWithContestedAddressComesLastForAWhile(t *testing.T) {
	now := time.Now()
	f := fleet.New(topology)
	for _, id := range []string{"sound", "contested"} {
		f.Upsert(fleet.Server{ID: id, Service: "orders", Address: "10.0.0.1:" + id, DataCentre: "a", Slots: 6, StartedMS: 1})
	}
	f.Upsert(fleet.Server{ID: "entry", Service: "printing", Address: "10.0.0.1:contested", DataCentre: "a", Slots: 6, StartedMS: 2})
	chosen := func(now time.Time, busy bool) int {
		q, n := plainQuery(now), 0
		q.Exclude = map[string]bool{"sound": busy}
		for range 40 {
			m := f.Reserve(q)
			if m.ID() == "contested" {
				n++
			}
			m.Release(q, false)
		}
		return n
	}
	if n := chosen(now, false); n != 0 {
		t.Errorf("a server that may have crashed got %d of 40 requests beside a sound one", n)
	}
	if n := chosen(now, true); n != 40 {
		t.Errorf("an entry alone took a server out of use: it got %d of 40 requests that no other can serve", n)
	}
	if n := chosen(now.Add(4*time.Second), false); n < 5 {
		t.Errorf("a server got %d of 40 requests 4 s after the entry came", n)
	}
	f.Find("contested").RecordSuccess(40*time.Millisecond, now)
	f.Find("sound").RecordSuccess(40*time.Millisecond, now)
	if n := chosen(now, false); n < 5 {
		t.Errorf("a server got %d of 40 requests although it has answered since the entry came", n)
	}
}

// Guards against requests that reach a server which wants none, as they are for its predecessor at the address.
func TestServerThatWantsRestGetsNoRequestsForItsPredecessor(t *testing.T) {
	const rest = 5 * time.Second
	f := fleet.New(topology)
	older := fleet.Server{ID: "before", Service: "orders", Address: "10.0.0.1:80", DataCentre: "a", Slots: 6, StartedMS: 1000}
	newer := older
	newer.ID, newer.StartedMS = "after", 2000
	f.Upsert(older)
	f.Upsert(newer)
	f.RecordIdentity(f.Find("before"), "after", start)
	f.Defer(f.Find("after"), rest, start)
	for at, usable := range map[time.Duration]bool{0: false, 2 * time.Second: false, rest - time.Millisecond: false, rest: true} {
		if got := f.FindUsable("before", start.Add(at)) != nil; got != usable {
			t.Errorf("%v after the server at the address wanted rest: its predecessor gets requests: %v, want %v", at, got, usable)
		}
	}
}
