package rollout_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"cicadabeam/core/rollout"
)

var (
	limits = rollout.Limits{ExposureShare: 0.1}
	order  = rollout.Order{Service: "x", Target: "v2", ID: 7, Length: 12 * time.Second}
)

func canaryState() rollout.State {
	return rollout.State{
		Order: order, Term: 1, Seq: 1, Driver: "a", Phase: rollout.Canary, Share: 0.08,
		LeaseUntilMS: 3000, Old: []string{"v1"}, Excluded: []string{"v0"},
	}
}

func newTable(seed uint64) *rollout.Table {
	t := rollout.NewTable(limits, rand.New(rand.NewPCG(seed, 1)).Float64)
	t.SetVersions("x", []string{"v1"}, 0)
	return t
}

// send plays a request and reports whether it went to the new version.
func send(t *rollout.Table, route string, now time.Duration) bool {
	c := t.Choose("x", route, now)
	version := "v1"
	if c.New() {
		version = "v2"
	}
	if !c.Allows(version) {
		panic("a choice does not allow what it selects")
	}
	t.Sent("x", version, now)
	return c.New()
}

// Guards against a sum over all hosts beyond the operator's bound, which no message between hosts
// prevents: hosts with few requests each, and hosts that are started again and again.
func TestExposureStaysWithinTheShareOverManyHosts(t *testing.T) {
	for _, n := range []struct {
		name     string
		hosts    int
		rate     float64 // requests a second of all hosts
		restarts int     // of each host
		least    float64 // exposures of what the share allows
	}{
		{"few requests for each host", 127, 36, 0, 0.6},
		{"many requests", 87, 195, 0, 0.8},
		{"all hosts restart three times", 127, 143, 3, 0.6},
		{"hosts restart every second", 127, 143, 20, 0.3},
	} {
		t.Run(n.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(3, 4))
			length, all, exposed, worst := 20.0, 0, 0, 0.0
			tables := make([]*rollout.Table, n.hosts)
			born := make([]float64, n.hosts)
			for at := 0.0; at < length; at += rng.ExpFloat64() / n.rate {
				h := rng.IntN(n.hosts)
				life := length / float64(n.restarts+1)
				if tables[h] == nil || n.restarts > 0 && at > born[h]+life {
					tables[h], born[h] = newTable(rng.Uint64()), at
					tables[h].SetOrders([]rollout.Order{order}, 0)
				}
				now := time.Duration(at * float64(time.Second))
				tables[h].Merge(canaryState(), 0, now)
				all++
				if send(tables[h], fmt.Sprint("r", rng.IntN(3)), now) {
					exposed++
				}
				worst = max(worst, float64(exposed)-limits.ExposureShare*float64(all))
			}
			t.Logf("%d of %d requests to the new version, at most %.1f beyond the share", exposed, all, worst)
			if worst > 25 {
				t.Errorf("%.0f requests beyond the share, want 25 of a tolerance of 50 at most", worst)
			}
			if float64(exposed) < n.least*0.08*float64(all) {
				t.Errorf("only %d of %d requests to the new version: too few for a verdict", exposed, all)
			}
		})
	}
}

// Guards against a host that sends more than it has earned, by concurrent requests or by streams
// that are resumed on the new version.
func TestHostSpendsWhatItEarned(t *testing.T) {
	x := newTable(1)
	x.SetOrders([]rollout.Order{order}, 0)
	x.Merge(canaryState(), 0, 0)
	for range 100 { // 8 requests and a random part of one
		x.Sent("x", "v1", 0)
	}
	var chosen []rollout.Choice
	for range 1000 {
		if c := x.Choose("x", "r", 0); c.New() {
			chosen = append(chosen, c)
		}
	}
	if len(chosen) < 8 || len(chosen) > 9 {
		t.Fatalf("%d requests selected at a time, want the 8 that were earned", len(chosen))
	}
	x.Release(chosen[0])
	again := 0
	for range 100 {
		if x.Choose("x", "r", 0).New() {
			again++
		}
	}
	if again != 1 {
		t.Errorf("%d requests selected after one was not sent, want 1", again)
	}
	for range 8 + 20 { // 8 selected ones, and 20 resumed streams
		x.Sent("x", "v2", 0)
	}
	for i := range 200 { // earns 16 of the 20
		if x.Choose("x", "r", 0).New() {
			t.Fatalf("a request selected after %d while resumed streams have used up the credit", i)
		}
		x.Sent("x", "v1", 0)
	}
}

