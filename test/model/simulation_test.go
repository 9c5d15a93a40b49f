package model_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cicadabeam/test/model"
)

// outageLoad has 7 nodes and 36 engines, with an outage of each data centre in turn.
func outageLoad(seed uint64) model.Load {
	return model.Load{
		Seed: seed, Nodes: 7, DataCentres: 3, EnginesEach: 12, Slots: 12, Memory: 88000, Rate: 9.4, Prompt: 8000, Output: 910,
		Length: 30 * time.Second, Deaths: 6500 * time.Millisecond, Down: 1200 * time.Millisecond, Goal: 4500 * time.Millisecond, Gap: 700 * time.Millisecond,
	}
}

var fullPolicy = model.Policy{Tell: true, Copies: true, Choose: true, Outages: true}

// totals sums up what callers get under outageLoad with several seeds.
type totals struct {
	onTime      float64
	reprefilled int
	firstToken  float64 // 95th percentile in ms, mean over the seeds
}

func simulate(t *testing.T, p model.Policy) totals {
	t.Helper()
	const seeds = 2
	var s totals
	for seed := uint64(1); seed <= seeds; seed++ {
		r := model.Play(outageLoad(seed), p)
		s.onTime += r.InGoal() / seeds
		s.reprefilled += r.ReadInVain
		s.firstToken += float64(r.First.ValueAtQuantile(95)) / seeds
		if r.Served+r.Refused != r.Asked {
			t.Errorf("seed %d: %d requests, but %d served and %d refused", seed, r.Asked, r.Served, r.Refused)
		}
	}
	return s
}

// Under this load callers benefit from each mechanism: KV cache backups keep streams within
// the latency goals and avoid prefilling prompts again, and both the selection of engines
// and the exchange of work reports reduce the time to the first token.
func TestEachMechanismBenefitsCallers(t *testing.T) {
	full := simulate(t, fullPolicy)
	t.Logf("all: %+v", full)
	without := func(name string, change func(p *model.Policy)) totals {
		p := fullPolicy
		change(&p)
		s := simulate(t, p)
		t.Logf("without %s: %+v", name, s)
		return s
	}
	if s := without("copies", func(p *model.Policy) { p.Copies = false }); s.onTime >= full.onTime || s.reprefilled <= full.reprefilled {
		t.Errorf("KV cache backups give no benefit")
	}
	if s := without("choice", func(p *model.Policy) { p.Choose = false }); s.firstToken <= full.firstToken {
		t.Errorf("the selection of engines does not reduce the time to the first token")
	}
	if s := without("telling", func(p *model.Policy) { p.Tell = false }); s.firstToken <= full.firstToken {
		t.Errorf("work reports do not reduce the time to the first token")
	}
}

func TestSeedGivesSameLoad(t *testing.T) {
	a, b := model.Play(outageLoad(5), fullPolicy), model.Play(outageLoad(5), model.Policy{})
	if a.Asked != b.Asked {
		t.Errorf("the same seed gives %d and %d requests", a.Asked, b.Asked)
	}
}

// Whatever the layout, a system without outages and below its capacity serves every request
// and prefills no prompt twice.
func TestRandomLayoutsWithoutOutages(t *testing.T) {
	random := rand.New(rand.NewPCG(20261204, 7))
	for range 25 {
		l := model.Load{
			Seed: random.Uint64(), Nodes: 1 + random.IntN(9), DataCentres: 1 + random.IntN(6), EnginesEach: 1 + random.IntN(20), Slots: 1 + random.IntN(64),
			Prompt: 500 + random.IntN(8000), Output: 50 + random.IntN(900), Length: 15 * time.Second, Goal: 4500 * time.Millisecond, Gap: 700 * time.Millisecond,
		}
		l.Memory = (2 + random.IntN(48)) * (2*l.Prompt + l.Output)
		prefillsPerSecond := float64(l.DataCentres*l.EnginesEach) * 8000 / float64(l.Prompt)
		l.Rate = min(0.3*prefillsPerSecond, 60)
		r := model.Play(l, fullPolicy)
		if r.Served != r.Asked || r.ReadInVain != 0 {
			t.Errorf("%+v: %d requests, %d served, %d refused, %d prompt tokens prefilled again", l, r.Asked, r.Served, r.Refused, r.ReadInVain)
		}
	}
}
