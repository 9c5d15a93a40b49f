package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"cicadabeam/core/fleet"
)

// Guards against a slow machine getting requests because the figure in its load header is ignored,
// and against an old figure keeping requests away although the machine's speed changes many times a
// second.
func TestReportedSlowdownCountsForAMoment(t *testing.T) {
	for name, query := range map[string]func(time.Time) fleet.Query{"orders": plainQuery, "llm": promptQuery} {
		t.Run(name, func(t *testing.T) {
			f := fleet.New(topology)
			addServers(f, 2, name, "a", 16)
			slow, other := f.Find(name+"-a-0"), f.Find(name+"-a-1")
			for _, m := range []*fleet.Member{slow, other} {
				m.RecordSuccess(40*time.Millisecond, start)
			}
			usual := slow.ExpectedLatency(query(start))
			slow.RecordLoad(fleet.Load{Slots: 16, Slowdown: 2.5}, start)
			other.RecordLoad(fleet.Load{Slots: 16, Slowdown: 1}, start)
			if got := slow.ExpectedLatency(query(start)); got < 2*usual {
				t.Errorf("the expected latency of a machine 2.5 times slower is %v, of a usual one %v", got, usual)
			}
			for range 8 {
				if m := f.Reserve(query(start.Add(100 * time.Millisecond))); m.ID() != other.ID() {
					t.Fatal("a request goes to the slower machine")
				}
				other.Release(query(start), false)
			}
			later := start.Add(2 * time.Second)
			if got := slow.ExpectedLatency(query(later)); got != usual {
				t.Errorf("the expected latency 2 s after the report is %v, the usual one %v", got, usual)
			}
			slow.RecordLoad(fleet.Load{Slots: 16, Slowdown: 1e300}, later)
			if got := slow.ExpectedLatency(query(later)); got > 20*usual {
				t.Errorf("with a wrong figure the expected latency is %v, the usual one %v", got, usual)
			}
			slow.RecordLoad(fleet.Load{Slots: 16}, later)
			if got := slow.ExpectedLatency(query(later)); got != usual {
				t.Errorf("without a figure the expected latency is %v, the usual one %v", got, usual)
			}
		})
	}
}

// shares sends 600 requests, ten at a time, to a service of which each server takes a time of its own.
// One server restarts before request restartAt; shares returns how many each server got from then on.
func shares(f *fleet.Fleet, took func(id string) time.Duration, restartAt int, restarted string) map[string]int {
	got := make(map[string]int)
	var running []func()
	for i := range 600 {
		now := start.Add(time.Duration(i) * 4 * time.Millisecond)
		if i == restartAt {
			f.Upsert(fleet.Server{ID: restarted, Service: "orders", Address: restarted, DataCentre: "a", Version: "v1", Slots: 6, StartedMS: 5})
		}
		q := plainQuery(now)
		m := f.Reserve(q)
		if i >= restartAt {
			got[m.ID()]++
		}
		running = append(running, func() {
			m.RecordSuccess(took(m.ID()), now.Add(40*time.Millisecond))
			m.Release(q, false)
		})
		if len(running) == 10 {
			running[0]()
			running = running[1:]
		}
	}
	return got
}

// Guards against a new server getting nothing beside others that answer sooner than the time that is
// assumed for it, and against it getting everything beside others that take longer.
func TestServerThatHasNotAnsweredIsAssumedAsFastAsTheOthers(t *testing.T) {
	for _, usual := range []time.Duration{10 * time.Millisecond, 200 * time.Millisecond} {
		got, all := 0, 0
		for range 50 {
			f := fleet.New(topology)
			addServers(f, 4, "orders", "a", 6)
			for i := range 3 {
				f.Find(fmt.Sprint("orders-a-", i)).RecordSuccess(usual, start)
			}
			for range 12 {
				all++
				if f.Reserve(plainQuery(start)).ID() == "orders-a-3" {
					got++
				}
			}
		}
		if got < all*15/100 || got > all*35/100 {
			t.Errorf("beside three servers that take %v, a new one gets %d of the first %d requests, want about a quarter", usual, got, all)
		}
	}
}

// Guards against the assumption harming a service: one slow server does not make new ones look slow,
// and it gets no more than before; a server that has restarted gets its part and not more.
func TestOneSlowOrRestartedServerDoesNoHarm(t *testing.T) {
	for name, x := range map[string]struct {
		usual, slow time.Duration
		restarted   string
		least, most map[string]int
	}{
		"slow server, another restarts":   {10 * time.Millisecond, 400 * time.Millisecond, "orders-a-1", map[string]int{"orders-a-1": 50}, map[string]int{"orders-a-0": 12, "orders-a-1": 250}},
		"slow server restarts":            {10 * time.Millisecond, 400 * time.Millisecond, "orders-a-0", nil, map[string]int{"orders-a-0": 24}},
		"restart in a service that waits": {200 * time.Millisecond, 200 * time.Millisecond, "orders-a-1", map[string]int{"orders-a-1": 50}, map[string]int{"orders-a-1": 150}},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet.New(topology)
			addServers(f, 4, "orders", "a", 6)
			got := shares(f, func(id string) time.Duration {
				if id == "orders-a-0" {
					return x.slow
				}
				return x.usual
			}, 300, x.restarted)
			t.Logf("requests after the restart: %v", got)
			for id, n := range x.least {
				if got[id] < n {
					t.Errorf("%s gets %d of 300 requests, want at least %d", id, got[id], n)
				}
			}
			for id, n := range x.most {
				if got[id] > n {
					t.Errorf("%s gets %d of 300 requests, want at most %d", id, got[id], n)
				}
			}
		})
	}
}