// Guards against a fault of a rare route that is never met.
func TestRareRouteIsExposedMoreOften(t *testing.T) {
	x, rng := newTable(1), rand.New(rand.NewPCG(1, 1))
	x.SetOrders([]rollout.Order{order}, 0)
	x.Merge(canaryState(), 0, 0)
	all, exposed := make(map[string]int), make(map[string]int)
	for range 20_000 {
		route := "common"
		if rng.IntN(20) == 0 {
			route = "rare"
		}
		all[route]++
		if send(x, route, 0) {
			exposed[route]++
		}
	}
	rare, common := float64(exposed["rare"])/float64(all["rare"]), float64(exposed["common"])/float64(all["common"])
	t.Logf("rare %.3f, common %.3f", rare, common)
	if rare < 2*common || rare > 0.51 {
		t.Errorf("%.3f of the rare route's requests and %.3f of the common one's, want twice as much and not over half", rare, common)
	}
}

// Guards against requests to the new version without a driver that has confirmed its lease: frozen,
// partitioned, or unknown to a host that has just started.
func TestNothingGoesToTheNewVersionWithoutAPermit(t *testing.T) {
	draining := canaryState()
	draining.Phase, draining.Share, draining.Seq = rollout.Draining, 1, 5
	for _, s := range []rollout.State{canaryState(), draining} {
		x := newTable(1)
		x.SetOrders([]rollout.Order{order}, 0)
		sent := func(from, to time.Duration) (n int) {
			for now := from; now < to; now += time.Millisecond {
				if send(x, "r", now) {
					n++
				}
			}
			return n
		}
		if n := sent(0, time.Second); n > 0 {
			t.Errorf("%v: %d requests before a state was known", s.Phase, n)
		}
		x.Merge(s, 400*time.Millisecond, time.Second)
		if n := sent(time.Second, 2100*time.Millisecond); n == 0 {
			t.Errorf("%v: no request while there is a permit", s.Phase)
		}
		x.Merge(s, 1500*time.Millisecond, 2*time.Second) // an older announcement extends nothing
		if n := sent(2100*time.Millisecond, 4*time.Second); n > 0 {
			t.Errorf("%v: %d requests after the permit has ended", s.Phase, n)
		}
		if x.Fallback("x", 4*time.Second).Allows("v2") {
			t.Errorf("%v: a retry may go to the new version without a permit", s.Phase)
		}
		if p := x.Report(func(string, string) int { return 0 }, 4*time.Second)["x"]; p.Follows(s) {
			t.Errorf("%v: the host reports that it follows though its permit has ended", s.Phase)
		}
	}
}

// Guards against versions that get requests in another way than by their own order: those of
// earlier orders, of one that is replaced, rolled back or withdrawn, and the old ones at the end.
func TestVersionsOfAllPhases(t *testing.T) {
	next := rollout.Order{Service: "x", Target: "v3", ID: 9, Length: time.Second}
	state := func(p rollout.Phase) rollout.State {
		s := canaryState()
		s.Phase, s.Seq, s.Share = p, 3, 1
		return s
	}
	for _, c := range []struct {
		name   string
		orders []rollout.Order
		state  rollout.State
		want   []string // of v0 to v3
	}{
		{"canary", []rollout.Order{order}, state(rollout.Canary), []string{"v1", "v3"}},
		{"draining", []rollout.Order{order}, state(rollout.Draining), []string{"v2"}},
		{"completed", []rollout.Order{order}, state(rollout.Completed), []string{"v2", "v3"}},
		{"completed, the order removed later", nil, state(rollout.Completed), []string{"v1", "v2", "v3"}},
		{"rolled back", []rollout.Order{order}, state(rollout.RolledBack), []string{"v1", "v3"}},
		{"withdrawn", nil, state(rollout.Withdrawn), []string{"v1", "v3"}},
		{"replaced", []rollout.Order{next}, state(rollout.Shifting), []string{"v1"}},
		{"next after completed", []rollout.Order{next}, state(rollout.Completed), []string{"v2"}},
		{"driver knows the order first", nil, state(rollout.Draining), []string{"v2"}},
	} {
		x := newTable(1)
		x.SetOrders(c.orders, 0)
		x.Merge(c.state, 0, 0)
		var got []string
		for _, v := range []string{"v0", "v1", "v2", "v3"} {
			if x.Fallback("x", 0).Allows(v) {
				got = append(got, v)
			}
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: %v are allowed, want %v", c.name, got, c.want)
		}
	}
}

