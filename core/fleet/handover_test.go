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
