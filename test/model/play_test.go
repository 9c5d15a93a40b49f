package model_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cicadabeam/test/model"
)

// kiosks is the load of 7 nodes before 36 engines, whose data centres die in turn.
func kiosks(seed uint64) model.Load {
	return model.Load{
		Seed: seed, Nodes: 7, DataCentres: 3, EnginesEach: 12, Slots: 12, Memory: 88000, Rate: 9.4, Prompt: 8000, Output: 910,
		Length: 30 * time.Second, Deaths: 6500 * time.Millisecond, Down: 1200 * time.Millisecond, Goal: 4500 * time.Millisecond, Gap: 700 * time.Millisecond,
	}
}

var all = model.Policy{Tell: true, Copies: true, Choose: true, Outages: true}

// sums is what callers get under a load with several seeds.
type sums struct {
	onTime float64
	inVain int
	first  float64 // ms, the 95th percentile, on average
}

func playAll(t *testing.T, p model.Policy) sums {
	t.Helper()
	const seeds = 2
	var s sums
	for seed := uint64(1); seed <= seeds; seed++ {
		r := model.Play(kiosks(seed), p)
		s.onTime += r.InGoal() / seeds
		s.inVain += r.ReadInVain
		s.first += float64(r.First.ValueAtQuantile(95)) / seeds
		if r.Served+r.Refused != r.Asked {
			t.Errorf("seed %d: %d asked, %d served, %d refused", seed, r.Asked, r.Served, r.Refused)
		}
	}
	return s
}

// Each part of the policy is worth something to callers under this load: copies keep
// streams in time and prompts from being read again, the choice of engines brings
// first tokens sooner, and so does telling each other.
func TestPartsOfPolicyServeCallers(t *testing.T) {
	full := playAll(t, all)
	t.Logf("all: %+v", full)
	without := func(name string, change func(p *model.Policy)) sums {
		p := all
		change(&p)
		s := playAll(t, p)
		t.Logf("without %s: %+v", name, s)
		return s
	}
	if s := without("copies", func(p *model.Policy) { p.Copies = false }); s.onTime >= full.onTime || s.inVain <= full.inVain {
		t.Errorf("copies bring nothing")
	}
	if s := without("choice", func(p *model.Policy) { p.Choose = false }); s.first <= full.first {
		t.Errorf("the choice of engines brings nothing")
	}
	if s := without("telling", func(p *model.Policy) { p.Tell = false }); s.first <= full.first {
		t.Errorf("telling brings nothing")
	}
}

func TestSeedGivesSameLoad(t *testing.T) {
	a, b := model.Play(kiosks(5), all), model.Play(kiosks(5), model.Policy{})
	if a.Asked != b.Asked {
		t.Errorf("one seed asks %d and %d times", a.Asked, b.Asked)
	}
}

// Whatever the shape, every request is served or refused, and a calm system refuses
// nothing and reads nothing in vain.
func TestShapesDrawnAtRandom(t *testing.T) {
	random := rand.New(rand.NewPCG(20261204, 7))
	for range 25 {
		l := model.Load{
			Seed: random.Uint64(), Nodes: 1 + random.IntN(9), DataCentres: 1 + random.IntN(6), EnginesEach: 1 + random.IntN(20), Slots: 1 + random.IntN(64),
			Prompt: 500 + random.IntN(8000), Output: 50 + random.IntN(900), Length: 15 * time.Second, Goal: 4500 * time.Millisecond, Gap: 700 * time.Millisecond,
		}
		l.Memory = (2 + random.IntN(48)) * (2*l.Prompt + l.Output)
		reads := float64(l.DataCentres*l.EnginesEach) * 8000 / float64(l.Prompt)
		l.Rate = min(0.3*reads, 60)
		r := model.Play(l, all)
		if r.Served != r.Asked || r.ReadInVain != 0 {
			t.Errorf("%+v: %d asked, %d served, %d refused, %d read in vain", l, r.Asked, r.Served, r.Refused, r.ReadInVain)
		}
	}
}