// Guards against a service without servers while an order for the version that serves it already is
// on its way to the driver.
func TestOrderForTheServingVersionStopsNothing(t *testing.T) {
	x := newTable(1)
	o := order
	o.Target = "v1"
	x.SetOrders([]rollout.Order{o}, 0)
	if !x.Choose("x", "r", 0).Allows("v1") {
		t.Error("the only version is not allowed")
	}
	x.SetVersions("x", []string{"v1", "v2"}, time.Second)
	if !x.Choose("x", "r", time.Second).Allows("v1") {
		t.Error("the serving version is not allowed once another one appears")
	}
}

// Guards against requests to a new version whose order is still in transit, and against a version that
// is never used though no order names it.
func TestVersionThatAppearsIsHeld(t *testing.T) {
	x := newTable(1)
	held := func(at time.Duration) bool { return x.Choose("x", "r", at).LastResort("v2") }
	x.SetVersions("x", []string{"v1", "v2"}, time.Second)
	x.SetOrders(nil, 900*time.Millisecond)
	if !held(1100*time.Millisecond) || !held(9*time.Second) {
		t.Error("a version is used before the orders were confirmed after its appearance")
	}
	x.SetOrders(nil, 1500*time.Millisecond)
	if !held(1600 * time.Millisecond) {
		t.Error("a version is used within a second of its appearance")
	}
	if held(2100 * time.Millisecond) {
		t.Error("a version without an order is still held after the orders were confirmed")
	}
	if x.Choose("x", "r", 0).LastResort("v1") {
		t.Error("the version that was there before is held")
	}
}

// Guards against roll-outs where the operator has not enabled them.
func TestDisabledTableAllowsEverything(t *testing.T) {
	x := rollout.NewTable(rollout.Limits{}, nil)
	x.SetVersions("x", []string{"v1"}, 0)
	x.SetVersions("x", []string{"v1", "v2"}, 0)
	x.SetOrders([]rollout.Order{order}, 0)
	x.Merge(canaryState(), 0, 0)
	if c := x.Choose("x", "r", 0); !c.Any() || !x.Fallback("x", 0).Any() {
		t.Errorf("choice %+v, want any", c)
	}
}

// Guards against hosts that use different new servers, each of which then gets little.
func TestServersInUseAreTheSameAndGrow(t *testing.T) {
	var ids []string
	for i := range 112 {
		ids = append(ids, fmt.Sprint("s", i))
	}
	previous := 0
	for i, share := range []float64{0.01, 0.08, 0.25, 0.5, 1} {
		s := canaryState()
		s.Phase, s.Share, s.Seq = rollout.Draining, share, uint64(i+1)
		a, b := newTable(1), newTable(2)
		a.Merge(s, 0, 0)
		b.Merge(s, 0, 0)
		shuffled := slices.Clone(ids)
		rand.New(rand.NewPCG(1, 1)).Shuffle(len(ids), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		x, y := a.Choose("x", "r", 0).Servers(ids), b.Choose("x", "q", 0).Servers(shuffled)
		slices.Sort(x)
		slices.Sort(y)
		if !slices.Equal(x, y) {
			t.Errorf("share %v: two hosts use different servers", share)
		}
		if want := []int{3, 9, 28, 56, 112}[i]; len(x) != want || len(x) < previous {
			t.Errorf("share %v: %d servers, want %d", share, len(x), want)
		}
		previous = len(x)
	}
}

// Guards against a data centre that is taken to follow while one of its hosts does not, also one that
// has not heard of the order, and against reports that can't be sent.
func TestSumOfReportsCountsTheLastHost(t *testing.T) {
	a := rollout.Report{"x": {OrderID: 7, Term: 2, Seq: 5, OldRuns: 1, Hosts: 1}}
	b := rollout.Report{"x": {OrderID: 7, Term: 2, Seq: 4, Hosts: 1}}
	s := rollout.State{Order: order, Term: 2, Seq: 5}
	sum := rollout.Sum([]rollout.HostReport{{Report: a}, {Report: b, Age: time.Second}})["x"]
	want := rollout.Progress{OrderID: 7, Term: 2, Seq: 4, OldRuns: 1, Hosts: 2, Age: time.Second}
	if sum != want || sum.Follows(s) {
		t.Errorf("sum %+v, want %+v", sum, want)
	}
	if sum := rollout.Sum([]rollout.HostReport{{Report: a}, {}})["x"]; sum.Follows(s) || sum.Hosts != 2 {
		t.Errorf("sum %+v with a host that reports nothing", sum)
	}
}
