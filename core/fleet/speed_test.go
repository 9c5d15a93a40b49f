package fleet_test

import (
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
