package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"cicadabeam/core/placement"
)

const msec = time.Millisecond

// firsts counts which of servers with the given costs in ms come first.
func firsts(unseen time.Duration, zoneOf func(i int) int32, costs ...int) []float64 {
	random := rand.New(rand.NewPCG(1, 2))
	const rounds = 20000
	got := make([]float64, len(costs))
	var zones placement.Zones
	for i := range costs {
		if z := zoneOf(i); int(z) >= len(zones) {
			zones = append(zones, placement.Zone{Distance: time.Duration(z) * 15 * msec})
		}
		zones[zoneOf(i)].Servers++
	}
	for range rounds {
		all := make([]placement.Candidate[int], len(costs))
		for i, c := range costs {
			all[i] = placement.Candidate[int]{Server: i, Cost: time.Duration(c) * msec, Rank: random.Uint64(), Zone: zoneOf(i)}
		}
		placement.OrderEvenly(all, zones, unseen)
		got[all[0].Server] += 1.0 / rounds
	}
	return got
}

// Guards against requests that pile up: shares that don't lead to equal costs.
func TestSharesLeadToEqualCosts(t *testing.T) {
	own := func(int) int32 { return 0 }
	for name, x := range map[string]struct {
		unseen time.Duration
		zoneOf func(int) int32
		costs  []int
		want   []float64
	}{
		"nothing is unseen":          {0, own, []int{300, 100, 200}, []float64{0, 1, 0}},
		"some are left out":          {300 * msec, own, []int{100, 200, 900, 60000}, []float64{2.0 / 3, 1.0 / 3, 0, 0}},
		"all are used":               {900 * msec, own, []int{0, 300, 300}, []float64{500.0 / 900, 200.0 / 900, 200.0 / 900}},
		"negative costs":             {300 * msec, own, []int{-200, -100, 500}, []float64{2.0 / 3, 1.0 / 3, 0}},
		"the other zone is as busy":  {400 * msec, func(i int) int32 { return int32(i / 2) }, []int{0, 100, 0, 100}, []float64{0.75, 0.25, 0, 0}},
		"the own zone is overloaded": {400 * msec, func(i int) int32 { return int32(i / 2) }, []int{5000, 6000, 0, 0}, []float64{0, 0, 0.5, 0.5}},
		"the own zone is lost":       {800 * msec, func(i int) int32 { return int32(i / 2) }, []int{60000, 60000, 0, 100, 500}, []float64{0, 0, 0.5, 0.5, 0}},
	} {
		got := firsts(x.unseen, x.zoneOf, x.costs...)
		for i := range got {
			if math.Abs(got[i]-x.want[i]) > 0.02 {
				t.Errorf("%s: got shares %.3f, want %.3f", name, got, x.want)
				break
			}
		}
	}
	placement.OrderEvenly([]placement.Candidate[int]{}, nil, time.Second)
}

// Guards against an estimate above what is running, or below what rounding conceals.
func TestUnseen(t *testing.T) {
	engine := placement.Request{PromptTokens: 8000, Memory: 9300, Capacity: 88000}
	for average, want := range map[time.Duration]time.Duration{0: 7500 * msec, 100 * msec: 12500 * msec, 5 * time.Second: 1500 * msec, time.Hour: 250 * msec} {
		var y placement.Tally
		for range 10 {
			y.Add(placement.Server{Slots: 16, Peers: placement.Work{Running: 1}, Ages: 100 * msec, AnswerTime: average})
		}
		if got := y.Unseen(engine); got != want {
			t.Errorf("requests of %v: %v unseen, want %v", average, got, want)
		}
	}
}
