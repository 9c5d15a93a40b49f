package model_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"cicadabeam/test/model"
)

// outageScenario has 7 nodes and 36 engines, with an outage of each data centre in turn.
func outageScenario(seed uint64) model.Scenario {
	return model.Scenario{
		Seed: seed, Nodes: 7, DataCentres: 3, EnginesPerDataCentre: 12, Slots: 12, KVCacheTokens: 88000, RequestsPerSecond: 9.4, PromptTokens: 8000, OutputTokens: 910,
		Duration: 30 * time.Second, OutageInterval: 6500 * time.Millisecond, OutageDuration: 1200 * time.Millisecond, FirstTokenGoal: 4500 * time.Millisecond, TokenGapGoal: 700 * time.Millisecond,
	}
}

var fullPolicy = model.Policy{ExchangeWork: true, KVCacheBackups: true, SelectByLatency: true, DetectOutages: true}

// totals sums up what callers get under outageScenario with several seeds.
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
		r := model.Simulate(outageScenario(seed), p)
		s.onTime += r.GoalRatio() / seeds
		s.reprefilled += r.RepeatedPrefillTokens
		s.firstToken += float64(r.FirstTokenLatency.ValueAtQuantile(95)) / seeds
		if r.Served+r.Refused != r.Requests {
			t.Errorf("seed %d: %d requests, but %d served and %d refused", seed, r.Requests, r.Served, r.Refused)
		}
	}
	return s
}

// Under this load callers benefit from three mechanisms: KV cache backups keep streams
// within the latency goals and avoid prefilling prompts again, and both the selection of
// engines by expected latency and the exchange of work reports reduce the time to the first
// token.
func TestBackupsSelectionAndReportsBenefitCallers(t *testing.T) {
	full := simulate(t, fullPolicy)
	t.Logf("all: %+v", full)
	without := func(name string, change func(p *model.Policy)) totals {
		p := fullPolicy
		change(&p)
		s := simulate(t, p)
		t.Logf("without %s: %+v", name, s)
		return s
	}
	if s := without("KV cache backups", func(p *model.Policy) { p.KVCacheBackups = false }); s.onTime >= full.onTime || s.reprefilled <= full.reprefilled {
		t.Errorf("KV cache backups give no benefit")
	}
	if s := without("selection by latency", func(p *model.Policy) { p.SelectByLatency = false }); s.firstToken <= full.firstToken {
		t.Errorf("the selection of engines by expected latency does not reduce the time to the first token")
	}
	if s := without("work reports", func(p *model.Policy) { p.ExchangeWork = false }); s.firstToken <= full.firstToken {
		t.Errorf("work reports do not reduce the time to the first token")
	}
}

// A policy does not change the load, so that results of different policies with one seed
// can be compared.
func TestSeedGivesSameLoad(t *testing.T) {
	a, b := model.Simulate(outageScenario(5), fullPolicy), model.Simulate(outageScenario(5), model.Policy{})
	if a.Requests != b.Requests {
		t.Errorf("the same seed gives %d and %d requests", a.Requests, b.Requests)
	}
}

// Whatever the layout, a system without outages and below its capacity serves every request
// and prefills no prompt twice.
func TestRandomLayoutsWithoutOutages(t *testing.T) {
	random := rand.New(rand.NewPCG(20261204, 7))
	for range 25 {
		s := model.Scenario{
			Seed: random.Uint64(), Nodes: 1 + random.IntN(9), DataCentres: 1 + random.IntN(6), EnginesPerDataCentre: 1 + random.IntN(20), Slots: 1 + random.IntN(64),
			PromptTokens: 500 + random.IntN(8000), OutputTokens: 50 + random.IntN(900), Duration: 15 * time.Second, FirstTokenGoal: 4500 * time.Millisecond, TokenGapGoal: 700 * time.Millisecond,
		}
		s.KVCacheTokens = (2 + random.IntN(48)) * (2*s.PromptTokens + s.OutputTokens)
		prefillsPerSecond := float64(s.DataCentres*s.EnginesPerDataCentre) * 8000 / float64(s.PromptTokens)
		s.RequestsPerSecond = min(0.3*prefillsPerSecond, 60)
		r := model.Simulate(s, fullPolicy)
		if r.Served != r.Requests || r.RepeatedPrefillTokens != 0 {
			t.Errorf("%+v: %d requests, %d served, %d refused, %d prompt tokens prefilled again", s, r.Requests, r.Served, r.Refused, r.RepeatedPrefillTokens)
		}
	}
}
