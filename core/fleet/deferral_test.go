package fleet_test

import (
	"testing"
	"time"

	"cicadabeam/core/fleet"
)

// A server that wants no requests is no candidate for anything, but it stays: what it keeps
// is not lost.
func TestServerThatWantsRestIsNoCandidate(t *testing.T) {
	f := fleet.New(topology)
	addServers(f, 1, "llm", "a", 12)
	addServers(f, 1, "llm", "b", 12)
	primary, m := f.Find("llm-a-0"), f.Find("llm-b-0")
	f.Defer(m, 2*time.Second, start)
	now := start.Add(time.Second)
	if f.SelectBackup(promptQuery(now), primary) != nil {
		t.Error("the server gets a KV cache backup")
	}
	if m.Usable(now) || m.Reserve(promptQuery(now)) || f.FindUsable("llm-b-0", now) != nil || !m.Declines(now) || !m.Remains(now) {
		t.Error("the server is a candidate, or is taken for lost")
	}
	if _, found := f.Relief(fleet.Query{Service: "llm", Now: now}); found {
		t.Error("callers are told to wait although there is another server")
	}
	f.Defer(primary, 5*time.Second, start)
	if at, found := f.Relief(fleet.Query{Service: "llm", Now: now}); !found || !at.Equal(start.Add(2*time.Second)) {
		t.Errorf("callers may come back at %v (%v), want %v", at, found, start.Add(2*time.Second))
	}
	f.RecordLeaving(m, now)
	if at, found := f.Relief(fleet.Query{Service: "llm", Now: now}); !found || !at.Equal(start.Add(5*time.Second)) {
		t.Errorf("callers may come back at %v (%v), want %v", at, found, start.Add(5*time.Second))
	}
	if m.Remains(now) || !m.Declines(start.Add(time.Minute)) {
		t.Error("the server that leaves is used again")
	}
}

// A registry entry that disappears, or changes its address, does not end the wish of the
// server; another start does.
func TestWishForRestOutlivesRegistryEntry(t *testing.T) {
	f := fleet.New(topology)
	f.Upsert(leaver)
	f.Defer(f.Find("s1"), time.Minute, start)
	f.Deregister("s1", start)
	now := start.Add(30 * time.Second)
	f.Expire(now)
	f.Upsert(leaver)
	moved := leaver
	moved.Address = "10.0.0.2:80"
	f.Upsert(moved)
	if f.Reserve(plainQuery(now)) != nil {
		t.Error("the server gets a request before the time that it asked for")
	}
	moved.StartedMS++
	f.Upsert(moved)
	if f.Reserve(plainQuery(now)) == nil {
		t.Error("the server's next start gets no request")
	}
}

// Guards against streams that break off because of what servers refused before.
func TestBegunStreamIsNotLimitedAfterRest(t *testing.T) {
	f := fleet.New(topology)
	addServers(f, 1, "llm", "a", 12)
	q := promptQuery(start)
	f.Defer(f.Reserve(q), time.Second, start) // the first request, which keeps running
	q.Now = start.Add(2 * time.Second)
	if f.Reserve(q) != nil {
		t.Error("the server gets a second request at a time after it refused one of one")
	}
	q.Begun = true
	if f.Reserve(q) == nil {
		t.Error("a stream that has begun can't go on")
	}
}

// Guards against nodes that stop using a service because one of its servers always refuses.
func TestOneRefusingServerDoesNotLimitOthers(t *testing.T) {
	f := fleet.New(topology)
	addServers(f, 3, "orders", "a", 6)
	for i := range 20 {
		f.Defer(f.Find("orders-a-0"), 5*time.Second, start.Add(time.Duration(i)*5*time.Second))
	}
	now := start.Add(99 * time.Second)
	for i := range 12 {
		if m := f.Reserve(plainQuery(now)); m == nil || m.ID() == "orders-a-0" {
			t.Fatalf("request %d got %v", i, m)
		}
	}
}

// Guards against all requests at once after the first minute of a wish for a longer rest.
func TestServerWithLongWishGetsOneRequest(t *testing.T) {
	f := fleet.New(topology)
	addServers(f, 1, "orders", "a", 12)
	q := plainQuery(start)
	var running []*fleet.Member
	for range 10 {
		running = append(running, f.Reserve(q))
	}
	for _, m := range running {
		f.Defer(m, time.Hour, start)
		m.Release(q, false)
	}
	q.Now, q.Begun = start.Add(time.Minute), true
	m := f.Reserve(q)
	if m == nil || f.Reserve(q) != nil {
		t.Fatal("the server does not get exactly one request a minute after it refused")
	}
	f.Defer(m, time.Hour, q.Now)
	m.Release(q, false)
	if q.Now = start.Add(time.Hour); f.Reserve(q) != nil {
		t.Error("the server gets a request within the rest that it asked for again")
	}
	q.Now = start.Add(61 * time.Minute)
	if m = f.Reserve(q); m == nil {
		t.Fatal("the server gets no request after its rest")
	}
}

// Guards against servers that get next to nothing for hours because others asked for long rests.
func TestLongWishesRestrainOthersBriefly(t *testing.T) {
	f := fleet.New(topology)
	addServers(f, 3, "orders", "a", 12)
	for _, id := range []string{"orders-a-0", "orders-a-1"} {
		f.Defer(f.Find(id), time.Hour, start)
	}
	now := start.Add(35 * time.Minute)
	q := plainQuery(now)
	q.Exclude = map[string]bool{"orders-a-0": true, "orders-a-1": true}
	for i := range 5 {
		if f.Reserve(q) == nil {
			t.Fatalf("the third server gets %d requests at a time, want 5", i)
		}
	}
}

// Guards against wishes that get lost as the registry changes the address while a request is
// on its way.
func TestWishOfServerWhoseAddressChanged(t *testing.T) {
	f := fleet.New(topology)
	f.Upsert(leaver)
	m := f.Reserve(plainQuery(start))
	moved := leaver
	moved.Address = "10.0.0.2:80"
	f.Upsert(moved)
	f.Defer(m, time.Minute, start)
	if now := start.Add(30 * time.Second); f.Reserve(plainQuery(now)) != nil {
		t.Error("the server gets a request before the time that it asked for")
	}
	again := leaver
	again.StartedMS++
	f.Upsert(again)
	f.Defer(m, time.Minute, start)
	if f.Reserve(plainQuery(start)) == nil {
		t.Error("the server's next start gets no request because of a late response of the one before")
	}
}
