// Command experiment simulates a named scenario under two policies in virtual time and
// prints for each what callers get: requests served, in time, late and refused, and
// the latencies.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jessevdk/go-flags"

	"cicadabeam/test/model"
)

type options struct {
	Load  string `long:"load" default:"kiosks" choice:"kiosks" choice:"forge" choice:"calm" description:"requests of callers and failures"`
	A     string `long:"a" default:"all" description:"first policy: all, none, or any of tell, copies, choose, outages joined by +"`
	B     string `long:"b" default:"choose" description:"second policy"`
	Seeds int    `long:"seeds" default:"3" description:"number of seeds to simulate, from 1"`
	Plot  bool   `long:"plot" description:"also draw a histogram of the times to the first token"`
}

var scenarios = map[string]model.Scenario{
	"kiosks": {
		Nodes: 7, DataCentres: 3, EnginesPerDataCentre: 12, Slots: 12, KVCacheTokens: 88000, RequestsPerSecond: 9.4, PromptTokens: 8000, OutputTokens: 910, Duration: 40 * time.Second,
		OutageInterval: 6500 * time.Millisecond, OutageDuration: 1200 * time.Millisecond, FirstTokenGoal: 4500 * time.Millisecond, TokenGapGoal: 700 * time.Millisecond,
	},
	"forge": {
		Nodes: 7, DataCentres: 3, EnginesPerDataCentre: 6, Slots: 48, KVCacheTokens: 88000, RequestsPerSecond: 4.7, PromptTokens: 8000, OutputTokens: 910, Duration: 40 * time.Second,
		OutageInterval: 6500 * time.Millisecond, OutageDuration: 1200 * time.Millisecond, FirstTokenGoal: 4500 * time.Millisecond, TokenGapGoal: 700 * time.Millisecond,
	},
	"calm": {
		Nodes: 7, DataCentres: 3, EnginesPerDataCentre: 12, Slots: 12, KVCacheTokens: 88000, RequestsPerSecond: 9.4, PromptTokens: 8000, OutputTokens: 910, Duration: 40 * time.Second,
		FirstTokenGoal: 4500 * time.Millisecond, TokenGapGoal: 700 * time.Millisecond,
	},
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	a, errA := model.ParsePolicy(o.A)
	b, errB := model.ParsePolicy(o.B)
	if errA != nil || errB != nil {
		fmt.Fprintln(os.Stderr, "experiment:", errA, errB)
		os.Exit(2)
	}
	histograms := []*hdrhistogram.Histogram{model.NewHistogram(), model.NewHistogram()}
	fmt.Printf("%-6s %-28s %6s %6s %7s %6s %8s %12s %26s %18s\n", "seed", "policy", "asked", "served", "in time", "late", "refused", "re-prefilled", "first p50/p95/p99 ms", "pause p95/p99 ms")
	for seed := 1; seed <= o.Seeds; seed++ {
		s := scenarios[o.Load]
		s.Seed = uint64(seed)
		for i, p := range []model.Policy{a, b} {
			r := model.Simulate(s, p)
			printResult(seed, []string{o.A, o.B}[i], r)
			histograms[i].Merge(r.FirstTokenLatency)
		}
	}
	if o.Plot {
		plot(os.Stdout, o.A, histograms[0])
		plot(os.Stdout, o.B, histograms[1])
	}
}

func printResult(seed int, policy string, r model.Result) {
	first := fmt.Sprintf("%d/%d/%d", r.FirstTokenLatency.ValueAtQuantile(50), r.FirstTokenLatency.ValueAtQuantile(95), r.FirstTokenLatency.ValueAtQuantile(99))
	pause := fmt.Sprintf("%d/%d", r.LongestTokenGap.ValueAtQuantile(95), r.LongestTokenGap.ValueAtQuantile(99))
	fmt.Printf("%-6d %-28s %6d %6d %7d %6d %8d %12d %26s %18s\n", seed, policy, r.Requests, r.Served, r.WithinGoals, r.Late, r.Refused, r.RepeatedPrefillTokens, first, pause)
}
